//! Open-loop load generator: each request is sent when it is due, regardless of how many are still
//! in flight.

pub mod drive;
pub mod plan;
pub mod plot;
pub mod report;
