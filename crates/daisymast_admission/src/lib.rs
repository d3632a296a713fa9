//! Admission control: bounded queues, quotas, shares, endpoint limits and retry budgets.
