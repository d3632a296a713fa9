//! Runs of recurring batches and gang jobs: due times, attempts and retries.

pub mod due;
pub mod job;
pub mod lease;
pub mod run;
pub mod task;
