//! Guards against faults that break a rule only in combination: injects random pairs of faults,
//! drawn with a fixed seed.

use daisymast_matrix::fault::{Fault, PlannedFault};
use daisymast_matrix::matrix;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Number of pairs of faults in one run.
const PAIRS: u32 = 400;
const SEED: u64 = 20_261_204;

#[test]
fn pairs_of_faults() {
    let (base, sessions) = matrix::setup();
    let steps: Vec<usize> = sessions
        .iter()
        .map(|session| {
            matrix::run_session(&base, session, Vec::new())
                .steps()
                .max(1)
        })
        .collect();
    let config = Config {
        cases: PAIRS,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let fault = || prop::sample::select(Fault::ALL.to_vec());
    let drawn = (0..sessions.len(), any::<(u16, u16)>(), fault(), fault());
    let result = runner.run(&drawn, |(index, (first, second), one, other)| {
        let session = &sessions[index];
        let faults = vec![
            PlannedFault {
                step: usize::from(first) % steps[index],
                fault: one,
            },
            PlannedFault {
                step: usize::from(second) % steps[index],
                fault: other,
            },
        ];
        let violations = matrix::run_cell(&base, session, faults.clone());
        prop_assert!(
            violations.is_empty(),
            "{}: {faults:?}: {violations:?}",
            session.name
        );
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
