//! Measurement of the resource usage of one system.

use std::collections::BTreeMap;
use std::hint::black_box;

use daisymast_engine::instance::Instance;
use daisymast_matrix::meter::{Edge, Meter};
use daisymast_matrix::trace::Seen;
use daisymast_matrix::world::{WALL_START_MS, World};
use daisymast_protocol::caller::CallerReply;
use daisymast_types::ids::InstanceId;
use serde::Serialize;

use crate::slopes::scene::{self, LoadGenerator, Scene};

/// Number of instance copies whose memory is measured.
const STATE_COPIES: usize = 40;

/// Rate of one kind of message in the whole system.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Rate {
    /// Messages per second.
    pub messages: f64,
    /// Encoded bytes per second, without HTTP overhead.
    pub bytes: f64,
}

/// Rate and processing time of one kind of event in the whole system.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Events per second.
    pub events: f64,
    /// Milliseconds spent in `on_event` per second.
    pub millis: f64,
}

/// Values measured in a system of a given size and load.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// Size and load of the measured system.
    pub scene: Scene,
    /// Batch tasks started by workers per second.
    pub starts: f64,
    /// Median delay in milliseconds from the due time of a batch to the start of one of its tasks.
    /// Delays are measured modulo the ten seconds between two due times of a batch.
    pub delay_median: f64,
    /// 99th percentile of the same delay.
    pub delay_p99: f64,
    /// Requests per second that were answered with `done`.
    pub done: f64,
    /// Requests per second with any other reply.
    pub other: f64,
    /// Running tasks according to the status of all instances.
    pub running: f64,
    /// Message rates by destination (`peer`, `store` or `worker`) and kind.
    pub messages: BTreeMap<String, Rate>,
    /// Event rates and processing times by kind.
    pub events: BTreeMap<String, Cost>,
    /// Milliseconds spent in `on_event` per second, mean over the instances.
    pub mean_millis: f64,
    /// Milliseconds spent in `on_event` per second by the busiest instance.
    pub most_millis: f64,
    /// Memory of the state of one instance in KiB, mean over the measured copies.
    pub state_kib: f64,
    /// Timeline events per second at the instance that records the most.
    pub records: f64,
    /// Milliseconds from the submission of a manifest under load until it is in force at all
    /// instances; 0 if that exceeds the time limit.
    pub change_ms: f64,
    /// Writes to the store per second.
    pub store_writes: f64,
    /// Reads, lists and watches of the store per second.
    pub store_reads: f64,
    /// Total size of the values in the store in bytes.
    pub store_bytes: f64,
    /// Size of the largest value in the store in bytes.
    pub longest_value: f64,
}

/// Runs the system to its steady state and measures it.
pub fn measure(scene: Scene) -> Sample {
    let mut generator = scene.run_to_steady_state();
    let from = generator.world.trace.seen.len();
    let before = generator.world.platform().counts();
    generator.world.start_meter();
    generator.run(scene.seconds * 1_000);
    let meter = generator.world.take_meter().unwrap_or_default();
    let after = generator.world.platform().counts();
    let per_second = |count: u64| to_f64(count) / to_f64(scene.seconds);
    let (starts, done, other) = count_results(&generator, from);
    let delays = delays(&generator, from);
    let (mean_millis, most_millis) = time_by_instance(&scene, &meter);
    let state_kib = state_kib(&generator.world);
    let change_ms = generator.measure_manifest_change().map_or(0.0, to_f64);
    let values = generator.world.platform().entries();
    let lengths: Vec<u64> = values.map(|entry| entry.value.len() as u64).collect();
    Sample {
        scene,
        starts: per_second(starts),
        delay_median: percentile(&delays, 50),
        delay_p99: percentile(&delays, 99),
        done: per_second(done),
        other: per_second(other),
        running: running(&generator.world),
        messages: message_rates(&scene, &meter),
        events: event_costs(&scene, &meter),
        mean_millis,
        most_millis,
        state_kib,
        change_ms,
        records: per_second(meter.records.values().copied().max().unwrap_or(0)),
        store_writes: per_second(after.writes - before.writes),
        store_reads: per_second(after.reads - before.reads),
        store_bytes: to_f64(lengths.iter().sum()),
        longest_value: to_f64(lengths.iter().copied().max().unwrap_or(0)),
    }
}

/// Returns the sorted delays in milliseconds from the due time of a batch to the starts of its
/// tasks.
fn delays(generator: &LoadGenerator, from: usize) -> Vec<u64> {
    let period = scene::BATCH_COUNT * 1_000;
    let starts = generator.world.trace.seen[from..].iter();
    let mut delays: Vec<u64> = starts
        .filter_map(|(at, seen)| {
            let Seen::TaskStarted { spec, .. } = seen else {
                return None;
            };
            let index: u64 = spec.job.as_str().strip_prefix("batch-")?.parse().ok()?;
            Some((WALL_START_MS + at + period - index * 1_000) % period)
        })
        .collect();
    delays.sort_unstable();
    delays
}

fn percentile(sorted: &[u64], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |value| to_f64(*value))
}

fn count_results(generator: &LoadGenerator, from: usize) -> (u64, u64, u64) {
    let (mut starts, mut done, mut other) = (0, 0, 0);
    for (_, seen) in &generator.world.trace.seen[from..] {
        match seen {
            Seen::TaskStarted { .. } => starts += 1,
            Seen::CallerAnswered { reply, .. } => match reply {
                CallerReply::Done { .. } => done += 1,
                CallerReply::NotRun { .. } | CallerReply::Unknown { .. } => other += 1,
            },
            _ => {}
        }
    }
    (starts, done, other)
}

/// Number of running tasks according to the status of all instances.
fn running(world: &World) -> f64 {
    let now = daisymast_types::time::Timestamp::new(world.now(), WALL_START_MS + world.now());
    instances(world)
        .flat_map(|(_, instance)| instance.status(now).running)
        .map(|(_, tasks)| to_f64(u64::from(tasks)))
        .sum()
}

fn instances(world: &World) -> impl Iterator<Item = (InstanceId, &Instance)> {
    world.instances().into_iter().filter_map(|id| {
        let instance = world.node(&id)?.instance()?;
        Some((id, instance))
    })
}

fn message_rates(scene: &Scene, meter: &Meter) -> BTreeMap<String, Rate> {
    let seconds = to_f64(scene.seconds);
    let edge = |edge| match edge {
        Edge::Peer => "peer",
        Edge::Store => "store",
        Edge::Worker => "worker",
    };
    let each = meter.messages.iter().map(|((between, name), count)| {
        let rate = Rate {
            messages: to_f64(count.messages) / seconds,
            bytes: to_f64(count.bytes) / seconds,
        };
        (format!("{}.{name}", edge(*between)), rate)
    });
    each.collect()
}

fn event_costs(scene: &Scene, meter: &Meter) -> BTreeMap<String, Cost> {
    let seconds = to_f64(scene.seconds);
    let mut costs: BTreeMap<String, Cost> = BTreeMap::new();
    for ((_, name), work) in &meter.work {
        let cost = costs.entry(name.clone()).or_default();
        cost.events += to_f64(work.events) / seconds;
        cost.millis += work.time.as_secs_f64() * 1_000.0 / seconds;
    }
    costs
}

fn time_by_instance(scene: &Scene, meter: &Meter) -> (f64, f64) {
    let mut times: BTreeMap<&InstanceId, f64> = BTreeMap::new();
    for ((instance, _), work) in &meter.work {
        *times.entry(instance).or_default() += work.time.as_secs_f64() * 1_000.0;
    }
    let seconds = to_f64(scene.seconds);
    let sum: f64 = times.values().sum();
    let max = times.values().copied().fold(0.0, f64::max);
    (
        sum / seconds / to_f64(scene.all_instances() as u64),
        max / seconds,
    )
}

/// Measures the resident memory that a copy of an instance adds to the process. Shared strings and
/// the manifest are not copied, so they are not included.
fn state_kib(world: &World) -> f64 {
    let all: Vec<&Instance> = instances(world).map(|(_, instance)| instance).collect();
    // The first copies fill the free space that earlier work left in the heap, so that the measured
    // copies need new memory.
    let warm_up_copies: Vec<Instance> = all
        .iter()
        .cycle()
        .take(STATE_COPIES)
        .map(|i| (*i).clone())
        .collect();
    let before = resident_kib();
    let copies: Vec<Instance> = all
        .iter()
        .cycle()
        .take(STATE_COPIES)
        .map(|i| (*i).clone())
        .collect();
    let after = resident_kib();
    black_box((&warm_up_copies, &copies));
    (after - before).max(0.0) / to_f64(STATE_COPIES as u64)
}

fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

#[allow(clippy::cast_precision_loss, reason = "counts below 2^53")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
