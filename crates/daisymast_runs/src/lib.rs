//! Runs of recurring batches and all-at-once jobs: due times, attempts and restarts.

pub mod due;
pub mod job;
pub mod lease;
pub mod run;
pub mod task;
