//! Weighted fair queueing of work from several flows onto a bounded number of slots.
//!
//! Each flow has a bounded FIFO queue and a virtual time. Starting an item advances the virtual
//! time of its flow by the smoothed service time divided by the weight, and the flow with the
//! lowest virtual time starts next, as in start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
//! 1996). Other flows may use the share of an idle flow. A flow that becomes busy again and is
//! behind rejoins at the lowest virtual time of the busy flows, so it gets the next free slot.
//! Urgency puts a flow ahead by a bounded amount of virtual time: it decides which flow starts
//! first, not which share a flow gets while all are busy.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_types::collections::FastMap;
use daisymast_types::ids::JobName;
use daisymast_types::quantities::Urgency;
use daisymast_types::time::Monotonic;

use crate::smoothing::Smoothed;

/// Service time assumed for a flow before its first item finishes.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Virtual time by which each urgency level is ahead of the next, in microseconds at weight 1.
const URGENCY_LEAD_MICROS: u64 = 25_000;
/// Minimum service time charged per start, in microseconds. Without it, the lead of urgent work
/// with a service time near zero would last for thousands of starts.
const MIN_CHARGE_MICROS: u64 = 1_000;
/// Fixed-point scale of virtual time, so that division by the weight loses little precision.
const VIRTUAL_TIME_SCALE: u64 = 64;

/// A flow of work, such as the requests of one service, and its share of the capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Name of the flow.
    pub name: JobName,
    /// Urgency of its work.
    pub urgency: Urgency,
    /// Share of the capacity relative to the other flows, at least 1.
    pub weight: u32,
}

/// Reason why an item was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EnqueueError {
    /// The flow is not declared.
    UnknownFlow,
    /// The queue of the flow is full.
    QueueFull,
    /// The item would probably finish after its deadline.
    TooLate,
}

/// Queued and running items of all flows. `T` identifies an item to the caller.
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
    /// Virtual time at which idle flows join: the lowest one of the waiting flows at the last
    /// start.
    system_virtual_time: u64,
    /// In order of declaration, so that ties are broken deterministically.
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

    /// Virtual time plus the lag of the urgency behind the highest level. This gives the same order
    /// as subtracting a lead, without negative numbers.
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
    /// Creates a queue that runs up to `capacity` items at a time and holds up to `queue_limit`
    /// waiting items per flow.
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

    /// Changes the capacity. Running items above a lowered capacity are not stopped.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Adds a flow, or changes its urgency and weight.
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

    /// Removes the idle flows for which `declared` returns `false`. Busy flows are kept until a
    /// later call.
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

    /// Queues an item, unless the queue of its flow is full or the item would finish after its
    /// deadline. The service time is ignored for an idle flow, so that a flow that was slow gets a
    /// chance to show that it is fast again.
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

    /// Expected time until a new item of the flow would start: queue length times smoothed service
    /// time, divided by the flow's share of the capacity among the busy flows. `None` if the flow
    /// is not declared.
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

    /// Removes and returns the item that starts next with the name of its flow. Returns `None` if
    /// there is no free slot or nothing is waiting.
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

    /// Releases the slot of a started item. `time` is its service time, `None` if it says nothing
    /// about the service, such as after a refusal.
    pub fn finish(&mut self, name: &JobName, time: Option<Duration>) {
        if let Some(state) = self.flow_mut(name) {
            state.running = state.running.saturating_sub(1);
            if let Some(time) = time {
                state.service_time.add(time);
            }
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Removes and returns the waiting items that can no longer finish before their deadlines: they
    /// would occupy a slot for an answer that comes too late. The service time is considered only
    /// while an item of the flow is running, since only then can the estimate still be corrected.
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

    /// Number of running items.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting items of a flow.
    pub fn queued(&self, name: &JobName) -> usize {
        self.state(name).map_or(0, |state| state.queue.len())
    }

    /// Total number of items that were not accepted by [`FairQueue::enqueue`].
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
