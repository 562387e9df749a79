//! Compares the expert map policy with its baselines on fixed seeds.
#![allow(clippy::unwrap_used)]

use currantlink_bench::args::Experts;
use currantlink_bench::experts::{Report, compare};
use currantlink_bench::trace::{Shape, Trace};

const STEPS: u64 = 1_000;
/// Number of ranks and slots per rank of each group.
const GROUPS: [(usize, usize); 3] = [(256, 2), (32, 9), (8, 36)];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Weights of skew and of moves.
const HIGH_SKEW_WEIGHT: (f64, f64) = (4.0, 1.0);
const HIGH_MOVE_WEIGHT: (f64, f64) = (1.0, 4.0);

fn reports(shape: Shape, group: (usize, usize), weights: (f64, f64)) -> Vec<Report> {
    compare_with_seed(1, shape, group, weights)
}

fn compare_with_seed(
    seed: u64,
    shape: Shape,
    group: (usize, usize),
    weights: (f64, f64),
) -> Vec<Report> {
    let options = Experts {
        trace: None,
        seed,
        shape,
        steps: STEPS,
        layers: 2,
        experts: 256,
        ranks: group.0,
        slots: group.1,
        skew_weight: weights.0,
        move_weight: weights.1,
        switch_steps: 1.0,
        transfers_per_step: 64.0,
        policy: None,
        json: true,
    };
    let trace = Trace::generate(shape, seed, STEPS, 2, 256);
    compare(&options, &trace).unwrap()
}

fn find<'a>(reports: &'a [Report], policy: &str) -> &'a Report {
    reports.iter().find(|r| r.policy == policy).unwrap()
}

#[test]
fn few_transfers() {
    for group in GROUPS {
        for (weights, share) in [(HIGH_SKEW_WEIGHT, 30), (HIGH_MOVE_WEIGHT, 250)] {
            let reports = reports(Shape::Drift, group, weights);
            let (periodic, drift) = (find(&reports, "periodic"), find(&reports, "drift"));
            assert!(drift.transfers * share <= periodic.transfers, "{group:?}: {drift:?}");
        }
    }
}

#[test]
fn halfway_to_oracle() {
    for group in GROUPS {
        let reports = reports(Shape::Drift, group, HIGH_MOVE_WEIGHT);
        let skew = |policy| find(&reports, policy).mean_skew;
        let halfway = (skew("static") + skew("oracle")) / 2.0;
        assert!(skew("drift") <= halfway, "{group:?}: {reports:?}");
    }
}

#[test]
fn lowest_cost() {
    for group in GROUPS {
        for weights in [HIGH_SKEW_WEIGHT, HIGH_MOVE_WEIGHT] {
            let reports = reports(Shape::Drift, group, weights);
            let own = find(&reports, "drift").weighted_cost;
            for policy in ["static", "periodic"] {
                assert!(own < find(&reports, policy).weighted_cost, "{group:?}: {reports:?}");
            }
        }
    }
}

#[test]
fn skew_256x2() {
    beats_periodic((256, 2));
}

#[test]
fn skew_32x9() {
    beats_periodic((32, 9));
}

#[test]
fn skew_8x36() {
    beats_periodic((8, 36));
}

fn beats_periodic(group: (usize, usize)) {
    for seed in SEEDS {
        for shape in [Shape::Drift, Shape::Turnover] {
            let reports = compare_with_seed(seed, shape, group, HIGH_SKEW_WEIGHT);
            let (periodic, drift) = (find(&reports, "periodic"), find(&reports, "drift"));
            let better = drift.mean_skew < periodic.mean_skew;
            assert!(better, "seed {seed}, {shape:?}: {drift:?} {periodic:?}");
        }
    }
}

#[test]
fn noise_only() {
    for group in GROUPS {
        let reports = reports(Shape::Noise, group, HIGH_SKEW_WEIGHT);
        let last = find(&reports, "drift").last_transfer_step;
        assert!(last < 100, "{group:?}: {reports:?}");
    }
}

#[test]
fn no_useful_move() {
    let reports = reports(Shape::Drift, (256, 1), HIGH_SKEW_WEIGHT);
    assert_eq!(find(&reports, "drift").transfers, 0);
}
