//! Status queries for requests whose claims may be evicted from memory. Their claims are searched
//! for in the claim files.

use std::collections::VecDeque;

use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::Entry;
use daisymast_types::ids::RequestId;
use daisymast_types::time::{Monotonic, UnixMillis};

use crate::claim_file;
use crate::commit::{Answers, REPLY_TIMEOUT};
use crate::effect::{Reply, Ticket};
use crate::state::RecordedClaim;

/// Maximum number of pending searches. Each makes up to 25 list calls, and commits wait for each
/// call.
const SEARCHES_MAX: usize = 16;
/// How far the issue time of an id may be ahead of the clock of the instance that accepts it.
const ISSUE_AHEAD_MS: u64 = 600_000;

#[derive(Clone, Debug)]
struct Search {
    ticket: Ticket,
    id: RequestId,
    queried_at: Monotonic,
    /// Next hour to list.
    hour: u64,
    /// Last hour to list.
    last_hour: u64,
    found: Option<RecordedClaim>,
}

/// Searches in order of arrival. Only the first one is in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Searches(VecDeque<Search>);

/// State of the first search after a list.
#[derive(Clone, Debug)]
pub(crate) enum SearchOutcome {
    /// The next hour must be listed, or the list belongs to no search.
    Continue,
    /// The request is recorded.
    Recorded(Ticket, ClaimState),
    /// No claim file contains the request.
    Absent(Ticket, RequestId, Monotonic),
}

impl Searches {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn push(
        &mut self,
        now: (Monotonic, UnixMillis),
        ticket: Ticket,
        id: RequestId,
        issued: UnixMillis,
    ) -> Answers {
        if self.0.len() >= SEARCHES_MAX {
            return vec![(ticket, Reply::Unavailable)];
        }
        self.0.push_back(Search {
            ticket,
            id,
            queried_at: now.0,
            hour: claim_file::hour(UnixMillis(issued.0.saturating_sub(ISSUE_AHEAD_MS))),
            // The wall clock of a former owner may have been ahead of this one.
            last_hour: claim_file::hour(now.1) + 1,
            found: None,
        });
        Answers::new()
    }

    /// Next hour to list for the first search.
    pub(crate) fn hour(&self) -> Option<u64> {
        self.0.front().map(|search| search.hour)
    }

    /// Searches the claim files of an hour.
    pub(crate) fn on_list(
        &mut self,
        hour: u64,
        entries: &[Entry],
    ) -> Result<SearchOutcome, String> {
        let Some(search) = self.0.front_mut().filter(|search| search.hour == hour) else {
            return Ok(SearchOutcome::Continue);
        };
        for entry in entries {
            if !entry.value.contains(search.id.as_str()) {
                continue;
            }
            for record in claim_file::decode(entry)?.claims {
                if record.0 == search.id {
                    let found = search.found.get_or_insert(RecordedClaim {
                        digest: record.1,
                        by: record.2,
                        settled: None,
                    });
                    found.settled = found.settled.or(record.3);
                }
            }
        }
        let settled = search
            .found
            .as_ref()
            .is_some_and(|found| found.settled.is_some());
        search.hour += 1;
        if search.hour <= search.last_hour && !settled {
            return Ok(SearchOutcome::Continue);
        }
        let Some(search) = self.0.pop_front() else {
            return Ok(SearchOutcome::Continue);
        };
        Ok(match search.found {
            Some(found) => SearchOutcome::Recorded(search.ticket, found.claim_state()),
            None => SearchOutcome::Absent(search.ticket, search.id, search.queried_at),
        })
    }

    /// Drops searches that have been pending for [`REPLY_TIMEOUT`].
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        let mut answers = Answers::new();
        while let Some(first) = self.0.front()
            && now - first.queried_at >= REPLY_TIMEOUT
        {
            answers.push((first.ticket, Reply::Unavailable));
            self.0.pop_front();
        }
        answers
    }

    /// Drops all searches and answers them with `reply`.
    pub(crate) fn reject_all(&mut self, reply: &Reply) -> Answers {
        self.0
            .drain(..)
            .map(|search| (search.ticket, reply.clone()))
            .collect()
    }
}
