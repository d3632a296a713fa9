//! Sessions in which control leases and ledger partitions move and workers leave.

use crate::session::{self, Session, requests};

pub(super) fn sessions() -> Vec<Session> {
    vec![
        Session {
            name: "control leases renewed",
            periodic: true,
            window_ms: 1_000,
            settle_ms: session::SETTLE_MS,
            action: |_| {},
            final_check: requests::check_recovery,
        },
        Session {
            name: "holder dies and its leases move",
            periodic: false,
            window_ms: 4_500,
            settle_ms: session::SETTLE_MS,
            action: |world| world.crash(&session::instance("austin-e1")),
            final_check: requests::check_recovery,
        },
        Session {
            name: "partition owner dies with open claims",
            periodic: false,
            window_ms: 6_000,
            settle_ms: session::SETTLE_MS,
            action: |world| {
                for number in 10..16 {
                    let id = requests::uuid_v7(world.now(), number);
                    requests::ask(world, "waco-e2", "invoices", &id);
                }
                world.run_for(2);
                world.crash(&session::instance("austin-e1"));
            },
            final_check: requests::check_recovery,
        },
        Session {
            name: "worker leaves",
            periodic: false,
            window_ms: 3_000,
            settle_ms: session::SETTLE_MS,
            action: |world| {
                let worker = world.worker_ids().into_iter().next();
                if let Some(worker) = worker {
                    world.leave(&worker);
                }
                requests::ask(world, "austin-e1", "quotes", "q-3");
                requests::ask(world, "austin-e2", "quotes", "q-4");
            },
            final_check: requests::check_recovery,
        },
    ]
}
