//! Formats replies as human-readable text.

use std::fmt::Write;

use daisymast_protocol::caller::CallerReply;
use daisymast_protocol::operator::{OperatorReply, Status};
use daisymast_types::ids::InstanceId;

/// Formats an operator reply. Manifests and timelines are only summarised here; their commands
/// print them in full.
pub(crate) fn operator(reply: &OperatorReply) -> String {
    match reply {
        OperatorReply::Accepted { generation } => format!("accepted as generation {generation}\n"),
        OperatorReply::Conflict {
            expected,
            actual,
            release,
        } => {
            let release = release.as_ref().map_or("none", |release| release.as_str());
            format!(
                "conflict: expected generation {expected}, in force is generation {actual} \
                 (release {release}); nothing was changed\n"
            )
        }
        OperatorReply::Invalid { faults } => {
            let mut text = format!("{} faults; nothing was changed\n", faults.len());
            for fault in faults {
                let _ = writeln!(text, "  {fault}");
            }
            text
        }
        OperatorReply::Unknown { reason } => format!("unknown: {reason}\n"),
        OperatorReply::Unavailable { reason } => {
            format!("unavailable: {reason}; nothing was changed\n")
        }
        OperatorReply::Manifest { generation, .. } => format!("generation {generation}\n"),
        OperatorReply::Status(reply) => status(reply),
        OperatorReply::Timeline { events } => format!("{} events\n", events.len()),
    }
}

/// Formats the status of one instance.
fn status(status: &Status) -> String {
    let name = status.instance.as_ref().map_or("?", InstanceId::as_str);
    let zone = status.zone.as_ref().map_or("?", |zone| zone.as_str());
    let state = if status.draining {
        "draining"
    } else {
        "running"
    };
    let mut text = format!(
        "{name} in {zone}: {state}, generation {}\n",
        status.generation
    );
    let peers = join(status.peers.iter().map(ToString::to_string));
    let workers = join(status.workers.iter().map(ToString::to_string));
    let partitions = join(status.partitions.iter().map(ToString::to_string));
    let _ = writeln!(text, "  peers: {peers}");
    let _ = writeln!(text, "  holds workers: {workers}");
    let _ = writeln!(text, "  owns partitions: {partitions}");
    for (job, tasks) in &status.running {
        let _ = writeln!(text, "  running: {job} {tasks}");
    }
    for run in &status.runs {
        let (job, done, tasks, parked) = (&run.job, run.done, run.tasks, run.parked);
        let id = &run.run;
        let _ = writeln!(
            text,
            "  run {id} of {job}: {done} of {tasks} done, {parked} parked"
        );
    }
    text
}

/// Formats the reply to a caller request.
pub(crate) fn caller(reply: &CallerReply) -> String {
    match reply {
        CallerReply::Done { id, body } => format!("done {id}\n{body}\n"),
        CallerReply::NotRun {
            id,
            reason,
            retry_after_ms,
        } => {
            let retry =
                retry_after_ms.map_or_else(String::new, |ms| format!(", retry after {ms} ms"));
            format!("not run {id}: {reason:?}{retry}\n")
        }
        CallerReply::Unknown { id, status } => format!("unknown {id}: see {status}\n"),
    }
}

fn join(items: impl Iterator<Item = String>) -> String {
    let text = items.collect::<Vec<_>>().join(" ");
    if text.is_empty() {
        "none".to_owned()
    } else {
        text
    }
}
