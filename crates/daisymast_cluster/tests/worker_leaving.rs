//! A worker tells that it is leaving.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Cell, CellConfig};
use daisymast_cluster::checks::WorkerLog;
use daisymast_cluster::load::{ExchangeEnd, Load, RequestRecord};
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::WorkerId;
use daisymast_worker::settings::Faults;

/// Time after which a leaving worker gets nothing new.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against requests and tasks that still go to an endpoint that is leaving. The worker
/// refuses them, but a caller would wait longer for its answer.
#[test]
fn a_leaving_worker_gets_no_new_work() {
    cell::run("worker_leaving", CellConfig::default(), async |cell| {
        let pace = Duration::from_millis(20);
        // 8 s of both kinds.
        let quotes = cell.send(Load::quotes(400, pace));
        let invoices = cell.send(Load::invoices(400, pace));
        smol::Timer::after(Duration::from_secs(1)).await;
        // The busiest worker, so that there is something that has to stop.
        let logs = cell.logs().await;
        let busiest = logs.iter().max_by_key(|log| log.start_entries(0).count());
        let leaving = busiest.expect("a worker").worker.clone();
        let faults = Faults {
            leaving: true,
            ..Faults::default()
        };
        cell.set_worker_faults(&faults, |_, worker| *worker == leaving)
            .await;
        let since = Instant::now();
        smol::Timer::at(since + PROPAGATION_TIMEOUT).await;
        let before = log_of(cell, &leaving).await.log.entries.len();
        let records = [quotes.finish().await, invoices.finish().await].concat();
        let log = log_of(cell, &leaving).await;
        let started: Vec<_> = log.start_entries(before).collect();
        assert!(started.is_empty(), "{leaving} starts {started:?}");
        let refused = log.refused_epochs(before, Refusal::Leaving).len();
        assert_eq!(refused, 0, "work sent to {leaving}");
        let refused_early = log.refused_epochs(0, Refusal::Leaving).len();
        cell::print_measurement(&format!(
            "{refused_early} sent in the first 3 s, none later"
        ));
        let answered =
            |record: &&RequestRecord| matches!(record.last().end, ExchangeEnd::Answered(_));
        assert_eq!(records.iter().filter(answered).count(), records.len());
        let not_run = records
            .iter()
            .filter(|record| record.last().end.is_not_run());
        cell::print_measurement(&format!("{} of {} not run", not_run.count(), records.len()));
        cell.assert_no_violations(&records).await;
    });
}

async fn log_of(cell: &Cell, worker: &WorkerId) -> WorkerLog {
    let mut logs = cell.logs().await.into_iter();
    logs.find(|log| log.worker == *worker).expect("the worker")
}
