//! Requests that the service replicas of a worker are serving or have served.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::worker::{Answer, Fate, Refusal, ServeRequest, WorkerReply};
use daisymast_types::hashing;
use daisymast_types::ids::RequestId;
use daisymast_types::time::Monotonic;

use super::ExchangeId;
use super::history::History;
use super::log::{Log, LogEvent};

#[derive(Clone, Debug)]
struct ActiveRequest {
    exchange: ExchangeId,
    request: ServeRequest,
    end: Monotonic,
    fails: bool,
}

/// All requests that a worker knows. Each is served at most once.
#[derive(Clone, Debug)]
pub(super) struct Requests {
    slots: usize,
    active: BTreeMap<RequestId, ActiveRequest>,
    history: History<RequestId>,
}

impl Requests {
    pub(super) fn new(slots: usize, remembered: usize) -> Self {
        Self {
            slots,
            active: BTreeMap::new(),
            history: History::new(remembered),
        }
    }

    /// Refuses an ID that is being served, was served, or was resolved as never run.
    pub(super) fn check_new(&self, id: &RequestId) -> Result<(), Refusal> {
        if self.active.contains_key(id) || self.history.get(id).is_some() {
            Err(Refusal::Duplicate)
        } else {
            Ok(())
        }
    }

    /// Starts to serve a request that passed [`Self::check_new`].
    pub(super) fn serve(
        &mut self,
        now: Monotonic,
        exchange: ExchangeId,
        request: ServeRequest,
        (end, fails): (Monotonic, bool),
        log: &mut Log,
    ) -> Result<(), Refusal> {
        let reserved = self.active.len();
        if reserved >= self.slots || !self.history.make_room(now, reserved) {
            return Err(Refusal::NoSlot);
        }
        let id = request.id.clone();
        log.add(now, LogEvent::RequestStarted { id: id.clone() });
        let active = ActiveRequest {
            exchange,
            request,
            end,
            fails,
        };
        self.active.insert(id, active);
        Ok(())
    }

    /// Finishes the requests whose service time is over and returns their replies.
    pub(super) fn advance(
        &mut self,
        now: Monotonic,
        log: &mut Log,
    ) -> Vec<(ExchangeId, WorkerReply)> {
        let finished = self.active.extract_if(.., |_, active| active.end <= now);
        let mut finished: Vec<(RequestId, ActiveRequest)> = finished.collect();
        finished.sort_by_key(|(_, active)| (active.end, active.exchange));
        let mut replies = Vec::new();
        for (id, active) in finished {
            let (fate, reply) = finish(&active);
            let event = LogEvent::RequestEnded {
                id: id.clone(),
                answered: !active.fails,
            };
            log.add(active.end, event);
            self.history.insert(now, id, fate);
            replies.push((active.exchange, reply));
        }
        replies
    }

    /// Returns the [`Fate`] of a request. One that never ran is refused from now on.
    pub(super) fn resolve(&mut self, now: Monotonic, id: RequestId) -> Result<Fate, Refusal> {
        if self.active.contains_key(&id) {
            return Ok(Fate::Running);
        }
        if let Some(fate) = self.history.get(&id) {
            return Ok(fate.clone());
        }
        if !self.history.make_room(now, self.active.len()) {
            return Err(Refusal::NoSlot);
        }
        self.history.insert(now, id, Fate::NeverRan);
        Ok(Fate::NeverRan)
    }

    /// Postpones the end of each request by the duration of a freeze.
    pub(super) fn delay_ends(&mut self, by: Duration) {
        for active in self.active.values_mut() {
            active.end = active.end + by;
        }
    }

    pub(super) fn active_count(&self) -> usize {
        self.active.len()
    }
}

fn finish(active: &ActiveRequest) -> (Fate, WorkerReply) {
    if active.fails {
        let reply = WorkerReply::Resolved { fate: Fate::Failed };
        return (Fate::Failed, reply);
    }
    let answer = answer(&active.request);
    let reply = WorkerReply::Served {
        answer: answer.clone(),
    };
    (Fate::Answered { answer }, reply)
}

/// Returns the answer of any replica to a request. Its body is the service, ID and body of the
/// request, joined by colons.
///
/// ```
/// use daisymast_protocol::worker::ServeRequest;
/// use daisymast_worker::model;
/// let request = ServeRequest {
///     id: "r-1".into(),
///     service: "quotes".into(),
///     idempotent: true,
///     body: "plaza 7".to_owned(),
/// };
/// assert_eq!(model::answer(&request).body, "quotes:r-1:plaza 7");
/// ```
pub fn answer(request: &ServeRequest) -> Answer {
    let ServeRequest {
        id, service, body, ..
    } = request;
    let body = format!("{service}:{id}:{body}");
    Answer {
        id: id.clone(),
        length: body.len() as u64,
        digest: format!("{:032x}", hashing::digest(body.as_bytes())),
        body,
    }
}
