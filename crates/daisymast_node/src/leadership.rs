//! The scheduler of one term, run by the leader, and the calls that it makes.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_election::{candidate, former_leases, leader_lease, record};
use daisymast_relay::relays;
use daisymast_scheduler::{action, config, constants as limits, lease, locality, scheduler};
use daisymast_types::{collections, ids, time};
use futures_lite::future;
use smol::Timer;

use crate::clock;
use crate::commit_timeout;
use crate::constants;
use crate::context::{self, lock};

mod calls;
mod commit;
mod former;
mod journal;
mod registrations;
mod relaying;
mod replay;
mod requests;
mod startup;

/// State of the leader during one term.
#[derive(Debug)]
pub struct Leadership {
    term: u64,
    scheduler: Mutex<scheduler::Scheduler>,
    leader_lease: Arc<Mutex<leader_lease::LeaderLease>>,
    former_leases: Mutex<former_leases::FormerLeases>,
    last_pings: Mutex<collections::FastMap<ids::InstanceId, (record::Member, time::Monotonic)>>,
    me: record::Member,
    pending_answers: Mutex<collections::FastMap<u64, async_channel::Sender<action::Answer>>>,
    last_token: AtomicU64,
    /// Nodes that make calls to workers for this one.
    relays: Mutex<relays::Relays>,
    /// Wakes the tasks that serve the links to relays.
    link_wakers: Mutex<collections::FastMap<ids::InstanceId, async_channel::Sender<()>>>,
    /// Wakes the task in [`drive`].
    wake_sender: async_channel::Sender<()>,
    wake_receiver: async_channel::Receiver<()>,
    deposed: AtomicBool,
    /// Whether a commit is in flight.
    committing: AtomicBool,
    /// Whether commits have been refused or unanswered for [`constants::STORE_OUTAGE_THRESHOLD`].
    store_unavailable: AtomicBool,
    /// Whether the last attempt at a commit failed.
    commit_failing: AtomicBool,
    /// When the commit in flight was begun.
    commit_began: Mutex<Option<time::Monotonic>>,
    commit_timeout: Mutex<commit_timeout::CommitTimeout>,
}

impl Leadership {
    fn new(
        term: u64,
        scheduler: scheduler::Scheduler,
        leader_lease: Arc<Mutex<leader_lease::LeaderLease>>,
        former_leases: former_leases::FormerLeases,
        commit_timeout: commit_timeout::CommitTimeout,
        me: record::Member,
    ) -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        let relays = relays::Relays::new(me.id.clone(), term);
        Self {
            term,
            scheduler: Mutex::new(scheduler),
            leader_lease,
            former_leases: Mutex::new(former_leases),
            last_pings: Mutex::default(),
            me,
            pending_answers: Mutex::default(),
            last_token: AtomicU64::new(0),
            relays: Mutex::new(relays),
            link_wakers: Mutex::default(),
            wake_sender,
            wake_receiver,
            deposed: AtomicBool::new(false),
            committing: AtomicBool::new(false),
            store_unavailable: AtomicBool::new(false),
            commit_failing: AtomicBool::new(false),
            commit_began: Mutex::default(),
            commit_timeout: Mutex::new(commit_timeout),
        }
    }

    /// Returns the term: the revision of the leader key, the fencing token of the first calls.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the time without a confirmed commit in milliseconds, or 0 while the commit in flight
    /// may merely be slow.
    pub fn stale_ms(&self, now: time::Monotonic) -> u64 {
        let age = lock(&self.leader_lease).age(now);
        if age < constants::SLOW_COMMIT_TOLERANCE && !self.commit_failing.load(Ordering::Relaxed) {
            return 0;
        }
        lease::millis(age)
    }

    /// Whether the scheduler may still send orders: its term has not ended, and its leader lease is
    /// valid.
    fn may_act(&self, now: time::Monotonic) -> bool {
        !self.deposed.load(Ordering::Relaxed) && lock(&self.leader_lease).is_valid(now)
    }

    /// Returns the time from which on the scheduler may no longer send orders, `None` if its term has
    /// ended.
    fn lease_end(&self) -> Option<time::Monotonic> {
        if self.deposed.load(Ordering::Relaxed) {
            return None;
        }
        lock(&self.leader_lease).end()
    }

    /// Rejects what is not stored once a commit has failed for [`constants::STORE_OUTAGE_THRESHOLD`]. The
    /// attempt in flight may take much longer to fail.
    fn check_store(&self, now: time::Monotonic) {
        let began = *lock(&self.commit_began);
        if self.commit_failing.load(Ordering::Relaxed)
            && began.is_some_and(|began| now - began >= constants::STORE_OUTAGE_THRESHOLD)
        {
            // A refused commit may have set the flag, and jobs came in before that.
            self.store_unavailable.store(true, Ordering::Relaxed);
            self.update(|scheduler| scheduler.reject_unstored_jobs(false));
        }
    }

    /// Clears the failure flags after a commit took effect.
    fn on_commit_succeeded(&self) {
        self.store_unavailable.store(false, Ordering::Relaxed);
        self.commit_failing.store(false, Ordering::Relaxed);
    }

    /// Returns the nodes that have pinged recently, and this one.
    pub fn members(&self, now: time::Monotonic) -> Vec<record::Member> {
        let mut members = vec![self.me.clone()];
        for (member, at) in lock(&self.last_pings).values() {
            if now - *at < constants::ALIVE_PERIOD {
                members.push(member.clone());
            }
        }
        members
    }

    /// Records a ping of another node.
    pub fn on_ping(&self, from: record::Member, now: time::Monotonic) {
        if from.id != self.me.id {
            lock(&self.last_pings).insert(from.id.clone(), (from, now));
        }
    }

    /// Applies a new configuration.
    pub fn configure(&self, config: Arc<config::Configuration>) {
        lock(&self.scheduler).configure(config, clock::now());
        self.wake_driver();
    }

    /// Wakes the driver after a change.
    fn wake_driver(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake_sender.try_send(());
    }

    fn depose(&self) {
        self.deposed.store(true, Ordering::Relaxed);
        self.wake_driver();
    }

    /// Modifies the scheduler and wakes the driver.
    fn update(&self, change: impl FnOnce(&mut scheduler::Scheduler)) {
        change(&mut lock(&self.scheduler));
        self.wake_driver();
    }

    /// Passes an answer to the request that waits for it.
    fn deliver(&self, action: action::Action) {
        if let action::Action::Answer { token, answer } = action
            && let Some(sender) = lock(&self.pending_answers).remove(&token)
        {
            // The requester may have disconnected.
            let _ = sender.try_send(answer);
        }
    }

    /// Stops waiting requests; their outcome is unknown.
    fn close(&self) {
        self.deposed.store(true, Ordering::Relaxed);
        lock(&self.pending_answers).clear();
        lock(&self.link_wakers).clear();
    }
}

/// An election that this node won.
#[derive(Clone, Debug)]
pub struct WonElection {
    /// Term of this node.
    pub term: u64,
    /// When the winning write was sent; `None` if its answer was lost, and the node learned later
    /// that it had won.
    pub sent: Option<time::Monotonic>,
    /// When the winning write was answered, or the node learned that it had won.
    pub answered: time::Monotonic,
    /// The leader that was replaced.
    pub former: former_leases::Former,
}

/// Runs the scheduler of a term until the term ends.
pub async fn run(context: &Arc<context::Context>, won: WonElection) {
    let WonElection {
        term,
        sent,
        answered,
        former,
    } = won;
    // Other nodes replace a leader whose journal does not advance, and replaying can take seconds,
    // so the term is renewed meanwhile. The write that won the election gives a first sample of the
    // store's response time.
    let mut commit_timeout = commit_timeout::CommitTimeout::default();
    let leader_lease = match sent {
        Some(sent) => {
            commit_timeout.record_response_time(answered - sent);
            leader_lease::LeaderLease::new(sent, limits::LEADER_LEASE)
        }
        None => leader_lease::LeaderLease::unconfirmed(limits::LEADER_LEASE),
    };
    let leader_lease = Arc::new(Mutex::new(leader_lease));
    let renewal = journal::renew_term(Arc::clone(context), term, Arc::clone(&leader_lease));
    let renewal = context.executor.spawn(renewal);
    let former_leases = former_leases::FormerLeases::new(&former, answered, limits::LEADER_LEASE);
    let replayed = replay::replay(context, term).await;
    let has_lease = replayed.is_ok() && startup::wait_for_lease(context, term, &leader_lease).await;
    renewal.cancel().await;
    let replay::ReplayedJournal {
        job_table, batches, ..
    } = match replayed {
        Ok(replayed) if has_lease => replayed,
        Ok(_) | Err(replay::ReplayError::TermEnded) => return,
        Err(replay::ReplayError::Unreadable | replay::ReplayError::Stalled) => {
            context.candidate().on_journal_read(false);
            journal::resign(context, term, former_leases.remaining(clock::now())).await;
            return;
        }
    };
    context.candidate().on_journal_read(true);
    let Some(config) = startup::wait_for_config(context).await else {
        journal::resign(context, term, former_leases.remaining(clock::now())).await;
        return;
    };
    let now = clock::timestamp();
    let max_lease = Duration::from_millis(context.settings.max_lease_ms);
    let orders_end = former_leases.end();
    let scheduler_term = scheduler::Term {
        number: term,
        orders_end,
        max_lease,
    };
    let scheduler = scheduler::Scheduler::resume(config, job_table, scheduler_term, now)
        .with_locality(locality::Locality::new(context.settings.far_factor));
    let leadership = Arc::new(Leadership::new(
        term,
        scheduler,
        leader_lease,
        former_leases,
        commit_timeout,
        context.member(),
    ));
    context.set_leadership(Some(Arc::clone(&leadership)));
    if let Some(config) = context.config() {
        leadership.configure(config);
    }
    let registrations = context.executor.spawn(registrations::sync(
        Arc::clone(context),
        Arc::clone(&leadership),
    ));
    let step_down_delay = startup::step_down_delay(&former);
    let former_watch = match former {
        former_leases::Former::Known { elected, .. } if !elected.leader.resigned => {
            let watch =
                former::confirm_stopped(Arc::clone(context), Arc::clone(&leadership), elected);
            Some(context.executor.spawn(watch))
        }
        former_leases::Former::Known { .. }
        | former_leases::Former::None
        | former_leases::Former::Unknown => None,
    };
    let committer = context.executor.spawn(journal::run_writer(
        Arc::clone(context),
        Arc::clone(&leadership),
        batches,
    ));
    let steps_down = drive(context, &leadership, step_down_delay).await;
    context.set_leadership(None);
    drop((registrations, former_watch));
    if (steps_down || context.is_draining()) && !leadership.deposed.load(Ordering::Relaxed) {
        context
            .candidate()
            .set_members(leadership.members(clock::now()));
        journal::wait_for_open_commit(&leadership).await;
        committer.cancel().await;
        let former_lease = lock(&leadership.former_leases).remaining(clock::now());
        journal::resign(context, term, former_lease).await;
    } else {
        drop(committer);
    }
    leadership.close();
}

/// Executes the scheduler's actions until the term ends. Returns whether the leader steps down in
/// favour of a larger machine.
async fn drive(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    step_down_delay: Duration,
) -> bool {
    let mut next_tick = time::Monotonic::ZERO;
    let started = clock::now();
    loop {
        let now = clock::timestamp();
        let lease_valid = lock(&leadership.leader_lease).is_valid(now.mono);
        if leadership.deposed.load(Ordering::Relaxed) || !lease_valid || context.is_draining() {
            log::info!(
                "stopping the scheduler of term {}: leader lease valid {lease_valid}, draining {}",
                leadership.term,
                context.is_draining()
            );
            return false;
        }
        if now.mono - started >= step_down_delay
            && now.mono >= next_tick
            && candidate::should_step_down(&leadership.me, &leadership.members(now.mono))
        {
            log::info!(
                "stepping down in term {} in favour of a larger machine",
                leadership.term
            );
            return true;
        }
        if now.mono >= next_tick {
            leadership.check_store(now.mono);
            relaying::update(context, leadership, now.mono);
        }
        let (actions, next_pass_at) = {
            let mut scheduler = lock(&leadership.scheduler);
            if now.mono >= next_tick {
                next_tick = now.mono + constants::TICK_INTERVAL;
                let alive: Vec<ids::InstanceId> = leadership
                    .members(now.mono)
                    .into_iter()
                    .map(|member| member.id)
                    .collect();
                scheduler.set_advice_nodes(&alive);
                scheduler.tick(now);
            } else {
                scheduler.run_pass(now.mono);
            }
            (scheduler.take_actions(), scheduler.next_pass_at())
        };
        for action in actions {
            calls::execute(context, leadership, action);
        }
        let until = next_pass_at.map_or(next_tick, |at| at.min(next_tick));
        let pause = until - clock::now();
        future::or(
            async {
                let _ = leadership.wake_receiver.recv().await;
            },
            async {
                Timer::after(pause).await;
            },
        )
        .await;
    }
}
