//! Counters and histograms of a node, exported as Prometheus text.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use daisymast_scheduler::{decision, locality};
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

type Labels = [(&'static str, &'static str); 2];

/// Upper bound of the first bucket of a latency histogram, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Number of buckets of a latency histogram; each bound is twice the one before.
const BUCKETS: u16 = 14;

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

/// Metrics of one node. Clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Family<Labels, Counter>,
    submissions: Family<Labels, Counter>,
    leaderless: Counter<f64, AtomicU64>,
    calls: Family<Labels, Counter>,
    invalid: Family<[(&'static str, &'static str); 1], Counter>,
    organisations: Family<[(&'static str, &'static str); 1], Counter>,
    submission: Histogram,
    commit: Histogram,
    place_waits: Family<[(&'static str, &'static str); 1], Counter>,
    place_wait: Histogram,
    term: Gauge,
    confirmation_age: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            submissions: Family::default(),
            leaderless: Counter::default(),
            calls: Family::default(),
            invalid: Family::default(),
            organisations: Family::default(),
            submission: histogram(),
            commit: histogram(),
            place_waits: Family::default(),
            place_wait: histogram(),
            term: Gauge::default(),
            confirmation_age: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Counts a caller's request by kind and outcome.
    pub fn count_request(&self, kind: &'static str, outcome: &'static str) {
        let labels = [("kind", kind), ("outcome", outcome)];
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a submission by the path of its answer and its outcome.
    pub fn count_submission(&self, path: &'static str, outcome: &'static str) {
        let labels = [("path", path), ("outcome", outcome)];
        self.submissions.get_or_create(&labels).inc();
    }

    /// Adds time in which no leader that can commit was known.
    pub fn add_leaderless(&self, time: Duration) {
        self.leaderless.inc_by(time.as_secs_f64());
    }

    /// Counts a call to a dependency by outcome.
    pub fn count_call(&self, dependency: &'static str, outcome: &'static str) {
        let labels = [("dependency", dependency), ("outcome", outcome)];
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts an input from outside that cannot be decoded, by kind.
    pub fn count_invalid(&self, kind: &'static str) {
        self.invalid.get_or_create(&[("kind", kind)]).inc();
    }

    /// Counts an event about any organisation: `cap_reached`, `cap_left` or `over_rate`.
    pub fn count_organisation(&self, event: &'static str) {
        self.organisations.get_or_create(&[("event", event)]).inc();
    }

    /// Observes the duration of a submission.
    pub fn observe_submission(&self, took: Duration) {
        self.submission.observe(took.as_secs_f64());
    }

    /// Observes the duration of a commit that took effect.
    pub fn observe_commit(&self, took: Duration) {
        self.commit.observe(took.as_secs_f64());
    }

    /// Counts a decision about a wait for a place near the data; others are ignored.
    pub fn count_place_wait(&self, decision: &decision::Decision) {
        let outcome = match decision {
            decision::Decision::PlaceWaitOpened { .. } => "started",
            decision::Decision::PlaceWaitClosed {
                outcome, waited_ms, ..
            } => {
                let waited = Duration::from_millis(*waited_ms);
                self.place_wait.observe(waited.as_secs_f64());
                match outcome {
                    locality::Outcome::Paid => "paid",
                    locality::Outcome::Lost => "lost",
                    locality::Outcome::Dropped => "dropped",
                }
            }
            _ => return,
        };
        self.place_waits
            .get_or_create(&[("outcome", outcome)])
            .inc();
    }

    /// Sets the term in which this node leads, 0 for none.
    pub fn set_term(&self, term: u64) {
        self.term.set(i64::try_from(term).unwrap_or(i64::MAX));
    }

    /// Sets the time since the configuration of this node was last known to be the newest.
    pub fn set_confirmation_age(&self, age: Duration) {
        let millis = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.confirmation_age.set(millis);
    }

    /// Encodes all metrics as Prometheus text.
    ///
    /// ```
    /// let metrics = daisymast_node::metrics::Metrics::default();
    /// metrics.count_request("submit", "accepted");
    /// assert!(metrics.encode().contains("daisymast_requests_total"));
    /// ```
    pub fn encode(&self) -> String {
        let mut registry = Registry::with_prefix("daisymast");
        let requests = "Requests of callers";
        registry.register("requests", requests, self.requests.clone());
        let submissions = "Submissions by path of the answer and outcome";
        registry.register("submissions", submissions, self.submissions.clone());
        let leaderless = "Seconds without a known leader that can commit";
        registry.register("leaderless_seconds", leaderless, self.leaderless.clone());
        registry.register("calls", "Calls to dependencies", self.calls.clone());
        let invalid = "Inputs from outside that cannot be decoded";
        registry.register("invalid_inputs", invalid, self.invalid.clone());
        let organisations = "Events about caps and rates of organisations";
        registry.register(
            "organisation_events",
            organisations,
            self.organisations.clone(),
        );
        let submission = "Time of a submission in seconds";
        registry.register("submission_seconds", submission, self.submission.clone());
        let commit = "Time of a commit to the journal in seconds";
        registry.register("commit_seconds", commit, self.commit.clone());
        let place_waits = "Waits of steps for places near their data or on one rack";
        registry.register("place_waits", place_waits, self.place_waits.clone());
        let place_wait = "Duration of such waits in seconds";
        registry.register("place_wait_seconds", place_wait, self.place_wait.clone());
        registry.register(
            "term",
            "Term in which this node schedules",
            self.term.clone(),
        );
        let confirmation_age = "Time since the configuration was last known to be the newest";
        registry.register(
            "configuration_age_milliseconds",
            confirmation_age,
            self.confirmation_age.clone(),
        );
        let mut encoded = String::new();
        if let Err(error) = text::encode(&mut encoded, &registry) {
            log::error!("failed to encode metrics: {error}");
        }
        encoded
    }
}
