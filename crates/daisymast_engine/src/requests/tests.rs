//! Tests of the request path on a virtual clock, with the other instances played by the tests.

mod harness;

mod admission;
mod claims;
mod deadlines;
mod endpoints;
mod fault_injection;
mod forwards;
mod local;
mod worker_outcomes;
