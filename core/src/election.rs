//! When an agent claims the leadership of its group.
//!
//! The first ranks claim one after the other, so that one of them leads before the next one claims. The
//! others draw their time from a common range: if all first ranks are gone together, as with a failure
//! domain, the group does not wait for each rank in turn.
//!
//! A claim is a record in the store, and its position determines the fencing token of the leader.

use derive_more::{Display, Error};

use crate::position::Position;

/// Time without a heartbeat after which the agent of rank 0 claims leadership.
const LEADER_TIMEOUT_MS: u64 = 400;
/// Additional timeout per rank, longer than a claim and the first heartbeat take.
const TIMEOUT_PER_RANK_MS: u64 = 120;
/// Number of ranks that claim one after the other.
const ORDERED_RANKS: u32 = 8;
/// Range from which the additional timeout of the other ranks is drawn.
const COMMON_RANGE_MS: u64 = 1_500;

/// Minimum interval between two claims of one agent.
const CLAIM_INTERVAL_MS: u64 = 1_500;

/// Bits of a fencing token for the offset of the claim. With the bits for the era, and those that the
/// versions of maps add to a token, a version fits into 64 bits.
const OFFSET_BITS: u32 = 24;
/// Bits of a fencing token for the era of the store.
const ERA_BITS: u32 = 20;

/// The store has given out more eras or offsets than fencing tokens can express.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("position {claim} is too high for a fencing token")]
pub struct TokenOverflow {
    /// Position of the claim.
    pub claim: Position,
}

/// Returns the fencing token of the leader whose claim is at a position. Tokens of later claims are
/// higher, also if the store has lost the earlier claims.
///
/// # Errors
///
/// Fails if the position does not fit into a token.
pub fn fencing_token(claim: Position) -> Result<u64, TokenOverflow> {
    // 0 is no token.
    let number = claim.offset.saturating_add(1);
    match claim.era.0 < 1 << ERA_BITS && number < 1 << OFFSET_BITS {
        true => Ok(claim.era.0 << OFFSET_BITS | number),
        false => Err(TokenOverflow { claim }),
    }
}

/// What an agent knows of the leadership of its group.
#[derive(Clone, Copy, Debug)]
pub struct Claimant {
    /// Rank of its backend.
    pub rank: u32,
    /// Random number that it keeps.
    pub draw: u64,
    /// Time of the last heartbeat, or since which the rank is known.
    pub silent_since_ms: u64,
    /// Time of its last claim, if it has made one.
    pub claimed_ms: Option<u64>,
}

impl Claimant {
    /// Returns whether the group has been without a heartbeat for so long that this agent claims.
    pub fn is_waiting_over(&self, now_ms: u64) -> bool {
        now_ms > self.silent_since_ms + claim_timeout_ms(self.rank, self.draw)
    }

    /// Returns whether a claim is due.
    pub fn is_claim_due(&self, now_ms: u64) -> bool {
        let is_repeated = self.claimed_ms.is_some_and(|at_ms| now_ms <= at_ms + CLAIM_INTERVAL_MS);
        self.is_waiting_over(now_ms) && !is_repeated
    }
}

/// Returns the time without a heartbeat after which the agent of a rank claims leadership. `draw` is a
/// random number that the agent keeps.
pub fn claim_timeout_ms(rank: u32, draw: u64) -> u64 {
    let ordered_ms = TIMEOUT_PER_RANK_MS * u64::from(rank.min(ORDERED_RANKS));
    let drawn_ms = if rank < ORDERED_RANKS { 0 } else { draw % COMMON_RANGE_MS };
    LEADER_TIMEOUT_MS + ordered_ms + drawn_ms
}
