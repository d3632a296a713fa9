//! Kills an instance while it handles requests.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, CellConfig};
use daisymast_cluster::load::{ExchangeEnd, Load, RequestRecord};
use daisymast_cluster::process::Signal;
use daisymast_cluster::wait;

/// Time within which other instances acquire the leases of a killed instance and serve requests
/// again. Leases expire after 3 s and the next instance in rendezvous order acquires them; the
/// requirement allows 10 s in total.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against callers that get no answer, non-idempotent requests that run twice, and workers
/// whose control lease no instance acquires after the holder was killed.
#[test]
fn killing_a_lease_holder_fails_only_its_own_requests() {
    let config = CellConfig {
        service_ms: 300,
        ..CellConfig::default()
    };
    cell::run("instance_killed", config, async |cell| {
        let logs = cell.logs().await;
        let holders: Vec<_> = logs.iter().filter_map(|log| log.lease_holder()).collect();
        let holder = holders.first().expect("a lease holder").to_string();
        let pace = Duration::from_millis(50);
        // 5 s of load, 20 requests a second of each kind; the holder is killed after the first
        // second.
        let quotes = cell.send(Load::quotes(100, pace));
        let invoices = cell.send(Load::invoices(100, pace));
        smol::Timer::after(Duration::from_secs(1)).await;
        let killed = Instant::now();
        let mut killed_instance = cell.instances.remove(&holder).expect("the lease holder");
        killed_instance.process.signal(Signal::Kill);
        assert_eq!(killed_instance.process.exit(RECOVERY_TIMEOUT).await, None);
        cell.route_to(|_| true);

        let left = RECOVERY_TIMEOUT.saturating_sub(killed.elapsed());
        wait::until(
            left,
            "other instances hold the leases of the killed instance",
            async || {
                let logs = cell.logs().await;
                let moved = logs
                    .iter()
                    .all(|log| log.lease_holder().is_some_and(|now| now.as_str() != holder));
                moved.then_some(())
            },
        )
        .await;
        let mut records = Vec::new();
        let left = RECOVERY_TIMEOUT.saturating_sub(killed.elapsed());
        wait::until(
            left,
            "a probe of quotes and invoices is served",
            async || {
                let probe = cell.send_probe_requests().await;
                let served = probe.iter().all(|record| record.last().end.is_done());
                records.extend(probe);
                served.then_some(())
            },
        )
        .await;
        cell::print_measurement(&format!("recovered after {:?}", killed.elapsed()));

        records.extend(quotes.finish().await);
        records.extend(invoices.finish().await);
        assert_eq!(
            unexplained_failures(&records, &holder),
            Vec::<String>::new()
        );
        cell.assert_no_violations(&records).await;
    });
}

/// Requests that failed at another instance than `killed_instance`, and all requests that timed
/// out.
fn unexplained_failures(records: &[RequestRecord], killed_instance: &str) -> Vec<String> {
    let unexplained = records.iter().filter(|record| {
        let last = record.last();
        match &last.end {
            ExchangeEnd::Answered(_) => false,
            ExchangeEnd::NoValidReply(_) | ExchangeEnd::ConnectFailed(_) => {
                last.instance != killed_instance
            }
            ExchangeEnd::TimedOut => true,
        }
    });
    unexplained.map(|record| format!("{record:?}")).collect()
}
