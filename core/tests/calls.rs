//! Injects every fault at every step of concurrent calls. Ticketed calls run at most once, calls
//! reported as not run have not run, and responses are complete and belong to their call.
#![allow(clippy::unwrap_used)]

mod common;

use common::calls::{CallerResult, FAULTS, Fault, ScheduledFault, Simulation};
use common::matrix::Matrix;
use currantlink_core::attempt::Outcome;
use currantlink_core::attempt::RunPolicy::{Idempotent, Ticketed};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;

const CALLER_POLICIES: [currantlink_core::attempt::RunPolicy; 3] = [Ticketed, Idempotent, Ticketed];

fn run(faults: &[ScheduledFault]) -> (Simulation, usize) {
    let mut simulation = Simulation::new(&CALLER_POLICIES);
    let steps = simulation.run(faults, |_| 0);
    (simulation, steps)
}

#[test]
fn no_fault() {
    let (simulation, _) = run(&[]);
    assert_eq!(simulation.violation(), None);
    assert!(simulation.results().iter().all(|result| matches!(result, CallerResult::Response(_))));
}

#[test]
fn every_fault() {
    let mut matrix = Matrix::new("calls: one fault");
    let steps = run(&[]).1;
    for fault in FAULTS {
        for step in 0..steps {
            let (simulation, _) = run(&[(step, fault)]);
            matrix.count(format!("{fault:?}"), step, simulation.violation());
        }
    }
    matrix.finish();
}

#[test]
fn two_faults() {
    let mut matrix = Matrix::new("calls: two faults");
    let steps = run(&[]).1;
    for first in FAULTS {
        for second in FAULTS {
            for at in 0..steps {
                for later in at..steps + 4 {
                    let (simulation, _) = run(&[(at, first), (later, second)]);
                    let fault = format!("{first:?}+{second:?}");
                    let violation = simulation.violation().map(|v| format!("{v} ({at}, {later})"));
                    matrix.count(fault, "all", violation);
                }
            }
        }
    }
    matrix.finish();
}

#[test]
fn drain_alone() {
    let mut matrix = Matrix::new("calls: a drain cuts nothing off");
    let steps = run(&[]).1;
    for step in 0..steps {
        let (simulation, _) = run(&[(step, Fault::Drain)]);
        let is_expected = |result: &CallerResult| {
            matches!(result, CallerResult::Response(_) | CallerResult::Failed(Outcome::NotRun))
        };
        let result = simulation.results();
        let violation = (!result.iter().all(is_expected)).then(|| format!("{result:?}"));
        matrix.count("Drain", step, violation);
    }
    matrix.finish();
}

proptest! {
    #![proptest_config(common::proptest_config(2_000))]

    #[test]
    fn random_order(
        faults in vec((0_usize..60, select(&FAULTS[..])), 0..5),
        draws in vec(any::<u8>(), 64),
    ) {
        let mut simulation = Simulation::new(&CALLER_POLICIES);
        let mut next = 0;
        simulation.run(&faults, |_| {
            next += 1;
            draws[next % draws.len()] as usize
        });
        prop_assert_eq!(simulation.violation(), None);
    }
}
