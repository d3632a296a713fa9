//! One worker: its room, its lease and what runs on it.

use std::net::SocketAddr;
use std::sync::Arc;

use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::quantities;
use daisymast_types::time;

use crate::action;
use crate::constants;
use crate::lease;

/// What a worker says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Id.
    pub id: ids::WorkerId,
    /// Service that it belongs to.
    pub service: ids::ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::Zone,
    /// Capacity.
    pub capacity: quantities::Resources,
    /// Rack.
    pub rack: Option<ids::WorkerLabel>,
    /// Labels, the rack among them.
    pub labels: Vec<ids::WorkerLabel>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Start of its life, if it tells it.
    pub born: Option<u64>,
}

/// Where a run on a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Its placement is not stored yet; nothing was sent.
    Journaling,
    /// Its start was sent and has no answer yet.
    Starting,
    /// The worker took the start, at this reading of its clock.
    Running {
        /// Reading of the worker's clock.
        since: u64,
    },
    /// A former scheduler placed it; the worker has not been asked yet.
    Inherited,
    /// It is to end. The worker took the stop at this reading of its clock, if it answered.
    Stopping {
        /// Reading of the worker's clock.
        taken: Option<u64>,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run.
    pub run: u32,
    /// Room that it takes.
    pub size: quantities::Resources,
    /// Where it stands.
    pub state: RunState,
    /// When it was placed.
    pub placed_at: time::Monotonic,
    /// Sends of the last order.
    pub send_count: u8,
    /// When an unanswered stop is sent again.
    pub retry_at: time::Monotonic,
    /// Ticket of the advice service.
    pub ticket: Option<Arc<str>>,
    /// Last progress, in hundredths.
    pub percent: u8,
    /// When the progress last changed.
    pub last_progress: time::Monotonic,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it says of itself; none for one that only the journal names.
    pub entry: Option<Entry>,
    /// Id.
    pub id: ids::WorkerId,
    /// Whether its entry is in the store.
    pub registered: bool,
    /// When a missing entry means that it has gone.
    pub usable_until: time::Monotonic,
    /// Start of the life that was last seen.
    pub born: Option<u64>,
    /// Count of lives that were seen.
    pub incarnation: u32,
    /// Its clock.
    pub clock: Option<lease::WorkerClock>,
    /// Runs on it.
    pub runs: collections::FastMap<spec::TaskId, Run>,
    /// Room that these take.
    pub used: quantities::Resources,
    /// Highest end that was handled.
    pub handled_end: u64,
    /// Highest end that is stored.
    pub stored_end: u64,
    /// Highest end of which the worker was told that it is stored.
    pub acked_end: u64,
    /// When everything on it has surely ended if no order reaches it any more.
    pub lease_end: time::Monotonic,
    /// Whether what runs on it is known.
    pub reconciled: bool,
    /// Whether a look is open.
    pub polling: bool,
    /// Whether the next look is to be answered at once.
    pub poll_now: bool,
    /// Time of the next look.
    pub next_poll: time::Monotonic,
    /// When the last look was opened.
    pub last_poll: time::Monotonic,
    /// Looks that failed on end.
    pub missed_replies: u32,
    /// Failed runs on end.
    pub consecutive_failures: u32,
    /// Nothing is placed before this time.
    pub quarantined_until: time::Monotonic,
    /// Speed against the declared run times.
    pub speed: f64,
    /// Band of the speed; workers of one band count as equally fast.
    pub band: i32,
    /// The speed that is stored.
    pub stored_speed: f64,
}

impl Worker {
    /// A worker of which only the id is known.
    pub fn new(id: ids::WorkerId) -> Self {
        Self {
            entry: None,
            id,
            registered: false,
            usable_until: time::Monotonic::ZERO,
            born: None,
            incarnation: 0,
            clock: None,
            runs: collections::FastMap::default(),
            used: quantities::Resources::ZERO,
            handled_end: 0,
            stored_end: 0,
            acked_end: 0,
            lease_end: time::Monotonic::ZERO,
            reconciled: false,
            polling: false,
            poll_now: false,
            next_poll: time::Monotonic::ZERO,
            last_poll: time::Monotonic::ZERO,
            missed_replies: 0,
            consecutive_failures: 0,
            quarantined_until: time::Monotonic::ZERO,
            speed: 1.0,
            band: 0,
            stored_speed: 1.0,
        }
    }

    /// How orders name it, if its address is known.
    pub fn target(&self, index: usize) -> Option<action::Target> {
        Some(action::Target {
            index,
            id: self.id.clone(),
            address: self.entry.as_ref()?.address,
        })
    }

    /// Whether new tasks may be placed on it.
    pub fn is_usable(&self, now: time::Monotonic) -> bool {
        let Some(entry) = &self.entry else {
            return false;
        };
        let probing =
            self.consecutive_failures >= constants::QUARANTINE_THRESHOLD && !self.runs.is_empty();
        (self.registered || now < self.usable_until)
            && self.reconciled
            && self.clock.is_some()
            && self.missed_replies == 0
            && !entry.draining
            && now >= self.quarantined_until
            && !probing
    }

    /// Room that is left.
    pub fn available(&self) -> quantities::Resources {
        self.capacity().saturating_sub(self.used)
    }

    /// Capacity, zero if it is not known.
    pub fn capacity(&self) -> quantities::Resources {
        self.entry
            .as_ref()
            .map_or(quantities::Resources::ZERO, |entry| entry.capacity)
    }

    /// Puts a run on it.
    pub fn insert(&mut self, task: spec::TaskId, run: Run) {
        self.used += run.size;
        if let Some(former) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(former.size);
        }
    }

    /// Takes a run off it, which frees its room.
    pub fn remove(&mut self, task: spec::TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used = self.used.saturating_sub(run.size);
        Some(run)
    }

    /// Deadline for an order that is sent now. Notes that the lease lasts at least as long.
    pub fn extend_lease(&mut self, now: time::Monotonic) -> Option<u64> {
        let clock = self.clock?;
        let deadline = clock.deadline(now, constants::LEASE);
        self.lease_end = self.lease_end.max(clock.passed_at(deadline));
        Some(deadline)
    }

    /// Takes a reading of its clock. Older readings of the same life are ignored.
    pub fn update_clock(&mut self, reading_ms: u64, now: time::Monotonic) {
        if self
            .clock
            .is_none_or(|clock| reading_ms >= clock.reading_ms)
        {
            self.clock = Some(lease::WorkerClock {
                reading_ms,
                received_at: now,
            });
        }
    }

    /// The speed in thousandths, if it has changed so much that it should be stored.
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

    /// Learns from a task that took `actual_ms` where `declared_ms` was declared.
    pub fn learn_speed(&mut self, declared_ms: f64, actual_ms: f64) {
        if declared_ms < 1.0 || actual_ms < 1.0 {
            return;
        }
        let sample = (declared_ms / actual_ms).clamp(0.1, 10.0);
        let weight = constants::SPEED_SAMPLE_WEIGHT;
        self.set_speed((self.speed.ln() * (1.0 - weight) + sample.ln() * weight).exp());
    }

    /// Sets the speed.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
        self.band = band(speed);
    }
}

/// Band of a speed. Small differences of what was learned are noise. Bands keep the order of workers
/// total, which a comparison with a tolerance would not.
fn band(speed: f64) -> i32 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a cast from a float saturates"
    )]
    let band = (speed.ln() / constants::SPEED_BAND_FACTOR.ln()).round() as i32;
    band
}
