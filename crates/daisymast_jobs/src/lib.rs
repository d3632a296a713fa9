//! Jobs with their steps and tasks, and the journal records from which they are rebuilt.

pub mod batch_index;
pub mod job;
pub mod job_table;
pub mod queue;
pub mod record;
pub mod spec;
