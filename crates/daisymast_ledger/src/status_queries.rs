//! Status queries for requests that have no claim in memory.

use std::collections::VecDeque;

use daisymast_types::ids::RequestId;
use daisymast_types::time::Monotonic;

use crate::commit::{Answers, PENDING_MAX, REPLY_TIMEOUT};
use crate::effect::{Reply, Ticket};
use crate::state::PartitionState;

/// Status queries in order of arrival. Each is answered once a store call that was sent after the
/// query has confirmed the ownership.
#[derive(Clone, Debug, Default)]
pub(crate) struct StatusQueries {
    pending: VecDeque<(Ticket, RequestId, Monotonic)>,
}

impl StatusQueries {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a query, or returns the reply if too many queries are pending.
    pub(crate) fn push(&mut self, now: Monotonic, ticket: Ticket, id: RequestId) -> Answers {
        if self.pending.len() >= PENDING_MAX {
            return vec![(ticket, Reply::Unavailable)];
        }
        self.pending.push_back((ticket, id, now));
        Answers::new()
    }

    /// Answers the queries that arrived before a call that confirmed the ownership was sent.
    pub(crate) fn on_confirmed(&mut self, sent_at: Monotonic, state: &PartitionState) -> Answers {
        self.take(|queried_at| queried_at <= sent_at)
            .map(|(ticket, id)| (ticket, Reply::ClaimState(state.claim_state(&id))))
            .collect()
    }

    /// Drops queries that have been pending for [`REPLY_TIMEOUT`].
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        self.take(|queried_at| now - queried_at >= REPLY_TIMEOUT)
            .map(|(ticket, _)| (ticket, Reply::Unavailable))
            .collect()
    }

    /// Drops all queries and answers them with `reply`.
    pub(crate) fn reject_all(&mut self, reply: &Reply) -> Answers {
        self.take(|_| true)
            .map(|(ticket, _)| (ticket, reply.clone()))
            .collect()
    }

    fn take(
        &mut self,
        matches: impl Fn(Monotonic) -> bool,
    ) -> impl Iterator<Item = (Ticket, RequestId)> {
        let count = self
            .pending
            .iter()
            .take_while(|(_, _, queried_at)| matches(*queried_at))
            .count();
        self.pending
            .drain(..count)
            .map(|(ticket, id, _)| (ticket, id))
    }
}
