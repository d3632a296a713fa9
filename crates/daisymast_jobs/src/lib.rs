//! Jobs, their steps and tasks, and the journal records from which they are rebuilt.

pub mod book;
pub mod job;
pub mod queue;
pub mod record;
pub mod segments;
pub mod spec;
