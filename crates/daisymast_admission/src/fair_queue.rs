//! Weighted fair shares of a bounded concurrency over kinds of work.
//!
//! Each kind has a bounded first-in-first-out queue. A start charges its kind the smoothed service
//! time divided by the weight (its virtual time), and the kind with the least virtual time starts
//! next, as in start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996). What a kind does not
//! use is lent to the others; a kind that becomes busy again joins at the least virtual time of the
//! busy kinds, so the next free slot is its own. Urgency shifts a kind ahead by a bounded time: it
//! decides who starts first, not how much a kind gets while all are busy.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_types::collections::FastMap;
use daisymast_types::ids::JobName;
use daisymast_types::quantities::Urgency;
use daisymast_types::time::Monotonic;

use crate::smoothing::Smoothed;

/// Service time that is assumed of a kind before the first one ends.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Virtual time by which each level of urgency is ahead, in microseconds at weight 1.
const URGENCY_LEAD_MICROS: u64 = 25_000;
/// Least charge of a start in microseconds. Without it, the lead of urgent work with a service time
/// near zero would last for thousands of starts.
const MIN_CHARGE_MICROS: u64 = 1_000;
/// Factor on virtual time, so that division by the weight loses little.
const VIRTUAL_TIME_SCALE: u64 = 64;

/// A kind of work and its part of the capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Name of the kind, such as the service.
    pub name: JobName,
    /// Urgency of its work.
    pub urgency: Urgency,
    /// Part of the capacity, relative to the other kinds; at least 1.
    pub weight: u32,
}

/// Why work was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EnqueueError {
    /// No such kind is declared.
    UnknownFlow,
    /// The queue of the kind is full.
    QueueFull,
    /// The work would probably end beyond its deadline.
    TooLate,
}

/// Queues and running work of all kinds. `T` names a piece of work to the caller.
///
/// ```
/// use std::time::Duration;
/// use daisymast_admission::fair_queue::{Flow, FairQueue};
/// use daisymast_types::{ids::JobName, quantities::Urgency, time::Monotonic};
/// let mut queue: FairQueue<u32> = FairQueue::new(1, 1_024);
/// let quotes = JobName::from("quotes");
/// queue.declare(Flow { name: quotes.clone(), urgency: Urgency::Urgent, weight: 1 });
/// let deadline = Monotonic::ZERO + Duration::from_secs(1);
/// assert_eq!(queue.enqueue(Monotonic::ZERO, &quotes, 7, deadline), Ok(()));
/// assert_eq!(queue.dequeue(), Some((quotes.clone(), 7)));
/// assert_eq!(queue.dequeue(), None);
/// queue.finish(&quotes, Some(Duration::from_millis(5)));
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    capacity: u32,
    queue_limit: usize,
    running: u32,
    /// Least virtual time of the busy kinds at the last start.
    system_virtual_time: u64,
    /// In the order of declaration, so that ties fall the same way in each run.
    flows: Vec<FlowState<T>>,
    index: FastMap<JobName, usize>,
    rejected: u64,
}

#[derive(Clone, Debug)]
struct FlowState<T> {
    flow: Flow,
    queue: VecDeque<(Monotonic, T)>,
    running: u32,
    virtual_time: u64,
    service_time: Smoothed,
}

impl<T> FlowState<T> {
    fn is_busy(&self) -> bool {
        self.running > 0 || !self.queue.is_empty()
    }

    fn weight(&self) -> u64 {
        u64::from(self.flow.weight.max(1))
    }

    /// Virtual time less the lead of the urgency. All lines get the largest lead minus their own,
    /// which orders them the same way without negative numbers.
    fn rank(&self) -> u64 {
        let lag = match self.flow.urgency {
            Urgency::Urgent => 0,
            Urgency::Normal => 1,
            Urgency::Background => 2,
        };
        self.virtual_time
            .saturating_add(lag * URGENCY_LEAD_MICROS * VIRTUAL_TIME_SCALE)
    }
}

impl<T> FairQueue<T> {
    /// Shares of `capacity` pieces of work at one time, with at most `queue_limit` waiting per kind.
    pub fn new(capacity: u32, queue_limit: usize) -> Self {
        Self {
            capacity,
            queue_limit,
            running: 0,
            system_virtual_time: 0,
            flows: Vec::new(),
            index: FastMap::default(),
            rejected: 0,
        }
    }

    /// Changes the capacity. Running work above it ends by itself.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Adds a kind, or changes its urgency and weight.
    pub fn declare(&mut self, flow: Flow) {
        if let Some(state) = self.flow_mut(&flow.name) {
            state.flow = flow;
            return;
        }
        self.index.insert(flow.name.clone(), self.flows.len());
        self.flows.push(FlowState {
            flow,
            queue: VecDeque::new(),
            running: 0,
            virtual_time: self.system_virtual_time,
            service_time: Smoothed::new(INITIAL_SERVICE_TIME),
        });
    }

    /// Drops the idle kinds that are no longer declared. Busy ones stay until a later call.
    pub fn retain(&mut self, declared: impl Fn(&JobName) -> bool) {
        self.flows
            .retain(|state| state.is_busy() || declared(&state.flow.name));
        self.index = self
            .flows
            .iter()
            .enumerate()
            .map(|(position, state)| (state.flow.name.clone(), position))
            .collect();
    }

    /// Queues a piece of work, unless its queue is full or it would end beyond its deadline. A kind
    /// without other work is not refused for its service time, so that a kind whose service was slow
    /// gets the chance to show that it is fast again.
    pub fn enqueue(
        &mut self,
        now: Monotonic,
        name: &JobName,
        item: T,
        deadline: Monotonic,
    ) -> Result<(), EnqueueError> {
        if let Err(refusal) = self.check_admission(name, deadline - now) {
            self.rejected += 1;
            return Err(refusal);
        }
        let system_virtual_time = self.system_virtual_time;
        let state = self.flow_mut(name).ok_or(EnqueueError::UnknownFlow)?;
        if state.queue.is_empty() {
            state.virtual_time = state.virtual_time.max(system_virtual_time);
        }
        state.queue.push_back((deadline, item));
        Ok(())
    }

    fn check_admission(&self, name: &JobName, left: Duration) -> Result<(), EnqueueError> {
        let state = self.state(name).ok_or(EnqueueError::UnknownFlow)?;
        let wait = self.expected_wait(name).unwrap_or_default();
        let service = if state.is_busy() {
            state.service_time.value()
        } else {
            Duration::ZERO
        };
        if wait + service > left {
            Err(EnqueueError::TooLate)
        } else if state.queue.len() >= self.queue_limit {
            Err(EnqueueError::QueueFull)
        } else {
            Ok(())
        }
    }

    /// Time until a new piece of work of the kind would start: queue length times smoothed service
    /// time over the concurrency that is the kind's share among the busy kinds.
    pub fn expected_wait(&self, name: &JobName) -> Option<Duration> {
        let state = self.state(name)?;
        if state.queue.is_empty() && self.running < self.capacity {
            return Some(Duration::ZERO);
        }
        let weights: u64 = self
            .flows
            .iter()
            .filter(|one| one.is_busy() || one.flow.name == *name)
            .map(FlowState::weight)
            .sum();
        let ahead = u64::try_from(state.queue.len()).unwrap_or(u64::MAX) + 1;
        let work =
            u128::from(ahead) * u128::from(state.service_time.micros()) * u128::from(weights);
        let speed = u128::from(self.capacity.max(1)) * u128::from(state.weight());
        Some(Duration::from_micros(
            u64::try_from(work / speed).unwrap_or(u64::MAX),
        ))
    }

    /// Takes the piece of work that starts next, if the capacity allows one more.
    pub fn dequeue(&mut self) -> Option<(JobName, T)> {
        if self.running >= self.capacity {
            return None;
        }
        let waiting = || self.flows.iter().filter(|state| !state.queue.is_empty());
        let least = waiting().map(|state| state.virtual_time).min()?;
        let (position, _) = self
            .flows
            .iter()
            .enumerate()
            .filter(|(_, state)| !state.queue.is_empty())
            .min_by_key(|(_, state)| state.rank())?;
        self.system_virtual_time = self.system_virtual_time.max(least);
        let state = self.flows.get_mut(position)?;
        let (_, item) = state.queue.pop_front()?;
        let charge = state.service_time.micros().max(MIN_CHARGE_MICROS);
        let cost = charge.saturating_mul(VIRTUAL_TIME_SCALE) / state.weight();
        state.virtual_time = state.virtual_time.saturating_add(cost);
        state.running += 1;
        self.running += 1;
        Some((state.flow.name.clone(), item))
    }

    /// Notes that a started piece of work ended. The time is left out if it tells nothing of the
    /// service, such as after a refusal.
    pub fn finish(&mut self, name: &JobName, time: Option<Duration>) {
        if let Some(state) = self.flow_mut(name) {
            state.running = state.running.saturating_sub(1);
            if let Some(time) = time {
                state.service_time.add(time);
            }
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Takes the waiting work that can no longer be done before its deadline: a start would use a
    /// slot for an answer that comes too late. The service time counts only while work of the kind
    /// runs that can correct it.
    pub fn take_expired(&mut self, now: Monotonic) -> Vec<T> {
        let mut expired = Vec::new();
        for state in &mut self.flows {
            let latest = if state.running > 0 {
                now + state.service_time.value()
            } else {
                now
            };
            if state.queue.iter().all(|(deadline, _)| *deadline > latest) {
                continue;
            }
            let (late, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut state.queue)
                .into_iter()
                .partition(|(deadline, _)| *deadline <= latest);
            state.queue = kept.into();
            expired.extend(late.into_iter().map(|(_, item)| item));
        }
        expired
    }

    /// Pieces of work that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Pieces of work of one kind that wait.
    pub fn queued(&self, name: &JobName) -> usize {
        self.state(name).map_or(0, |state| state.queue.len())
    }

    /// Pieces of work that were refused so far.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    fn state(&self, name: &JobName) -> Option<&FlowState<T>> {
        self.flows.get(*self.index.get(name)?)
    }

    fn flow_mut(&mut self, name: &JobName) -> Option<&mut FlowState<T>> {
        let position = *self.index.get(name)?;
        self.flows.get_mut(position)
    }
}
