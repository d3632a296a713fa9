//! The configuration of an instance on a virtual clock, against a small store.

mod learning;
mod rig;
mod submissions;
