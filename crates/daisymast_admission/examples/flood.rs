//! Simulation of a ten-fold overload by one flow, with the fair queue and with a single FIFO queue.
//!
//! There are eight slots. Each of three flows offers a quarter of the capacity, and one of them
//! offers ten times as much from second 5 to second 35. Items that have not started after 2 s are
//! dropped. Figures are medians (minimum to maximum) over five seeds, for the items that arrived
//! during the overload.

#![expect(clippy::print_stdout, reason = "the program prints a table")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use daisymast_admission::fair_queue::{FairQueue, Flow};
use daisymast_types::ids::JobName;
use daisymast_types::quantities::Urgency;
use daisymast_types::time::Monotonic;

const SLOTS: u32 = 8;
const FLOOD_FROM: u64 = 5_000_000;
const FLOOD_TO: u64 = 35_000_000;
const END: u64 = 40_000_000;
const MAX_WAIT_MICROS: u64 = 2_000_000;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Name, urgency and mean service time in microseconds. Each flow offers load for two of the eight
/// slots.
const FLOWS: [(&str, Urgency, u64); 3] = [
    ("quotes", Urgency::Urgent, 10_000),
    ("bookings", Urgency::Normal, 20_000),
    ("reconciliations", Urgency::Background, 60_000),
];

#[derive(Clone, Copy)]
struct Item {
    flow: usize,
    arrival: u64,
    service: u64,
}

enum Queue {
    Fair(FairQueue<usize>),
    Common(VecDeque<usize>, u32),
}

impl Queue {
    fn fair() -> Self {
        let mut fair = FairQueue::new(SLOTS, 1_024);
        for (name, urgency, _) in FLOWS {
            let name = JobName::from(name);
            fair.declare(Flow {
                name,
                urgency,
                weight: 1,
            });
        }
        Self::Fair(fair)
    }

    fn enqueue(&mut self, item: &Item, index: usize) {
        match self {
            Self::Fair(fair) => {
                let name = JobName::from(FLOWS[item.flow].0);
                let deadline = clock(item.arrival + MAX_WAIT_MICROS);
                let _ = fair.enqueue(clock(item.arrival), &name, index, deadline);
            }
            Self::Common(queue, _) if queue.len() < 3 * 1_024 => queue.push_back(index),
            Self::Common(..) => {}
        }
    }

    fn dequeue(&mut self, now: u64, items: &[Item]) -> Option<usize> {
        match self {
            Self::Fair(fair) => {
                fair.take_expired(clock(now));
                fair.dequeue().map(|(_, index)| index)
            }
            Self::Common(queue, running) => {
                while queue
                    .front()
                    .is_some_and(|index| items[*index].arrival + MAX_WAIT_MICROS <= now)
                {
                    queue.pop_front();
                }
                if *running >= SLOTS {
                    return None;
                }
                let index = queue.pop_front()?;
                *running += 1;
                Some(index)
            }
        }
    }

    fn finish(&mut self, item: &Item) {
        match self {
            Self::Fair(fair) => {
                let name = JobName::from(FLOWS[item.flow].0);
                fair.finish(&name, Some(Duration::from_micros(item.service)));
            }
            Self::Common(_, running) => *running -= 1,
        }
    }
}

fn clock(micros: u64) -> Monotonic {
    Monotonic::ZERO + Duration::from_micros(micros)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "model times are below a minute"
)]
fn exponential(random: &mut fastrand::Rng, mean: u64) -> u64 {
    (-(1.0 - random.f64()).ln() * mean as f64) as u64 + 1
}

fn arrivals(seed: u64, flooding: usize) -> Vec<Item> {
    let mut items = Vec::new();
    for (flow, (_, _, service)) in FLOWS.iter().enumerate() {
        let mut random = fastrand::Rng::with_seed(seed * 10 + flow as u64);
        let mut now = 0;
        while now < END {
            let flood = flow == flooding && (FLOOD_FROM..FLOOD_TO).contains(&now);
            let gap = if flood { service / 20 } else { service / 2 };
            now += exponential(&mut random, gap);
            let service = exponential(&mut random, *service);
            items.push(Item {
                flow,
                arrival: now,
                service,
            });
        }
    }
    items.sort_by_key(|item| item.arrival);
    items
}

/// Waiting times in microseconds of the items that arrived during the overload, by flow; `None` if
/// the item was dropped.
fn simulate(mut queue: Queue, items: &[Item]) -> Vec<Vec<Option<u64>>> {
    let mut waits: Vec<Option<u64>> = vec![None; items.len()];
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut next = 0;
    loop {
        let arrival = items.get(next).map_or(u64::MAX, |item| item.arrival);
        let end = ends.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        let now = arrival.min(end);
        if now == u64::MAX {
            break;
        }
        if end <= arrival {
            if let Some(Reverse((_, index))) = ends.pop() {
                queue.finish(&items[index]);
            }
        } else {
            queue.enqueue(&items[next], next);
            next += 1;
        }
        while let Some(index) = queue.dequeue(now, items) {
            waits[index] = Some(now - items[index].arrival);
            ends.push(Reverse((now + items[index].service, index)));
        }
    }
    let mut by_flow = vec![Vec::new(); FLOWS.len()];
    for (item, wait) in items.iter().zip(waits) {
        if (FLOOD_FROM..FLOOD_TO).contains(&item.arrival) {
            by_flow[item.flow].push(wait);
        }
    }
    by_flow
}

/// Served items in percent, and the median and 99th percentile of their waiting time in
/// milliseconds.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn summary(waits: &[Option<u64>]) -> [f64; 3] {
    let mut served: Vec<u64> = waits.iter().flatten().copied().collect();
    served.sort_unstable();
    let at = |part: usize| {
        let position = served.len() * part / 100;
        served
            .get(position.min(served.len().saturating_sub(1)))
            .map_or(f64::NAN, |wait| *wait as f64 / 1e3)
    };
    [
        100.0 * served.len() as f64 / waits.len() as f64,
        at(50),
        at(99),
    ]
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (least, middle, most) = (
        values[0],
        values[values.len() / 2],
        values[values.len() - 1],
    );
    format!("{middle:.1} ({least:.1}-{most:.1})")
}

fn main() {
    println!("| flood of | queue | kind | served % | median wait ms | p99 wait ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (flooding, (flood, _, _)) in FLOWS.iter().enumerate() {
        for fair in [true, false] {
            let runs: Vec<_> = SEEDS
                .iter()
                .map(|seed| {
                    let queue = if fair {
                        Queue::fair()
                    } else {
                        Queue::Common(VecDeque::new(), 0)
                    };
                    simulate(queue, &arrivals(*seed, flooding))
                })
                .collect();
            for (flow, (name, _, _)) in FLOWS.iter().enumerate() {
                let rows: Vec<[f64; 3]> = runs.iter().map(|run| summary(&run[flow])).collect();
                let cell = |column: usize| spread(rows.iter().map(|row| row[column]).collect());
                let label = if fair { "shares" } else { "one FIFO" };
                println!(
                    "| {flood} | {label} | {name} | {} | {} | {} |",
                    cell(0),
                    cell(1),
                    cell(2)
                );
            }
        }
    }
}
