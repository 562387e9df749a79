//! Two-level distribution of messages within a group, so that no member's link carries the messages
//! of all others.
//!
//! It answers groups with many ranks on slow links: there, a map for each rank or the counts of all
//! ranks take longer than demand stays the same.

/// Delay that passing a message on adds: receiving, decoding and sending again.
const RELAY_MS: f64 = 6.0;
/// Maximum share of a link that the counts of a group may use. The rest is for the states of ranks
/// and for orders, which must not wait behind counts.
const MAX_COUNTS_SHARE: f64 = 0.2;

/// Capacity of this process's link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRate {
    /// Bytes per millisecond in each direction.
    pub bytes_per_ms: f64,
}

impl LinkRate {
    /// Returns whether `members` messages of `message_bytes` arrive earlier if some receivers pass
    /// them on.
    pub fn is_relaying_faster(self, members: usize, message_bytes: usize) -> bool {
        let send_ms = |messages: usize| (messages * message_bytes) as f64 / self.bytes_per_ms;
        // A message crosses the sender's link and then that of a relay.
        let relayed_ms = send_ms(2 * branch_size(members)) + RELAY_MS;
        relayed_ms < send_ms(members)
    }

    /// Returns whether the counts of `members` members, `message_bytes` each per interval, exceed
    /// their share of the receiver's link.
    pub fn needs_collectors(self, members: usize, message_bytes: usize, interval_ms: u64) -> bool {
        let bytes_per_ms = (members * message_bytes) as f64 / interval_ms.max(1) as f64;
        bytes_per_ms > MAX_COUNTS_SHARE * self.bytes_per_ms
    }
}

/// Splits members into branches, each with a first member that relays for the others. There are
/// about as many branches as members in a branch.
pub fn branches<T>(members: &[T]) -> impl Iterator<Item = &[T]> {
    members.chunks(branch_size(members.len()))
}

fn branch_size(members: usize) -> usize {
    (members as f64).sqrt().ceil().max(1.0) as usize
}
