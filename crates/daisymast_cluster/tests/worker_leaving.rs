//! Makes a worker announce that it is leaving.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Cell, CellConfig};
use daisymast_cluster::checks::WorkerLog;
use daisymast_cluster::load::{ExchangeEnd, Load, RequestRecord};
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::WorkerId;
use daisymast_worker::settings::Faults;

/// Time after which no new work is sent to a leaving worker.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against requests and tasks that are still sent to a leaving worker. The worker refuses
/// them, but callers would wait longer for their answers.
#[test]
fn a_leaving_worker_gets_no_new_work() {
    cell::run("worker_leaving", CellConfig::default(), async |cell| {
        let pace = Duration::from_millis(20);
        // 8 s of load of both kinds.
        let quotes = cell.send(Load::quotes(400, pace));
        let invoices = cell.send(Load::invoices(400, pace));
        smol::Timer::after(Duration::from_secs(1)).await;
        // The worker that started the most work, so that there is work to redirect.
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
        assert!(
            started.is_empty(),
            "leaving worker {leaving} started {started:?}"
        );
        let refused = log.refused_epochs(before, Refusal::Leaving).len();
        assert_eq!(refused, 0, "refusals by the leaving worker {leaving}");
        let refused_early = log.refused_epochs(0, Refusal::Leaving).len();
        cell::print_measurement(&format!(
            "{refused_early} refused in the first 3 s, none later"
        ));
        let answered =
            |record: &&RequestRecord| matches!(record.last().end, ExchangeEnd::Answered(_));
        assert_eq!(records.iter().filter(answered).count(), records.len());
        let not_run = records
            .iter()
            .filter(|record| record.last().end.is_not_run());
        cell::print_measurement(&format!(
            "{} of {} requests not run",
            not_run.count(),
            records.len()
        ));
        cell.assert_no_violations(&records).await;
    });
}

async fn log_of(cell: &Cell, worker: &WorkerId) -> WorkerLog {
    let mut logs = cell.logs().await.into_iter();
    logs.find(|log| log.worker == *worker).expect("the worker")
}
