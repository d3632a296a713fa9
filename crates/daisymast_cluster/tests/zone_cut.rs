//! Isolates an availability zone from the platform and from the other zones.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Cell, CellConfig};
use daisymast_cluster::load::{Load, RequestRecord};
use daisymast_cluster::wait;
use daisymast_platform::model::Faults as PlatformFaults;
use daisymast_protocol::operator::OperatorReply;
use daisymast_types::ids::Generation;
use daisymast_worker::settings::Faults;

const ZONE: &str = "Temple";
/// Time within which the reconnected zone must have the current configuration.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a zone that stops serving idempotent requests while it reaches neither the
/// platform nor the other zones, and against one that keeps an old configuration once it reaches
/// them again.
#[test]
fn an_isolated_zone_serves_requests_and_catches_up() {
    let config = CellConfig {
        relays: true,
        ..CellConfig::default()
    };
    cell::run("zone_cut", config, async |cell| {
        let own: Vec<String> = names(cell, true);
        let others: Vec<String> = names(cell, false);
        set_isolation(cell, &own, &others, true).await;
        cell.route_to(|name| own.iter().any(|instance| instance == name));
        // 10 s of quotes in the zone, longer than the heartbeat timeout and the lease duration.
        let quotes = cell.send(Load::quotes(200, Duration::from_millis(50)));
        smol::Timer::after(Duration::from_secs(5)).await;
        let reply = cell
            .submit(&others[0], Generation(1), cell::manifest(2))
            .await;
        let generation = Generation(2);
        assert_eq!(reply, OperatorReply::Accepted { generation });
        let records = quotes.finish().await;
        let unserved: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| !record.last().end.is_done())
            .collect();
        assert!(unserved.is_empty(), "quotes not served: {unserved:?}");
        let statuses = cell.statuses().await;
        for name in &own {
            assert_eq!(
                statuses[name].generation,
                Generation(1),
                "{name} received the new configuration although it is isolated"
            );
        }

        set_isolation(cell, &own, &others, false).await;
        let restored = Instant::now();
        wait::until(
            PROPAGATION_TIMEOUT,
            "the zone has the new configuration",
            async || {
                let statuses = cell.statuses().await;
                let has = |name| {
                    statuses
                        .get(name)
                        .is_some_and(|status| status.generation == generation)
                };
                own.iter().all(has).then_some(())
            },
        )
        .await;
        cell::print_measurement(&format!(
            "configuration in force {:?} after the end of the isolation",
            restored.elapsed()
        ));
        cell.assert_no_violations(&records).await;
    });
}

fn names(cell: &Cell, inside: bool) -> Vec<String> {
    let all = cell.instances.iter();
    let chosen = all.filter(|(_, instance)| (instance.zone == ZONE) == inside);
    chosen.map(|(name, _)| name.clone()).collect()
}

async fn set_isolation(cell: &Cell, own: &[String], others: &[String], isolated: bool) {
    let all = own.iter().flat_map(|a| others.iter().map(move |b| (a, b)));
    let pairs = all.flat_map(|(a, b)| [(a.clone(), b.clone()), (b.clone(), a.clone())]);
    let refused = |names: &[String]| if isolated { names.to_vec() } else { Vec::new() };
    cell.blocked_links.set(if isolated {
        pairs.collect()
    } else {
        Vec::new()
    });
    cell.set_platform_faults(PlatformFaults {
        refuse: refused(own),
        ..PlatformFaults::default()
    })
    .await;
    let inside = Faults {
        refuse: refused(others),
        ..Faults::default()
    };
    cell.set_worker_faults(&inside, |zone, _| zone == ZONE)
        .await;
    let outside = Faults {
        refuse: refused(own),
        ..Faults::default()
    };
    cell.set_worker_faults(&outside, |zone, _| zone != ZONE)
        .await;
}
