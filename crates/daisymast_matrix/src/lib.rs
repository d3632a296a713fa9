//! Fault matrix: a driver on a virtual clock, fakes, checkers and golden sessions.

pub mod checkers;
pub mod fault;
pub mod matrix;
pub mod meter;
pub mod network;
pub mod session;
pub mod trace;
pub mod world;
