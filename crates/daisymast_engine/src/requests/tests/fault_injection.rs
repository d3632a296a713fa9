//! Random replies, losses and delays, checked against a simulated cluster that counts the
//! executions of each request.

use std::collections::BTreeMap;

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{InstanceId, RequestId};

use super::harness::{self, Call, RequestHarness};

/// State of a request at a target, which is a worker or an instance of another zone.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Delivery {
    /// The message is in flight and may still arrive.
    Delayed,
    Ran,
    /// The target will refuse the request if it arrives.
    Blocked,
}

struct SimulatedCluster {
    random: fastrand::Rng,
    deliveries: BTreeMap<(RequestId, String), Delivery>,
    runs: BTreeMap<RequestId, u32>,
    settled: BTreeMap<RequestId, Settlement>,
}

impl SimulatedCluster {
    fn run(&mut self, id: &RequestId, target: &str) {
        self.deliveries
            .insert((id.clone(), target.to_owned()), Delivery::Ran);
        *self.runs.entry(id.clone()).or_default() += 1;
    }

    fn delivery(&self, id: &RequestId, target: &str) -> Option<Delivery> {
        self.deliveries
            .get(&(id.clone(), target.to_owned()))
            .copied()
    }

    /// Delivers a randomly chosen delayed message.
    fn deliver(&mut self) {
        let delayed: Vec<_> = self
            .deliveries
            .iter()
            .filter(|(_, delivery)| **delivery == Delivery::Delayed)
            .map(|(target, _)| target.clone())
            .collect();
        if !delayed.is_empty() {
            let (id, target) = delayed[self.random.usize(..delayed.len())].clone();
            self.run(&id, &target);
        }
    }

    fn answer(&mut self, harness: &mut RequestHarness, call: &Call) {
        match &call.request {
            PeerRequest::Claim { .. } => match self.random.u32(..8) {
                0 => harness.reply_unknown(call),
                1 => harness.reply(call, PeerReply::LedgerUnavailable),
                2 => {
                    let owner = Some(InstanceId::from("entry-3"));
                    harness.reply(call, PeerReply::NotOwner { owner });
                }
                _ => harness.reply(call, PeerReply::Claimed),
            },
            PeerRequest::Endpoints { .. } => {
                let names = ["w-1", "w-2", "w-3"];
                let count = self.random.usize(..=3);
                let list = names[..count]
                    .iter()
                    .map(|name| harness::endpoint(name))
                    .collect();
                harness.reply(call, PeerReply::Endpoints(list));
            }
            PeerRequest::Serve {
                worker, request, ..
            } => {
                self.serve(harness, call, worker.as_str(), request);
            }
            PeerRequest::Resolve { worker, id, .. } => {
                self.resolve(harness, call, worker.as_str(), id);
            }
            PeerRequest::Forward { request, .. } => self.forward(harness, call, request),
            PeerRequest::Settle { id, result } => {
                self.settled.insert(id.clone(), result.clone());
                if self.random.bool() {
                    harness.reply(call, PeerReply::Ok);
                } else {
                    harness.reply_unknown(call);
                }
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn serve(
        &mut self,
        harness: &mut RequestHarness,
        call: &Call,
        worker: &str,
        request: &CallerRequest,
    ) {
        let id = &request.id;
        if !request.idempotent && self.delivery(id, worker).is_some() {
            harness.reply(call, PeerReply::Refused(Refusal::Duplicate));
            return;
        }
        match self.random.u32(..9) {
            0 => harness.reply_no_effect(call),
            1 => harness.reply(call, PeerReply::Refused(Refusal::NoSlot)),
            2 => {
                let holder = Some(InstanceId::from("entry-3"));
                harness.reply(call, PeerReply::NotHolder { holder });
            }
            3 => {
                self.deliveries
                    .insert((id.clone(), worker.to_owned()), Delivery::Delayed);
                harness.reply_unknown(call);
            }
            4 => {
                self.run(id, worker);
                harness.reply_unknown(call);
            }
            5 => {
                self.run(id, worker);
                harness.reply(call, PeerReply::Uncertain);
            }
            6 => {
                self.run(id, worker);
                let mut corrupted = harness::worker_answer(id, &request.body);
                corrupted.body.push('!');
                harness.reply(call, PeerReply::Served(corrupted));
            }
            _ => {
                self.run(id, worker);
                harness.reply(
                    call,
                    PeerReply::Served(harness::worker_answer(id, &request.body)),
                );
            }
        }
    }

    fn resolve(&mut self, harness: &mut RequestHarness, call: &Call, worker: &str, id: &RequestId) {
        let lost = self.random.u32(..3) == 0;
        let reply = match self.delivery(id, worker) {
            Some(Delivery::Ran) => match self.random.u32(..3) {
                0 => PeerReply::Fate(Fate::Running),
                1 => PeerReply::Fate(Fate::Failed),
                _ => harness::fate_answered(id, &format!("body of {id}")),
            },
            Some(Delivery::Delayed | Delivery::Blocked) | None => {
                let target = (id.clone(), worker.to_owned());
                self.deliveries.insert(target, Delivery::Blocked);
                PeerReply::Fate(Fate::NeverRan)
            }
        };
        if lost {
            harness.reply_unknown(call);
        } else {
            harness.reply(call, reply);
        }
    }

    fn forward(&mut self, harness: &mut RequestHarness, call: &Call, request: &CallerRequest) {
        let id = request.id.clone();
        match self.random.u32(..6) {
            0 => harness.reply_no_effect(call),
            1 => {
                self.deliveries
                    .insert((id, call.to.clone()), Delivery::Delayed);
                harness.reply_unknown(call);
            }
            2 => {
                self.run(&id, &call.to);
                harness.reply_unknown(call);
            }
            3 => {
                let reason = NotRunReason::NoEndpoint;
                let reply = CallerReply::NotRun {
                    id,
                    reason,
                    retry_after_ms: None,
                };
                harness.reply(call, PeerReply::Forwarded(reply));
            }
            _ => {
                self.run(&id, &call.to);
                let body = request.body.clone();
                harness.reply(call, PeerReply::Forwarded(CallerReply::Done { id, body }));
            }
        }
    }
}

fn request(number: u64) -> CallerRequest {
    let base = if number.is_multiple_of(3) {
        harness::idempotent_request(&format!("quote-{number}"))
    } else {
        harness::non_idempotent_request()
    };
    let id = if base.idempotent {
        base.id.clone()
    } else {
        harness::id_of_age(number + 1)
    };
    CallerRequest {
        body: format!("body of {id}"),
        id,
        ..base
    }
}

fn assert_consistent(
    cluster: &SimulatedCluster,
    harness: &RequestHarness,
    requests: &[CallerRequest],
    seed: u64,
) {
    for (token, request) in (0_u64..).zip(requests) {
        let answers: Vec<_> = harness
            .answers
            .iter()
            .filter(|(to, _)| *to == token)
            .collect();
        assert_eq!(answers.len(), 1, "seed {seed}: {answers:?}");
        let runs = cluster.runs.get(&request.id).copied().unwrap_or(0);
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
        match cluster.settled.get(&request.id) {
            Some(Settlement::NotRun(_)) => assert_eq!(runs, 0, "seed {seed}: {request:?}"),
            Some(Settlement::Answered(_)) => assert_eq!(runs, 1, "seed {seed}: {request:?}"),
            None => {}
        }
    }
}

fn simulate(seed: u64) -> (usize, usize, usize) {
    let mut harness = RequestHarness::new();
    let mut cluster = SimulatedCluster {
        random: fastrand::Rng::with_seed(seed),
        deliveries: BTreeMap::new(),
        runs: BTreeMap::new(),
        settled: BTreeMap::new(),
    };
    let requests: Vec<CallerRequest> = (0..12).map(request).collect();
    let mut next = 0;
    for _ in 0..400 {
        match cluster.random.u32(..10) {
            0 if next < requests.len() => {
                harness.submit(next as u64, requests[next].clone());
                next += 1;
            }
            1 => harness.advance(50 * cluster.random.u64(1..8)),
            2 => cluster.deliver(),
            _ if !harness.calls.is_empty() => {
                let call = harness
                    .calls
                    .remove(cluster.random.usize(..harness.calls.len()));
                cluster.answer(&mut harness, &call);
            }
            _ => {}
        }
    }
    for (token, request) in (0_u64..).zip(&requests).skip(next) {
        harness.submit(token, request.clone());
    }
    // Every call ends at its deadline at the latest.
    while !harness.requests.is_idle() {
        for call in std::mem::take(&mut harness.calls) {
            cluster.answer(&mut harness, &call);
        }
        harness.advance(1_000);
    }
    for _ in 0..100 {
        cluster.deliver();
    }
    assert_consistent(&cluster, &harness, &requests, seed);
    let count =
        |is: fn(&CallerReply) -> bool| harness.answers.iter().filter(|(_, one)| is(one)).count();
    (
        count(|reply| matches!(reply, CallerReply::Done { .. })),
        count(|reply| matches!(reply, CallerReply::NotRun { .. })),
        count(|reply| matches!(reply, CallerReply::Unknown { .. })),
    )
}

/// Guards against a false `NotRun`, a second execution, a wrong, missing or duplicate reply, and a
/// false settlement under any order of replies, losses and delays. The totals check that the seeds
/// reach all three outcomes.
#[test]
fn replies_match_executions_under_random_faults() {
    let (mut done, mut not_run, mut unknown) = (0, 0, 0);
    for seed in 0..2_000 {
        let counts = simulate(seed);
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
