//! One partition at the peak of the target on a virtual clock: calls, bytes, keys, memory, takeover.
//!
//! Of 540 task starts a second over 16 partitions, 33.75 fall on one. Each task is claimed and ends
//! 31 s later, in runs of 200 tasks. Non-idempotent requests come at 10 a second for each partition
//! (160 in all), each settled 500 ms after its claim. A row of the table is one rate and one virtual
//! time.

#![expect(clippy::print_stdout, reason = "the program prints a table")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::alloc::System;
use std::collections::VecDeque;
use std::time::Instant;

use cap::Cap;
use common::{Fault, Node, Store, WALL, at};
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
/// Task starts and requests of one partition in a thousand seconds at the peak.
const TASKS: u64 = 33_750;
const REQUESTS: u64 = 10_000;
/// Percent of the peak and virtual minutes of each row.
const SIZES: [(u64, u64); 6] = [
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

struct Bench {
    node: Node,
    store: Store,
    traffic: Traffic,
    entries: u64,
    tasks: u64,
    requests: u64,
    running: VecDeque<(u64, u64)>,
    unsettled: VecDeque<(u64, RequestId)>,
    refused: u64,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            node: Node::new("entry-1", 1),
            store: Store::default(),
            traffic: Traffic::default(),
            entries: 0,
            tasks: 0,
            requests: 0,
            running: VecDeque::new(),
            unsettled: VecDeque::new(),
            refused: 0,
        };
        bench.node.take_over(at(0), &mut bench.store);
        bench
    }

    fn drive(&mut self, now: Timestamp, effects: Vec<daisymast_ledger::effect::Effect>) {
        let traffic = &mut self.traffic;
        let mut count = |_: usize, request: &StoreRequest| {
            traffic.count(request);
            Fault::None
        };
        self.node.drive(now, &mut self.store, effects, &mut count);
        for reply in std::mem::take(&mut self.node.answers).into_values() {
            self.refused += u64::from(reply != Reply::Committed);
        }
    }

    fn record(&mut self, now: Timestamp, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.entries += entries.len() as u64;
        let ticket = self.node.ticket();
        let effects = self.node.partition.record(now, ticket, entries);
        self.drive(now, effects);
    }

    fn tick(&mut self, clock: u64, percent: u64) {
        let now = at(clock);
        let due = |rate: u64| clock * rate * percent / 100_000_000;
        let mut entries = Vec::new();
        while self.tasks < due(TASKS) {
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
        while self.requests < due(REQUESTS) {
            self.requests += 1;
            let id = request_id(clock, self.requests);
            let ticket = self.node.ticket();
            let digest = format!("{:032x}", u128::from(self.requests) << 64 | 7);
            let by = self.node.name.clone();
            let effects = self
                .node
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
            let ticket = self.node.ticket();
            let effects = self
                .node
                .partition
                .settle(now, ticket, id, Settled::Answered);
            self.entries += 1;
            self.drive(now, effects);
        }
        let effects = self.node.partition.on_tick(now);
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
        origin: Origin::Due(UnixMillis(WALL + clock)),
        tasks: u32::try_from(RUN_TASKS).unwrap_or_default(),
        generation: Generation(7),
        until: Some(UnixMillis(WALL + clock + 60_000)),
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
    let millis = WALL + clock;
    RequestId::from(format!(
        "{:08x}-{:04x}-7{:03x}-8{:03x}-{number:012x}",
        millis >> 16,
        millis & 0xffff,
        number & 0xfff,
        number >> 12 & 0xfff,
    ))
}

/// Takes over three times; memory that stays with the owner, milliseconds, calls and bytes read.
fn takeovers(store: &mut Store, clock: u64) -> (usize, Vec<f64>, u64, usize) {
    let (mut times, mut memory, mut calls, mut read) = (Vec::new(), 0, 0, 0);
    for boot in 2..5 {
        let before = ALLOCATOR.allocated();
        let mut node = Node::new("entry-2", boot);
        let lists = std::cell::Cell::new((0, 0));
        let start = Instant::now();
        let effects = node.partition.take_over(at(clock));
        let mut calls_open = node.absorb(effects);
        while let Some((call, request)) = calls_open.pop() {
            let reply = store.apply(&request);
            if let daisymast_protocol::store::StoreReply::Entries { entries } = &reply {
                let bytes: usize = entries.iter().map(|entry| entry.value.len()).sum();
                lists.set((lists.get().0, lists.get().1 + bytes));
            }
            lists.set((lists.get().0 + 1, lists.get().1));
            let outcome = daisymast_protocol::outcome::Outcome::Done(reply);
            let effects = node.partition.on_store(at(clock), call, outcome);
            calls_open = node.absorb(effects);
        }
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
        assert!(node.partition.epoch().is_some(), "{:?}", node.changes);
        memory = ALLOCATOR.allocated().saturating_sub(before);
        (calls, read) = lists.get();
    }
    times.sort_by(f64::total_cmp);
    (memory, times, calls, read)
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn row(percent: u64, minutes: u64) {
    let mut bench = Bench::new();
    let end = minutes * 60_000;
    let started = Instant::now();
    for clock in (TICK_MS..=end).step_by(50) {
        bench.tick(clock, percent);
    }
    let processor = started.elapsed().as_secs_f64();
    let seconds = end as f64 / 1_000.0;
    let Bench {
        mut store,
        traffic,
        entries,
        refused,
        node,
        ..
    } = bench;
    drop(node);
    let kept: usize = store.map.values().map(|entry| entry.value.len()).sum();
    let keys = store.map.len();
    let (memory, times, calls, read) = takeovers(&mut store, end + 1_000);
    println!(
        "| {percent} | {minutes} | {entries} | {refused} | {:.2} | {:.3} | {:.0} | {:.0} | {keys} | {:.2} | {:.2} | {calls} | {:.2} | {:.1} ({:.1}-{:.1}) | {:.2} |",
        traffic.writes as f64 / seconds,
        traffic.reads as f64 / seconds,
        traffic.bytes as f64 / entries as f64,
        traffic.largest as f64 / 1_024.0,
        kept as f64 / 1e6,
        memory as f64 / 1e6,
        read as f64 / 1e6,
        times[1],
        times[0],
        times[2],
        processor / seconds * 100.0,
    );
}

fn main() {
    println!(
        "| % of peak | minutes | entries | refused | writes/s | reads/s | bytes written an entry | largest value KB | keys | MB kept | MB of an owner | takeover calls | takeover MB read | takeover ms | % of a core |"
    );
    println!("|{}", " --- |".repeat(15));
    for (percent, minutes) in SIZES {
        row(percent, minutes);
    }
}
