//! Construction of a world from its layout.

use std::collections::BTreeMap;

use daisymast_engine::config::{InstanceConfig, Seed, WorkerSeed};
use daisymast_platform::model::PlatformModel;
use daisymast_protocol::store::{Member, MemberId};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{BootId, InstanceId, Rack, WorkerId, Zone};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use crate::network::CutLinks;
use crate::trace::{Seen, Trace};
use crate::world::{InstanceProcess, ScheduledEvent, WorkerProcess, World};

/// Number and size of the parties of a world.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of zones, at most five.
    pub zones: usize,
    /// Number of entry instances per zone.
    pub instances: usize,
    /// Number of workers per zone.
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: Resources,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            zones: 3,
            instances: 2,
            workers: 2,
            capacity: Resources::new(32_000, 128 * 1024, 2),
        }
    }
}

/// Names of the zones: the three of the first users, and two more for simulations of the target
/// size.
const ZONES: [&str; 5] = ["austin", "temple", "waco", "bryan", "killeen"];

impl World {
    /// A world at virtual time zero, without an accepted manifest.
    pub fn new(layout: Layout) -> Self {
        let seeds = seeds(layout);
        let workers = worker_seeds(layout);
        let mut world = Self {
            now: 0,
            sequence: 0,
            event_queue: BTreeMap::new(),
            nodes: BTreeMap::new(),
            workers: BTreeMap::new(),
            platform: PlatformModel::default(),
            waiting: FastMap::default(),
            cut_links: CutLinks::default(),
            planned_faults: Vec::new(),
            session: None,
            periodic: false,
            faults_injected: 0,
            replies: FastMap::default(),
            next_token: 0,
            meter: None,
            trace: Trace::default(),
            lines: Vec::new(),
            sent: Vec::new(),
        };
        for seed in &workers {
            let process = WorkerProcess::new(seed, layout.capacity);
            let (worker, capacity) = (seed.worker.clone(), layout.capacity);
            world.trace.push(0, Seen::WorkerJoined { worker, capacity });
            world.workers.insert(seed.worker.clone(), process);
        }
        for (index, seed) in seeds.iter().enumerate() {
            let config =
                InstanceConfig::builder(seed.instance.clone(), seed.zone.clone(), BootId(1))
                    .address(&seed.address)
                    .seeds(seeds.clone())
                    .workers(workers.clone())
                    .build();
            world
                .nodes
                .insert(seed.instance.clone(), InstanceProcess::new(config, 1, 0));
            // Real processes do not tick at the same time, so the first ticks are staggered.
            world.schedule(
                7 * index as u64,
                ScheduledEvent::TickInstance(seed.instance.clone(), 1),
            );
        }
        world.schedule(0, ScheduledEvent::TickWorkers);
        world
    }

    /// Registers all instances and workers in the platform's member list, which is empty by
    /// default.
    pub fn list_members(&mut self, layout: Layout) {
        let now = Monotonic::from_millis(self.now);
        let instances = seeds(layout)
            .into_iter()
            .map(|seed| (MemberId::Instance(seed.instance), seed.zone, seed.address));
        let workers = worker_seeds(layout).into_iter().map(|seed| {
            let who = MemberId::Worker(seed.worker, seed.rack);
            (who, seed.zone, seed.address)
        });
        for (who, zone, address) in instances.chain(workers) {
            let member = Member {
                who,
                zone,
                address,
                leaving: false,
            };
            self.platform.register(now, member);
        }
    }
}

fn seeds(layout: Layout) -> Vec<Seed> {
    per_zone(layout.zones, layout.instances, "e")
        .map(|(zone, name)| Seed {
            instance: InstanceId::from(name.as_str()),
            zone,
            address: name,
        })
        .collect()
}

fn worker_seeds(layout: Layout) -> Vec<WorkerSeed> {
    per_zone(layout.zones, layout.workers, "w")
        .map(|(zone, name)| WorkerSeed {
            worker: WorkerId::from(name.as_str()),
            rack: Rack::from(format!("{zone}-r1")),
            zone,
            address: name,
        })
        .collect()
}

fn per_zone(zones: usize, count: usize, kind: &str) -> impl Iterator<Item = (Zone, String)> {
    ZONES.into_iter().take(zones).flat_map(move |zone| {
        (1..=count).map(move |index| (Zone::from(zone), format!("{zone}-{kind}{index}")))
    })
}
