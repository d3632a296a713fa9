//! Scheduling decisions: which task starts on which worker and when.
//!
//! The crate is a pure state machine: it does no I/O and reads no clock. The caller passes in
//! events with their times and carries out the returned [`action`]s.

pub mod action;
pub mod advice_nodes;
pub mod config;
pub mod constants;
pub mod decision;
pub mod explanation;
pub mod failing_jobs;
pub mod fencing;
pub mod fleet;
pub mod health;
pub mod journal;
pub mod lease;
pub mod locality;
pub mod progress;
pub mod report;
pub mod run;
pub mod scheduler;
pub mod steps;
pub mod worker;
