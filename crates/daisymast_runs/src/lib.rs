//! Runs of recurring batches and all-at-once jobs: due times, attempts and restarts.
