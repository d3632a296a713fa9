//! Pauses an instance until its leases have expired.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Cell, CellConfig};
use daisymast_cluster::checks::WorkerLog;
use daisymast_cluster::load::{ExchangeEnd, Load, RequestRecord};
use daisymast_cluster::process::Signal;
use daisymast_cluster::wait;
use daisymast_protocol::worker::Refusal;

/// Duration of the pause, longer than the lease duration of 3 s.
const PAUSE: Duration = Duration::from_secs(5);
/// Time within which the resumed instance serves requests again, the same as after a failure.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against an instance that, once resumed, sends work under leases that expired during the
/// pause, and against one that does not serve requests again.
#[test]
fn a_paused_lease_holder_does_not_act_on_expired_leases() {
    cell::run("instance_paused", CellConfig::default(), async |cell| {
        let logs = cell.logs().await;
        let name = logs[0].lease_holder().expect("a lease holder").to_string();
        let pace = Duration::from_millis(50);
        // 8 s of load of both kinds, routed to all instances including the paused one.
        let quotes = cell.send(Load::quotes(160, pace));
        let invoices = cell.send(Load::invoices(160, pace));
        smol::Timer::after(Duration::from_secs(1)).await;
        signal(cell, &name, Signal::Stop);
        smol::Timer::at(Instant::now() + PAUSE).await;
        let paused = cell.logs().await;
        for (log, before) in paused.iter().zip(&logs) {
            let was_held = before
                .lease_holder()
                .is_some_and(|holder| holder.as_str() == name);
            let is_held = log
                .lease_holder()
                .is_some_and(|holder| holder.as_str() == name);
            assert!(
                !was_held || !is_held,
                "the lease on {} was not taken over",
                log.worker
            );
        }
        signal(cell, &name, Signal::Continue);
        let resumed = Instant::now();
        let mut records = serve_after_resume(cell, &name).await;
        cell::print_measurement(&format!(
            "serves requests again after {:?}",
            resumed.elapsed()
        ));

        records.extend(quotes.finish().await);
        records.extend(invoices.finish().await);
        let lost: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| !matches!(record.last().end, ExchangeEnd::Answered(_)))
            .collect();
        assert!(lost.is_empty(), "requests without an answer: {lost:?}");
        let stale = stale_refusals(&paused, &cell.logs().await);
        assert!(
            stale.is_empty(),
            "work sent under an expired lease: {stale:?}"
        );
        cell.assert_no_violations(&records).await;
    });
}

fn signal(cell: &mut Cell, name: &str, signal: Signal) {
    let instance = cell.instances.get_mut(name).expect("the instance");
    instance.process.signal(signal);
}

/// Routes all callers to the instance, sends probes until one is served, and returns the records of
/// all probes.
async fn serve_after_resume(cell: &Cell, name: &str) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    cell.route_to(|instance| instance == name);
    wait::until(
        RECOVERY_TIMEOUT,
        "the resumed instance serves a probe of quotes and invoices",
        async || {
            let probe = cell.send_probe_requests().await;
            let served = probe.iter().all(|record| record.last().end.is_done());
            records.extend(probe);
            served.then_some(())
        },
    )
    .await;
    records
}

/// Refusals between the two logs because of an expired lease, as worker and epochs.
fn stale_refusals(before: &[WorkerLog], after: &[WorkerLog]) -> Vec<String> {
    let pairs = before.iter().zip(after);
    let refused = pairs.map(|(before, after)| {
        let epochs = after.refused_epochs(before.log.entries.len(), Refusal::StaleLease);
        (&after.worker, epochs)
    });
    let refused = refused.filter(|(_, epochs)| !epochs.is_empty());
    refused
        .map(|(worker, epochs)| format!("{worker}: {epochs:?}"))
        .collect()
}
