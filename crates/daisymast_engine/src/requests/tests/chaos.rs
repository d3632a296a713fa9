//! Random replies, losses and delays against a small world that knows what really ran.

use std::collections::BTreeMap;

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{InstanceId, RequestId};

use super::rig::{self, Call, Rig};

/// What a place (a worker, or a whole other zone) knows of a request.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Known {
    /// A message is on its way and may still arrive.
    Delayed,
    Ran,
    /// Refused from now on.
    Barred,
}

struct World {
    random: fastrand::Rng,
    places: BTreeMap<(RequestId, String), Known>,
    runs: BTreeMap<RequestId, u32>,
    settled: BTreeMap<RequestId, Settlement>,
}

impl World {
    fn run(&mut self, id: &RequestId, place: &str) {
        self.places
            .insert((id.clone(), place.to_owned()), Known::Ran);
        *self.runs.entry(id.clone()).or_default() += 1;
    }

    fn known(&self, id: &RequestId, place: &str) -> Option<Known> {
        self.places.get(&(id.clone(), place.to_owned())).copied()
    }

    /// Lets a random delayed message arrive.
    fn deliver(&mut self) {
        let delayed: Vec<_> = self
            .places
            .iter()
            .filter(|(_, known)| **known == Known::Delayed)
            .map(|(place, _)| place.clone())
            .collect();
        if !delayed.is_empty() {
            let (id, place) = delayed[self.random.usize(..delayed.len())].clone();
            self.run(&id, &place);
        }
    }

    fn answer(&mut self, rig: &mut Rig, call: &Call) {
        match &call.request {
            PeerRequest::Claim { .. } => match self.random.u32(..8) {
                0 => rig.unknown(call),
                1 => rig.reply(call, PeerReply::LedgerUnavailable),
                2 => {
                    let owner = Some(InstanceId::from("entry-3"));
                    rig.reply(call, PeerReply::NotOwner { owner });
                }
                _ => rig.reply(call, PeerReply::Claimed),
            },
            PeerRequest::Endpoints { .. } => {
                let names = ["w-1", "w-2", "w-3"];
                let count = self.random.usize(..=3);
                let list = names[..count]
                    .iter()
                    .map(|name| rig::endpoint(name))
                    .collect();
                rig.reply(call, PeerReply::Endpoints(list));
            }
            PeerRequest::Serve {
                worker, request, ..
            } => {
                self.serve(rig, call, worker.as_str(), request);
            }
            PeerRequest::Resolve { worker, id, .. } => self.resolve(rig, call, worker.as_str(), id),
            PeerRequest::Forward { request, .. } => self.forward(rig, call, request),
            PeerRequest::Settle { id, result } => {
                self.settled.insert(id.clone(), result.clone());
                if self.random.bool() {
                    rig.reply(call, PeerReply::Ok);
                } else {
                    rig.unknown(call);
                }
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn serve(&mut self, rig: &mut Rig, call: &Call, worker: &str, request: &CallerRequest) {
        let id = &request.id;
        if !request.idempotent && self.known(id, worker).is_some() {
            rig.reply(call, PeerReply::Refused(Refusal::Duplicate));
            return;
        }
        match self.random.u32(..9) {
            0 => rig.no_effect(call),
            1 => rig.reply(call, PeerReply::Refused(Refusal::NoSlot)),
            2 => {
                let holder = Some(InstanceId::from("entry-3"));
                rig.reply(call, PeerReply::NotHolder { holder });
            }
            3 => {
                self.places
                    .insert((id.clone(), worker.to_owned()), Known::Delayed);
                rig.unknown(call);
            }
            4 => {
                self.run(id, worker);
                rig.unknown(call);
            }
            5 => {
                self.run(id, worker);
                rig.reply(call, PeerReply::Uncertain);
            }
            6 => {
                self.run(id, worker);
                let mut damaged = rig::answer_to(id, &request.body);
                damaged.body.push('!');
                rig.reply(call, PeerReply::Served(damaged));
            }
            _ => {
                self.run(id, worker);
                rig.reply(call, PeerReply::Served(rig::answer_to(id, &request.body)));
            }
        }
    }

    fn resolve(&mut self, rig: &mut Rig, call: &Call, worker: &str, id: &RequestId) {
        let lost = self.random.u32(..3) == 0;
        let reply = match self.known(id, worker) {
            Some(Known::Ran) => match self.random.u32(..3) {
                0 => PeerReply::Fate(Fate::Running),
                1 => PeerReply::Fate(Fate::Failed),
                _ => rig::answered(id, &format!("body of {id}")),
            },
            Some(Known::Delayed | Known::Barred) | None => {
                let place = (id.clone(), worker.to_owned());
                self.places.insert(place, Known::Barred);
                PeerReply::Fate(Fate::NeverRan)
            }
        };
        if lost {
            rig.unknown(call);
        } else {
            rig.reply(call, reply);
        }
    }

    fn forward(&mut self, rig: &mut Rig, call: &Call, request: &CallerRequest) {
        let id = request.id.clone();
        match self.random.u32(..6) {
            0 => rig.no_effect(call),
            1 => {
                self.places.insert((id, call.to.clone()), Known::Delayed);
                rig.unknown(call);
            }
            2 => {
                self.run(&id, &call.to);
                rig.unknown(call);
            }
            3 => {
                let reason = NotRunReason::NoEndpoint;
                let reply = CallerReply::NotRun {
                    id,
                    reason,
                    retry_after_ms: None,
                };
                rig.reply(call, PeerReply::Forwarded(reply));
            }
            _ => {
                self.run(&id, &call.to);
                let body = request.body.clone();
                rig.reply(call, PeerReply::Forwarded(CallerReply::Done { id, body }));
            }
        }
    }
}

fn request(number: u64) -> CallerRequest {
    let base = if number.is_multiple_of(3) {
        rig::repeatable(&format!("quote-{number}"))
    } else {
        rig::once()
    };
    let id = if base.idempotent {
        base.id.clone()
    } else {
        rig::id_of_age(number + 1)
    };
    CallerRequest {
        body: format!("body of {id}"),
        id,
        ..base
    }
}

fn check(world: &World, rig: &Rig, requests: &[CallerRequest], seed: u64) {
    for (token, request) in (0_u64..).zip(requests) {
        let answers: Vec<_> = rig.answers.iter().filter(|(to, _)| *to == token).collect();
        assert_eq!(answers.len(), 1, "seed {seed}: {answers:?}");
        let runs = world.runs.get(&request.id).copied().unwrap_or(0);
        assert!(
            request.idempotent || runs <= 1,
            "seed {seed}: {request:?} ran {runs} times"
        );
        match &answers[0].1 {
            CallerReply::Done { id, body } => {
                assert_eq!((id, body), (&request.id, &request.body), "seed {seed}");
                assert!(runs > 0, "seed {seed}: {request:?}");
            }
            CallerReply::NotRun { .. } => assert_eq!(runs, 0, "seed {seed}: {request:?}"),
            CallerReply::Unknown { .. } => {}
        }
        match world.settled.get(&request.id) {
            Some(Settlement::NotRun(_)) => assert_eq!(runs, 0, "seed {seed}: {request:?}"),
            Some(Settlement::Answered(_)) => assert_eq!(runs, 1, "seed {seed}: {request:?}"),
            None => {}
        }
    }
}

fn play(seed: u64) -> (usize, usize, usize) {
    let mut rig = Rig::new();
    let mut world = World {
        random: fastrand::Rng::with_seed(seed),
        places: BTreeMap::new(),
        runs: BTreeMap::new(),
        settled: BTreeMap::new(),
    };
    let requests: Vec<CallerRequest> = (0..12).map(request).collect();
    let mut next = 0;
    for _ in 0..400 {
        match world.random.u32(..10) {
            0 if next < requests.len() => {
                rig.submit(next as u64, requests[next].clone());
                next += 1;
            }
            1 => rig.pass(50 * world.random.u64(1..8)),
            2 => world.deliver(),
            _ if !rig.calls.is_empty() => {
                let call = rig.calls.remove(world.random.usize(..rig.calls.len()));
                world.answer(&mut rig, &call);
            }
            _ => {}
        }
    }
    for (token, request) in (0_u64..).zip(&requests).skip(next) {
        rig.submit(token, request.clone());
    }
    // Each call ends at its deadline at the latest.
    while !rig.requests.is_idle() {
        for call in std::mem::take(&mut rig.calls) {
            world.answer(&mut rig, &call);
        }
        rig.pass(1_000);
    }
    for _ in 0..100 {
        world.deliver();
    }
    check(&world, &rig, &requests, seed);
    let count =
        |is: fn(&CallerReply) -> bool| rig.answers.iter().filter(|(_, one)| is(one)).count();
    (
        count(|reply| matches!(reply, CallerReply::Done { .. })),
        count(|reply| matches!(reply, CallerReply::NotRun { .. })),
        count(|reply| matches!(reply, CallerReply::Unknown { .. })),
    )
}

/// Guards against a false `NotRun`, a second run, a wrong, missing or second answer, and a false
/// settlement under any order of replies, losses and delays. The sums show that the seeds reach all
/// three outcomes.
#[test]
fn answers_agree_with_what_ran() {
    let (mut done, mut not_run, mut unknown) = (0, 0, 0);
    for seed in 0..2_000 {
        let counts = play(seed);
        done += counts.0;
        not_run += counts.1;
        unknown += counts.2;
    }
    assert_eq!(done + not_run + unknown, 24_000);
    assert!(
        done.min(not_run).min(unknown) > 2_000,
        "{done} {not_run} {unknown}"
    );
}
