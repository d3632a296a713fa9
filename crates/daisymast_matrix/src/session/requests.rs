//! Sessions in which callers send requests.

use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_types::ids::{JobName, RequestId};
use uuid::Uuid;

use crate::checkers::Violation;
use crate::session::{self, Session};
use crate::trace::Seen;
use crate::world::{WALL_START_MS, World};

pub(super) fn sessions() -> Vec<Session> {
    vec![
        Session {
            name: "idempotent request",
            periodic: false,
            window_ms: 1_500,
            settle_ms: session::SETTLE_MS,
            action: |world| ask(world, "austin-e1", "quotes", "q-1"),
            final_check: check_recovery,
        },
        Session {
            name: "non-idempotent request",
            periodic: false,
            window_ms: 1_500,
            settle_ms: session::SETTLE_MS,
            action: |world| ask(world, "austin-e1", "invoices", &uuid_v7(world.now(), 1)),
            final_check: check_recovery,
        },
        Session {
            name: "same id at two instances",
            periodic: false,
            window_ms: 1_500,
            settle_ms: session::SETTLE_MS,
            action: |world| {
                let id = uuid_v7(world.now(), 2);
                ask(world, "austin-e1", "invoices", &id);
                ask(world, "waco-e2", "invoices", &id);
            },
            final_check: check_recovery,
        },
        Session {
            name: "instance drains with requests in flight",
            periodic: false,
            window_ms: 2_000,
            settle_ms: session::SETTLE_MS,
            action: |world| {
                ask(world, "austin-e1", "quotes", "q-2");
                ask(world, "austin-e1", "invoices", &uuid_v7(world.now(), 3));
                world.drain(&session::instance("austin-e1"));
            },
            final_check: check_recovery,
        },
    ]
}

/// Request timeout of the callers, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

pub(super) fn ask(world: &mut World, at: &str, service: &str, id: &str) {
    let request = CallerRequest {
        id: RequestId::from(id),
        service: JobName::from(service),
        idempotent: service == "quotes",
        timeout_ms: TIMEOUT_MS,
        body: "plaza 7".to_owned(),
    };
    world.ask(&session::instance(at), request);
}

/// A version 7 UUID with the wall-clock time of the virtual time `now`, as required of the IDs of
/// non-idempotent requests.
pub(super) fn uuid_v7(now: u64, number: u8) -> String {
    let random = [number; 10];
    uuid::Builder::from_unix_timestamp_millis(WALL_START_MS + now, &random)
        .into_uuid()
        .to_string()
}

/// Checks that every zone serves idempotent and non-idempotent requests after the faults.
pub(super) fn check_recovery(world: &mut World) -> Vec<Violation> {
    let mut ids = Vec::new();
    for (index, at) in ["austin-e2", "temple-e1", "waco-e1"]
        .into_iter()
        .enumerate()
    {
        let id = format!("after-{index}");
        ask(world, at, "quotes", &id);
        ids.push(id);
        let number = 100 + u8::try_from(index).unwrap_or_default();
        let id = uuid_v7(world.now(), number);
        ask(world, at, "invoices", &id);
        ids.push(id);
    }
    world.run_for(TIMEOUT_MS + 1_000);
    ids.iter()
        .filter(|id| !is_done(world, id))
        .map(|id| recovery_violation(world, id))
        .collect()
}

fn is_done(world: &World, id: &str) -> bool {
    world.trace.seen.iter().any(|(_, seen)| {
        matches!(seen, Seen::CallerAnswered { id: answered, reply: CallerReply::Done { .. }, .. }
            if answered.as_str() == id)
    })
}

fn recovery_violation(world: &World, id: &str) -> Violation {
    let reply = world
        .trace
        .seen
        .iter()
        .rev()
        .find_map(|(_, seen)| match seen {
            Seen::CallerAnswered {
                id: answered,
                reply,
                ..
            } if answered.as_str() == id => Some(reply),
            _ => None,
        });
    let kind = if Uuid::try_parse(id).is_ok() {
        "invoice"
    } else {
        "quote"
    };
    session::violation(
        world,
        "recovers",
        format!("{kind} request {id} after the faults was answered with {reply:?}"),
    )
}
