//! Shares and rates of organisations on a fleet that cannot serve all at once.

mod common;

use std::collections::BTreeMap;

use common::{BATCH, QUICK, Rig, job, step};
use daisymast_jobs::job::State;
use daisymast_jobs::spec::JobId;

const HOT: &str = "hot";
const OTHERS: [&str; 4] = ["saws", "drills", "lathes", "presses"];
/// No cap binds in these tests: the fleets have fewer cores.
const CAP: u32 = 1_000;
/// Weight of an organisation with one job a second within its rate.
const USUAL: f64 = 1.0;
/// Weight that puts all jobs of an organisation within its rate.
const UNLIMITED: f64 = 1_000.0;
/// Run time of a task, in milliseconds. Nothing is stopped for others, so a job may wait for as long.
const RUN_MS: u32 = 1_000;
/// Number of times in a second at which jobs are submitted.
const TICKS: u64 = 100;

/// Plays ten seconds in which four organisations submit a job a second each, which fills two thirds of
/// the fleet, and `HOT` as many as given, all of the same weight. Returns the mean time in which the jobs of the
/// worst organisation of the four were completed, in milliseconds.
fn play_flood(weight: f64, hot_jobs: u64, queue: &str) -> u64 {
    let mut organisations = OTHERS.map(|name| (name, weight, CAP)).to_vec();
    organisations.push((HOT, weight, CAP));
    let mut rig = Rig::with_organisations(6, &organisations);
    let mut open = Vec::new();
    let mut took: BTreeMap<&str, u64> = BTreeMap::new();
    for second in 0..10 {
        for tick in 0..TICKS {
            for number in (0..hot_jobs).filter(|number| number * TICKS / hot_jobs == tick) {
                let id = 10_000 + second * 100 + number;
                rig.submit_owned(id, HOT, queue, job(vec![step(4, 8, RUN_MS)]));
            }
            for (index, organisation) in (0_u64..).zip(OTHERS) {
                if index * TICKS / OTHERS.len() as u64 == tick {
                    let id = 1 + second * 10 + index;
                    rig.submit_owned(id, organisation, queue, job(vec![step(4, 8, RUN_MS)]));
                    open.push((id, organisation, rig.now));
                }
            }
            rig.run_ms(1_000 / TICKS);
            note_completed(&rig, &mut open, &mut took);
        }
    }
    while !open.is_empty() && rig.now < 200_000 {
        rig.run_ms(10);
        note_completed(&rig, &mut open, &mut took);
    }
    assert!(open.is_empty(), "not completed: {open:?}");
    took.into_values().max().unwrap_or(0) / 10
}

/// Adds the times of the jobs that have been completed to those of their organisations.
fn note_completed(
    rig: &Rig,
    open: &mut Vec<(u64, &'static str, u64)>,
    took: &mut BTreeMap<&'static str, u64>,
) {
    open.retain(|&(id, organisation, since)| {
        let job = JobId(id);
        let is_completed = rig.scheduler.state(job) == Some(State::Completed);
        if is_completed {
            *took.entry(organisation).or_default() += rig.now - since;
        }
        !is_completed
    });
}

/// Guards against a flood of seven times the usual, all beyond the rate of its organisation, that costs
/// the other organisations more than the ends of the tasks that it already has running.
#[test]
fn a_flood_beyond_the_rate_costs_others_nothing() {
    for queue in [BATCH, QUICK] {
        let (alone, beside) = (play_flood(USUAL, 1, queue), play_flood(USUAL, 7, queue));
        assert!(
            beside <= alone + u64::from(RUN_MS) / 2,
            "{queue}: {alone} ms, then {beside} ms"
        );
    }
}

/// Guards against a flood within the rate of its organisation that takes more than its share of the room.
#[test]
fn a_flood_within_the_rate_is_held_to_its_share() {
    for queue in [BATCH, QUICK] {
        let (alone, beside) = (play_flood(USUAL, 1, queue), play_flood(UNLIMITED, 7, queue));
        assert!(
            beside <= alone + u64::from(RUN_MS),
            "{queue}: {alone} ms, then {beside} ms"
        );
    }
}

/// Guards against an idle share that lies fallow, and against one that does not return to its
/// organisation as the tasks of the others end.
#[test]
fn an_idle_share_is_lent_and_called_back() {
    let organisations = [(HOT, UNLIMITED, CAP), ("saws", UNLIMITED, CAP)];
    let mut rig = Rig::with_organisations(6, &organisations);
    for id in 100..160 {
        rig.submit_owned(id, HOT, BATCH, job(vec![step(4, 4, 1_000)]));
    }
    rig.run_ms(900);
    assert!(rig.running_of(HOT).millicores > 150_000, "of 192 cores");
    for id in 1..20 {
        rig.submit_owned(id, "saws", BATCH, job(vec![step(4, 4, 1_000)]));
    }
    rig.run_ms(1_500);
    let (hot, saws) = (rig.running_of(HOT), rig.running_of("saws"));
    assert!(saws.millicores >= 70_000, "{hot:?}, {saws:?}");
    assert!(hot.millicores >= 60_000, "{hot:?}, {saws:?}");
}

/// Guards against jobs beyond the rate that are never served once the others leave room.
#[test]
fn jobs_beyond_the_rate_are_served_after_the_others() {
    let organisations = [(HOT, USUAL, CAP), ("saws", UNLIMITED, CAP)];
    let mut rig = Rig::with_organisations(2, &organisations);
    for id in 100..110 {
        rig.submit_owned(id, HOT, QUICK, job(vec![step(2, 8, 500)]));
    }
    for id in 1..20 {
        rig.submit_owned(id, "saws", BATCH, job(vec![step(2, 8, 500)]));
    }
    for id in 100..110 {
        assert!(rig.run_until(id, State::Completed, 20_000).is_some());
    }
}
