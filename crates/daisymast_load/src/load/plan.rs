//! What is sent, and when.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};

/// Longest run in seconds.
const MAX_SECONDS: u64 = 600;
/// Most requests of a run.
const MAX_REQUESTS: usize = 500_000;
/// Longest body in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Settings of a run, read from JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Callers' listeners of the instances, on loopback.
    pub callers: Vec<SocketAddr>,
    /// Length of the run.
    pub seconds: u64,
    /// Start of the random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Time within which a caller wants its answer.
    pub timeout_ms: u64,
    /// Second from which arrivals count.
    #[serde(default)]
    pub count_from: u64,
    /// Second up to which arrivals count; the whole run if absent.
    pub count_until: Option<u64>,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
}

/// One kind of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name in the report.
    pub name: String,
    /// Service that is asked.
    pub service: String,
    /// Whether a repeat is harmless.
    pub idempotent: bool,
    /// Arrivals a second.
    pub rate: f64,
    /// Length of the body.
    pub body_bytes: usize,
    /// Span in which the rate is higher.
    pub flood: Option<Flood>,
}

/// A span in which a kind arrives more often.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Factor of the rate.
    pub factor: f64,
    /// First second.
    pub from: u64,
    /// Second after the last.
    pub until: u64,
}

/// One request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index of the kind.
    pub kind: usize,
}

impl Plan {
    /// Parses and checks JSON.
    ///
    /// # Errors
    ///
    /// Fails with the field, its value and what is allowed.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let plan: Self = serde_json::from_str(text).context("parse the plan")?;
        plan.validate()?;
        Ok(plan)
    }

    fn validate(&self) -> anyhow::Result<()> {
        ensure!(!self.callers.is_empty(), "callers: none is named");
        for address in &self.callers {
            let ip = address.ip();
            ensure!(ip.is_loopback(), "callers: {ip} is not a loopback address");
        }
        ensure!(
            (1..=MAX_SECONDS).contains(&self.seconds),
            "seconds: {} is not within 1 to {MAX_SECONDS}",
            self.seconds
        );
        for kind in &self.kinds {
            let (name, rate) = (&kind.name, kind.rate);
            ensure!(
                rate.is_finite() && rate > 0.0,
                "kind {name}: rate: {rate} is not above 0"
            );
            ensure!(
                kind.body_bytes <= MAX_BODY_BYTES,
                "kind {name}: body_bytes: {} is above {MAX_BODY_BYTES}",
                kind.body_bytes
            );
            if let Some(flood) = kind.flood {
                let factor = flood.factor;
                ensure!(
                    (1.0..=1_000.0).contains(&factor),
                    "kind {name}: flood.factor: {factor} is not within 1 to 1000"
                );
            }
        }
        Ok(())
    }

    /// Whether an arrival at that second counts.
    pub fn is_counted(&self, second: u64) -> bool {
        second >= self.count_from && second < self.count_until.unwrap_or(self.seconds)
    }

    /// Seconds in which arrivals count.
    pub fn counted_seconds(&self) -> u64 {
        let until = self.count_until.unwrap_or(self.seconds).min(self.seconds);
        until.saturating_sub(self.count_from).max(1)
    }

    /// All arrivals in order of time: Poisson processes that only depend on the seed.
    ///
    /// # Errors
    ///
    /// Fails if there are too many.
    pub fn arrivals(&self) -> anyhow::Result<Vec<Arrival>> {
        let mut arrivals = Vec::new();
        for (index, kind) in self.kinds.iter().enumerate() {
            let mut rng = fastrand::Rng::with_seed(self.seed ^ ((index as u64 + 1) << 32));
            let mut at = 0.0;
            loop {
                at += -(1.0 - rng.f64()).ln() / kind.rate_at(at);
                let at = Duration::from_secs_f64(at);
                if at >= Duration::from_secs(self.seconds) {
                    break;
                }
                arrivals.push(Arrival { at, kind: index });
                ensure!(
                    arrivals.len() <= MAX_REQUESTS,
                    "kinds: more than {MAX_REQUESTS} requests in all"
                );
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Ok(arrivals)
    }
}

impl Kind {
    fn rate_at(&self, second: f64) -> f64 {
        let is_active = |flood: &Flood| {
            let at = Duration::from_secs_f64(second).as_secs();
            at >= flood.from && at < flood.until
        };
        let factor = self
            .flood
            .filter(is_active)
            .map_or(1.0, |flood| flood.factor);
        self.rate * factor
    }
}
