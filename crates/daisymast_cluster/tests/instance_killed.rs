//! An instance is killed in mid-request.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Plan};
use daisymast_cluster::load::{End, Load, Record};
use daisymast_cluster::process::Signal;
use daisymast_cluster::wait;

/// Time within which the leases of a dead instance move and requests are served again: leases expire
/// after 3 s and the next in rendezvous order takes them, and the requirement asks for 10 s in all.
const RECOVERY: Duration = Duration::from_secs(10);

/// Guards against callers that wait forever, invoices that run twice, and workers that stay without
/// a holder after the death of an instance.
#[test]
fn requests_survive_the_death_of_a_holder() {
    let plan = Plan {
        service_ms: 300,
        ..Plan::default()
    };
    cell::run("instance_killed", plan, async |cell| {
        let logs = cell.logs().await;
        let holders: Vec<_> = logs.iter().filter_map(|log| log.holder()).collect();
        let holder = holders.first().expect("a holder").to_string();
        let pace = Duration::from_millis(50);
        // 5 s of both kinds at 20 a second each; the holder dies after the first second.
        let quotes = cell.send(Load::quotes(100, pace));
        let invoices = cell.send(Load::invoices(100, pace));
        smol::Timer::after(Duration::from_secs(1)).await;
        let killed = Instant::now();
        let mut dead = cell.instances.remove(&holder).expect("the holder");
        dead.process.signal(Signal::Kill);
        assert_eq!(dead.process.exit(RECOVERY).await, None);
        cell.balance(|_| true);

        let left = RECOVERY.saturating_sub(killed.elapsed());
        wait::until(left, "its leases move", async || {
            let logs = cell.logs().await;
            let moved = logs
                .iter()
                .all(|log| log.holder().is_some_and(|now| now.as_str() != holder));
            moved.then_some(())
        })
        .await;
        let mut records = Vec::new();
        let left = RECOVERY.saturating_sub(killed.elapsed());
        wait::until(left, "a row of quotes and invoices is served", async || {
            let row = cell.row().await;
            let served = row.iter().all(|one| one.last().end.is_done());
            records.extend(row);
            served.then_some(())
        })
        .await;
        cell::report(&format!("recovered after {:?}", killed.elapsed()));

        records.extend(quotes.finish().await);
        records.extend(invoices.finish().await);
        assert_eq!(wrong(&records, &holder), Vec::<String>::new());
        cell.judge(&records).await;
    });
}

/// Requests that ended in a way that the death of `dead` does not explain.
fn wrong(records: &[Record], dead: &str) -> Vec<String> {
    let wrong = records.iter().filter(|one| {
        let last = one.last();
        match &last.end {
            End::Answered(_) => false,
            End::Broken(_) | End::Refused(_) => last.instance != dead,
            End::Silent => true,
        }
    });
    wrong.map(|one| format!("{one:?}")).collect()
}
