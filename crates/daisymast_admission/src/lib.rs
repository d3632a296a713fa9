//! Admission control: bounded fair queues, quotas, concurrency limits and retry budgets.

pub mod fair_queue;
pub mod limiter;
pub mod quota;
pub mod retry;
pub mod smoothing;
