//! Restarts all instances one after another under load.

use std::time::Duration;

use daisymast_cluster::cell::{self, CellConfig};
use daisymast_cluster::load::{Load, RequestRecord};
use daisymast_cluster::process::Signal;
use daisymast_cluster::wait;
use futures_lite::future;

/// Maximum time from SIGTERM to the exit of the process.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two readiness checks by the balancer.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

/// Guards against a drain that drops requests, refuses them in a way that does not allow a balancer
/// to retry, does not hand over what the instance holds, or does not end.
#[test]
fn a_rolling_restart_fails_no_request() {
    cell::run("rolling_restart", CellConfig::default(), async |cell| {
        let names: Vec<(String, &str)> = cell
            .instances
            .iter()
            .map(|(name, instance)| (name.clone(), instance.zone))
            .collect();
        let mut records = Vec::new();
        for (name, zone) in names {
            // Each restart has its own load, whose last requests are awaited after the restart.
            let pace = Duration::from_millis(25);
            let quotes = cell.send(Load::quotes(120, pace).with_failover());
            let invoices = cell.send(Load::invoices(120, pace).with_failover());
            smol::Timer::after(Duration::from_millis(500)).await;
            let mut old = cell.instances.remove(&name).expect("the instance");
            old.process.signal(Signal::Terminate);
            let exit = old.process.exit(DRAIN_TIMEOUT);
            let update_balancer = async {
                loop {
                    cell.route_to_ready().await;
                    smol::Timer::after(READINESS_INTERVAL).await;
                }
            };
            assert_eq!(future::or(exit, update_balancer).await, Some(0), "{name}");
            cell.start_instance(&name, zone).await;
            assert!(
                !cell.balancer.contains(&name),
                "{name} gets requests before it is ready"
            );
            let condition = format!("{name} is ready");
            wait::until(cell::STARTUP_TIMEOUT, &condition, async || {
                cell.route_to_ready().await;
                cell.balancer.contains(&name).then_some(())
            })
            .await;
            records.extend(quotes.finish().await);
            records.extend(invoices.finish().await);
        }
        let retried: usize = records
            .iter()
            .map(|record| record.exchanges.len() - 1)
            .sum();
        cell::print_measurement(&format!(
            "{} requests, {retried} retried by the balancer",
            records.len()
        ));
        let failed: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| !record.last().end.is_done())
            .collect();
        assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
        cell.assert_no_violations(&records).await;
    });
}
