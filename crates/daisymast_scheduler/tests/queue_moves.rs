//! Tests of queues whose settings change while their jobs run: another service, priority or advice.

mod common;

use std::sync::Arc;

use common::{BATCH, QUICK, Rig, config, gang, job, mono, step};
use daisymast_jobs::job::State;
use daisymast_jobs::spec::{JobId, Step};
use daisymast_scheduler::config::Configuration;

/// Service that queues move to.
const NEW_SERVICE: &str = "new";
/// Time for which a job may have nothing running while there is capacity for it, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;
/// Run time of tasks that run until their job is cancelled, in milliseconds.
const ENDLESS_MS: u64 = 1_000_000;

/// Version 2 of the configuration, with the batch queue on the new service.
fn with_moved_queue() -> Configuration {
    let mut config = (*config()).clone();
    config.version = 2;
    for queue in &mut config.queues {
        if queue.name == BATCH.into() {
            queue.service = NEW_SERVICE.into();
        }
    }
    config
}

/// Version 3, without the batch queue.
fn without_queue() -> Configuration {
    let mut config = with_moved_queue();
    config.version = 3;
    config.queues.retain(|queue| queue.name != BATCH.into());
    config
}

fn configure(rig: &mut Rig, config: Configuration) {
    rig.scheduler.configure(Arc::new(config), mono(rig.now));
}

/// A cell whose first worker belongs to the former service and all others to the new one.
fn two_services() -> Rig {
    let mut rig = Rig::new(4);
    for number in 1..4 {
        rig.workers[number].service = NEW_SERVICE;
        rig.register(number);
    }
    rig
}

fn lasting(tasks: u32) -> Step {
    Step {
        lasting: true,
        ..step(tasks, 4, 1_000)
    }
}

/// Submits a batch of two steps, a gang and a service, and lets their first tasks start.
fn submit_jobs(rig: &mut Rig) {
    let mut second = step(2, 4, 1_000);
    second.after = vec![0];
    rig.submit(1, BATCH, job(vec![step(2, 4, 12_000), second]));
    rig.submit(2, BATCH, job(vec![lasting(1)]));
    rig.work_ms.insert((JobId(2), 0), ENDLESS_MS);
    rig.submit(3, BATCH, job(vec![gang(2, 4, 9_000)]));
    rig.run_ms(500);
    assert_eq!(rig.running(), 5);
}

/// Takes the worker of the former service away, as after its drain.
fn remove_former_worker(rig: &mut Rig) {
    rig.workers[0].draining = true;
    rig.register(0);
    rig.run_ms(2_000);
    rig.crash(0);
    rig.deregister(0);
}

/// Lets all leases of the removed worker end and checks that each job runs on the new service.
fn check_runs_on_new_service(rig: &mut Rig, play: &str) {
    rig.run_ms(7_000 + IDLE_LIMIT_MS);
    for id in 1..=3 {
        let is_running = rig.starts_of(id).iter().any(|start| start.worker != 0);
        assert!(is_running, "{play}: job {id}");
    }
    for id in [1, 3] {
        assert!(
            rig.run_until(id, State::Completed, 20_000).is_some(),
            "{play}: job {id}"
        );
    }
}

/// Guards against tasks that wait for the former service of a queue that has moved, and never run
/// again once its workers have left (review/9).
#[test]
fn jobs_of_a_queue_that_moves_run_on_its_new_service() {
    let mut rig = two_services();
    submit_jobs(&mut rig);
    configure(&mut rig, with_moved_queue());
    rig.run_ms(500);
    remove_former_worker(&mut rig);
    check_runs_on_new_service(&mut rig, "moved");
}

/// Guards against the same when a later version drops the queue. Its last known settings are then
/// those that were stored with its jobs, which named the former service.
#[test]
fn jobs_of_a_queue_that_moves_and_is_dropped_run_on_its_new_service() {
    for takes_over in [false, true] {
        let mut rig = two_services();
        submit_jobs(&mut rig);
        configure(&mut rig, with_moved_queue());
        rig.run_ms(500);
        configure(&mut rig, without_queue());
        rig.run_ms(500);
        if takes_over {
            rig.take_over_with(without_queue());
            rig.run_ms(500);
        }
        remove_former_worker(&mut rig);
        check_runs_on_new_service(&mut rig, &format!("dropped, new scheduler {takes_over}"));
    }
}

/// Guards against the same when the queue moves while no scheduler is elected.
#[test]
fn a_new_scheduler_stores_the_service_of_a_queue_that_has_moved() {
    let mut rig = two_services();
    submit_jobs(&mut rig);
    rig.take_over_with(with_moved_queue());
    rig.run_ms(500);
    configure(&mut rig, without_queue());
    remove_former_worker(&mut rig);
    check_runs_on_new_service(&mut rig, "moved between terms");
}

/// Guards against the same when the queue moves and is dropped while no scheduler is elected. The new
/// scheduler has never had the version that names the new service; a node that has had it would need to
/// pass it on.
#[test]
fn jobs_of_a_queue_that_moves_and_is_dropped_between_terms_run_on_its_new_service() {
    let mut rig = two_services();
    submit_jobs(&mut rig);
    rig.take_over_with(without_queue());
    rig.run_ms(500);
    remove_former_worker(&mut rig);
    check_runs_on_new_service(&mut rig, "moved and dropped between terms");
}

/// Shows what the same jobs do until then: they run on the workers of the former service while there
/// are any.
#[test]
fn jobs_of_a_queue_that_moves_and_is_dropped_between_terms_run_on_its_former_service() {
    let mut rig = two_services();
    submit_jobs(&mut rig);
    rig.take_over_with(without_queue());
    for id in [1, 3] {
        assert!(rig.run_until(id, State::Completed, 30_000).is_some());
    }
}

/// Guards against a step that keeps the priority that its queue had when it became ready.
#[test]
fn a_waiting_step_takes_the_new_priority_of_its_queue() {
    let mut rig = Rig::new(1);
    rig.submit(1, QUICK, job(vec![step(1, 32, 1_000)]));
    rig.run_ms(100);
    rig.submit(2, QUICK, job(vec![step(1, 32, 1_000)]));
    rig.submit(3, BATCH, job(vec![step(1, 32, 1_000)]));
    rig.run_ms(100);
    let mut swapped = (*config()).clone();
    swapped.version = 2;
    for queue in &mut swapped.queues {
        queue.priority = 2 - queue.priority;
    }
    configure(&mut rig, swapped);
    assert!(rig.run_until(3, State::Completed, 4_000).is_some());
    assert_ne!(rig.state(2), Some(State::Completed));
}

/// Guards against a step that waits for the answers of an advice service that its queue no longer
/// needs, or runs without those that it needs now.
#[test]
fn a_waiting_step_takes_the_new_advice_of_its_queue() {
    let mut rig = Rig::new(2);
    rig.allowed.insert("none".to_owned());
    rig.submit(1, common::GANGS, job(vec![step(1, 8, 500)]));
    rig.run_ms(2_000);
    assert!(rig.starts_of(1).is_empty());
    let mut free = (*config()).clone();
    free.version = 2;
    free.queues.iter_mut().for_each(|queue| queue.advice = None);
    configure(&mut rig, free);
    assert!(rig.run_until(1, State::Completed, IDLE_LIMIT_MS).is_some());
}
