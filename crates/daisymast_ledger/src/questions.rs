//! Questions after requests of which the owner knows nothing.

use std::collections::VecDeque;

use daisymast_types::ids::RequestId;
use daisymast_types::time::Monotonic;

use crate::commit::{Answers, WAIT_LIMIT, WAITING_MAX};
use crate::effect::{Reply, Ticket};
use crate::memory::Memory;

/// Questions in order of arrival. Each waits for a call that was sent after it and shows the
/// ownership.
#[derive(Clone, Debug, Default)]
pub(crate) struct Questions {
    waiting: VecDeque<(Ticket, RequestId, Monotonic)>,
}

impl Questions {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a question, or returns the answer if too many wait.
    pub(crate) fn push(&mut self, now: Monotonic, ticket: Ticket, id: RequestId) -> Answers {
        if self.waiting.len() >= WAITING_MAX {
            return vec![(ticket, Reply::Unavailable)];
        }
        self.waiting.push_back((ticket, id, now));
        Answers::new()
    }

    /// Answers the questions that came no later than a call that showed the ownership was sent.
    pub(crate) fn confirmed(&mut self, sent: Monotonic, memory: &Memory) -> Answers {
        self.take(|asked| asked <= sent)
            .map(|(ticket, id)| (ticket, Reply::Known(memory.claim_state(&id))))
            .collect()
    }

    /// Gives up questions that wait too long.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        self.take(|asked| now - asked >= WAIT_LIMIT)
            .map(|(ticket, _)| (ticket, Reply::Unavailable))
            .collect()
    }

    /// Gives up all questions.
    pub(crate) fn clear(&mut self, reply: &Reply) -> Answers {
        self.take(|_| true)
            .map(|(ticket, _)| (ticket, reply.clone()))
            .collect()
    }

    fn take(
        &mut self,
        due: impl Fn(Monotonic) -> bool,
    ) -> impl Iterator<Item = (Ticket, RequestId)> {
        let count = self
            .waiting
            .iter()
            .take_while(|(_, _, asked)| due(*asked))
            .count();
        self.waiting
            .drain(..count)
            .map(|(ticket, id, _)| (ticket, id))
    }
}
