//! Simulation of the three limiter policies in front of one endpoint whose speed changes.
//!
//! The endpoint has 8 slots and 60 connections. Requests beyond the slots queue there, and requests
//! beyond the connections are refused. Its mean service time is 20 ms, from second 20 to second 40
//! 80 ms, then 20 ms again. The clients together send 350 requests per second with a deadline of
//! 0.5 s, and drop waiting requests whose remaining time is below the client's smoothed latency.
//! The classifier counts refusals and timeouts. A request times out if it takes more than 250 ms at
//! the endpoint or, in the rows marked "caller's deadline", if it ends after the deadline, which
//! includes the wait at the client. Figures are medians (minimum to maximum) over five seeds.

#![expect(clippy::print_stdout, reason = "the program prints a table")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use daisymast_admission::limiter::{self, Limiter, Permit, Policy, RequestOutcome};
use daisymast_admission::smoothing::Smoothed;
use daisymast_types::time::Monotonic;

const SLOTS: usize = 8;
const CONNECTIONS: usize = 60;
const DEADLINE_MICROS: u64 = 500_000;
/// Time at the endpoint above which a request counts as timed out.
const LOST_AFTER_MICROS: u64 = 250_000;
const MEAN_GAP_MICROS: u64 = 1_000_000 / 350;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const PHASES: [(u64, u64); 3] = [(0, 20_000), (20_000_000, 80_000), (40_000_000, 20_000)];
const END: u64 = 60_000_000;

struct Sent {
    client: usize,
    arrival: u64,
    sent: u64,
    permit: Permit,
}

type MakePolicy = fn() -> Policy;

/// Counts of the requests that arrived in one phase.
#[derive(Clone, Default)]
struct Tally {
    offered: u32,
    good: u32,
    refused: u32,
    lost: u32,
    latencies: Vec<u64>,
}

struct Model {
    random: fastrand::Rng,
    limiters: Vec<Limiter>,
    waiting: Vec<VecDeque<u64>>,
    latencies: Vec<Smoothed>,
    backlog: VecDeque<Sent>,
    busy: BinaryHeap<Reverse<(u64, u64)>>,
    in_service: Vec<(u64, Sent)>,
    serial: u64,
    /// Whether a timeout is determined by the time at the endpoint only, not by the deadline.
    strict: bool,
    tallies: Vec<Tally>,
}

fn clock(micros: u64) -> Monotonic {
    Monotonic::ZERO + Duration::from_micros(micros)
}

fn phase(at: u64) -> usize {
    PHASES
        .iter()
        .rposition(|(from, _)| *from <= at)
        .unwrap_or(0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "model times are below two minutes"
)]
fn exponential(random: &mut fastrand::Rng, mean: u64) -> u64 {
    (-(1.0 - random.f64()).ln() * mean as f64) as u64 + 1
}

impl Model {
    fn new(seed: u64, clients: usize, policy: MakePolicy, strict: bool) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            limiters: (0..clients).map(|_| Limiter::new(policy())).collect(),
            waiting: vec![VecDeque::new(); clients],
            latencies: vec![Smoothed::new(Duration::from_millis(20)); clients],
            backlog: VecDeque::new(),
            busy: BinaryHeap::new(),
            in_service: Vec::new(),
            serial: 0,
            strict,
            tallies: vec![Tally::default(); PHASES.len()],
        }
    }

    fn run(mut self) -> Vec<Tally> {
        let mut arrival = exponential(&mut self.random, MEAN_GAP_MICROS);
        while arrival < END || !self.busy.is_empty() {
            let end = self.busy.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let now = arrival.min(end);
            if end <= arrival {
                self.end_service(now);
            } else {
                let client = self.random.usize(..self.limiters.len());
                self.waiting[client].push_back(now);
                self.tallies[phase(now)].offered += 1;
                arrival = now + exponential(&mut self.random, MEAN_GAP_MICROS);
                if arrival >= END {
                    arrival = u64::MAX;
                }
            }
            self.send(now);
        }
        self.tallies
    }

    fn send(&mut self, now: u64) {
        for client in 0..self.limiters.len() {
            while let Some(&arrival) = self.waiting[client].front() {
                if clock(arrival + DEADLINE_MICROS) <= clock(now) + self.needed(client) {
                    self.waiting[client].pop_front();
                    continue;
                }
                let Some(permit) = self.limiters[client].try_acquire(clock(now)) else {
                    break;
                };
                self.waiting[client].pop_front();
                self.receive(
                    now,
                    Sent {
                        client,
                        arrival,
                        sent: now,
                        permit,
                    },
                );
            }
        }
    }

    /// Expected latency of a request. Zero for a client with nothing in flight, which sends in any
    /// case: otherwise it would never learn that the endpoint is fast again.
    fn needed(&self, client: usize) -> Duration {
        if self.limiters[client].in_flight() == 0 {
            Duration::ZERO
        } else {
            self.latencies[client].value()
        }
    }

    fn receive(&mut self, now: u64, sent: Sent) {
        if self.backlog.len() + self.in_service.len() >= CONNECTIONS {
            self.tallies[phase(sent.arrival)].refused += 1;
            self.limiters[sent.client].release(clock(now), sent.permit, RequestOutcome::Refused);
            return;
        }
        self.backlog.push_back(sent);
        self.serve(now);
    }

    /// The endpoint does not know the deadlines, so it also serves requests that have expired.
    fn serve(&mut self, now: u64) {
        while self.in_service.len() < SLOTS {
            let Some(sent) = self.backlog.pop_front() else {
                return;
            };
            let mean = PHASES[phase(now)].1;
            let end = now + mean / 2 + exponential(&mut self.random, mean / 2);
            self.serial += 1;
            self.busy.push(Reverse((end, self.serial)));
            self.in_service.push((self.serial, sent));
        }
    }

    fn end_service(&mut self, now: u64) {
        let Some(Reverse((_, serial))) = self.busy.pop() else {
            return;
        };
        let Some(position) = self.in_service.iter().position(|(one, _)| *one == serial) else {
            return;
        };
        let (_, sent) = self.in_service.swap_remove(position);
        let tally = &mut self.tallies[phase(sent.arrival)];
        if now > sent.arrival + DEADLINE_MICROS {
            tally.lost += 1;
        } else {
            tally.good += 1;
            tally.latencies.push(now - sent.sent);
        }
        let limit = if self.strict {
            LOST_AFTER_MICROS
        } else {
            sent.arrival + DEADLINE_MICROS - sent.sent
        };
        let outcome = if now - sent.sent > limit {
            RequestOutcome::TimedOut
        } else {
            RequestOutcome::Served
        };
        self.latencies[sent.client].add(Duration::from_micros(now - sent.sent));
        self.limiters[sent.client].release(clock(now), sent.permit, outcome);
        self.serve(now);
    }
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

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn row(tally: &mut Tally) -> [f64; 4] {
    tally.latencies.sort_unstable();
    let position = tally.latencies.len() * 99 / 100;
    let high = tally
        .latencies
        .get(position)
        .map_or(f64::NAN, |latency| *latency as f64 / 1e3);
    let percent = |count: u32| 100.0 * f64::from(count) / f64::from(tally.offered);
    [
        percent(tally.good),
        percent(tally.refused),
        percent(tally.lost),
        high,
    ]
}

fn main() {
    let additive: MakePolicy = || limiter::aimd(limiter::is_overload);
    let gradient: MakePolicy = || limiter::gradient(2.0);
    let policies: [(&str, MakePolicy, bool); 5] = [
        ("fixed", limiter::fixed, true),
        ("additive", additive, true),
        ("additive, caller's deadline", additive, false),
        ("gradient", gradient, true),
        ("gradient, caller's deadline", gradient, false),
    ];
    println!("| clients | limiter | service ms | in time % | refused % | too late % | p99 ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for clients in [1, 8] {
        for (name, policy, strict) in policies {
            let mut runs: Vec<Vec<Tally>> = SEEDS
                .iter()
                .map(|seed| Model::new(*seed, clients, policy, strict).run())
                .collect();
            for (index, (_, service)) in PHASES.iter().enumerate() {
                let rows: Vec<[f64; 4]> = runs.iter_mut().map(|run| row(&mut run[index])).collect();
                let cell = |column: usize| spread(rows.iter().map(|row| row[column]).collect());
                let (good, refused, lost, high) = (cell(0), cell(1), cell(2), cell(3));
                let service = service / 1_000;
                println!(
                    "| {clients} | {name} | {service} | {good} | {refused} | {lost} | {high} |"
                );
            }
        }
    }
}
