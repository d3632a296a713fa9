//! Packing, spreading and gang placement on a pool of workers.

use daisymast_placement::pool::{Demand, Machine, PlacementError, Policy, Pool};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Rack, RunKey, WorkerId, Zone};
use daisymast_types::quantities::Resources;
use proptest::prelude::*;

const CAPACITY: Resources = Resources::new(8_000, 16_384, 0);

fn machine(number: u32) -> Machine {
    Machine {
        worker: WorkerId::from(format!("w-{number}")),
        zone: Zone::from(format!("zone-{}", number / 8)),
        rack: Rack::from(format!("rack-{}", number / 2)),
        capacity: CAPACITY,
        free: CAPACITY,
        schedulable: true,
    }
}

fn pool(count: u32) -> Pool {
    let mut pool = Pool::default();
    for number in 0..count {
        pool.update(machine(number));
    }
    pool
}

fn demand(policy: Policy, millicores: u32, memory: u32) -> Demand {
    Demand {
        run: RunKey(1),
        policy,
        size: Resources::new(millicores, memory, 0),
        excluded: Vec::new(),
    }
}

fn number(worker: &WorkerId) -> u32 {
    worker
        .as_str()
        .trim_start_matches("w-")
        .parse()
        .expect("a number")
}

/// Guards against fragmenting a large free block when the task fits a tighter worker.
#[test]
fn packing_prefers_the_tightest_worker() {
    let mut pool = pool(4);
    let mut nearly_full = machine(2);
    nearly_full.free = Resources::new(1_000, 2_048, 0);
    pool.update(nearly_full);
    let found = pool.place(&demand(Policy::Pack, 1_000, 2_048));
    assert_eq!(found, Ok(WorkerId::from("w-2")));
}

/// Guards against leaving free memory on a worker without free CPU to use it.
#[test]
fn packing_keeps_free_cpu_and_memory_balanced() {
    let mut pool = pool(2);
    let mut unbalanced = machine(1);
    unbalanced.free = Resources::new(4_000, 16_384, 0);
    pool.update(unbalanced);
    let found = pool.place(&demand(Policy::Pack, 1_000, 8_192));
    assert_eq!(found, Ok(WorkerId::from("w-1")));
}

/// Guards against replicas that share an availability zone, rack or worker while others have none.
#[test]
fn spreading_balances_zones_then_racks_then_workers() {
    let mut pool = pool(16);
    let demand = demand(Policy::Spread, 500, 1_024);
    let placed: Vec<u32> = (0..32)
        .map(|_| number(&pool.place(&demand).expect("a worker fits")))
        .collect();
    let distinct = |count: usize, group: u32| {
        let mut groups: Vec<u32> = placed[..count].iter().map(|one| one / group).collect();
        groups.sort_unstable();
        groups.dedup();
        groups.len()
    };
    assert_eq!(distinct(2, 8), 2, "two zones");
    assert_eq!(distinct(8, 2), 8, "eight racks");
    assert_eq!(distinct(16, 1), 16, "sixteen workers");
    for worker in 0..16 {
        assert_eq!(placed.iter().filter(|one| **one == worker).count(), 2);
    }
}

/// Guards against spreading that ignores replicas which run already.
#[test]
fn spreading_counts_existing_replicas() {
    let mut pool = pool(16);
    let first_zone: Vec<WorkerId> = (0..8)
        .map(|number| WorkerId::from(format!("w-{number}")))
        .collect();
    pool.set_replicas(RunKey(1), &first_zone);
    for _ in 0..8 {
        let worker = pool
            .place(&demand(Policy::Spread, 500, 1_024))
            .expect("a worker fits");
        assert!(number(&worker) >= 8);
    }
    pool.set_replicas(RunKey(1), &[]);
    let other_run = Demand {
        run: RunKey(2),
        ..demand(Policy::Spread, 500, 1_024)
    };
    assert!(pool.place(&other_run).is_ok());
}

/// Guards against a gang that uses more workers than necessary, and against one that is placed in
/// part.
#[test]
fn gang_is_placed_whole_on_few_workers_or_not_at_all() {
    let mut pool = pool(4);
    let mut small = machine(3);
    small.free = Resources::new(2_000, 16_384, 0);
    pool.update(small);
    let task = demand(Policy::Gang, 2_000, 1_024);
    assert_eq!(
        pool.place_gang(&task, 14),
        Err(PlacementError::InsufficientCapacity)
    );
    for worker in 0..3 {
        assert_eq!(
            pool.free(&WorkerId::from(format!("w-{worker}"))),
            Some(CAPACITY)
        );
    }
    let workers = pool.place_gang(&task, 5).expect("a worker fits");
    let on_small = workers.iter().filter(|worker| number(worker) == 3).count();
    assert_eq!(
        (workers.len(), on_small),
        (5, 1),
        "four tasks on one worker, the last one on the tightest"
    );
    let mut distinct = workers;
    distinct.dedup();
    assert_eq!(distinct.len(), 2);
}

/// Guards against retrying a task on a worker where it failed.
#[test]
fn excluded_workers_are_not_used() {
    for policy in [Policy::Pack, Policy::Spread, Policy::Gang] {
        let mut pool = pool(2);
        let mut demand = demand(policy, 1_000, 1_024);
        demand.excluded = vec![WorkerId::from("w-0")];
        assert_eq!(pool.place(&demand), Ok(WorkerId::from("w-1")));
        assert_eq!(
            pool.place_gang(&demand, 2),
            Ok(vec![WorkerId::from("w-1"); 2])
        );
        demand.excluded.push(WorkerId::from("w-1"));
        assert_eq!(
            pool.place(&demand),
            Err(PlacementError::InsufficientCapacity)
        );
    }
}

/// Guards against waiting forever for a worker that is large enough, and against rejecting a task
/// that only has to wait.
#[test]
fn never_fits_is_distinguished_from_insufficient_capacity() {
    let never = demand(Policy::Pack, 8_001, 1_024);
    let large = demand(Policy::Pack, 8_000, 16_384);
    assert_eq!(
        Pool::default().place(&never),
        Err(PlacementError::InsufficientCapacity)
    );
    let mut pool = pool(1);
    assert_eq!(pool.place(&never), Err(PlacementError::NeverFits));
    assert_eq!(pool.place_gang(&never, 1), Err(PlacementError::NeverFits));
    assert!(pool.place(&large).is_ok());
    assert_eq!(
        pool.place(&large),
        Err(PlacementError::InsufficientCapacity)
    );
    pool.release(&WorkerId::from("w-0"), large.size);
    let mut closed = machine(0);
    closed.schedulable = false;
    pool.update(closed);
    assert_eq!(
        pool.place(&large),
        Err(PlacementError::InsufficientCapacity)
    );
    pool.remove(&WorkerId::from("w-0"));
    assert_eq!(
        pool.place(&never),
        Err(PlacementError::InsufficientCapacity)
    );
}

/// Guards against occupying workers with accelerators by tasks that need none.
#[test]
fn accelerators_are_kept_for_tasks_that_need_them() {
    let mut pool = pool(1);
    let mut special = machine(1);
    special.capacity.accelerators = 1;
    special.free = Resources::new(1_000, 1_024, 1);
    pool.update(special);
    let plain = demand(Policy::Pack, 1_000, 1_024);
    assert_eq!(pool.place(&plain), Ok(WorkerId::from("w-0")));
    let mut accelerated = plain.clone();
    accelerated.size.accelerators = 1;
    assert_eq!(pool.place(&accelerated), Ok(WorkerId::from("w-1")));
    assert_eq!(
        pool.place(&accelerated),
        Err(PlacementError::InsufficientCapacity)
    );
}

/// Guards against choosing a slow worker when a faster one fits equally well.
#[test]
fn faster_workers_are_preferred() {
    let mut pool = pool(3);
    pool.set_speed(&WorkerId::from("w-1"), 2_000);
    assert_eq!(
        pool.place(&demand(Policy::Pack, 1_000, 2_048)),
        Ok(WorkerId::from("w-1"))
    );
}

/// Guards against free capacity above the total capacity of a worker, for example after a task is
/// released twice.
#[test]
fn free_capacity_never_exceeds_the_worker() {
    let mut pool = pool(1);
    let worker = WorkerId::from("w-0");
    pool.release(&worker, CAPACITY);
    assert_eq!(pool.free(&worker), Some(CAPACITY));
    let mut invalid = machine(0);
    invalid.free = Resources::new(9_000, 20_000, 3);
    pool.update(invalid);
    assert_eq!(pool.free(&worker), Some(CAPACITY));
}

#[derive(Clone, Debug)]
enum Action {
    Place(usize, Resources),
    Gang(Resources, u32),
    Release(usize),
    Close(u32, bool),
    Remove(u32),
}

fn size() -> impl Strategy<Value = Resources> {
    (0..9_000_u32, 0..18_000_u32, 0..3_u16).prop_map(|(processors, memory, accelerators)| {
        Resources::new(processors, memory, accelerators.saturating_sub(1))
    })
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => (0..3_usize, size()).prop_map(|(policy, size)| Action::Place(policy, size)),
        1 => (size(), 1..8_u32).prop_map(|(size, tasks)| Action::Gang(size, tasks)),
        6 => any::<usize>().prop_map(Action::Release),
        1 => (0..12_u32, any::<bool>())
            .prop_map(|(which, schedulable)| Action::Close(which, schedulable)),
        1 => (0..12_u32).prop_map(Action::Remove),
    ]
}

/// Reference model of the pool: the same workers without an index.
#[derive(Default)]
struct Model {
    machines: FastMap<WorkerId, Machine>,
    tasks: Vec<(WorkerId, Resources)>,
}

impl Model {
    fn has_capacity(&self, size: Resources) -> bool {
        self.machines
            .values()
            .any(|one| one.schedulable && size.fits_in(one.free))
    }

    fn take(&mut self, worker: &WorkerId, size: Resources) {
        let machine = self.machines.get_mut(worker).expect("a known worker");
        assert!(
            machine.schedulable && size.fits_in(machine.free),
            "{size:?} on {machine:?}"
        );
        machine.free -= size;
        self.tasks.push((worker.clone(), size));
    }
}

fn mixed_machine(number: u32) -> Machine {
    let mut machine = machine(number);
    if number.is_multiple_of(3) {
        machine.capacity = Resources::new(4_000, 8_192, 1);
    }
    machine.free = machine.capacity;
    machine
}

fn step(pool: &mut Pool, model: &mut Model, action: Action) {
    let policies = [Policy::Pack, Policy::Spread, Policy::Gang];
    let demand = |policy, size| Demand {
        run: RunKey(1),
        policy,
        size,
        excluded: Vec::new(),
    };
    match action {
        Action::Place(policy, size) => match pool.place(&demand(policies[policy], size)) {
            Ok(worker) => model.take(&worker, size),
            Err(_) => assert!(!model.has_capacity(size), "{size:?} was refused"),
        },
        Action::Gang(size, tasks) => {
            if let Ok(workers) = pool.place_gang(&demand(Policy::Gang, size), tasks) {
                assert_eq!(workers.len(), tasks as usize);
                workers.iter().for_each(|worker| model.take(worker, size));
            }
        }
        Action::Release(which) if !model.tasks.is_empty() => {
            let (worker, size) = model.tasks.swap_remove(which % model.tasks.len());
            pool.release(&worker, size);
            if let Some(machine) = model.machines.get_mut(&worker) {
                machine.free += size;
            }
        }
        Action::Release(_) => {}
        Action::Close(which, schedulable) => {
            let worker = WorkerId::from(format!("w-{which}"));
            let known = model
                .machines
                .entry(worker)
                .or_insert_with(|| mixed_machine(which));
            known.schedulable = schedulable;
            pool.update(known.clone());
        }
        Action::Remove(which) => {
            let worker = WorkerId::from(format!("w-{which}"));
            pool.remove(&worker);
            model.machines.remove(&worker);
            model.tasks.retain(|(on, _)| *on != worker);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against exceeding the capacity of a worker, refusing a task that fits, and an index
    /// that is out of step with the workers.
    #[test]
    fn pool_agrees_with_reference_model(actions in prop::collection::vec(action(), 1..200)) {
        let (mut pool, mut model) = (Pool::default(), Model::default());
        for number in 0..12 {
            pool.update(mixed_machine(number));
            model.machines.insert(mixed_machine(number).worker, mixed_machine(number));
        }
        for action in actions {
            step(&mut pool, &mut model, action);
            for (worker, machine) in &model.machines {
                prop_assert_eq!(pool.free(worker), Some(machine.free));
            }
        }
    }
}
