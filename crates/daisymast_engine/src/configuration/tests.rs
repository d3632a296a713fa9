//! The configuration of an instance on a virtual clock, against a small store.

mod harness;
mod submissions;
mod sync;
