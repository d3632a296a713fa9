//! The scheduler of one term and the calls that it makes.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_election::{authority, candidate, record};
use daisymast_jobs::spec;
use daisymast_scheduler::{action, config, constants as limits, lease, scheduler};
use daisymast_types::{collections, ids, time};
use futures_lite::future;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::pace;
use crate::peers;

mod calls;
mod commit;
mod directory;
mod journal;
mod replay;

/// The scheduler of one term.
#[derive(Debug)]
pub struct Lead {
    term: u64,
    scheduler: Mutex<scheduler::Scheduler>,
    authority: Arc<Mutex<authority::Authority>>,
    alive: Mutex<collections::FastMap<ids::InstanceId, (record::Member, time::Monotonic)>>,
    me: record::Member,
    waiting: Mutex<collections::FastMap<u64, async_channel::Sender<action::Answer>>>,
    last_token: AtomicU64,
    /// Wakes the driver.
    wake: async_channel::Sender<()>,
    woken: async_channel::Receiver<()>,
    deposed: AtomicBool,
    /// Whether a commit is open.
    committing: AtomicBool,
    /// Whether the store has refused or left unanswered what was sent lately.
    storeless: AtomicBool,
    /// Whether the last call of a commit brought no success.
    failing: AtomicBool,
    pace: Mutex<pace::Pace>,
}

impl Lead {
    fn new(
        term: u64,
        scheduler: scheduler::Scheduler,
        authority: Arc<Mutex<authority::Authority>>,
        pace: pace::Pace,
        me: record::Member,
    ) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self {
            term,
            scheduler: Mutex::new(scheduler),
            authority,
            alive: Mutex::default(),
            me,
            waiting: Mutex::default(),
            last_token: AtomicU64::new(0),
            wake,
            woken,
            deposed: AtomicBool::new(false),
            committing: AtomicBool::new(false),
            storeless: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            pace: Mutex::new(pace),
        }
    }

    /// The term: revision of the leader key and fencing token.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Time for which the store seems to be lost, in milliseconds: that since the last confirmed commit,
    /// unless the open one is only slow.
    pub fn stale_ms(&self, now: time::Monotonic) -> u64 {
        let age = lock(&self.authority).age(now);
        if age < constants::SLOW_COMMIT && !self.failing.load(Ordering::Relaxed) {
            return 0;
        }
        lease::millis(age)
    }

    /// A commit took effect.
    fn stored(&self) {
        self.storeless.store(false, Ordering::Relaxed);
        self.failing.store(false, Ordering::Relaxed);
    }

    /// Nodes that have pinged lately, and this one.
    pub fn members(&self, now: time::Monotonic) -> Vec<record::Member> {
        let mut members = vec![self.me.clone()];
        for (member, at) in lock(&self.alive).values() {
            if now - *at < constants::ALIVE {
                members.push(member.clone());
            }
        }
        members
    }

    /// A node has pinged.
    pub fn on_ping(&self, from: record::Member, now: time::Monotonic) {
        if from.id != self.me.id {
            lock(&self.alive).insert(from.id.clone(), (from, now));
        }
    }

    /// Takes a configuration into force.
    pub fn configure(&self, config: Arc<config::Configuration>) {
        lock(&self.scheduler).configure(config);
        self.poke();
    }

    /// Accepts a job and waits until it is stored.
    pub async fn submit(
        &self,
        job: spec::JobId,
        queue: ids::QueueName,
        spec: spec::JobSpec,
    ) -> peers::Reply {
        if self.storeless.load(Ordering::Relaxed) {
            return peers::Reply::Unavailable;
        }
        let now = clock::timestamp();
        self.answer(|scheduler, token| scheduler.submit(token, job, queue, spec, now))
            .await
    }

    /// Cancels a job and waits until that is stored.
    pub async fn cancel(&self, job: spec::JobId) -> peers::Reply {
        let now = clock::now();
        let reply = self
            .answer(|scheduler, token| scheduler.cancel(token, job, now))
            .await;
        if matches!(reply, peers::Reply::Served(peers::Served::NoSuchJob)) {
            return self.confirmed(now, peers::Served::NoSuchJob).await;
        }
        reply
    }

    /// State of a job.
    pub async fn state(&self, job: spec::JobId) -> peers::Reply {
        let state = lock(&self.scheduler).state(job);
        match state {
            // A final state stays true whoever schedules.
            Some(state) if state.is_final() => peers::Reply::Served(state.into()),
            Some(state) => self.fresh(state.into()).await,
            None => self.confirmed(clock::now(), peers::Served::NoSuchJob).await,
        }
    }

    /// Number of jobs of a queue that have not started.
    pub async fn pending(&self, queue: &ids::QueueName) -> peers::Reply {
        let count = lock(&self.scheduler).pending(queue);
        self.fresh(peers::Served::Pending(count)).await
    }

    /// Gives an answer at once while the term was confirmed lately, and otherwise once it is: a
    /// scheduler that was replaced and does not know it yet would tell old states.
    async fn fresh(&self, answer: peers::Served) -> peers::Reply {
        let now = clock::now();
        if lock(&self.authority).age(now) <= constants::FRESH {
            return peers::Reply::Served(answer);
        }
        self.confirmed(now, answer).await
    }

    /// Gives an answer that only the present scheduler may give: once a commit that was sent after
    /// the question has confirmed the term.
    async fn confirmed(&self, asked: time::Monotonic, answer: peers::Served) -> peers::Reply {
        let begun = clock::now();
        while !self.deposed.load(Ordering::Relaxed) {
            let now = clock::now();
            if lock(&self.authority).age(now) < now - asked {
                return peers::Reply::Served(answer);
            }
            if now - begun > constants::FORWARD_TIMEOUT {
                break;
            }
            Timer::after(constants::TICK).await;
        }
        peers::Reply::Unknown
    }

    async fn answer(&self, ask: impl FnOnce(&mut scheduler::Scheduler, u64)) -> peers::Reply {
        let token = self.last_token.fetch_add(1, Ordering::Relaxed) + 1;
        let (send, receive) = async_channel::bounded(1);
        lock(&self.waiting).insert(token, send);
        ask(&mut lock(&self.scheduler), token);
        self.poke();
        match receive.recv().await {
            Ok(action::Answer::Accepted) => peers::Reply::Served(peers::Served::Accepted),
            Ok(action::Answer::Cancelled) => peers::Reply::Served(peers::Served::Cancelled),
            Ok(action::Answer::Refused) => peers::Reply::Unavailable,
            Ok(action::Answer::NoSuchJob) => peers::Reply::Served(peers::Served::NoSuchJob),
            Err(_) => peers::Reply::Unknown,
        }
    }

    /// Something changed: the driver has work.
    fn poke(&self) {
        // A full channel means that the driver is woken already.
        let _ = self.wake.try_send(());
    }

    fn depose(&self) {
        self.deposed.store(true, Ordering::Relaxed);
        self.poke();
    }

    /// Changes the scheduler and wakes the driver.
    fn update(&self, change: impl FnOnce(&mut scheduler::Scheduler)) {
        change(&mut lock(&self.scheduler));
        self.poke();
    }

    /// Hands an answer to the caller that waits for it.
    fn deliver(&self, action: action::Action) {
        if let action::Action::Answer { token, answer } = action
            && let Some(waiting) = lock(&self.waiting).remove(&token)
        {
            // The caller may have gone.
            let _ = waiting.try_send(answer);
        }
    }

    /// Ends the waits of callers: their outcome is not known.
    fn close(&self) {
        self.deposed.store(true, Ordering::Relaxed);
        lock(&self.waiting).clear();
    }
}

/// Schedules in a term until it ends.
pub async fn run(
    context: &Arc<context::Context>,
    term: u64,
    sent: time::Monotonic,
    resigned: bool,
) {
    // The others take a term for lost whose journal stands still, and reading it can take seconds.
    // The write that won the election tells how quick the store is.
    let mut pace = pace::Pace::default();
    pace.answered(clock::now() - sent);
    let authority = authority::Authority::new(sent, limits::AUTHORITY);
    let authority = Arc::new(Mutex::new(authority));
    let renewal = journal::renew(Arc::clone(context), term, Arc::clone(&authority));
    let renewal = context.executor.spawn(renewal);
    let replayed = replay::replay(context, term).await;
    renewal.cancel().await;
    let Some(replay::Replayed { book, batches }) = replayed else {
        return;
    };
    let config = loop {
        if let Some(config) = context.config() {
            break config;
        }
        if context.is_draining() {
            return;
        }
        Timer::after(constants::TICK).await;
    };
    let now = clock::timestamp();
    let former = if resigned {
        Duration::ZERO
    } else {
        limits::AUTHORITY
    };
    let lease = limits::LEASE.mul_f64(limits::SLOW_CLOCK_PERMILLE as f64 / 1_000.0);
    let former_end = sent + former + lease + limits::LEASE_MARGIN * 2;
    let scheduler = scheduler::Scheduler::resume(config, book, former_end, now);
    let lead = Arc::new(Lead::new(
        term,
        scheduler,
        authority,
        pace,
        context.member(),
    ));
    context.set_lead(Some(Arc::clone(&lead)));
    if let Some(config) = context.config() {
        lead.configure(config);
    }
    let directory = context
        .executor
        .spawn(directory::keep(Arc::clone(context), Arc::clone(&lead)));
    let committer = context.executor.spawn(journal::keep(
        Arc::clone(context),
        Arc::clone(&lead),
        batches,
    ));
    let yields = drive(context, &lead).await;
    context.set_lead(None);
    drop(directory);
    if (yields || context.is_draining()) && !lead.deposed.load(Ordering::Relaxed) {
        context.candidate().set_members(lead.members(clock::now()));
        journal::finish(&lead).await;
        committer.cancel().await;
        journal::resign(context, term).await;
    } else {
        drop(committer);
    }
    lead.close();
}

/// Carries actions out until the term ends. Returns whether a larger machine should go on.
async fn drive(context: &Arc<context::Context>, lead: &Arc<Lead>) -> bool {
    let mut next_tick = time::Monotonic::ZERO;
    let begun = clock::now();
    loop {
        let now = clock::timestamp();
        let authorized = lock(&lead.authority).holds(now.mono);
        if lead.deposed.load(Ordering::Relaxed) || !authorized || context.is_draining() {
            log::info!(
                "scheduling of term {} ends: authority {authorized}, draining {}",
                lead.term,
                context.is_draining()
            );
            return false;
        }
        if now.mono - begun >= constants::YIELD_AFTER
            && now.mono >= next_tick
            && candidate::should_yield(&lead.me, &lead.members(now.mono))
        {
            log::info!("term {} is given to a larger machine", lead.term);
            return true;
        }
        let (actions, due) = {
            let mut scheduler = lock(&lead.scheduler);
            if now.mono >= next_tick {
                next_tick = now.mono + constants::TICK;
                let alive: Vec<ids::InstanceId> = lead
                    .members(now.mono)
                    .into_iter()
                    .map(|member| member.id)
                    .collect();
                scheduler.set_advisors(&alive);
                scheduler.tick(now);
            } else {
                scheduler.flush(now.mono);
            }
            (scheduler.take_actions(), scheduler.due())
        };
        for action in actions {
            calls::carry_out(context, lead, action);
        }
        let until = due.map_or(next_tick, |due| due.min(next_tick));
        let pause = until - clock::now();
        future::or(
            async {
                let _ = lead.woken.recv().await;
            },
            async {
                Timer::after(pause).await;
            },
        )
        .await;
    }
}
