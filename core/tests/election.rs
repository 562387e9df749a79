//! Simulated elections: how many agents claim the leadership of their group, and how long the group
//! waits for a leader.

use currantlink_core::election::{Claimant, claim_timeout_ms};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time from a claim to the receipt of the leader's first heartbeat.
const HEARTBEAT_MS: u64 = 40;

/// Returns the number of claims of a group whose agents from `first_rank` on are alive, and the time of
/// the first claim. The agents start to wait within `spread_ms`.
fn elect(first_rank: u32, size: u32, spread_ms: u64, seed: u64) -> (usize, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let claims: Vec<u64> = (first_rank..size)
        .map(|rank| random.random_range(0..=spread_ms) + claim_timeout_ms(rank, random.random()))
        .collect();
    let first_ms = claims.iter().copied().min().unwrap_or(u64::MAX);
    (claims.iter().filter(|&&claim_ms| claim_ms <= first_ms + HEARTBEAT_MS).count(), first_ms)
}

#[test]
fn all_alive() {
    for seed in 0..200 {
        assert_eq!(elect(0, 64, 80, seed), (1, elect(0, 64, 80, seed).1));
    }
}

#[test]
fn lost_domain() {
    for (first_rank, size) in [(1, 12), (39, 64), (52, 256), (200, 256)] {
        for seed in 0..200 {
            let (claims, first_ms) = elect(first_rank, size, 80, seed);
            assert!(first_ms < 2_500, "rank {first_rank}: first claim after {first_ms} ms");
            assert!(claims <= 4 + size as usize / 16, "rank {first_rank}: {claims} claims");
        }
    }
}

#[test]
fn last_rank() {
    assert!((0..100).all(|draw| claim_timeout_ms(255, draw * 37) < 3_000));
}

#[test]
fn started_process() {
    let claimant = Claimant { rank: 0, draw: 0, silent_since_ms: 50, claimed_ms: None };
    assert!(!claimant.is_claim_due(450));
    // The clock starts with the process.
    assert!(claimant.is_claim_due(451));
    let again = Claimant { claimed_ms: Some(451), ..claimant };
    assert!(!again.is_claim_due(1_951));
    assert!(again.is_claim_due(1_952));
}
