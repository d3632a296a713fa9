//! Owns ledger partitions: takes them over, commits claims and run entries in batches, and answers
//! claim, settlement and status requests.

mod answers;
mod ownership;
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

use crate::config::InstanceConfig;
use crate::outbox;
use crate::partitions::answers::RecentAnswers;
use crate::partitions::ownership::PartitionOwnership;
use crate::shared::Context;

/// Timeout of one store call. Two calls fit into the second after which a claim is refused.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which the desired owner of each partition is recomputed. This hashes every partition
/// with every live instance, which is too expensive for every tick.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);

/// Identifies the partition and the store call that a reply belongs to.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    partition: Partition,
    call: u64,
}

/// Recipient of the reply to a ticket.
#[derive(Clone, Debug)]
enum Requester {
    Claim(Token, RequestId),
    Settle(Token, RequestId),
    Status(Token, RequestId),
    /// The runs component, which collects the reply with [`LedgerPartitions::take_results`].
    Runs,
}

/// All ledger partitions with their ownership state on this instance.
#[derive(Clone, Debug)]
pub(crate) struct LedgerPartitions {
    partitions: Vec<PartitionOwnership>,
    last_ticket: u64,
    requesters: FastMap<Ticket, Requester>,
    answers: RecentAnswers,
    results: Vec<(Ticket, Reply)>,
    reconciled_at: Option<Monotonic>,
}

impl LedgerPartitions {
    pub(crate) fn new(config: &InstanceConfig) -> Self {
        Self {
            partitions: keys::partitions()
                .map(|id| PartitionOwnership::new(id, config))
                .collect(),
            last_ticket: 0,
            requesters: FastMap::default(),
            answers: RecentAnswers::default(),
            results: Vec::new(),
            reconciled_at: None,
        }
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        if cx.shared.draining {
            for index in 0..self.partitions.len() {
                let effects = self.partitions[index].partition.release(cx.now);
                self.apply_effects(cx, index, effects);
            }
            return;
        }
        let due = self
            .reconciled_at
            .is_none_or(|last| cx.now.mono - last >= RECONCILE_INTERVAL);
        if due {
            self.reconciled_at = Some(cx.now.mono);
            self.reconcile(cx);
        }
        for index in 0..self.partitions.len() {
            let effects = self.partitions[index].partition.on_tick(cx.now);
            self.apply_effects(cx, index, effects);
        }
    }

    /// Handles `Claim`, `Settle` and `ClaimStatus`.
    pub(crate) fn on_peer(&mut self, cx: &mut Context<'_>, token: Token, request: PeerRequest) {
        match request {
            PeerRequest::Claim { id, digest, by } => {
                let index = index_of(keys::partition_of_request(&id));
                let ticket = self.issue_ticket(Requester::Claim(token, id.clone()));
                let partition = &mut self.partitions[index].partition;
                let effects = partition.claim(cx.now, ticket, id, digest, by);
                self.apply_effects(cx, index, effects);
            }
            PeerRequest::Settle { id, result } => self.settle(cx, token, id, result),
            PeerRequest::ClaimStatus { id } => {
                let index = index_of(keys::partition_of_request(&id));
                let ticket = self.issue_ticket(Requester::Status(token, id.clone()));
                let effects = self.partitions[index].partition.status(cx.now, ticket, id);
                self.apply_effects(cx, index, effects);
            }
            _ => {}
        }
    }

    pub(crate) fn on_store(
        &mut self,
        cx: &mut Context<'_>,
        pending_call: PendingCall,
        outcome: Outcome<StoreReply>,
    ) {
        let index = index_of(pending_call.partition);
        let partition = &mut self.partitions[index].partition;
        let effects = partition.on_store(cx.now, pending_call.call, outcome);
        self.apply_effects(cx, index, effects);
    }

    /// Does nothing, because this component sends no requests to peers.
    pub(crate) fn on_peer_reply(
        &mut self,
        _cx: &mut Context<'_>,
        _step: PendingCall,
        _outcome: Outcome<PeerReply>,
    ) {
    }

    /// Partitions that this instance owns to its knowledge, announced in its heartbeat.
    pub(crate) fn owned(&self) -> Vec<(Partition, Epoch)> {
        keys::partitions()
            .zip(&self.partitions)
            .filter_map(|(id, ownership)| ownership.partition.epoch().map(|epoch| (id, epoch)))
            .collect()
    }

    /// Whether no partition is owned or being taken over, and no reply is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.requesters.is_empty()
            && self
                .partitions
                .iter()
                .all(|ownership| ownership.partition.is_idle())
    }

    /// Runs recorded in a partition, `None` if it is not owned.
    pub(crate) fn runs(&self, partition: Partition) -> Option<&BTreeMap<RunKey, RunRecord>> {
        self.partitions[index_of(partition)].partition.runs()
    }

    /// Send time of the last store call that confirmed ownership of a partition, `None` if it is
    /// not owned.
    pub(crate) fn ownership_confirmed_at(&self, partition: Partition) -> Option<Monotonic> {
        self.partitions[index_of(partition)]
            .partition
            .ownership_confirmed_at()
    }

    /// Verifies the ownership of a partition against the store after a holder reported a higher
    /// epoch.
    pub(crate) fn verify_ownership(&mut self, cx: &mut Context<'_>, partition: Partition) {
        let index = index_of(partition);
        let effects = self.partitions[index].partition.verify_ownership(cx.now);
        self.apply_effects(cx, index, effects);
    }

    /// Drops the record of a closed run that cannot become due again.
    pub(crate) fn delete_run(&mut self, run: RunKey) {
        self.partitions[index_of(keys::partition_of_run(run))]
            .partition
            .delete_run(run);
    }

    /// Records entries of a run in one commit. The reply is returned by a later
    /// [`LedgerPartitions::take_results`].
    pub(crate) fn record(
        &mut self,
        cx: &mut Context<'_>,
        run: RunKey,
        entries: Vec<Entry>,
    ) -> Ticket {
        let index = index_of(keys::partition_of_run(run));
        let ticket = self.issue_ticket(Requester::Runs);
        let partition = &mut self.partitions[index].partition;
        let effects = partition.record(cx.now, ticket, entries);
        self.apply_effects(cx, index, effects);
        ticket
    }

    /// Returns the replies to [`LedgerPartitions::record`] that arrived since the last call.
    pub(crate) fn take_results(&mut self) -> Vec<(Ticket, Reply)> {
        std::mem::take(&mut self.results)
    }

    /// Takes over the partitions that this instance should own, and verifies those that another
    /// instance also claims to own.
    fn reconcile(&mut self, cx: &mut Context<'_>) {
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
            let other_owner = cx
                .shared
                .view
                .partition_owner(cx.now.mono, id)
                .filter(|(instance, _)| *instance != cx.config.instance);
            let effects =
                self.partitions[index].reconcile(cx.now, preferred, (other_owner, &draining));
            self.apply_effects(cx, index, effects);
        }
    }

    fn settle(&mut self, cx: &mut Context<'_>, token: Token, id: RequestId, result: Settlement) {
        let index = index_of(keys::partition_of_request(&id));
        let settled = match &result {
            Settlement::Answered(_) => Settled::Answered,
            Settlement::NotRun(reason) => Settled::NotRun(*reason),
        };
        let state = self.partitions[index].partition.claim_state(&id);
        if let (Settlement::Answered(answer), Some(ClaimState::Claimed { .. })) = (result, state) {
            self.answers.insert(answer);
        }
        let ticket = self.issue_ticket(Requester::Settle(token, id.clone()));
        let partition = &mut self.partitions[index].partition;
        let effects = partition.settle(cx.now, ticket, id, settled);
        self.apply_effects(cx, index, effects);
    }

    fn apply_effects(&mut self, cx: &mut Context<'_>, index: usize, effects: Vec<Effect>) {
        let partition = self.partitions[index].id;
        for effect in effects {
            match effect {
                Effect::Call { call, request } => {
                    let pending_call =
                        outbox::PendingCall::Partitions(PendingCall { partition, call });
                    cx.outbox.call_store(pending_call, request, STORE_TIMEOUT);
                }
                Effect::Answer { ticket, reply } => self.answer(cx, partition, ticket, reply),
                Effect::Changed(change) => self.partitions[index].on_change(cx, change),
            }
        }
    }

    fn answer(&mut self, cx: &mut Context<'_>, partition: Partition, ticket: Ticket, reply: Reply) {
        let (token, id, success) = match self.requesters.remove(&ticket) {
            Some(Requester::Claim(token, id)) => (token, id, PeerReply::Claimed),
            Some(Requester::Settle(token, id) | Requester::Status(token, id)) => {
                (token, id, PeerReply::Ok)
            }
            Some(Requester::Runs) => {
                self.results.push((ticket, reply));
                return;
            }
            None => return,
        };
        let reply = match reply {
            Reply::Committed => success,
            Reply::ClaimState(state) => PeerReply::ClaimState(self.with_answer(&id, state)),
            Reply::NotOwner => not_owner(cx, partition),
            Reply::Unavailable => PeerReply::LedgerUnavailable,
            Reply::Unknown => PeerReply::Uncertain,
        };
        cx.outbox.answer_peer(token, reply);
    }

    /// Adds the answer to an `Answered` state if it is still cached.
    fn with_answer(&self, id: &RequestId, state: ClaimState) -> ClaimState {
        match state {
            ClaimState::Answered { digest, .. } => ClaimState::Answered {
                digest,
                answer: self.answers.get(id).cloned(),
            },
            other => other,
        }
    }

    fn issue_ticket(&mut self, requester: Requester) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.requesters.insert(ticket, requester);
        ticket
    }
}

/// Rendezvous hash key that determines the preferred owner of a partition.
pub(crate) fn rendezvous_item(partition: Partition) -> String {
    format!("partition/{partition}")
}

/// Builds a `NotOwner` reply with the owner from the view, or else the preferred owner.
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
