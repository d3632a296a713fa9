//! The platform is out of reach for a while.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, CellConfig};
use daisymast_cluster::load::{ExchangeEnd, Load, RequestRecord};
use daisymast_cluster::process::Signal;
use daisymast_cluster::wait;

/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(20);
/// "Prompt" for a true "not run" of an invoice.
const PROMPT_REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for invoices to work again. Instances poll a store that failed every 5 s, and a call that
/// began in the outage ends within its own deadline.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against quotes that wait for the store, invoices that wait for it or are answered falsely,
/// and a claim path that stays closed after an outage.
#[test]
fn idempotent_requests_are_served_while_the_platform_is_paused() {
    cell::run("platform_down", CellConfig::default(), async |cell| {
        cell.platform.signal(Signal::Stop);
        let stopped = Instant::now();
        // 18 s of both kinds at 20 and 5 a second, so that all end within the outage.
        let quotes = cell.send(Load::quotes(360, Duration::from_millis(50)));
        let invoices = cell.send(Load::invoices(90, Duration::from_millis(200)));
        let mut records = quotes.finish().await;
        let unserved: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| !record.last().end.is_done())
            .collect();
        assert!(
            unserved.is_empty(),
            "quotes without an answer: {unserved:?}"
        );
        let invoices = invoices.finish().await;
        let wrong: Vec<&RequestRecord> = invoices
            .iter()
            .filter(|record| !is_allowed_in_outage(record))
            .collect();
        assert!(wrong.is_empty(), "{} of 90: {wrong:?}", wrong.len());
        smol::Timer::at(stopped + OUTAGE).await;
        cell.platform.signal(Signal::Continue);

        records.extend(invoices);
        let resumed = Instant::now();
        wait::until(
            RECOVERY_TIMEOUT,
            "a row of invoices is served",
            async || {
                let load = Load::invoices(20, Duration::from_millis(10));
                let probe = cell.send(load).finish().await;
                let served = probe.iter().all(|record| record.last().end.is_done());
                records.extend(probe);
                served.then_some(())
            },
        )
        .await;
        cell::print_measurement(&format!(
            "invoices work again after {:?}",
            resumed.elapsed()
        ));
        cell.assert_no_violations(&records).await;
    });
}

/// An answer that is allowed in an outage, in time: whether "not run" is true is checked by the
/// logs of the workers.
fn is_allowed_in_outage(record: &RequestRecord) -> bool {
    let last = record.last();
    match &last.end {
        end if end.is_not_run() => last.ended_at - last.sent_at <= PROMPT_REPLY_TIMEOUT,
        ExchangeEnd::Answered(_) => true,
        _ => false,
    }
}
