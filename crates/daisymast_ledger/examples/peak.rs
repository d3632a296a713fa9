//! Simulates one partition at the target peak load on a virtual clock and prints its store calls,
//! bytes, keys, memory and takeover time.
//!
//! At 540 task starts per second over 16 partitions, one partition receives 33.75 per second. Each
//! task ends 31 s after its claim; a run has 200 tasks. Each partition receives 10 non-idempotent
//! requests per second (160 in total), each settled 500 ms after its claim. Each row of the table
//! shows one rate and one virtual duration.

#![expect(clippy::print_stdout, reason = "the program prints a table")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::alloc::System;
use std::collections::VecDeque;
use std::time::Instant;

use cap::Cap;
use common::{Fault, Store, TestInstance, WALL_START_MS, at};
use daisymast_ledger::effect::Reply;
use daisymast_ledger::entry::{Entry, Origin, RunOpened, Settled, TaskEnd};
use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::{Generation, JobName, RequestId, RunKey, WorkerId};
use daisymast_types::time::{Timestamp, UnixMillis};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const TICK_MS: u64 = 50;
const TASK_MS: u64 = 31_000;
const SETTLE_MS: u64 = 500;
const RUN_TASKS: u64 = 200;
/// Task starts and requests of one partition in 1,000 s at the peak.
const TASKS_PER_1000_S: u64 = 33_750;
const REQUESTS_PER_1000_S: u64 = 10_000;
/// Percentage of the peak load and virtual minutes of each row.
const ROWS: [(u64, u64); 6] = [
    (25, 10),
    (50, 10),
    (100, 10),
    (200, 10),
    (100, 30),
    (100, 60),
];

#[derive(Default)]
struct Traffic {
    writes: u64,
    reads: u64,
    bytes: u64,
    largest: usize,
}

struct Benchmark {
    instance: TestInstance,
    store: Store,
    traffic: Traffic,
    entries: u64,
    tasks: u64,
    requests: u64,
    running: VecDeque<(u64, u64)>,
    unsettled: VecDeque<(u64, RequestId)>,
    refused: u64,
}

impl Benchmark {
    fn new() -> Self {
        let mut benchmark = Self {
            instance: TestInstance::new("entry-1", 1),
            store: Store::default(),
            traffic: Traffic::default(),
            entries: 0,
            tasks: 0,
            requests: 0,
            running: VecDeque::new(),
            unsettled: VecDeque::new(),
            refused: 0,
        };
        benchmark.instance.take_over(at(0), &mut benchmark.store);
        benchmark
    }

    fn drive(&mut self, now: Timestamp, effects: Vec<daisymast_ledger::effect::Effect>) {
        let traffic = &mut self.traffic;
        let mut count = |_: usize, request: &StoreRequest| {
            traffic.count(request);
            Fault::None
        };
        self.instance
            .drive(now, &mut self.store, effects, &mut count);
        for reply in std::mem::take(&mut self.instance.answers).into_values() {
            self.refused += u64::from(reply != Reply::Committed);
        }
    }

    fn record(&mut self, now: Timestamp, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.entries += entries.len() as u64;
        let ticket = self.instance.ticket();
        let effects = self.instance.partition.record(now, ticket, entries);
        self.drive(now, effects);
    }

    fn tick(&mut self, clock: u64, percent: u64) {
        let now = at(clock);
        let due = |rate: u64| clock * rate * percent / 100_000_000;
        let mut entries = Vec::new();
        while self.tasks < due(TASKS_PER_1000_S) {
            if self.tasks.is_multiple_of(RUN_TASKS) {
                entries.push(opened(self.tasks / RUN_TASKS, clock));
            }
            entries.push(claim(self.tasks));
            self.running.push_back((clock + TASK_MS, self.tasks));
            self.tasks += 1;
        }
        while let Some((end, task)) = self.running.front().copied()
            && end <= clock
        {
            self.running.pop_front();
            entries.extend(done(task));
        }
        self.record(now, entries);
        while self.requests < due(REQUESTS_PER_1000_S) {
            self.requests += 1;
            let id = request_id(clock, self.requests);
            let ticket = self.instance.ticket();
            let digest = format!("{:032x}", u128::from(self.requests) << 64 | 7);
            let by = self.instance.name.clone();
            let effects = self
                .instance
                .partition
                .claim(now, ticket, id.clone(), digest, by);
            self.entries += 1;
            self.drive(now, effects);
            self.unsettled.push_back((clock + SETTLE_MS, id));
        }
        while let Some((time, id)) = self.unsettled.front().cloned()
            && time <= clock
        {
            self.unsettled.pop_front();
            let ticket = self.instance.ticket();
            let effects = self
                .instance
                .partition
                .settle(now, ticket, id, Settled::Answered);
            self.entries += 1;
            self.drive(now, effects);
        }
        let effects = self.instance.partition.on_tick(now);
        self.drive(now, effects);
    }
}

impl Traffic {
    fn count(&mut self, request: &StoreRequest) {
        if !request.is_write() {
            self.reads += 1;
            return;
        }
        self.writes += 1;
        if let StoreRequest::Put { value, .. } = request {
            self.bytes += value.len() as u64;
            self.largest = self.largest.max(value.len());
        }
    }
}

fn opened(run: u64, clock: u64) -> Entry {
    Entry::RunOpened(RunOpened {
        run: RunKey(run),
        job: JobName::from("reconciliation"),
        origin: Origin::Due(UnixMillis(WALL_START_MS + clock)),
        tasks: u32::try_from(RUN_TASKS).unwrap_or_default(),
        generation: Generation(7),
        until: Some(UnixMillis(WALL_START_MS + clock + 60_000)),
    })
}

fn index(task: u64) -> u32 {
    u32::try_from(task % RUN_TASKS).unwrap_or_default()
}

fn claim(task: u64) -> Entry {
    Entry::TaskClaim {
        run: RunKey(task / RUN_TASKS),
        index: index(task),
        attempt: 1,
        worker: WorkerId::from(format!("worker-{:03}", task * 7 % 800)),
    }
}

fn done(task: u64) -> Vec<Entry> {
    let run = RunKey(task / RUN_TASKS);
    let mut entries = vec![Entry::TaskDone {
        run,
        index: index(task),
        attempt: 1,
        end: TaskEnd::Succeeded,
    }];
    if index(task) + 1 == u32::try_from(RUN_TASKS).unwrap_or_default() {
        entries.push(Entry::RunClosed { run });
    }
    entries
}

fn request_id(clock: u64, number: u64) -> RequestId {
    let millis = WALL_START_MS + clock;
    RequestId::from(format!(
        "{:08x}-{:04x}-7{:03x}-8{:03x}-{number:012x}",
        millis >> 16,
        millis & 0xffff,
        number & 0xfff,
        number >> 12 & 0xfff,
    ))
}

#[derive(Default)]
struct TakeoverMeasurements {
    /// Bytes that the owner keeps allocated.
    memory: usize,
    /// Duration of each takeover in milliseconds, in ascending order.
    times: Vec<f64>,
    calls: u64,
    /// Bytes of all list replies, and of the largest one.
    read: usize,
    largest: usize,
}

/// Measures three takeovers.
fn measure_takeovers(store: &mut Store, clock: u64) -> TakeoverMeasurements {
    let mut result = TakeoverMeasurements::default();
    for boot in 2..5 {
        let before = ALLOCATOR.allocated();
        let mut instance = TestInstance::new("entry-2", boot);
        (result.calls, result.read, result.largest) = (0, 0, 0);
        let start = Instant::now();
        let effects = instance.partition.take_over(at(clock));
        let mut open_calls = instance.apply_effects(effects);
        while let Some((call, request)) = open_calls.pop() {
            let reply = store.apply(&request);
            if let daisymast_protocol::store::StoreReply::Entries { entries } = &reply {
                let bytes: usize = entries.iter().map(|entry| entry.value.len()).sum();
                result.read += bytes;
                result.largest = result.largest.max(bytes);
            }
            result.calls += 1;
            let outcome = daisymast_protocol::outcome::Outcome::Done(reply);
            let effects = instance.partition.on_store(at(clock), call, outcome);
            open_calls = instance.apply_effects(effects);
        }
        result.times.push(start.elapsed().as_secs_f64() * 1_000.0);
        assert!(
            instance.partition.epoch().is_some(),
            "{:?}",
            instance.changes
        );
        result.memory = ALLOCATOR.allocated().saturating_sub(before);
    }
    result.times.sort_by(f64::total_cmp);
    result
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn row(percent: u64, minutes: u64) {
    let mut benchmark = Benchmark::new();
    let end = minutes * 60_000;
    let started = Instant::now();
    for clock in (TICK_MS..=end).step_by(50) {
        benchmark.tick(clock, percent);
    }
    let elapsed = started.elapsed().as_secs_f64();
    let seconds = end as f64 / 1_000.0;
    let Benchmark {
        mut store,
        traffic,
        entries,
        refused,
        instance,
        ..
    } = benchmark;
    drop(instance);
    let stored_bytes: usize = store.map.values().map(|entry| entry.value.len()).sum();
    let keys = store.map.len();
    let measured = measure_takeovers(&mut store, end + 1_000);
    println!(
        "| {percent} | {minutes} | {entries} | {refused} | {:.2} | {:.3} | {:.0} | {:.0} | {keys} | {:.2} | {:.2} | {} | {:.2} | {:.2} | {:.1} ({:.1}-{:.1}) | {:.2} |",
        traffic.writes as f64 / seconds,
        traffic.reads as f64 / seconds,
        traffic.bytes as f64 / entries as f64,
        traffic.largest as f64 / 1_024.0,
        stored_bytes as f64 / 1e6,
        measured.memory as f64 / 1e6,
        measured.calls,
        measured.read as f64 / 1e6,
        measured.largest as f64 / 1e6,
        measured.times[1],
        measured.times[0],
        measured.times[2],
        elapsed / seconds * 100.0,
    );
}

fn main() {
    println!(
        "| % of peak | minutes | entries | refused | writes/s | reads/s | bytes written an entry | largest value KB | keys | MB kept | MB of an owner | takeover calls | takeover MB read | largest list MB | takeover ms | % of a core |"
    );
    println!("|{}", " --- |".repeat(16));
    for (percent, minutes) in ROWS {
        row(percent, minutes);
    }
}
