//! Tests of the configuration component on a virtual clock, with a store of one key.

mod harness;
mod submissions;
mod sync;
