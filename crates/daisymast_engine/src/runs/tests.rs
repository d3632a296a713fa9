//! Tests of the runs component with an in-memory store, a fake holder of workers and a virtual
//! clock.

mod faults;
mod gangs;
mod harness;
mod holder;
mod interleavings;
mod ordinary;
mod quotas;
mod reclaims;
