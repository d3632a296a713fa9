//! Open-loop load: requests are sent when they are due, however many are still open.

pub mod drive;
pub mod plan;
pub mod plot;
pub mod report;
