//! Calls that a worker leaves without an answer and carries out late, by whichever process uses its ID
//! then.

use std::ops::RangeInclusive;

use daisymast_scheduler::report;

use super::{Message, NETWORK_DELAY_MS, POLL_TIMEOUT_MARGIN_MS, Poll, Rig};

/// How late a call may be carried out that gets no answer, in milliseconds.
const LATENESS_MS: RangeInclusive<u64> = 2_000..=12_000;

impl Rig {
    /// Sets the seed of the choice of late calls and of their lateness.
    pub(crate) fn seed_late_calls(&mut self, seed: u64) {
        self.late_calls = fastrand::Rng::with_seed(seed);
    }

    /// Returns by how many milliseconds a call that is sent now is carried out late: by `fixed_ms` if
    /// that is set, and else by a random time if it is one of the worker's late calls. 0 for a call
    /// that is carried out in time.
    pub(super) fn lateness(&mut self, number: usize, fixed_ms: u64) -> u64 {
        let late_percent = self.workers[number].late_percent;
        if fixed_ms > 0 || late_percent == 0 || self.is_unreachable(number) {
            return fixed_ms;
        }
        if self.late_calls.u64(0..100) < late_percent {
            self.late_calls.u64(LATENESS_MS)
        } else {
            0
        }
    }

    /// Sends a poll. One that is late reaches its worker at once, and fails for its sender.
    pub(super) fn send_poll(&mut self, poll: Poll) {
        let delay_ms = self.lateness(poll.number, self.workers[poll.number].poll_delay_ms);
        if delay_ms == 0 || self.is_unreachable(poll.number) {
            self.send(NETWORK_DELAY_MS, Message::Poll(poll));
            return;
        }
        let failed = Message::PollReply(poll.target.clone(), report::PollOutcome::Failed);
        self.send(poll.wait + POLL_TIMEOUT_MARGIN_MS, failed);
        self.send(NETWORK_DELAY_MS + delay_ms, Message::LatePoll(poll));
    }

    /// Carries out a late poll, also if the worker is cut off or has started again meanwhile.
    pub(super) fn handle_late_poll(&mut self, poll: &Poll) {
        if !self.workers[poll.number].is_down {
            self.take_poll(
                poll.number,
                poll.target.fence,
                poll.deadline,
                poll.acked_end,
            );
        }
    }
    /// Returns when the late calls that are under way will be carried out.
    pub(crate) fn late_calls(&self) -> impl Iterator<Item = u64> {
        let is_late = |message: &Message| match message {
            Message::LatePoll(_) => true,
            Message::Start { delivery, .. } | Message::Stop { delivery, .. } => delivery.is_late,
            _ => false,
        };
        let messages = self.messages.iter();
        messages.filter_map(move |(at, _, message)| is_late(message).then_some(*at))
    }
}
