//! The scheduler of one term, run by the leader, and the calls that it makes.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_election::{candidate, leader_lease, record};
use daisymast_jobs::spec;
use daisymast_scheduler::{action, config, constants as limits, lease, scheduler};
use daisymast_types::{collections, ids, time};
use futures_lite::future;
use smol::Timer;

use crate::clock;
use crate::commit_timeout;
use crate::constants;
use crate::context::{self, lock};
use crate::peers;

mod calls;
mod commit;
mod directory;
mod journal;
mod replay;

/// State of the leader during one term.
#[derive(Debug)]
pub struct Leadership {
    term: u64,
    scheduler: Mutex<scheduler::Scheduler>,
    authority: Arc<Mutex<leader_lease::LeaderLease>>,
    last_pings: Mutex<collections::FastMap<ids::InstanceId, (record::Member, time::Monotonic)>>,
    me: record::Member,
    waiting: Mutex<collections::FastMap<u64, async_channel::Sender<action::Answer>>>,
    last_token: AtomicU64,
    /// Wakes the task in [`drive`].
    wake: async_channel::Sender<()>,
    wake_receiver: async_channel::Receiver<()>,
    deposed: AtomicBool,
    /// Whether a commit is in flight.
    committing: AtomicBool,
    /// Whether commits have been refused or unanswered for [`constants::STORE_OUTAGE_THRESHOLD`].
    store_unavailable: AtomicBool,
    /// Whether the last attempt at a commit failed.
    commit_failing: AtomicBool,
    commit_timeout: Mutex<commit_timeout::CommitTimeout>,
}

impl Leadership {
    fn new(
        term: u64,
        scheduler: scheduler::Scheduler,
        authority: Arc<Mutex<leader_lease::LeaderLease>>,
        commit_timeout: commit_timeout::CommitTimeout,
        me: record::Member,
    ) -> Self {
        let (wake, wake_receiver) = async_channel::bounded(1);
        Self {
            term,
            scheduler: Mutex::new(scheduler),
            authority,
            last_pings: Mutex::default(),
            me,
            waiting: Mutex::default(),
            last_token: AtomicU64::new(0),
            wake,
            wake_receiver,
            deposed: AtomicBool::new(false),
            committing: AtomicBool::new(false),
            store_unavailable: AtomicBool::new(false),
            commit_failing: AtomicBool::new(false),
            commit_timeout: Mutex::new(commit_timeout),
        }
    }

    /// Returns the term: the revision of the leader key, which also serves as fencing token.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the time without a confirmed commit in milliseconds, or 0 while the commit in flight
    /// may merely be slow.
    pub fn stale_ms(&self, now: time::Monotonic) -> u64 {
        let age = lock(&self.authority).age(now);
        if age < constants::SLOW_COMMIT_TOLERANCE && !self.commit_failing.load(Ordering::Relaxed) {
            return 0;
        }
        lease::millis(age)
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
        lock(&self.scheduler).configure(config);
        self.wake_driver();
    }

    /// Accepts a job and waits until it is committed.
    pub async fn submit(
        &self,
        job: spec::JobId,
        queue: ids::QueueName,
        spec: spec::JobSpec,
    ) -> peers::Reply {
        if self.store_unavailable.load(Ordering::Relaxed) {
            return peers::Reply::Unavailable;
        }
        let now = clock::timestamp();
        self.answer(|scheduler, token| scheduler.submit(token, job, queue, spec, now))
            .await
    }

    /// Cancels a job and waits until the cancellation is committed.
    pub async fn cancel(&self, job: spec::JobId) -> peers::Reply {
        let now = clock::now();
        let reply = self
            .answer(|scheduler, token| scheduler.cancel(token, job, now))
            .await;
        if matches!(reply, peers::Reply::Served(peers::Served::NoSuchJob)) {
            return self
                .reply_when_confirmed(now, peers::Served::NoSuchJob)
                .await;
        }
        reply
    }

    /// Returns the state of a job.
    pub async fn state(&self, job: spec::JobId) -> peers::Reply {
        let state = lock(&self.scheduler).state(job);
        match state {
            // A final state never changes, whichever node leads.
            Some(state) if state.is_final() => peers::Reply::Served(state.into()),
            Some(state) => self.reply_when_fresh(state.into()).await,
            None => {
                self.reply_when_confirmed(clock::now(), peers::Served::NoSuchJob)
                    .await
            }
        }
    }

    /// Returns the number of jobs of a queue that have not started.
    pub async fn pending(&self, queue: &ids::QueueName) -> peers::Reply {
        let count = lock(&self.scheduler).pending(queue);
        self.reply_when_fresh(peers::Served::Pending(count)).await
    }

    /// Replies immediately if the term was confirmed recently, and otherwise once it is confirmed.
    /// A leader that was replaced without knowing it yet would report outdated states.
    async fn reply_when_fresh(&self, answer: peers::Served) -> peers::Reply {
        let now = clock::now();
        if lock(&self.authority).age(now) <= constants::FRESH_COMMIT_AGE {
            return peers::Reply::Served(answer);
        }
        self.reply_when_confirmed(now, answer).await
    }

    /// Replies once a commit sent after the request has confirmed that this node still leads.
    async fn reply_when_confirmed(
        &self,
        asked: time::Monotonic,
        answer: peers::Served,
    ) -> peers::Reply {
        let begun = clock::now();
        while !self.deposed.load(Ordering::Relaxed) {
            let now = clock::now();
            if lock(&self.authority).age(now) < now - asked {
                return peers::Reply::Served(answer);
            }
            if now - begun > constants::FORWARD_TIMEOUT {
                break;
            }
            Timer::after(constants::TICK_INTERVAL).await;
        }
        peers::Reply::Unknown
    }

    async fn answer(&self, ask: impl FnOnce(&mut scheduler::Scheduler, u64)) -> peers::Reply {
        let token = self.last_token.fetch_add(1, Ordering::Relaxed) + 1;
        let (send, receive) = async_channel::bounded(1);
        lock(&self.waiting).insert(token, send);
        ask(&mut lock(&self.scheduler), token);
        self.wake_driver();
        match receive.recv().await {
            Ok(action::Answer::Accepted) => peers::Reply::Served(peers::Served::Accepted),
            Ok(action::Answer::Cancelled) => peers::Reply::Served(peers::Served::Cancelled),
            Ok(action::Answer::Refused) => peers::Reply::Unavailable,
            Ok(action::Answer::NoSuchJob) => peers::Reply::Served(peers::Served::NoSuchJob),
            Err(_) => peers::Reply::Unknown,
        }
    }

    /// Wakes the driver after a change.
    fn wake_driver(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake.try_send(());
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
            && let Some(waiting) = lock(&self.waiting).remove(&token)
        {
            // The requester may have disconnected.
            let _ = waiting.try_send(answer);
        }
    }

    /// Stops waiting requests; their outcome is unknown.
    fn close(&self) {
        self.deposed.store(true, Ordering::Relaxed);
        lock(&self.waiting).clear();
    }
}

/// Runs the scheduler of a term until the term ends.
pub async fn run(
    context: &Arc<context::Context>,
    term: u64,
    sent: time::Monotonic,
    resigned: bool,
) {
    // Other nodes replace a leader whose journal does not advance, and replaying can take seconds,
    // so the term is renewed meanwhile. The write that won the election gives a first sample of the
    // store's response time.
    let mut commit_timeout = commit_timeout::CommitTimeout::default();
    commit_timeout.record_response_time(clock::now() - sent);
    let authority = leader_lease::LeaderLease::new(sent, limits::LEADER_LEASE);
    let authority = Arc::new(Mutex::new(authority));
    let renewal = journal::renew_term(Arc::clone(context), term, Arc::clone(&authority));
    let renewal = context.executor.spawn(renewal);
    let replayed = replay::replay(context, term).await;
    renewal.cancel().await;
    let Some(replay::ReplayedJournal { job_table, batches }) = replayed else {
        return;
    };
    let config = loop {
        if let Some(config) = context.config() {
            break config;
        }
        if context.is_draining() {
            return;
        }
        Timer::after(constants::TICK_INTERVAL).await;
    };
    let now = clock::timestamp();
    let former = if resigned {
        Duration::ZERO
    } else {
        limits::LEADER_LEASE
    };
    let lease = limits::WORKER_LEASE.mul_f64(limits::SLOW_CLOCK_PERMILLE as f64 / 1_000.0);
    let former_end = sent + former + lease + limits::WORKER_LEASE_MARGIN * 2;
    let scheduler = scheduler::Scheduler::resume(config, job_table, former_end, now);
    let leadership = Arc::new(Leadership::new(
        term,
        scheduler,
        authority,
        commit_timeout,
        context.member(),
    ));
    context.set_leadership(Some(Arc::clone(&leadership)));
    if let Some(config) = context.config() {
        leadership.configure(config);
    }
    let directory = context.executor.spawn(directory::sync(
        Arc::clone(context),
        Arc::clone(&leadership),
    ));
    let committer = context.executor.spawn(journal::run_writer(
        Arc::clone(context),
        Arc::clone(&leadership),
        batches,
    ));
    let yields = drive(context, &leadership).await;
    context.set_leadership(None);
    drop(directory);
    if (yields || context.is_draining()) && !leadership.deposed.load(Ordering::Relaxed) {
        context
            .candidate()
            .set_members(leadership.members(clock::now()));
        journal::wait_for_open_commit(&leadership).await;
        committer.cancel().await;
        journal::resign(context, term).await;
    } else {
        drop(committer);
    }
    leadership.close();
}

/// Executes the scheduler's actions until the term ends. Returns whether the leader steps down in
/// favour of a larger machine.
async fn drive(context: &Arc<context::Context>, leadership: &Arc<Leadership>) -> bool {
    let mut next_tick = time::Monotonic::ZERO;
    let begun = clock::now();
    loop {
        let now = clock::timestamp();
        let authorized = lock(&leadership.authority).is_valid(now.mono);
        if leadership.deposed.load(Ordering::Relaxed) || !authorized || context.is_draining() {
            log::info!(
                "stopping the scheduler of term {}: has authority {authorized}, draining {}",
                leadership.term,
                context.is_draining()
            );
            return false;
        }
        if now.mono - begun >= constants::YIELD_DELAY
            && now.mono >= next_tick
            && candidate::should_step_down(&leadership.me, &leadership.members(now.mono))
        {
            log::info!(
                "stepping down in term {} in favour of a larger machine",
                leadership.term
            );
            return true;
        }
        let (actions, due) = {
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
        let until = due.map_or(next_tick, |due| due.min(next_tick));
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
