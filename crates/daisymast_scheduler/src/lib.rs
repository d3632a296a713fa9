//! Which task starts where and when, as a state machine without sockets or clocks.

pub mod action;
pub mod advice_nodes;
pub mod config;
pub mod constants;
pub mod decision;
pub mod fleet;
pub mod journal;
pub mod lease;
pub mod report;
pub mod scheduler;
pub mod steps;
pub mod worker;
