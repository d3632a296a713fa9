//! Open-loop load generator that reports latency for each kind of request, and the measurement of
//! resource usage by system size on which docs/CAPACITY.md is based.

pub mod load;
pub mod slopes;
