//! Pairs of faults, drawn by a fixed seed.

use daisymast_matrix::fault::{Armed, Fault};
use daisymast_matrix::matrix;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Pairs that are drawn in one run.
const PAIRS: u32 = 400;
const SEED: u64 = 20_261_204;

#[test]
fn pairs_of_faults() {
    let (base, sessions) = matrix::setting();
    let steps: Vec<usize> = sessions
        .iter()
        .map(|session| matrix::play(&base, session, Vec::new()).steps().max(1))
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
        let armed = vec![
            Armed {
                step: usize::from(first) % steps[index],
                fault: one,
            },
            Armed {
                step: usize::from(second) % steps[index],
                fault: other,
            },
        ];
        let violations = matrix::run_cell(&base, session, armed.clone());
        prop_assert!(
            violations.is_empty(),
            "{}: {armed:?}: {violations:?}",
            session.name
        );
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
