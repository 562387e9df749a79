//! All ranks use one expert map in every step under lost messages, failed or paused coordinators
//! and restarts.
#![allow(clippy::unwrap_used)]

mod common;

use common::changes::{FAULTS, Fault, FaultAt, Group};
use common::matrix::Matrix;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;

const DELAYS: [usize; 4] = [2, 7, 16, 40];

fn run(checks_fence: bool, faults: &[FaultAt]) -> (Group, usize) {
    let mut group = Group::new(checks_fence);
    let steps = group.run(faults, |_| 0);
    (group, steps)
}

#[test]
fn no_fault() {
    let (group, _) = run(false, &[]);
    assert_eq!(group.violation(), None);
    assert_eq!(group.version(), Some(1));
}

#[test]
fn every_fault() {
    let mut matrix = Matrix::new("map change: one fault");
    for checks_fence in [false, true] {
        let steps = run(checks_fence, &[]).1;
        for fault in FAULTS {
            for step in 0..steps {
                for delay in DELAYS {
                    let (group, _) = run(checks_fence, &[(step, fault, delay)]);
                    matrix.count(format!("{fault:?}"), step, group.violation());
                }
            }
        }
    }
    matrix.finish();
}

#[test]
fn two_faults() {
    let mut matrix = Matrix::new("map change: two faults");
    for checks_fence in [false, true] {
        let steps = run(checks_fence, &[]).1;
        for first in FAULTS {
            for second in FAULTS {
                for at in 0..steps {
                    for later in at..steps * 2 {
                        for delay in DELAYS {
                            let faults = [(at, first, delay), (later, second, delay)];
                            let violation = run(checks_fence, &faults).0.violation();
                            let violation = violation.map(|v| format!("{v} {faults:?}"));
                            matrix.count(format!("{first:?}+{second:?}"), "all", violation);
                        }
                    }
                }
            }
        }
    }
    matrix.finish();
}

#[test]
fn rival_coordinators() {
    for step in 0..run(false, &[]).1 {
        let (group, _) = run(false, &[(step, Fault::Rival, 0)]);
        assert!(group.version().is_some(), "rival at {step}");
    }
}

proptest! {
    #![proptest_config(common::proptest_config(2_000))]

    #[test]
    fn random_order(
        checks_fence: bool,
        faults in vec((0_usize..80, select(&FAULTS[..]), 1_usize..60), 0..6),
        draws in vec(any::<u8>(), 64),
    ) {
        let mut group = Group::new(checks_fence);
        let mut next = 0;
        group.run(&faults, |_| {
            next += 1;
            draws[next % draws.len()] as usize
        });
        prop_assert_eq!(group.violation(), None);
    }
}
