//! State of one worker: its capacity, its lease and its runs.

use std::net::SocketAddr;

use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::quantities;
use daisymast_types::time;

use crate::action;
use crate::constants;
use crate::health;
use crate::lease;
use crate::run;

mod processes;

/// What a worker registers about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Worker ID.
    pub id: ids::WorkerId,
    /// Service that the worker belongs to.
    pub service: ids::ServiceName,
    /// Address for orders and polls.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::Zone,
    /// Total capacity for tasks.
    pub capacity: quantities::Resources,
    /// Rack, if the worker names one.
    pub rack: Option<ids::WorkerLabel>,
    /// All labels, including the rack.
    pub labels: Vec<ids::WorkerLabel>,
    /// Whether the worker is shutting down and takes no new tasks.
    pub draining: bool,
    /// Start time of the worker process, if it reports one; tells restarts apart.
    pub started_at: Option<u64>,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the worker registered; `None` for a worker known only from the journal.
    pub registration: Option<Registration>,
    /// Worker ID.
    pub id: ids::WorkerId,
    /// Whether the worker is registered in the store at present.
    pub registered: bool,
    /// Until when a worker that is no longer registered may still be used: after an outage of the
    /// store, live workers register again.
    pub usable_until: time::Monotonic,
    /// Start time of the worker process as last reported.
    pub started_at: Option<u64>,
    /// Number of worker processes seen under this ID; 0 before the first report.
    pub incarnation: u32,
    /// When the first answer of the present process arrived.
    known_since: time::Monotonic,
    /// Latest reading of the worker's clock; `None` before the first report.
    pub clock: Option<lease::WorkerClock>,
    /// Runs that are assigned to the worker, including those that are being stopped.
    pub runs: collections::FastMap<spec::TaskId, run::Run>,
    /// Resources that these runs occupy.
    pub used: quantities::Resources,
    /// Highest number of an ended run that was handled.
    pub handled_end: u64,
    /// Highest number of an ended run whose outcome is stored.
    pub stored_end: u64,
    /// Highest number of an ended run that was acknowledged to the worker.
    pub acked_end: u64,
    /// Local time at which all runs of the worker have ended with certainty if no further order or
    /// poll reaches it.
    pub lease_end: time::Monotonic,
    /// When the last call that extended the lease was sent.
    pub last_lease_call: time::Monotonic,
    /// Highest fencing token of a call that was meant for the known process.
    call_fence: u64,
    /// Lowest fencing token of a poll whose answer shows that the process refuses all calls that were
    /// meant for a former one; 0 for the first process of the term, as each token of the term will do.
    min_fence: u64,
    /// Whether such a poll was answered.
    pub fenced: bool,
    /// When another process registered, until a later poll has shown which one uses the ID.
    announced_at: Option<time::Monotonic>,
    /// Ended runs whose acknowledgement is withheld, by number, and until when.
    withheld_ends: Vec<(u64, time::Monotonic)>,
    /// Whether an answer has shown that another process uses the ID, which has not reported yet.
    awaits_report: bool,
    /// Whether the assigned runs were compared with a report of the worker.
    pub reconciled: bool,
    /// Whether a poll is open.
    pub polling: bool,
    /// Whether the next poll asks for an immediate answer.
    pub poll_now: bool,
    /// Earliest time of the next poll.
    pub next_poll: time::Monotonic,
    /// When the last poll was sent.
    pub last_poll: time::Monotonic,
    /// Consecutive polls and orders without an answer; nothing is placed while it is above 0.
    pub missed_replies: u32,
    /// Whether recent failures speak against the worker.
    pub health: health::Health,
    /// Learned speed, relative to the declared run times.
    pub speed: f64,
    /// Band of the speed; workers of the same band count as equally fast.
    pub band: i32,
    /// Speed that was last written to the journal.
    pub stored_speed: f64,
}

impl Worker {
    /// Creates a worker of which only the ID is known.
    pub fn new(id: ids::WorkerId) -> Self {
        Self {
            registration: None,
            id,
            registered: false,
            usable_until: time::Monotonic::ZERO,
            started_at: None,
            incarnation: 0,
            known_since: time::Monotonic::ZERO,
            clock: None,
            runs: collections::FastMap::default(),
            used: quantities::Resources::ZERO,
            handled_end: 0,
            stored_end: 0,
            acked_end: 0,
            lease_end: time::Monotonic::ZERO,
            last_lease_call: time::Monotonic::ZERO,
            call_fence: 0,
            min_fence: 0,
            fenced: false,
            announced_at: None,
            withheld_ends: Vec::new(),
            awaits_report: false,
            reconciled: false,
            polling: false,
            poll_now: false,
            next_poll: time::Monotonic::ZERO,
            last_poll: time::Monotonic::ZERO,
            missed_replies: 0,
            health: health::Health::default(),
            speed: 1.0,
            band: 0,
            stored_speed: 1.0,
        }
    }

    /// Returns the target of an order or poll that is sent now with a fencing token, or `None` if the
    /// address is unknown.
    pub fn target(&self, index: usize, fence: u64, now: time::Monotonic) -> Option<action::Target> {
        Some(action::Target {
            index,
            id: self.id.clone(),
            address: self.registration.as_ref()?.address,
            fence,
            sent_at: now,
        })
    }

    /// Whether new tasks may be placed on the worker.
    pub fn is_usable(&self, now: time::Monotonic) -> bool {
        let has_open_trial = self.health.is_on_probation()
            && self
                .runs
                .values()
                .any(|run| run.is_trial(now) && !run.repeats_failure);
        self.takes_tasks(now)
            && self.reconciled
            && self.clock.is_some()
            && self.missed_replies == 0
            && !self.health.is_quarantined(now)
            && !has_open_trial
    }

    /// Whether the registration lets tasks start: it is that of the process that last reported, and
    /// the worker is not shutting down. A process that starts under the same ID may have another
    /// size and other labels.
    pub fn takes_tasks(&self, now: time::Monotonic) -> bool {
        let Some(registration) = &self.registration else {
            return false;
        };
        let is_current = registration.started_at.is_none()
            || self.started_at.is_none()
            || registration.started_at == self.started_at;
        (self.registered || now < self.usable_until) && is_current && !registration.draining
    }

    /// Resources that are free.
    pub fn available(&self) -> quantities::Resources {
        self.capacity().saturating_sub(self.used)
    }

    /// Total capacity; zero if the worker has not registered.
    pub fn capacity(&self) -> quantities::Resources {
        self.registration
            .as_ref()
            .map_or(quantities::Resources::ZERO, |registration| {
                registration.capacity
            })
    }

    /// Rack, if the worker names one.
    pub fn rack(&self) -> Option<&ids::WorkerLabel> {
        self.registration.as_ref()?.rack.as_ref()
    }

    /// Assigns a run to the worker. Returns the earlier run of the same task that it replaces. To be
    /// called by [`Fleet::assign`](crate::fleet::Fleet::assign), which also counts the run against the
    /// cap of its organisation.
    #[must_use]
    pub(crate) fn insert_run(&mut self, task: spec::TaskId, run: run::Run) -> Option<run::Run> {
        self.used += run.size;
        let former = self.runs.insert(task, run)?;
        self.used = self.used.saturating_sub(former.size);
        Some(former)
    }

    /// Removes the run of a task and frees its resources. To be called by
    /// [`Fleet::unassign`](crate::fleet::Fleet::unassign).
    pub(crate) fn remove_run(&mut self, task: spec::TaskId) -> Option<run::Run> {
        let run = self.runs.remove(&task)?;
        self.used = self.used.saturating_sub(run.size);
        Some(run)
    }

    /// Returns the lease deadline for an order that is sent now, on the worker's clock, and extends
    /// the expected end of the lease accordingly. Returns `None` if the worker's clock is unknown.
    pub fn extend_lease(&mut self, now: time::Monotonic) -> Option<u64> {
        let clock = self.clock?;
        let deadline = clock.deadline(now, constants::WORKER_LEASE);
        self.lease_end = self.lease_end.max(clock.passed_at(deadline));
        self.last_lease_call = now;
        Some(deadline)
    }

    /// Lets the worker be polled at once, beside a poll that is open.
    pub fn poll_soon(&mut self, now: time::Monotonic) {
        self.polling = false;
        self.poll_now = true;
        self.next_poll = now;
    }

    /// Whether the last reading of the worker's clock is too old to reckon deadlines from it.
    pub fn has_old_clock(&self, now: time::Monotonic) -> bool {
        self.clock
            .is_some_and(|clock| now - clock.received_at >= constants::MAX_CLOCK_AGE)
    }

    /// Whether the known process has answered so recently that answers from before may still arrive.
    fn has_recent_reading(&self, now: time::Monotonic) -> bool {
        self.clock
            .is_some_and(|clock| now - clock.received_at <= constants::MAX_ANSWER_AGE)
    }

    /// Whether the worker has answered each call, and its last answer is so young that it cannot have
    /// restarted since.
    fn is_same_process(&self, now: time::Monotonic) -> bool {
        self.missed_replies == 0
            && self
                .clock
                .is_some_and(|clock| clock.reading_age(now) < constants::MIN_RESTART_TIME)
    }

    /// Returns the highest number of an ended run that the next poll acknowledges, 0 for none.
    ///
    /// Each number is acknowledged once, and only to a worker that has answered just now. A worker that
    /// has restarted numbers its run ends anew, and would forget those that were never read. It has
    /// none while no start waits for its answer.
    pub fn take_ack(&mut self, now: time::Monotonic) -> u64 {
        self.withheld_ends.retain(|&(_, until)| now < until);
        let has_open_start = self.runs.values().any(run::Run::has_open_start);
        let ackable_end = self.ackable_end(now);
        if self.acked_end >= ackable_end || has_open_start || !self.is_same_process(now) {
            return 0;
        }
        self.acked_end = ackable_end;
        self.acked_end
    }

    /// Withholds the acknowledgement of an ended run, and with it that of all later ones.
    pub fn withhold_ack(&mut self, number: u64, until: time::Monotonic) {
        self.withheld_ends.push((number, until));
    }

    /// Whether the acknowledgement of an ended run is withheld, so that each report lists it.
    pub fn withholds_acks(&self, now: time::Monotonic) -> bool {
        self.withheld_ends.iter().any(|&(_, until)| now < until)
    }

    /// Returns the highest number of an ended run that may be acknowledged.
    pub fn ackable_end(&self, now: time::Monotonic) -> u64 {
        let withheld = self.withheld_ends.iter();
        let first = withheld.filter(|&&(_, until)| now < until);
        let first = first.map(|&(number, _)| number).min();
        first.map_or(self.stored_end, |first| self.stored_end.min(first - 1))
    }

    /// Returns the reading that the worker's clock has reached by now at the latest, 0 if nothing is
    /// known of it.
    pub fn latest_reading(&self, now: time::Monotonic) -> u64 {
        self.clock.map_or(0, |clock| clock.latest_reading(now))
    }

    /// Records a reading of the worker's clock. Readings older than the known one are ignored.
    pub fn update_clock(&mut self, reading_ms: u64, now: time::Monotonic) {
        match &mut self.clock {
            None => self.clock = Some(lease::WorkerClock::new(reading_ms, now)),
            Some(clock) if reading_ms >= clock.reading_ms => clock.update(reading_ms, now),
            Some(_) => {}
        }
    }

    /// Returns the speed in thousandths and marks it as stored, if it has changed enough since it
    /// was last stored.
    pub fn take_speed_change(&mut self) -> Option<u32> {
        if (self.speed / self.stored_speed).ln().abs() < constants::SPEED_STORE_THRESHOLD {
            return None;
        }
        self.stored_speed = self.speed;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from a float saturates"
        )]
        let permille = (self.speed * 1_000.0).round() as u32;
        Some(permille.max(1))
    }

    /// Updates the learned speed from a task that took `actual_ms` and was declared to take
    /// `declared_ms`.
    pub fn learn_speed(&mut self, declared_ms: f64, actual_ms: f64) {
        if declared_ms < 1.0 || actual_ms < 1.0 {
            return;
        }
        let sample = (declared_ms / actual_ms).clamp(0.1, 10.0);
        let weight = constants::SPEED_SAMPLE_WEIGHT;
        self.set_speed((self.speed.ln() * (1.0 - weight) + sample.ln() * weight).exp());
    }

    /// Sets the speed and its band.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
        self.band = band(speed);
    }
}

/// Returns the band of a speed. Small differences between learned speeds are noise. Bands keep the
/// order of workers total, which a comparison with a tolerance would not.
fn band(speed: f64) -> i32 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a cast from a float saturates"
    )]
    let band = (speed.ln() / constants::SPEED_BAND_FACTOR.ln()).round() as i32;
    band
}
