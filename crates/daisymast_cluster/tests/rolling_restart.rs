//! All instances are restarted one after another under load.

use std::time::Duration;

use daisymast_cluster::cell::{self, Plan};
use daisymast_cluster::load::{Load, Record};
use daisymast_cluster::process::Signal;
use daisymast_cluster::wait;
use futures_lite::future;

/// Time from SIGTERM to the exit.
const DRAIN: Duration = Duration::from_secs(30);
/// Time between two looks of the balancer at the readiness of the instances.
const LOOK: Duration = Duration::from_millis(100);

/// Guards against a drain that cuts off requests, refuses them in a way that a balancer cannot
/// repeat, does not hand over what the instance holds, or does not end.
#[test]
fn a_rolling_restart_fails_no_request() {
    cell::run("rolling_restart", Plan::default(), async |cell| {
        let names: Vec<(String, &str)> = cell
            .instances
            .iter()
            .map(|(name, one)| (name.clone(), one.zone))
            .collect();
        let mut records = Vec::new();
        for (name, zone) in names {
            // Each restart has its own load; a look at the end finds the last requests.
            let pace = Duration::from_millis(25);
            let quotes = cell.send(Load::quotes(120, pace).moving());
            let invoices = cell.send(Load::invoices(120, pace).moving());
            smol::Timer::after(Duration::from_millis(500)).await;
            let mut old = cell.instances.remove(&name).expect("the instance");
            old.process.signal(Signal::Terminate);
            let exit = old.process.exit(DRAIN);
            let balancing = async {
                loop {
                    cell.balance_ready().await;
                    smol::Timer::after(LOOK).await;
                }
            };
            assert_eq!(future::or(exit, balancing).await, Some(0), "{name}");
            cell.start_instance(&name, zone).await;
            let what = format!("{name} is ready");
            wait::until(cell::SETTLE, &what, async || {
                cell.balance_ready().await;
                cell.balancer.has(&name).then_some(())
            })
            .await;
            records.extend(quotes.finish().await);
            records.extend(invoices.finish().await);
        }
        let moved: usize = records.iter().map(|one| one.tries.len() - 1).sum();
        cell::report(&format!(
            "{} requests, {moved} moved by the balancer",
            records.len()
        ));
        let failed: Vec<&Record> = records
            .iter()
            .filter(|one| !one.last().end.is_done())
            .collect();
        assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
        cell.judge(&records).await;
    });
}
