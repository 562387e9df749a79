//! Expert maps: valid shapes, plans, and decisions of the policy.
#![allow(clippy::unwrap_used)]

use currantlink_core::experts::{Costs, DECIDE_EVERY_STEPS, Decision, Policy, Weights};
use currantlink_core::loads::LoadHistory;
use currantlink_core::map::{LayerMap, MapError};
use currantlink_core::plan::improve;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const EXPERTS: usize = 256;
const SKEW_FIRST: Weights = Weights { skew: 4.0, moves: 1.0 };
const COSTS: Costs = Costs { switch_steps: 1.0, transfers_per_step: 64.0 };

fn popularity() -> Vec<f64> {
    (1..=EXPERTS).map(|rank| 1_000.0 / rank as f64).collect()
}

fn noisy(popularity: &[f64], rng: &mut StdRng) -> Vec<f64> {
    popularity.iter().map(|p| p * rng.random_range(0.8..1.2)).collect()
}

/// Runs a policy and returns the step and the number of transfers of each change.
fn run_policy(
    policy: &mut Policy,
    steps: u64,
    mut tokens: impl FnMut(u64) -> Vec<f64>,
) -> Vec<(u64, usize)> {
    let mut changes = Vec::new();
    for step in 0..steps {
        policy.observe(0, &tokens(step));
        policy.end_step();
        if !step.is_multiple_of(DECIDE_EVERY_STEPS) {
            continue;
        }
        if let Decision::Change(change) = policy.decide() {
            changes.push((step, change.transfers()));
            policy.change_applied(&change);
        }
    }
    changes
}

fn new_policy(ranks: usize, slots: usize) -> Policy {
    let map = LayerMap::round_robin(EXPERTS, ranks, slots).unwrap();
    Policy::new(SKEW_FIRST, COSTS, [map])
}

#[test]
fn map_shapes() {
    assert!(LayerMap::round_robin(8, 4, 2).is_ok());
    let few = LayerMap::round_robin(9, 4, 2);
    assert_eq!(few, Err(MapError::Missing(8)));
    assert_eq!(LayerMap::new(2, 2, vec![0, 1, 2, 0]), Err(MapError::Unknown(2)));
    assert!(matches!(LayerMap::new(2, 2, vec![0, 1, 0]), Err(MapError::Shape { .. })));
}

#[test]
fn even_split() {
    let map = LayerMap::new(2, 2, vec![0, 0, 1, 0]).unwrap();
    assert_eq!(map.rank_loads(&[3.0, 1.0]), vec![2.0, 2.0]);
    assert!((map.skew(&[3.0, 1.0]) - 1.0).abs() < 1e-9);
    assert!((map.skew(&[0.0, 0.0]) - 1.0).abs() < 1e-9);
}

#[test]
fn counted_transfers() {
    let old = LayerMap::new(4, 2, vec![0, 1, 2, 3]).unwrap();
    let reordered = LayerMap::new(4, 2, vec![1, 0, 2, 3]).unwrap();
    let swapped = LayerMap::new(4, 2, vec![2, 1, 0, 3]).unwrap();
    assert_eq!(old.transfers_to(&reordered), 0);
    assert_eq!(old.transfers_to(&swapped), 2);
}

#[test]
fn few_transfers() {
    let loads = popularity();
    for (ranks, slots) in [(256, 2), (32, 9), (8, 36)] {
        let map = LayerMap::round_robin(EXPERTS, ranks, slots).unwrap();
        let plan = improve(&map, &loads, 40, 0.001);
        assert!(plan.transfers.len() <= 40);
        assert!(map.transfers_to(&plan.map) <= plan.transfers.len());
        let (before, after) = (map.skew(&loads) - 1.0, plan.map.skew(&loads) - 1.0);
        assert!(after < before / 2.0, "{ranks}x{slots}: {before} to {after}");
    }
}

#[test]
fn no_spare_slots() {
    let mut rng = StdRng::seed_from_u64(1);
    let loads = popularity();
    let changes = run_policy(&mut new_policy(256, 1), 300, |_| noisy(&loads, &mut rng));
    assert_eq!(changes, vec![]);
}

#[test]
fn noise_only() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let loads = popularity();
        let changes = run_policy(&mut new_policy(32, 9), 1_000, |_| noisy(&loads, &mut rng));
        assert_eq!(changes.len(), 1, "seed {seed}: {changes:?}");
    }
}

#[test]
fn even_load() {
    let mut rng = StdRng::seed_from_u64(2);
    let loads = vec![10.0; EXPERTS];
    let changes = run_policy(&mut new_policy(256, 2), 500, |_| noisy(&loads, &mut rng));
    assert_eq!(changes, vec![]);
}

#[test]
fn hot_expert() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut loads = popularity();
    let mut policy = new_policy(256, 2);
    let changes = run_policy(&mut policy, 400, |step| {
        if step == 200 {
            loads[200] = 2_000.0;
        }
        noisy(&loads, &mut rng)
    });
    assert!(changes.iter().any(|(step, _)| (200..260).contains(step)), "{changes:?}");
    let map = policy.map(0).unwrap();
    assert!(map.replicas()[200] > 2);
}

#[test]
fn stalled_rank() {
    let mut rng = StdRng::seed_from_u64(4);
    let loads = popularity();
    let mut policy = new_policy(32, 9);
    let changes = run_policy(&mut policy, 600, |step| {
        let mut tokens = noisy(&loads, &mut rng);
        if (300..340).contains(&step) {
            tokens[..9].fill(0.0);
        }
        tokens
    });
    assert_eq!(changes.len(), 1, "{changes:?}");
}

#[test]
fn empty_steps() {
    let mut loads = LoadHistory::default();
    loads.push(&[0.0, 0.0]);
    assert!(loads.is_empty());
    let changes = run_policy(&mut new_policy(32, 9), 200, |_| vec![0.0; EXPERTS]);
    assert_eq!(changes, vec![]);
}
