//! Fault matrix: deterministic simulation of the system on a virtual clock, with fault injection at
//! every message of a set of sessions, and checkers for the resulting traces.

pub mod checkers;
pub mod fault;
pub mod matrix;
pub mod meter;
pub mod network;
pub mod session;
pub mod trace;
pub mod world;
