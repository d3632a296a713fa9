//! State machine that one instance runs for one partition of the ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::{
    BootId, Epoch, InstanceId, Partition as PartitionId, RequestId, RunKey,
};
use daisymast_types::time::{Monotonic, Timestamp};

use crate::claim_file;
use crate::commit::Answers;
use crate::effect::{Change, Effect, Reply, Ticket};
use crate::entry::{Entry, Settled};
use crate::identity::Identity;
use crate::owned::{self, Owned};
use crate::record::RunRecord;
use crate::state::CLAIM_AGE_MAX_MS;
use crate::takeover::{self, Takeover};

/// Pause after a store call that failed.
pub const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Minimum time before a partition with an unreadable value in the store can be taken over again.
pub const UNREADABLE_RETRY_PAUSE: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Takeover(Box<Takeover>),
    Owned(Box<Owned>),
    Unreadable(Monotonic),
}

/// A partition that is idle, being taken over, owned, or unreadable.
///
/// ```
/// use daisymast_ledger::{effect, partition};
/// use daisymast_types::{ids, time};
/// let mut partition = partition::Partition::new(
///     ids::Partition(3),
///     ids::InstanceId::from("entry-1"),
///     "127.0.0.1:7101",
///     ids::BootId(7),
/// );
/// let effects = partition.take_over(time::Timestamp::new(0, 1_780_000_000_000));
/// assert!(matches!(effects[0], effect::Effect::Call { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Partition {
    identity: Identity,
    phase: Phase,
    /// Highest epoch seen of another owner.
    highest_other_epoch: Epoch,
    last_call: u64,
    /// Call number and send time of the open store call.
    open_call: Option<(u64, Monotonic)>,
    next_call_at: Monotonic,
    releasing: bool,
    effects: Vec<Effect>,
}

impl Partition {
    /// Creates a partition that is not owned. `boot` must differ for each start of the process,
    /// because the nonces are derived from it.
    pub fn new(id: PartitionId, owner: InstanceId, address: &str, boot: BootId) -> Self {
        Self {
            identity: Identity::new(id, owner, address, boot),
            phase: Phase::Idle,
            highest_other_epoch: Epoch(0),
            last_call: 0,
            open_call: None,
            next_call_at: Monotonic::ZERO,
            releasing: false,
            effects: Vec::new(),
        }
    }

    /// Epoch of the ownership, `None` if the partition is not owned.
    pub fn epoch(&self) -> Option<Epoch> {
        self.owned().map(Owned::epoch)
    }

    /// Whether the partition is neither owned nor being taken over.
    pub fn is_idle(&self) -> bool {
        match self.phase {
            Phase::Idle | Phase::Unreadable(_) => true,
            Phase::Takeover(_) | Phase::Owned(_) => false,
        }
    }

    /// Send time of the last store call that confirmed the ownership, `None` if the partition is
    /// not owned.
    pub fn ownership_confirmed_at(&self) -> Option<Monotonic> {
        self.owned().map(|owned| owned.ownership_confirmed_at)
    }

    /// Runs that the partition records, `None` if it is not owned.
    pub fn runs(&self) -> Option<&BTreeMap<RunKey, RunRecord>> {
        self.owned().map(|owned| owned.state.runs())
    }

    /// State of a request as known in memory, `None` if the partition is not owned.
    pub fn claim_state(&self, request: &RequestId) -> Option<ClaimState> {
        self.owned().map(|owned| owned.claim_state(request))
    }

    /// Deletes the record of a closed run that cannot become due again. Does nothing for an open
    /// run.
    pub fn delete_run(&mut self, run: RunKey) {
        if let Phase::Owned(owned) = &mut self.phase {
            owned.state.delete_run(run);
        }
    }

    /// Starts a takeover unless one is in progress, the partition is owned, or
    /// [`UNREADABLE_RETRY_PAUSE`] has not passed.
    pub fn take_over(&mut self, now: Timestamp) -> Vec<Effect> {
        let ready = match self.phase {
            Phase::Idle => true,
            Phase::Unreadable(since) => now.mono - since >= UNREADABLE_RETRY_PAUSE,
            Phase::Takeover(_) | Phase::Owned(_) => false,
        };
        if ready {
            self.releasing = false;
            self.phase = Phase::Takeover(Box::new(Takeover::new(self.highest_other_epoch)));
            self.next_call_at = now.mono;
        }
        self.advance(now)
    }

    /// Claims a request. The reply is [`Reply::Committed`] only if the claim is new and durable.
    pub fn claim(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: RequestId,
        digest: String,
        by: InstanceId,
    ) -> Vec<Effect> {
        match self.claim_state(&request) {
            Some(ClaimState::Absent) => {
                let full = self.owned().is_some_and(Owned::is_full);
                if full || is_too_old(now, &request) {
                    return answer(ticket, Reply::Unavailable);
                }
                let entry = Entry::Claim {
                    request,
                    digest,
                    by,
                };
                self.record(now, ticket, vec![entry])
            }
            Some(known) => answer(ticket, Reply::ClaimState(known)),
            None => answer(ticket, Reply::NotOwner),
        }
    }

    /// Records the result of a claimed request. The first result is kept.
    pub fn settle(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: RequestId,
        result: Settled,
    ) -> Vec<Effect> {
        let Phase::Owned(owned) = &mut self.phase else {
            return answer(ticket, Reply::NotOwner);
        };
        let open = owned
            .state
            .recorded_claim(&request)
            .is_some_and(|claimed| claimed.settled.is_none());
        if !open {
            let state = owned.claim_state(&request);
            return answer(ticket, Reply::ClaimState(state));
        }
        // The result is correct whether or not the entry becomes durable, so it is reported from
        // now on.
        owned.state.settle(&request, result);
        self.record(now, ticket, vec![Entry::Settle { request, result }])
    }

    /// Reports the recorded state of a request. Absence is reported only after a store call has
    /// confirmed the ownership, because a fenced owner does not know the claims of the next one.
    pub fn status(&mut self, now: Timestamp, ticket: Ticket, request: RequestId) -> Vec<Effect> {
        match (self.claim_state(&request), &mut self.phase) {
            (Some(ClaimState::Absent), Phase::Owned(owned)) => {
                let answers = owned.query_status(now, ticket, request);
                self.answer_all(answers);
                self.advance(now)
            }
            (Some(known), _) => answer(ticket, Reply::ClaimState(known)),
            (None, _) => answer(ticket, Reply::NotOwner),
        }
    }

    /// Records entries together in one write.
    pub fn record(&mut self, now: Timestamp, ticket: Ticket, entries: Vec<Entry>) -> Vec<Effect> {
        match &mut self.phase {
            Phase::Owned(owned) if !self.releasing => {
                let answers = owned.push(now.mono, ticket, entries);
                self.answer_all(answers);
                self.advance(now)
            }
            _ => answer(ticket, Reply::NotOwner),
        }
    }

    /// Releases the ownership once all pending requests are answered. No further entries are
    /// accepted, and a takeover in progress is cancelled.
    pub fn release(&mut self, now: Timestamp) -> Vec<Effect> {
        self.releasing = true;
        if let Phase::Takeover(_) = self.phase {
            self.phase = Phase::Idle;
            self.open_call = None;
        }
        self.on_tick(now)
    }

    /// Verifies the ownership with a read, because a lease holder reported a higher epoch.
    pub fn verify_ownership(&mut self, now: Timestamp) -> Vec<Effect> {
        if let Phase::Owned(owned) = &mut self.phase {
            owned.request_confirmation();
        }
        self.advance(now)
    }

    /// Verifies the ownership with a read, because another instance announces that it owns the
    /// partition in a higher epoch.
    pub fn on_other_owner(&mut self, now: Timestamp, epoch: Epoch) -> Vec<Effect> {
        if let Phase::Owned(owned) = &mut self.phase
            && epoch > owned.epoch()
            && epoch > self.highest_other_epoch
        {
            self.highest_other_epoch = epoch;
            owned.request_confirmation();
        }
        self.advance(now)
    }

    /// Advances time: answers requests that have been pending for too long, completes a release and
    /// makes the next store call if one is due.
    pub fn on_tick(&mut self, now: Timestamp) -> Vec<Effect> {
        if let Phase::Owned(owned) = &mut self.phase {
            let answers = owned.expire(now.mono);
            let finished = self.releasing && !owned.has_waiters();
            self.answer_all(answers);
            if finished {
                self.open_call = None;
                self.phase = Phase::Idle;
                self.push_change(Change::Released);
            }
        }
        self.advance(now)
    }

    /// Handles the outcome of a store call. The outcome of a call that is no longer open is
    /// ignored.
    pub fn on_store(
        &mut self,
        now: Timestamp,
        call: u64,
        outcome: Outcome<StoreReply>,
    ) -> Vec<Effect> {
        let Some((_, sent_at)) = self.open_call.filter(|(open, _)| *open == call) else {
            return Vec::new();
        };
        self.open_call = None;
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Takeover(takeover) => self.on_takeover_reply(now, sent_at, takeover, outcome),
            Phase::Owned(owned) => self.on_owned_reply(now, sent_at, owned, outcome),
            other => self.phase = other,
        }
        self.on_tick(now)
    }

    fn on_takeover_reply(
        &mut self,
        now: Timestamp,
        sent_at: Monotonic,
        mut takeover: Box<Takeover>,
        outcome: Outcome<StoreReply>,
    ) {
        match takeover.on_reply(now, sent_at, &mut self.identity, outcome) {
            takeover::Transition::Continue => self.phase = Phase::Takeover(takeover),
            takeover::Transition::RetryLater => {
                self.next_call_at = now.mono + RETRY_PAUSE;
                self.phase = Phase::Takeover(takeover);
            }
            takeover::Transition::Owned(owned) => {
                let epoch = owned.epoch();
                self.phase = Phase::Owned(owned);
                self.push_change(Change::Owned(epoch));
            }
            takeover::Transition::Fenced(epoch) => self.on_fenced(epoch),
            takeover::Transition::Unreadable(reason) => self.on_unreadable(now, reason),
        }
    }

    fn on_owned_reply(
        &mut self,
        now: Timestamp,
        sent_at: Monotonic,
        mut owned: Box<Owned>,
        outcome: Outcome<StoreReply>,
    ) {
        let mut answers = Answers::new();
        let transition = owned.on_reply(sent_at, now.wall, outcome, &mut answers);
        self.answer_all(answers);
        match transition {
            owned::Transition::Continue => self.phase = Phase::Owned(owned),
            owned::Transition::RetryLater => {
                self.next_call_at = now.mono + RETRY_PAUSE;
                self.phase = Phase::Owned(owned);
            }
            owned::Transition::Refused(reason) => {
                self.phase = Phase::Owned(owned);
                self.push_change(Change::Refused(reason));
            }
            owned::Transition::Fenced(epoch) => {
                self.answer_all(owned.into_answers(&Reply::NotOwner));
                self.on_fenced(epoch);
            }
            owned::Transition::Unreadable(reason) => {
                self.answer_all(owned.into_answers(&Reply::Unavailable));
                self.on_unreadable(now, reason);
            }
        }
    }

    fn on_fenced(&mut self, epoch: Option<Epoch>) {
        self.highest_other_epoch = self.highest_other_epoch.max(epoch.unwrap_or_default());
        self.phase = Phase::Idle;
        self.push_change(Change::Fenced(epoch));
    }

    fn on_unreadable(&mut self, now: Timestamp, reason: String) {
        self.phase = Phase::Unreadable(now.mono);
        self.push_change(Change::Unreadable(reason));
    }

    /// Makes the next store call if one is due and none is open, and returns all pending effects.
    fn advance(&mut self, now: Timestamp) -> Vec<Effect> {
        if self.open_call.is_none() && now.mono >= self.next_call_at {
            let request = match &mut self.phase {
                Phase::Idle | Phase::Unreadable(_) => None,
                Phase::Takeover(takeover) => Some(takeover.request(&self.identity)),
                Phase::Owned(owned) => owned.request(now, &mut self.identity),
            };
            if let Some(request) = request {
                self.last_call += 1;
                self.open_call = Some((self.last_call, now.mono));
                let call = self.last_call;
                self.effects.push(Effect::Call { call, request });
            }
        }
        std::mem::take(&mut self.effects)
    }

    fn owned(&self) -> Option<&Owned> {
        match &self.phase {
            Phase::Owned(owned) => Some(owned),
            Phase::Idle | Phase::Takeover(_) | Phase::Unreadable(_) => None,
        }
    }

    fn push_change(&mut self, change: Change) {
        self.effects.push(Effect::Changed(change));
    }

    fn answer_all(&mut self, answers: Answers) {
        let effects = answers
            .into_iter()
            .map(|(ticket, reply)| Effect::Answer { ticket, reply });
        self.effects.extend(effects);
    }
}

/// Whether a request is so old that an earlier claim of it may be evicted from memory.
fn is_too_old(now: Timestamp, request: &RequestId) -> bool {
    claim_file::issue_time(request)
        .is_some_and(|issued| now.wall.0.saturating_sub(issued.0) >= CLAIM_AGE_MAX_MS)
}

fn answer(ticket: Ticket, reply: Reply) -> Vec<Effect> {
    vec![Effect::Answer { ticket, reply }]
}
