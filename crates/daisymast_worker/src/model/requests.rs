//! Requests that the replicas of a worker serve, and those that they served.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::worker::{Answer, Fate, Refusal, ServeRequest, WorkerReply};
use daisymast_types::hashing;
use daisymast_types::ids::RequestId;
use daisymast_types::time::Monotonic;

use super::ExchangeId;
use super::log::{Log, LogEvent};
use super::memory::Memory;

#[derive(Clone, Debug)]
struct Serving {
    exchange: ExchangeId,
    request: ServeRequest,
    end: Monotonic,
    fails: bool,
}

/// All requests that a worker knows, each served at most once.
#[derive(Clone, Debug)]
pub(super) struct Requests {
    slots: usize,
    serving: BTreeMap<RequestId, Serving>,
    past: Memory<RequestId>,
}

impl Requests {
    pub(super) fn new(slots: usize, remembered: usize) -> Self {
        Self {
            slots,
            serving: BTreeMap::new(),
            past: Memory::new(remembered),
        }
    }

    /// Refuses an id that is served, was served or was resolved as never run.
    pub(super) fn check_new(&self, id: &RequestId) -> Result<(), Refusal> {
        if self.serving.contains_key(id) || self.past.get(id).is_some() {
            Err(Refusal::Duplicate)
        } else {
            Ok(())
        }
    }

    /// Starts to serve a request that [`Self::check_new`] has accepted.
    pub(super) fn serve(
        &mut self,
        now: Monotonic,
        exchange: ExchangeId,
        request: ServeRequest,
        (end, fails): (Monotonic, bool),
        log: &mut Log,
    ) -> Result<(), Refusal> {
        let reserved = self.serving.len();
        if reserved >= self.slots || !self.past.has_room(now, reserved) {
            return Err(Refusal::NoSlot);
        }
        let id = request.id.clone();
        log.add(now, LogEvent::RequestStarted { id: id.clone() });
        let serving = Serving {
            exchange,
            request,
            end,
            fails,
        };
        self.serving.insert(id, serving);
        Ok(())
    }

    /// Replies of the requests whose service time is over.
    pub(super) fn advance(
        &mut self,
        now: Monotonic,
        log: &mut Log,
    ) -> Vec<(ExchangeId, WorkerReply)> {
        let over = self.serving.extract_if(.., |_, one| one.end <= now);
        let mut over: Vec<(RequestId, Serving)> = over.collect();
        over.sort_by_key(|(_, one)| (one.end, one.exchange));
        let mut replies = Vec::new();
        for (id, one) in over {
            let (fate, reply) = finish(&one);
            let event = LogEvent::RequestEnded {
                id: id.clone(),
                answered: !one.fails,
            };
            log.add(one.end, event);
            self.past.insert(now, id, fate);
            replies.push((one.exchange, reply));
        }
        replies
    }

    /// Tells what became of a request, and refuses it from now on if it never ran.
    pub(super) fn resolve(&mut self, now: Monotonic, id: RequestId) -> Result<Fate, Refusal> {
        if self.serving.contains_key(&id) {
            return Ok(Fate::Running);
        }
        if let Some(fate) = self.past.get(&id) {
            return Ok(fate.clone());
        }
        if !self.past.has_room(now, self.serving.len()) {
            return Err(Refusal::NoSlot);
        }
        self.past.insert(now, id, Fate::NeverRan);
        Ok(Fate::NeverRan)
    }

    /// Delays the ends of requests by the time for which nothing ran.
    pub(super) fn delay(&mut self, by: Duration) {
        for one in self.serving.values_mut() {
            one.end = one.end + by;
        }
    }

    pub(super) fn serving(&self) -> usize {
        self.serving.len()
    }
}

fn finish(one: &Serving) -> (Fate, WorkerReply) {
    if one.fails {
        let reply = WorkerReply::Resolved { fate: Fate::Failed };
        return (Fate::Failed, reply);
    }
    let answer = answer(&one.request);
    let reply = WorkerReply::Served {
        answer: answer.clone(),
    };
    (Fate::Answered { answer }, reply)
}

/// The answer of every replica to a request: service, id and body, joined by colons.
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
