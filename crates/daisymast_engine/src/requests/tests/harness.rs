//! Test harness: the requests component of one instance, with scripted peers.

use std::sync::Arc;
use std::time::Duration;

use daisymast_manifest::manifest::{Manifest, Service};
use daisymast_membership::view::View;
use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{Endpoint, Heartbeat, PeerReply, PeerRequest};
use daisymast_protocol::worker::{Answer, Fate};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{
    BootId, CallId, Epoch, Generation, InstanceId, JobName, Partition, Release, RequestId, Team,
    Token, WorkerId, Zone,
};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Timestamp;

use crate::config::InstanceConfig;
use crate::event::{Action, Event};
use crate::outbox::{Outbox, PendingCall};
use crate::requests::Requests;
use crate::requests::pending::body_digest;
use crate::shared::{Context, Shared};

/// 2026-05-28T20:26:40Z.
pub(super) const START_WALL_MS: u64 = 1_780_000_000_000;

pub(super) struct Call {
    pub(super) call: CallId,
    pub(super) to: String,
    pub(super) request: PeerRequest,
    pub(super) timeout: Duration,
}

/// The local instance is `entry-1` in Austin. `entry-2`, also in Austin, owns all partitions and
/// holds the workers; `entry-3` is in Temple and `entry-4` in Waco.
pub(super) struct RequestHarness {
    millis: u64,
    config: InstanceConfig,
    pub(super) shared: Shared,
    outbox: Outbox,
    pub(super) requests: Requests,
    pub(super) calls: Vec<Call>,
    pub(super) answers: Vec<(u64, CallerReply)>,
    pub(super) peer_answers: Vec<(u64, PeerReply)>,
}

impl RequestHarness {
    pub(super) fn new() -> Self {
        let config =
            InstanceConfig::builder(InstanceId::from("entry-1"), Zone::from("Austin"), BootId(1))
                .build();
        let names = [
            ("entry-1", "Austin"),
            ("entry-2", "Austin"),
            ("entry-3", "Temple"),
            ("entry-4", "Waco"),
        ];
        let instances = names
            .iter()
            .map(|(name, zone)| {
                let place = (Zone::from(*zone), format!("{name}:1"));
                (InstanceId::from(*name), place)
            })
            .collect();
        let mut harness = Self {
            millis: 0,
            shared: Shared {
                view: View::new(heartbeat("entry-1", "Austin")),
                instances,
                workers: FastMap::default(),
                generation: Generation(1),
                manifest: Some(Arc::new(manifest())),
                draining: false,
            },
            outbox: Outbox::new(config.instance.clone(), config.boot),
            config,
            requests: Requests::default(),
            calls: Vec::new(),
            answers: Vec::new(),
            peer_answers: Vec::new(),
        };
        harness.record_heartbeats();
        harness
    }

    fn record_heartbeats(&mut self) {
        let now = Timestamp::new(self.millis, START_WALL_MS + self.millis).mono;
        let mut owner = heartbeat("entry-2", "Austin");
        owner.partitions = (0..16).map(|slot| (Partition(slot), Epoch(3))).collect();
        self.shared.view.record(now, owner);
        self.shared.view.record(now, heartbeat("entry-3", "Temple"));
        self.shared.view.record(now, heartbeat("entry-4", "Waco"));
    }

    /// Removes the owner of all partitions from the local view, until the next tick.
    pub(super) fn clear_partition_owner(&mut self) {
        let now = Timestamp::new(self.millis, START_WALL_MS).mono;
        self.shared.view.record(now, heartbeat("entry-2", "Austin"));
    }

    /// Removes the instances of other zones from the view, until the next tick.
    pub(super) fn disconnect_other_zones(&mut self) {
        self.shared.view = View::new(heartbeat("entry-1", "Austin"));
        let now = Timestamp::new(self.millis, START_WALL_MS).mono;
        let mut owner = heartbeat("entry-2", "Austin");
        owner.partitions = (0..16).map(|slot| (Partition(slot), Epoch(3))).collect();
        self.shared.view.record(now, owner);
    }

    fn with_requests(&mut self, act: impl FnOnce(&mut Requests, &mut Context<'_>)) {
        let now = Timestamp::new(self.millis, START_WALL_MS + self.millis);
        self.outbox.begin_event(now);
        let mut cx = Context {
            now,
            config: &self.config,
            shared: &mut self.shared,
            outbox: &mut self.outbox,
        };
        act(&mut self.requests, &mut cx);
        while let Some(event) = cx.outbox.next_local() {
            match event {
                Event::Peer { token, .. } => {
                    cx.outbox
                        .answer_peer(token, PeerReply::Endpoints(Vec::new()));
                }
                Event::PeerReply { call, outcome } => {
                    if let Some(PendingCall::Requests(step)) = cx.outbox.take_pending_call(call) {
                        self.requests.on_peer_reply(&mut cx, step, outcome);
                    }
                }
                other => panic!("unexpected {other:?}"),
            }
        }
        for action in self.outbox.take_actions() {
            match action {
                Action::CallPeer {
                    call,
                    instance,
                    request,
                    timeout,
                    ..
                } => self.calls.push(Call {
                    call,
                    to: instance.as_str().to_owned(),
                    request,
                    timeout,
                }),
                Action::AnswerCaller { token, reply } => self.answers.push((token.0, reply)),
                Action::AnswerPeer { token, reply } => self.peer_answers.push((token.0, reply)),
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    pub(super) fn submit(&mut self, token: u64, request: CallerRequest) {
        self.with_requests(|requests, cx| requests.on_caller(cx, Token(token), request));
    }

    pub(super) fn forward(&mut self, token: u64, request: CallerRequest, claimed: bool) {
        self.with_requests(|requests, cx| requests.on_forward(cx, Token(token), request, claimed));
    }

    pub(super) fn query_status(&mut self, token: u64, id: &RequestId) {
        let id = id.clone();
        self.with_requests(|requests, cx| requests.on_status(cx, Token(token), id));
    }

    /// Advances the clock in ticks of 50 ms.
    pub(super) fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.millis += 50;
            self.record_heartbeats();
            self.with_requests(Requests::on_tick);
        }
    }

    /// Removes and returns the oldest open call that matches.
    pub(super) fn take_call(&mut self, matches: impl Fn(&PeerRequest) -> bool) -> Call {
        let found = self.calls.iter().position(|call| matches(&call.request));
        let kinds: Vec<_> = self.calls.iter().map(|call| &call.request).collect();
        let index = found.unwrap_or_else(|| panic!("no such call among {kinds:?}"));
        self.calls.remove(index)
    }

    pub(super) fn reply(&mut self, call: &Call, reply: PeerReply) {
        self.finish(call, Outcome::Done(reply));
    }

    pub(super) fn reply_no_effect(&mut self, call: &Call) {
        let error = CallError::new("test", &call.to, "connection refused");
        self.finish(call, Outcome::NoEffect(error));
    }

    pub(super) fn reply_unknown(&mut self, call: &Call) {
        let error = CallError::new("test", &call.to, "deadline passed");
        self.finish(call, Outcome::Unknown(error));
    }

    fn finish(&mut self, call: &Call, outcome: Outcome<PeerReply>) {
        let call = call.call;
        self.with_requests(|requests, cx| {
            if let Some(PendingCall::Requests(step)) = cx.outbox.take_pending_call(call) {
                requests.on_peer_reply(cx, step, outcome);
            }
        });
    }

    /// Replies to the open endpoint query with the given workers.
    pub(super) fn reply_endpoints(&mut self, workers: &[&str]) {
        let call = self.take_call(is_endpoints);
        let list = workers.iter().map(|name| endpoint(name)).collect();
        self.reply(&call, PeerReply::Endpoints(list));
    }

    /// Acknowledges the open claim.
    pub(super) fn acknowledge_claim(&mut self) {
        let call = self.take_call(is_claim);
        self.reply(&call, PeerReply::Claimed);
    }

    /// Submits a non-idempotent request, claims it and returns the call that sends it to a worker.
    pub(super) fn submit_to_worker(&mut self, request: &CallerRequest, workers: &[&str]) -> Call {
        self.submit(1, request.clone());
        self.acknowledge_claim();
        self.reply_endpoints(workers);
        self.take_call(is_serve)
    }

    /// Returns the reply to the caller, of which there must be exactly one so far.
    pub(super) fn only_answer(&self) -> &CallerReply {
        assert_eq!(self.answers.len(), 1, "{:?}", self.answers);
        &self.answers[0].1
    }

    pub(super) fn assert_not_run(&self, reason: NotRunReason) {
        let answer = self.only_answer();
        assert!(
            matches!(answer, CallerReply::NotRun { reason: given, .. } if *given == reason),
            "{answer:?}"
        );
    }

    pub(super) fn assert_unknown(&self) {
        let CallerReply::Unknown { id, status } = self.only_answer() else {
            panic!("{:?}", self.answers);
        };
        assert_eq!(*status, format!("/v1/requests/{id}"));
    }

    pub(super) fn assert_done(&self, expected: &str) {
        let answer = self.only_answer();
        assert!(
            matches!(answer, CallerReply::Done { body, .. } if body == expected),
            "{answer:?}"
        );
    }

    /// Number of open calls that may run the request at a worker or in another zone.
    pub(super) fn open_dispatches(&self) -> usize {
        let may_run = |call: &&Call| is_serve(&call.request) || is_forward(&call.request);
        self.calls.iter().filter(may_run).count()
    }
}

fn heartbeat(name: &str, zone: &str) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::from(name),
        boot: BootId(1),
        zone: Zone::from(zone),
        address: format!("{name}:1"),
        generation: Generation(1),
        draining: false,
        weight: 1,
        partitions: Vec::new(),
        workers: Vec::new(),
    }
}

fn manifest() -> Manifest {
    Manifest {
        release: Release::from("r1"),
        teams: Vec::new(),
        services: vec![
            service("quotes", "sales", Urgency::Urgent),
            service("bookings", "desk", Urgency::Normal),
        ],
        batches: Vec::new(),
        gang_jobs: Vec::new(),
    }
}

fn service(name: &str, team: &str, urgency: Urgency) -> Service {
    Service {
        name: JobName::from(name),
        team: Team::from(team),
        urgency,
        replicas: 3,
        size: Resources::new(1_000, 512, 0),
        zones: Vec::new(),
    }
}

pub(super) fn endpoint(worker: &str) -> Endpoint {
    Endpoint {
        worker: WorkerId::from(worker),
        boot: BootId(9),
        free_slots: 8,
        service_us: 1_000,
    }
}

/// UUIDv7 issued `age` milliseconds before [`START_WALL_MS`].
pub(super) fn id_of_age(age: u64) -> RequestId {
    let millis = START_WALL_MS - age;
    let (high, low) = (millis >> 16, millis & 0xffff);
    RequestId::from(format!("{high:08x}-{low:04x}-7abc-8def-0123456789ab"))
}

pub(super) fn non_idempotent_request() -> CallerRequest {
    CallerRequest {
        id: id_of_age(10),
        service: JobName::from("quotes"),
        idempotent: false,
        timeout_ms: 2_000,
        body: "plaza 7".to_owned(),
    }
}

pub(super) fn idempotent_request(id: &str) -> CallerRequest {
    CallerRequest {
        id: RequestId::from(id),
        idempotent: true,
        ..non_idempotent_request()
    }
}

pub(super) fn worker_answer(id: &RequestId, body: &str) -> Answer {
    Answer {
        id: id.clone(),
        body: body.to_owned(),
        length: body.len() as u64,
        digest: body_digest(body),
    }
}

pub(super) fn fate_answered(id: &RequestId, body: &str) -> PeerReply {
    let answer = worker_answer(id, body);
    PeerReply::Fate(Fate::Answered { answer })
}

pub(super) fn is_claim(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::Claim { .. })
}

pub(super) fn is_endpoints(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::Endpoints { .. })
}

pub(super) fn is_serve(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::Serve { .. })
}

pub(super) fn is_resolve(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::Resolve { .. })
}

pub(super) fn is_forward(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::Forward { .. })
}

pub(super) fn is_settle(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::Settle { .. })
}

pub(super) fn is_status(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::ClaimStatus { .. })
}

/// The request in a `Serve` call.
pub(super) fn request_of(call: &Call) -> CallerRequest {
    match &call.request {
        PeerRequest::Serve { request, .. } => request.clone(),
        other => panic!("no request in {other:?}"),
    }
}

/// The worker named in a `Serve` or `Resolve` call.
pub(super) fn worker_of(call: &Call) -> String {
    match &call.request {
        PeerRequest::Serve { worker, .. } | PeerRequest::Resolve { worker, .. } => {
            worker.as_str().to_owned()
        }
        other => panic!("no worker in {other:?}"),
    }
}
