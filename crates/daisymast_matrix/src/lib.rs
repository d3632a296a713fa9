//! Fault matrix: a driver on a virtual clock, fakes, checkers and golden sessions.

pub mod checkers;
pub mod trace;
