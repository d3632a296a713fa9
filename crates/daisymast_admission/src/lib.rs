//! Admission control: bounded queues, quotas, shares, endpoint limits and retry budgets.

pub mod limiter;
pub mod quota;
pub mod retry;
pub mod shares;
pub mod smoothing;
