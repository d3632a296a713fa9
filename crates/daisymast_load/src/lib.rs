//! Open-loop load tool with per-kind waiting times, and the slopes behind docs/CAPACITY.md.

pub mod load;
pub mod slopes;
