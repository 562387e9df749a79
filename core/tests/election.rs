//! Simulated elections: how many agents claim the leadership of their group, and how long the group
//! waits for a leader.

#![allow(clippy::unwrap_used)]

use currantlink_core::election::{Claimant, claim_timeout_ms, fencing_token};
use currantlink_core::position::{Position, StoreEra};
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

/// The store's record of the claims, and the tokens of all claims so far.
#[derive(Clone, Default)]
struct Claims {
    end: Position,
    tokens: Vec<u64>,
}

impl Claims {
    fn claim(&mut self) {
        self.tokens.push(fencing_token(self.end).unwrap());
        self.end.offset += 1;
    }

    /// Restores the store from a copy that has the first `offset` claims.
    fn restore(&mut self, offset: u64) {
        self.end = Position { era: StoreEra(self.end.era.0 + 1), offset };
    }
}

/// Guards against two leaders with one fencing token after a restore of the store: in each series of
/// claims and restores, every claim gets a higher token than all before.
#[test]
fn tokens_over_restores() {
    const EVENTS: usize = 9;
    let mut series = vec![Claims::default()];
    for _ in 0..EVENTS {
        let mut longer = Vec::new();
        for claims in &series {
            let mut claimed = claims.clone();
            claimed.claim();
            let restored = (0..=claims.end.offset).map(|offset| {
                let mut restored = claims.clone();
                restored.restore(offset);
                restored
            });
            longer.extend(restored.chain([claimed]));
        }
        series = longer;
    }
    assert_eq!(series.len(), 16_796);
    for Claims { tokens, .. } in series {
        assert!(tokens.is_sorted_by(|earlier, later| earlier < later), "{tokens:?}");
    }
}

#[test]
fn token_range() {
    let position = |era, offset| Position { era: StoreEra(era), offset };
    let highest = fencing_token(position((1 << 20) - 1, (1 << 24) - 2)).unwrap();
    // The versions of a leader's maps have 20 bits more.
    assert!(highest.checked_mul(1 << 20).is_some());
    assert!(fencing_token(position(1 << 20, 0)).is_err());
    assert!(fencing_token(position(0, (1 << 24) - 1)).is_err());
    assert!(fencing_token(position(0, u64::MAX)).is_err());
}
