//! Status of an instance for operators.

use daisymast_protocol::operator::Status;
use daisymast_types::time::Timestamp;

use crate::control::Control;
use crate::runs::Runs;
use crate::shared::Shared;

/// Builds the status from the shared state and the components.
pub(crate) fn status(shared: &Shared, now: Timestamp, control: &Control, runs: &Runs) -> Status {
    let own = shared.view.own();
    let mut peers: Vec<_> = shared
        .view
        .peers(now.mono)
        .map(|member| member.instance.clone())
        .collect();
    peers.sort();
    Status {
        instance: Some(own.instance.clone()),
        zone: Some(own.zone.clone()),
        generation: shared.generation,
        draining: shared.draining,
        peers,
        workers: control.held(now),
        partitions: own
            .partitions
            .iter()
            .map(|(partition, _)| partition.0)
            .collect(),
        running: control.running(),
        runs: runs.status(),
    }
}
