//! Tests of the request path on a virtual clock, with the other instances played by the tests.

mod rig;

mod admission;
mod chaos;
mod claims;
mod deadlines;
mod endings;
mod endpoints;
mod forwards;
mod local;
