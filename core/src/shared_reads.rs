//! When a process reads a topic of the store that several processes follow, and what it takes from
//! the reads of others.
//!
//! It answers deployments with many gateways: each of them needs every change, but one read tells all.
//! A gateway passes on what it has read, and the others postpone their own reads. The time of a read
//! is random, so that usually one gateway is first. The offsets show what a gateway lacks: after a lost
//! message, its next read starts where it left off. Offsets of different eras of the store are not
//! compared: they belong to different records.

use crate::position::{Position, StoreEra};

/// Minimum time from the newest known read of a topic to the next one.
const MIN_READ_INTERVAL_MS: u64 = 750;
/// Range of the random addition to the interval. It is long compared with the time in which a read is
/// passed on, and short compared with the time for which a leaving backend accepts requests.
const READ_SPREAD_MS: u64 = 500;

/// Time after an outage of the store for which gateways tell each other of its end. Entries that
/// expired during the outage reappear in this time.
const RECONNECTED_ANNOUNCE_MS: u64 = 2_000;

/// Shortest outage in which entries may expire. Longer than the longest time between two reads.
pub const MIN_OUTAGE_MS: u64 = 2_000;

/// Time of a long poll for each gateway that polls. All gateways together make some calls per second,
/// and one of them soon notices that connections to the store have become silent.
const POLL_PER_GATEWAY_MS: u64 = 250;
/// Shortest long poll.
const MIN_POLL_MS: u64 = 1_000;
/// Longest long poll.
const MAX_POLL_MS: u64 = 10_000;

/// Returns the time until this process's next read of a topic. `age_ms` is the time since the newest known
/// read began, and `draw` a uniform random number.
pub fn next_read_ms(age_ms: u64, draw: u64) -> u64 {
    (MIN_READ_INTERVAL_MS + draw % (READ_SPREAD_MS + 1)).saturating_sub(age_ms)
}

/// Returns whether the end of an outage of the store at `at_ms` is another one than the known one.
/// Gateways notice the same end at different times.
pub fn is_other_reconnection(known_at_ms: Option<u64>, at_ms: u64) -> bool {
    known_at_ms.is_none_or(|known_at_ms| at_ms > known_at_ms + RECONNECTED_ANNOUNCE_MS)
}

/// Returns whether the store may have been away until `at_ms` and entries may have expired meanwhile, for a
/// process that last read it, or was passed on a read, at `contact_at_ms`.
///
/// A gateway that was cut off, or whose call failed, cannot tell its own outage from one of the store.
/// Entries expire after three missing heartbeats, more than [`MIN_OUTAGE_MS`], so an outage in which some
/// did is one in which no gateway could read for so long.
pub fn may_have_been_away(contact_at_ms: Option<u64>, at_ms: u64) -> bool {
    contact_at_ms.is_none_or(|contact_at_ms| contact_at_ms + MIN_OUTAGE_MS <= at_ms)
}

/// When a process last learned what the store lists, and when an outage of the store last ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    contact_at_ms: Option<u64>,
    reconnected_at_ms: Option<u64>,
}

impl StoreContact {
    /// Records a read by this process, before which its calls failed if `is_reconnected`, and the store lost
    /// records if `is_restored`. Returns whether it ends an outage after which entries may be missing.
    ///
    /// A call may fail although the store is not away: it rejects a call, or a connection breaks.
    pub fn record_read(&mut self, now_ms: u64, is_reconnected: bool, is_restored: bool) -> bool {
        let has_been_away =
            is_restored || is_reconnected && may_have_been_away(self.contact_at_ms, now_ms);
        if has_been_away {
            self.reconnected_at_ms = Some(now_ms);
        }
        self.contact_at_ms = self.contact_at_ms.max(Some(now_ms));
        has_been_away
    }

    /// Records a read by another process, and the end of an outage that it announces, if any. Returns the
    /// time of that end if this process did not know it and believes it.
    pub fn record_passed_on(
        &mut self,
        read_at_ms: u64,
        reconnected_at_ms: Option<u64>,
    ) -> Option<u64> {
        let reconnected_at_ms = reconnected_at_ms.filter(|&at_ms| {
            is_other_reconnection(self.reconnected_at_ms, at_ms)
                && may_have_been_away(self.contact_at_ms, at_ms)
        });
        self.reconnected_at_ms = reconnected_at_ms.or(self.reconnected_at_ms);
        self.contact_at_ms = self.contact_at_ms.max(Some(read_at_ms));
        reconnected_at_ms
    }

    /// Returns the time since the end of an outage, while other processes are told of it.
    pub fn announced_age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = now_ms.saturating_sub(self.reconnected_at_ms?);
        (age_ms < RECONNECTED_ANNOUNCE_MS).then_some(age_ms)
    }
}

/// Returns the time for which a gateway waits in a read for a new configuration, of `gateways` live
/// gateways that tell each other which version they know.
pub fn poll_ms(gateways: usize) -> u64 {
    (gateways as u64 * POLL_PER_GATEWAY_MS).clamp(MIN_POLL_MS, MAX_POLL_MS)
}

/// What another process has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadRange {
    /// Era of the store in which it gave out the offsets.
    pub era: StoreEra,
    /// Offset of the first record.
    pub from_offset: u64,
    /// Offset after the last record.
    pub next_offset: u64,
}

/// Use of another process's read for this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// The records from this process's position on are new. It continues at the end of the range.
    New,
    /// The range ends before this process's position.
    Outdated,
    /// Records between this process's position and the range are missing, or the position is unknown.
    Gap,
}

impl ReadRange {
    /// Returns the use of the range for a process that has read all records before `position`.
    pub fn use_at(self, position: Option<Position>) -> Use {
        match position {
            Some(position) if position > self.next() => Use::Outdated,
            Some(Position { era, offset }) if era == self.era && offset >= self.from_offset => {
                Use::New
            }
            _ => Use::Gap,
        }
    }

    /// Returns the position after the last record.
    pub fn next(self) -> Position {
        Position { era: self.era, offset: self.next_offset }
    }
}

/// Whether the store responds to this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    is_failing: bool,
}

impl Reachability {
    /// Records a failed call. Returns whether it is the first one.
    pub fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.is_failing, true)
    }

    /// Records a response, or that another process has passed on all that this one lacked. Returns
    /// whether calls failed before. After records that were passed on, the next response is no end of
    /// an outage in which entries may have expired unseen.
    pub fn record_contact(&mut self) -> bool {
        std::mem::take(&mut self.is_failing)
    }
}
