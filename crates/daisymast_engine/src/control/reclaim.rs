//! Preempts tasks on held workers in favour of more urgent ones.

use std::time::Duration;

use daisymast_placement::reclaim::{self, Candidate};
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::task::Kind;
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::{RunKey, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Monotonic;

use super::Control;
use super::mirror::Mirror;
use super::serving::is_leaving;
use super::tasks::{MAX_OUTSTANDING, RESERVATION_TTL};
use crate::shared::Context;

impl Control {
    /// Stops tasks of the given urgency classes, with a checkpoint, until `size` fits on the
    /// worker, and reserves that capacity for the requesting run.
    pub(super) fn reclaim(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        (run, size): (RunKey, Resources),
        classes: &[Urgency],
    ) -> PeerReply {
        let now = cx.now.mono;
        let Some((state, _)) = self.usable_worker(now, worker) else {
            return self.not_holder(cx, worker);
        };
        state.mirror.expire(now);
        if is_leaving(cx, state, worker)
            || state.quarantine.is_active()
            || state.mirror.outstanding() >= MAX_OUTSTANDING
        {
            return PeerReply::Refused(Refusal::NoCapacity);
        }
        // An existing reservation of the same run stems from an earlier request and is replaced
        // below, so it counts as free.
        let free = state.mirror.free(now, Some(run));
        let running = candidates(&state.mirror, now);
        let Some(victims) = reclaim::victims(free, size, classes, &running) else {
            return PeerReply::Refused(Refusal::NoCapacity);
        };
        state.mirror.reserve(run, size, now + RESERVATION_TTL);
        for task in victims {
            cx.outbox
                .record("task.reclaimed", &task.to_string(), worker.to_string());
            self.send_stop(cx, worker, task, None, true);
        }
        PeerReply::Ok
    }
}

fn candidates(mirror: &Mirror, now: Monotonic) -> Vec<Candidate> {
    let running = mirror.tasks().filter(|one| !one.report.state.is_ended());
    let candidates = running.map(|one| Candidate {
        task: one.report.spec.key,
        urgency: one.report.spec.urgency,
        size: one.report.spec.size,
        service: one.report.spec.kind == Kind::Service,
        elapsed: Duration::from_millis(one.report.elapsed_ms) + (now - one.seen_at),
    });
    candidates.collect()
}
