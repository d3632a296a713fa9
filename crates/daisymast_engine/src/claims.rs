//! Owns ledger partitions: takes them over, commits claims in groups and answers who owns what.

mod answers;
mod slot;
#[cfg(test)]
pub(crate) mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_ledger::effect::{Effect, Reply, Ticket};
use daisymast_ledger::entry::{Entry, Settled};
use daisymast_ledger::keys;
use daisymast_ledger::record::RunRecord;
use daisymast_membership::rendezvous;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{ClaimState, PeerReply, PeerRequest, Settlement};
use daisymast_protocol::store::StoreReply;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Epoch, InstanceId, Partition, RequestId, RunKey, Token};
use daisymast_types::time::Monotonic;

use crate::claims::answers::RecentAnswers;
use crate::claims::slot::Slot;
use crate::config::InstanceConfig;
use crate::outbox;
use crate::shared::Context;

/// Time for one store call. Two calls fit in the second after which a claim is refused.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two looks at who should own which partition. A look hashes each partition with
/// each live instance, which is too much for every tick.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// What to do with a reply.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    partition: Partition,
    call: u64,
}

/// Who waits for the answer to a ticket.
#[derive(Clone, Debug)]
enum Asker {
    Claim(Token, RequestId),
    Settle(Token, RequestId),
    Status(Token, RequestId),
    /// The runs component collects the reply by [`Claims::take_results`].
    Runs,
}

/// The partitions of the ledger as this instance sees them.
#[derive(Clone, Debug)]
pub(crate) struct Claims {
    slots: Vec<Slot>,
    tickets: u64,
    askers: FastMap<Ticket, Asker>,
    answers: RecentAnswers,
    results: Vec<(Ticket, Reply)>,
    reviewed: Option<Monotonic>,
}

impl Claims {
    pub(crate) fn new(config: &InstanceConfig) -> Self {
        Self {
            slots: keys::partitions().map(|id| Slot::new(id, config)).collect(),
            tickets: 0,
            askers: FastMap::default(),
            answers: RecentAnswers::default(),
            results: Vec::new(),
            reviewed: None,
        }
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        if cx.shared.draining {
            for index in 0..self.slots.len() {
                let effects = self.slots[index].partition.release(cx.now);
                self.perform(cx, index, effects);
            }
            return;
        }
        let due = self
            .reviewed
            .is_none_or(|last| cx.now.mono - last >= REVIEW_INTERVAL);
        if due {
            self.reviewed = Some(cx.now.mono);
            self.review(cx);
        }
        for index in 0..self.slots.len() {
            let effects = self.slots[index].partition.on_tick(cx.now);
            self.perform(cx, index, effects);
        }
    }

    /// Answers `Claim`, `Settle` and `ClaimStatus`.
    pub(crate) fn on_peer(&mut self, cx: &mut Context<'_>, token: Token, request: PeerRequest) {
        match request {
            PeerRequest::Claim { id, digest, by } => {
                let index = index_of(keys::of_request(&id));
                let ticket = self.ticket(Asker::Claim(token, id.clone()));
                let partition = &mut self.slots[index].partition;
                let effects = partition.claim(cx.now, ticket, id, digest, by);
                self.perform(cx, index, effects);
            }
            PeerRequest::Settle { id, result } => self.settle(cx, token, id, result),
            PeerRequest::ClaimStatus { id } => {
                let index = index_of(keys::of_request(&id));
                let ticket = self.ticket(Asker::Status(token, id.clone()));
                let effects = self.slots[index].partition.status(cx.now, ticket, id);
                self.perform(cx, index, effects);
            }
            _ => {}
        }
    }

    pub(crate) fn on_store(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        outcome: Outcome<StoreReply>,
    ) {
        let index = index_of(step.partition);
        let partition = &mut self.slots[index].partition;
        let effects = partition.on_store(cx.now, step.call, outcome);
        self.perform(cx, index, effects);
    }

    /// The component calls no peer.
    pub(crate) fn on_peer_reply(
        &mut self,
        _cx: &mut Context<'_>,
        _step: PendingCall,
        _outcome: Outcome<PeerReply>,
    ) {
    }

    /// Partitions that this instance owns as far as it knows, for its heartbeat.
    pub(crate) fn owned(&self) -> Vec<(Partition, Epoch)> {
        keys::partitions()
            .zip(&self.slots)
            .filter_map(|(id, slot)| slot.partition.epoch().map(|epoch| (id, epoch)))
            .collect()
    }

    /// Whether no partition is owned or being taken over, nor anybody waits for an answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.askers.is_empty() && self.slots.iter().all(|slot| slot.partition.is_idle())
    }

    /// Runs of an owned partition.
    pub(crate) fn runs(&self, partition: Partition) -> Option<&BTreeMap<RunKey, RunRecord>> {
        self.slots[index_of(partition)].partition.runs()
    }

    /// Time of sending of the last call that showed the ownership of a partition.
    pub(crate) fn confirmed(&self, partition: Partition) -> Option<Monotonic> {
        self.slots[index_of(partition)].partition.confirmed()
    }

    /// Checks the ownership of a partition, because a holder has seen a higher epoch.
    pub(crate) fn check(&mut self, cx: &mut Context<'_>, partition: Partition) {
        let index = index_of(partition);
        let effects = self.slots[index].partition.check(cx.now);
        self.perform(cx, index, effects);
    }

    /// Drops the record of a closed run that cannot become due again.
    pub(crate) fn forget_run(&mut self, run: RunKey) {
        self.slots[index_of(keys::of_run(run))]
            .partition
            .forget_run(run);
    }

    /// Records entries of a run together. The reply is among the results later.
    pub(crate) fn record(
        &mut self,
        cx: &mut Context<'_>,
        run: RunKey,
        entries: Vec<Entry>,
    ) -> Ticket {
        let index = index_of(keys::of_run(run));
        let ticket = self.ticket(Asker::Runs);
        let partition = &mut self.slots[index].partition;
        let effects = partition.record(cx.now, ticket, entries);
        self.perform(cx, index, effects);
        ticket
    }

    /// Replies to [`Claims::record`] that came since the last time.
    pub(crate) fn take_results(&mut self) -> Vec<(Ticket, Reply)> {
        std::mem::take(&mut self.results)
    }

    /// Takes over the partitions that this instance should own, and checks those that another
    /// instance says it owns.
    fn review(&mut self, cx: &mut Context<'_>) {
        let candidates = cx.shared.view.candidates(cx.now.mono, None);
        let draining: Vec<InstanceId> = cx
            .shared
            .view
            .peers(cx.now.mono)
            .filter(|peer| peer.draining)
            .map(|peer| peer.instance.clone())
            .collect();
        for (index, id) in keys::partitions().enumerate() {
            let best = rendezvous::owner(&rendezvous_item(id), &candidates);
            let preferred = best.as_ref() == Some(&cx.config.instance);
            let rival = cx
                .shared
                .view
                .partition_owner(cx.now.mono, id)
                .filter(|(instance, _)| *instance != cx.config.instance);
            let effects = self.slots[index].review(cx.now, preferred, (rival, &draining));
            self.perform(cx, index, effects);
        }
    }

    fn settle(&mut self, cx: &mut Context<'_>, token: Token, id: RequestId, result: Settlement) {
        let index = index_of(keys::of_request(&id));
        let settled = match &result {
            Settlement::Answered(_) => Settled::Answered,
            Settlement::NotRun(reason) => Settled::NotRun(*reason),
        };
        let state = self.slots[index].partition.claim_state(&id);
        if let (Settlement::Answered(answer), Some(ClaimState::Claimed { .. })) = (result, state) {
            self.answers.insert(answer);
        }
        let ticket = self.ticket(Asker::Settle(token, id.clone()));
        let partition = &mut self.slots[index].partition;
        let effects = partition.settle(cx.now, ticket, id, settled);
        self.perform(cx, index, effects);
    }

    fn perform(&mut self, cx: &mut Context<'_>, index: usize, effects: Vec<Effect>) {
        let partition = self.slots[index].id;
        for effect in effects {
            match effect {
                Effect::Call { call, request } => {
                    let step = outbox::PendingCall::Claims(PendingCall { partition, call });
                    cx.outbox.call_store(step, request, STORE_TIMEOUT);
                }
                Effect::Answer { ticket, reply } => self.answer(cx, partition, ticket, reply),
                Effect::Changed(change) => self.slots[index].changed(cx, change),
            }
        }
    }

    fn answer(&mut self, cx: &mut Context<'_>, partition: Partition, ticket: Ticket, reply: Reply) {
        let (token, id, success) = match self.askers.remove(&ticket) {
            Some(Asker::Claim(token, id)) => (token, id, PeerReply::Claimed),
            Some(Asker::Settle(token, id) | Asker::Status(token, id)) => (token, id, PeerReply::Ok),
            Some(Asker::Runs) => {
                self.results.push((ticket, reply));
                return;
            }
            None => return,
        };
        let reply = match reply {
            Reply::Committed => success,
            Reply::Known(state) => PeerReply::ClaimState(self.with_answer(&id, state)),
            Reply::NotOwner => not_owner(cx, partition),
            Reply::Unavailable => PeerReply::LedgerUnavailable,
            Reply::Unknown => PeerReply::Uncertain,
        };
        cx.outbox.answer_peer(token, reply);
    }

    /// Adds the body of the answer if it is still in memory.
    fn with_answer(&self, id: &RequestId, state: ClaimState) -> ClaimState {
        match state {
            ClaimState::Answered { digest, .. } => ClaimState::Answered {
                digest,
                answer: self.answers.get(id).cloned(),
            },
            other => other,
        }
    }

    fn ticket(&mut self, asker: Asker) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.askers.insert(ticket, asker);
        ticket
    }
}

/// Item of the rendezvous hash that decides who should own a partition.
pub(crate) fn rendezvous_item(partition: Partition) -> String {
    format!("partition/{partition}")
}

/// Names the owner that the view shows, or else the instance that should take the partition over.
fn not_owner(cx: &Context<'_>, partition: Partition) -> PeerReply {
    let own = &cx.config.instance;
    let other = |instance: &InstanceId| instance != own;
    let view = &cx.shared.view;
    let owner = view
        .partition_owner(cx.now.mono, partition)
        .map(|(instance, _)| instance)
        .filter(other)
        .or_else(|| {
            let candidates = view.candidates(cx.now.mono, None);
            rendezvous::owner(&rendezvous_item(partition), &candidates).filter(other)
        });
    PeerReply::NotOwner { owner }
}

fn index_of(partition: Partition) -> usize {
    usize::from(partition.0)
}
