//! Random faults around two instances that take the partitions from each other.

use daisymast_protocol::task::TaskState;
use daisymast_types::ids::WorkerId;
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::{collection, proptest};

use crate::partitions::tests::Store;
use crate::runs::tests::harness::{Node, batch, gang, manifest};
use crate::runs::tests::holder::{Holder, Link};

/// Enough that a task that failed on two workers finds room on a third one.
const WORKERS: u32 = 6;
const TASKS: u32 = 8;

#[derive(Clone, Copy, Debug)]
enum Op {
    Run(u64),
    StoreDown(bool),
    StartLink(Link),
    PollLink(Link),
    /// Whether the holder refuses polls of a former owner.
    RefuseStale(bool),
    /// The holder loses a worker, whose tasks run until their leases end, or gets it back.
    Gone(u32),
    Crash(usize),
    /// A process stands still for that many milliseconds.
    Pause(usize, u64),
    EndOne(TaskState),
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        3 => Just(Link::Good),
        1 => Just(Link::LosesReplies),
        1 => Just(Link::LosesCalls),
        1 => Just(Link::Delays),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (100_u64..8_000).prop_map(Op::Run),
        1 => Just(Op::StoreDown(true)),
        2 => Just(Op::StoreDown(false)),
        2 => link().prop_map(Op::StartLink),
        2 => link().prop_map(Op::PollLink),
        1 => prop_oneof![Just(Op::RefuseStale(false)), Just(Op::RefuseStale(true))],
        3 => (1..=WORKERS).prop_map(Op::Gone),
        1 => (0..2_usize).prop_map(Op::Crash),
        1 => (0..2_usize, 500_u64..30_000).prop_map(|(who, time)| Op::Pause(who, time)),
        2 => Just(Op::EndOne(TaskState::Failed)),
        2 => Just(Op::EndOne(TaskState::Succeeded)),
    ]
}

struct World {
    store: Store,
    holder: Holder,
    nodes: Vec<Node>,
    resumes: [u64; 2],
    clock: u64,
    boots: u64,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            store: Store::default(),
            holder: Holder::new(WORKERS),
            nodes: Vec::new(),
            resumes: [0, 0],
            clock: 0,
            boots: 0,
        };
        world.nodes = ["a", "b"].map(|name| world.node(name)).into();
        world
    }

    fn node(&mut self, name: &str) -> Node {
        self.boots += 1;
        let jobs = manifest(vec![batch("survey", TASKS)], vec![gang("model", 4)]);
        let rivals = ["a", "b"];
        let mut node = Node::with_rivals(name, self.boots, &self.holder, jobs, &rivals);
        node.pause(self.clock);
        node
    }

    fn run(&mut self, millis: u64) {
        let end = self.clock + millis;
        while self.clock < end {
            self.clock += 50;
            for (who, node) in self.nodes.iter_mut().enumerate() {
                if self.resumes[who] <= self.clock {
                    node.pause(self.clock - 50);
                    node.run(&mut self.store, &mut self.holder, self.clock);
                }
            }
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Run(millis) => self.run(millis),
            Op::StoreDown(down) => self.store.down = down,
            Op::StartLink(link) => self.holder.start_link = link,
            Op::PollLink(link) => self.holder.poll_link = link,
            Op::RefuseStale(refuses) => self.holder.refuses_stale = refuses,
            Op::Gone(number) => {
                let worker = WorkerId::from(format!("w-{number}"));
                if !self.holder.gone.remove(&worker) {
                    self.holder.gone.insert(worker);
                }
            }
            Op::Crash(who) => {
                let name = ["a", "b"][who];
                self.nodes[who] = self.node(name);
            }
            Op::Pause(who, millis) => self.resumes[who] = self.clock + millis,
            Op::EndOne(state) => {
                let mut tasks = self.holder.tasks.values_mut();
                let running = tasks.find(|one| one.1.state == TaskState::Running);
                if let Some((_, report)) = running {
                    report.state = state;
                }
            }
        }
    }

    /// After all faults are over, each task runs, is complete or is parked.
    fn check(&mut self) {
        self.store.down = false;
        self.holder.start_link = Link::Good;
        self.holder.poll_link = Link::Good;
        self.holder.gone.clear();
        self.resumes = [u64::MAX, 0];
        self.run(20_000);
        // The wait of a new owner for the former one. The process stands still to save time, so the
        // leases of its tasks end.
        self.clock += 920_000;
        self.run(60_000);
        let settled: u32 = self.nodes[1]
            .runs
            .status()
            .iter()
            .map(|run| run.done + run.parked)
            .sum();
        let open: u32 = self.nodes[1]
            .runs
            .status()
            .iter()
            .map(|run| run.tasks)
            .sum();
        let running = u32::try_from(self.holder.running()).expect("small");
        assert_eq!(settled + running, open, "{}", self.nodes[1].describe());
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against an exclusive task in two places, which the holder asserts at each start, and
    /// against a task that is never started again.
    #[test]
    fn no_task_in_two_places_and_none_left_behind(ops in collection::vec(op(), 1..60)) {
        let mut world = World::new();
        for op in ops {
            world.step(op);
        }
        world.check();
    }
}
