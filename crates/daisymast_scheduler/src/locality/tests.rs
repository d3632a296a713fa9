//! Tests of the decision to wait.

use super::*;

const NOW: time::Monotonic = time::Monotonic::from_millis(50_000);

fn choice(slack_ms: u64) -> Choice {
    Choice {
        estimate: Duration::from_millis(4_000),
        far_speed: 1.0,
        latest_start: NOW + Duration::from_millis(slack_ms),
        far_tasks: 2,
        is_gang: false,
        limit: None,
    }
}

fn places(free_in_ms: &[u64]) -> Vec<Place> {
    let places = free_in_ms.iter().map(|&millis| Place {
        worker_index: 1,
        free_in: Duration::from_millis(millis),
        speed: 1.0,
    });
    places.collect()
}

fn held(locality: &Locality, choice: &Choice, free_in_ms: &[u64]) -> Option<(u32, Duration)> {
    let hold = locality.weigh(choice, &"r1".into(), places(free_in_ms), NOW)?;
    Some((hold.tasks, hold.until - NOW))
}

/// Guards against a wait that makes a job late which would be on time far away.
#[test]
fn a_wait_ends_while_a_far_start_is_on_time() {
    let locality = Locality::new(1.5);
    // A far run takes 2 s longer, and 100 ms are kept for the start.
    assert_eq!(held(&locality, &choice(2_400), &[400]), None);
    let (_, longest) = held(&locality, &choice(2_600), &[400]).expect("a wait");
    assert_eq!(longest, Duration::from_millis(500));
    assert_eq!(held(&locality, &choice(0), &[1]), None, "a late job waits");
}

/// Guards against a start far away that makes a job late, although a near place is free in time.
#[test]
fn a_job_that_is_only_on_time_near_its_data_waits_until_its_latest_start() {
    let locality = Locality::new(1.5);
    let (_, longest) = held(&locality, &choice(1_000), &[700]).expect("a wait");
    assert_eq!(longest, Duration::from_millis(900));
    assert_eq!(held(&locality, &choice(1_000), &[950]), None);
}

/// Guards against tasks that wait beyond the number of places, and a gang of which only some wait.
#[test]
fn tasks_wait_one_by_one_and_gangs_together() {
    let locality = Locality::new(1.5);
    let single = choice(60_000);
    let gang = Choice {
        is_gang: true,
        ..single
    };
    let tasks = |choice, places: &[u64]| held(&locality, choice, places).map(|(tasks, _)| tasks);
    assert_eq!(tasks(&single, &[300, 3_000]), Some(1));
    assert_eq!(tasks(&single, &[300, 400, 500]), Some(2));
    assert_eq!(tasks(&gang, &[300, 3_000]), None);
    assert_eq!(tasks(&gang, &[300]), None);
    assert_eq!(tasks(&gang, &[0, 400]), Some(2));
}

/// Guards against a wait that ends with each change of the estimate, and against one that goes on
/// beyond its limit or although near places save nothing any more.
#[test]
fn an_open_wait_goes_on_until_its_limit() {
    let locality = Locality::new(1.5);
    let open = |left_ms| Choice {
        limit: Some(NOW + Duration::from_millis(left_ms)),
        ..choice(60_000)
    };
    let (_, longest) = held(&locality, &open(300), &[400]).expect("a wait");
    assert_eq!(longest, Duration::from_millis(300));
    assert_eq!(held(&locality, &open(300), &[2_100]), None);
    assert_eq!(held(&locality, &open(0), &[100]), None);
}

/// Guards against a job that has nothing running for 3 s because of its waits.
#[test]
fn no_wait_exceeds_the_longest_one() {
    let always = Locality::new(3.0).with_policy(Policy::Always);
    let (_, longest) = held(&always, &choice(60_000), &[5_000]).expect("a wait");
    assert_eq!(longest, MAX_WAIT);
    let never = Locality::new(3.0).with_policy(Policy::Never);
    assert_eq!(held(&never, &choice(60_000), &[1]), None);
}

/// Guards against waits on a rack where they have failed, and against giving a rack up for good.
#[test]
fn waits_that_fail_raise_the_expected_wait_for_a_while() {
    let mut locality = Locality::new(1.5);
    let step = spec::StepId {
        job: spec::JobId(1),
        occurrence: 0,
        step: 0,
    };
    for _ in 0..4 {
        let hold = Hold {
            tasks: 1,
            expected: Duration::from_millis(400),
            saving: Duration::from_millis(2_000),
            until: NOW,
            workers: vec![1],
        };
        assert!(locality.open(step, "r1".into(), hold, NOW));
        let end = NOW + Duration::from_millis(700);
        assert!(locality.close(step, Outcome::Lost, end).is_some());
    }
    assert_eq!(held(&locality, &choice(60_000), &[800]), None);
    let other = locality.weigh(&choice(60_000), &"r2".into(), places(&[800]), NOW);
    assert!(other.is_some(), "another rack is given up, too");
    let later = NOW + ratios::RATIO_HALF_LIFE * 3;
    let choice = Choice {
        latest_start: later + MAX_WAIT * 10,
        ..choice(0)
    };
    let again = locality.weigh(&choice, &"r1".into(), places(&[800]), later);
    assert!(again.is_some(), "the rack is not tried again");
    assert_eq!(locality.counts().lost, 4);
}
