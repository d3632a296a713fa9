//! Tests of the request path on a virtual clock, with scripted replies from other instances.

mod harness;

mod admission;
mod claims;
mod deadlines;
mod endpoints;
mod fault_injection;
mod forwards;
mod local;
mod worker_outcomes;
