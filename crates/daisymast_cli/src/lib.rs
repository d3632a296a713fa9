//! Operator command: validate, submit, diff, status, retire, timeline and request.

pub mod command;
pub mod retire;
pub mod run;
pub mod timeline;

mod client;
mod output;
