//! Load plan: which requests are sent, and when.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};

/// Maximum duration of a run in seconds.
const MAX_SECONDS: u64 = 600;
/// Maximum number of requests in a run.
const MAX_REQUESTS: usize = 500_000;
/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Settings of a load test, read from JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Addresses of the caller listeners; they must be loopback addresses. Requests go to them in
    /// turn.
    pub callers: Vec<SocketAddr>,
    /// Duration of the run in seconds.
    pub seconds: u64,
    /// Seed of the random arrival times.
    #[serde(default)]
    pub seed: u64,
    /// Timeout of each request in milliseconds.
    pub timeout_ms: u64,
    /// First second whose arrivals are included in the report.
    #[serde(default)]
    pub count_from: u64,
    /// Second after the last one whose arrivals are included; the end of the run if `None`.
    pub count_until: Option<u64>,
    /// Kinds of requests to send.
    pub kinds: Vec<Kind>,
}

/// Kind of request, with its arrival rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind in the report.
    pub name: String,
    /// Name of the service to call.
    pub service: String,
    /// Whether the requests are marked as idempotent.
    pub idempotent: bool,
    /// Mean arrivals per second outside of the flood.
    pub rate: f64,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
    /// Period with an increased arrival rate; `None` for a constant rate.
    pub flood: Option<Flood>,
}

/// Period in which the arrival rate of a kind is increased.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Factor by which the rate is multiplied, from 1 to 1000.
    pub factor: f64,
    /// First second of the period.
    pub from: u64,
    /// Second after the last one of the period.
    pub until: u64,
}

/// Arrival of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Scheduled send time, relative to the start of the run.
    pub at: Duration,
    /// Index in [`Plan::kinds`].
    pub kind: usize,
}

impl Plan {
    /// Parses and validates a plan in JSON.
    ///
    /// # Errors
    ///
    /// Fails if the JSON is not a plan or a value is out of range; the error names the field.
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

    /// Whether arrivals in this second of the run are included in the report.
    pub fn is_counted(&self, second: u64) -> bool {
        second >= self.count_from && second < self.count_until.unwrap_or(self.seconds)
    }

    /// Number of seconds whose arrivals are included in the report; at least 1.
    pub fn counted_seconds(&self) -> u64 {
        let until = self.count_until.unwrap_or(self.seconds).min(self.seconds);
        until.saturating_sub(self.count_from).max(1)
    }

    /// Returns all arrivals in order of time. Each kind is a Poisson process that depends only on
    /// the plan and its seed.
    ///
    /// # Errors
    ///
    /// Fails if the plan results in too many requests.
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
