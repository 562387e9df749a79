//! Detects backends that have stopped or cannot be reached, by the time since they were last heard.

use std::hash::Hash;

use indexmap::IndexSet;

/// Time without a sign of life after which a backend counts as silent. Agents report at least every
/// 240 ms.
pub const SILENT_AFTER_MS: u64 = 800;
/// Time after which silence proves nothing: a backend that is gone has left the list by then, so the
/// missing reports are due to its agent.
pub const SILENT_UNTIL_MS: u64 = 10_000;
/// Maximum age of the newest sign of life. If it is older, this process receives nothing itself, for
/// example because it was suspended.
const MAX_NEWEST_AGE_MS: u64 = 300;

/// Returns the silent backends among those of one service, given when each was last heard.
pub fn silent_backends<K: Copy + Eq + Hash>(heard_at_ms: &[(K, u64)], now_ms: u64) -> IndexSet<K> {
    let age_ms = |heard_at_ms: u64| now_ms.saturating_sub(heard_at_ms);
    let newest_age_ms = heard_at_ms.iter().map(|&(_, at_ms)| age_ms(at_ms)).min();
    if newest_age_ms.is_none_or(|age_ms| age_ms > MAX_NEWEST_AGE_MS) {
        return IndexSet::new();
    }
    let silent_range = SILENT_AFTER_MS..SILENT_UNTIL_MS;
    let silent = heard_at_ms.iter().filter(|&&(_, at_ms)| silent_range.contains(&age_ms(at_ms)));
    silent.map(|&(key, _)| key).collect()
}
