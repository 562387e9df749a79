//! Detects backends that have stopped or cannot be reached, by the time since they were last heard.

use std::hash::Hash;

use indexmap::IndexSet;

/// Number of expected reports that must be missing.
const MISSING_REPORTS: f64 = 5.0;
/// Range of the time without a sign of life after which a backend counts as silent. The upper bound
/// is more than three times the longest interval between an agent's reports.
pub const SILENT_AFTER_RANGE_MS: (f64, f64) = (400.0, 800.0);
/// Time after which silence proves nothing: a backend that is gone has left the list by then, so the
/// missing reports are due to its agent.
pub const SILENT_UNTIL_MS: u64 = 10_000;
/// Maximum age of the newest sign of life. If it is older, this process receives nothing itself, for
/// example because it was suspended.
const MAX_NEWEST_AGE_MS: u64 = 300;

/// When a backend was last heard.
#[derive(Clone, Copy, Debug)]
pub struct LastHeard<K> {
    /// The backend.
    pub key: K,
    /// Time of its last report or response bytes.
    pub heard_at_ms: u64,
    /// Mean interval between its recent reports.
    pub interval_ms: f64,
    /// Whether its agent has announced that it stops. The lack of reports then says nothing of the backend.
    pub is_agent_stopping: bool,
}

impl<K> LastHeard<K> {
    fn is_silent(&self, now_ms: u64) -> bool {
        let (least_ms, most_ms) = SILENT_AFTER_RANGE_MS;
        let silent_after_ms = (self.interval_ms * MISSING_REPORTS).clamp(least_ms, most_ms) as u64;
        !self.is_agent_stopping && (silent_after_ms..SILENT_UNTIL_MS).contains(&self.age_ms(now_ms))
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_at_ms)
    }
}

/// Returns the silent backends among those of one service.
pub fn silent_backends<K: Copy + Eq + Hash>(heard: &[LastHeard<K>], now_ms: u64) -> IndexSet<K> {
    let newest_age_ms = heard.iter().map(|backend| backend.age_ms(now_ms)).min();
    if newest_age_ms.is_none_or(|age_ms| age_ms > MAX_NEWEST_AGE_MS) {
        return IndexSet::new();
    }
    heard.iter().filter(|backend| backend.is_silent(now_ms)).map(|backend| backend.key).collect()
}
