//! Requests of callers to the leader.

use std::sync::atomic::Ordering;

use daisymast_jobs::{queue, spec};
use daisymast_organisations::access;
use daisymast_scheduler::{action, explanation, scheduler};
use daisymast_types::{ids, time};
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::lock;
use crate::leadership::Leadership;
use crate::peers;

/// A request that waits for its answer. Dropped with the connection of a sender that has given up, so
/// that such requests do not count as waiting.
struct Waiting<'a> {
    leadership: &'a Leadership,
    token: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.leadership.pending_answers).remove(&self.token);
    }
}

impl Leadership {
    /// Adds a queue that another node has from a later configuration.
    pub fn add_queue(&self, terms: queue::Queue) {
        self.update(|scheduler| scheduler.add_queue(terms));
    }

    /// Accepts a job and waits until it is committed.
    pub async fn submit(&self, submission: scheduler::Submission) -> peers::Reply {
        let now = clock::timestamp();
        let job = submission.job;
        if let Some(reply) = self.judge_submission(&lock(&self.scheduler), job) {
            return reply;
        }
        self.await_answer(|scheduler, token| {
            // The commit in flight may have failed since, and unstored jobs been rejected.
            match self.judge_submission(scheduler, job) {
                Some(_) => scheduler.refuse(token),
                None => scheduler.submit(token, submission, now),
            }
        })
        .await
    }

    /// Returns the refusal of a submission that cannot be stored now. A job whose record is in a commit
    /// without an answer may be stored, so it is never refused.
    fn judge_submission(
        &self,
        scheduler: &scheduler::Scheduler,
        job: spec::JobId,
    ) -> Option<peers::Reply> {
        if scheduler.state(job).is_some() {
            return None;
        }
        if self.store_unavailable.load(Ordering::Relaxed) {
            return Some(peers::Reply::Unavailable);
        }
        let waiting = lock(&self.pending_answers).len();
        (waiting >= constants::MAX_WAITING_REQUESTS).then_some(peers::Reply::Overloaded)
    }

    /// Cancels a job and waits until the cancellation is committed. A job that the caller may not
    /// use does not exist for the caller.
    pub async fn cancel(&self, job: spec::JobId, caller: &access::Caller) -> peers::Reply {
        let now = clock::now();
        if !lock(&self.scheduler).may_use(job, caller) {
            return self
                .reply_when_confirmed(now, peers::Served::NoSuchJob)
                .await;
        }
        let reply = self
            .await_answer(|scheduler, token| scheduler.cancel(token, job, now))
            .await;
        if matches!(reply, peers::Reply::Served(peers::Served::NoSuchJob)) {
            return self
                .reply_when_confirmed(now, peers::Served::NoSuchJob)
                .await;
        }
        reply
    }

    /// Returns the state of a job. A job that the caller may not use does not exist for the caller.
    pub async fn state(&self, job: spec::JobId, caller: &access::Caller) -> peers::Reply {
        let state = {
            let scheduler = lock(&self.scheduler);
            scheduler
                .state(job)
                .filter(|_| scheduler.may_use(job, caller))
        };
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

    /// Returns where a request or a job would go now, and the term.
    pub fn explain(&self, subject: &explanation::Subject) -> (u64, explanation::Answer) {
        let answer = lock(&self.scheduler).explain(subject, clock::now());
        (self.term, answer)
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
        if lock(&self.leader_lease).age(now) <= constants::FRESH_COMMIT_AGE {
            return peers::Reply::Served(answer);
        }
        self.reply_when_confirmed(now, answer).await
    }

    /// Replies once a commit sent after the request has confirmed that this node still leads.
    async fn reply_when_confirmed(
        &self,
        requested_at: time::Monotonic,
        answer: peers::Served,
    ) -> peers::Reply {
        let started = clock::now();
        while !self.deposed.load(Ordering::Relaxed) {
            let now = clock::now();
            if lock(&self.leader_lease).age(now) < now - requested_at {
                return peers::Reply::Served(answer);
            }
            if now - started > constants::FORWARD_TIMEOUT {
                break;
            }
            Timer::after(constants::TICK_INTERVAL).await;
        }
        peers::Reply::Unknown
    }

    async fn await_answer(
        &self,
        request: impl FnOnce(&mut scheduler::Scheduler, u64),
    ) -> peers::Reply {
        let token = self.last_token.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = async_channel::bounded(1);
        lock(&self.pending_answers).insert(token, sender);
        let _waiting = Waiting {
            leadership: self,
            token,
        };
        request(&mut lock(&self.scheduler), token);
        self.wake_driver();
        match receiver.recv().await {
            Ok(action::Answer::Accepted) => peers::Reply::Served(peers::Served::Accepted),
            Ok(action::Answer::Cancelled) => peers::Reply::Served(peers::Served::Cancelled),
            Ok(action::Answer::Refused) => peers::Reply::Unavailable,
            Ok(action::Answer::IdTaken) => peers::Reply::Served(peers::Served::IdTaken),
            Ok(action::Answer::UnknownQueue) => peers::Reply::UnknownQueue,
            Ok(action::Answer::OverRate { retry_ms }) => peers::Reply::OverRate { retry_ms },
            Ok(action::Answer::OverCap(over_cap)) => peers::Reply::OverCap(over_cap),
            Ok(action::Answer::NoSuchJob) => peers::Reply::Served(peers::Served::NoSuchJob),
            Err(_) => peers::Reply::Unknown,
        }
    }
}
