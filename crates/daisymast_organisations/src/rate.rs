//! Rates at which the jobs of organisations are due.
//!
//! A token bucket per organisation: it fills at the organisation's rate and holds one second's worth, at
//! least one job, so that a caller whose jobs come in pairs or bursts is not taken for one that sends
//! beyond its rate.

use std::time::Duration;

use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

/// Span of jobs that may come at once within the rate, in seconds.
const BURST_S: f64 = 1.0;
/// Latest time to come back that a refused caller is told. Later ones would only guess at the load.
const MAX_RETRY: Duration = Duration::from_secs(10);

/// Token buckets of the organisations.
///
/// ```
/// use daisymast_organisations::rate;
/// use daisymast_types::time::Monotonic;
/// let mut rates = rate::Rates::default();
/// let parts = "parts".into();
/// assert!(rates.take(&parts, 2.0, Monotonic::ZERO));
/// assert!(rates.take(&parts, 2.0, Monotonic::ZERO));
/// assert!(!rates.take(&parts, 2.0, Monotonic::ZERO));
/// assert!(rates.take(&parts, 2.0, Monotonic::from_millis(500)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rates {
    buckets: collections::FastMap<ids::Organisation, Bucket>,
}

/// Tokens of one organisation.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: time::Monotonic,
    /// Latest time to come back that a refused caller was told.
    promised: time::Monotonic,
}

impl Rates {
    /// Counts a job of an organisation whose rate is `rate` jobs a second. Returns whether the job lies
    /// within the rate; one beyond it takes nothing from the jobs that follow.
    pub fn take(
        &mut self,
        organisation: &ids::Organisation,
        rate: f64,
        now: time::Monotonic,
    ) -> bool {
        let bucket = self.fill(organisation, rate, now);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Whether a job of an organisation would lie within its rate now.
    pub fn allows(
        &mut self,
        organisation: &ids::Organisation,
        rate: f64,
        now: time::Monotonic,
    ) -> bool {
        self.fill(organisation, rate, now).tokens >= 1.0
    }

    /// Returns after which time a refused caller comes back within the rate. Each caller is told its own
    /// time, one job of the rate after the other, so that they do not return together.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_organisations::rate;
    /// use daisymast_types::time::Monotonic;
    /// let mut rates = rate::Rates::default();
    /// let parts = "parts".into();
    /// assert!(rates.take(&parts, 1.0, Monotonic::ZERO));
    /// assert_eq!(rates.retry_after(&parts, 1.0, Monotonic::ZERO), Duration::from_secs(1));
    /// assert_eq!(rates.retry_after(&parts, 1.0, Monotonic::ZERO), Duration::from_secs(2));
    /// ```
    pub fn retry_after(
        &mut self,
        organisation: &ids::Organisation,
        rate: f64,
        now: time::Monotonic,
    ) -> Duration {
        let bucket = self.fill(organisation, rate, now);
        let longest = MAX_RETRY.as_secs_f64();
        let span = |jobs: f64| {
            Duration::from_secs_f64((jobs / rate.max(f64::MIN_POSITIVE)).clamp(0.0, longest))
        };
        let first = now + span(1.0 - bucket.tokens);
        let next = bucket.promised + span(1.0);
        bucket.promised = first.max(next).min(now + MAX_RETRY);
        bucket.promised - now
    }

    /// Forgets the organisations that are not in use any more.
    pub fn retain(&mut self, is_used: impl Fn(&ids::Organisation) -> bool) {
        self.buckets.retain(|organisation, _| is_used(organisation));
    }

    /// Returns the bucket of an organisation, filled up to now. One that is new is full: a new leader
    /// does not know what its predecessor has counted.
    fn fill(
        &mut self,
        organisation: &ids::Organisation,
        rate: f64,
        now: time::Monotonic,
    ) -> &mut Bucket {
        let burst = (rate * BURST_S).max(1.0);
        let bucket = self.buckets.entry(organisation.clone()).or_insert(Bucket {
            tokens: burst,
            filled_at: now,
            promised: time::Monotonic::ZERO,
        });
        let gained = (now - bucket.filled_at).as_secs_f64() * rate.max(0.0);
        bucket.tokens = (bucket.tokens + gained).min(burst);
        bucket.filled_at = bucket.filled_at.max(now);
        bucket
    }
}
