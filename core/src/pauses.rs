//! Pauses that backends request when they reject a request.
//!
//! A pause holds for the process that was told. When it ends, requests return gradually: one at first,
//! and twice as many after each response that is no rejection.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;

use crate::rate_limit::Permit;

/// Longest pause that is kept at a time.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Pause that is kept if a backend names one that cannot be read.
pub const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);
/// Number of concurrent requests from which on a backend counts as recovered.
const RECOVERED_REQUESTS: u32 = 32;
/// Time after which a backend that takes few requests after a pause is looked at again.
const RAMP_WAIT_MS: u64 = 100;

/// Pauses of the backends, by backend.
#[derive(Clone, Debug)]
pub struct Pauses<K> {
    backends: IndexMap<K, Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until_ms: u64,
    /// Number of concurrent requests that are sent after the pause.
    allowed_requests: u32,
}

impl<K> Default for Pauses<K> {
    fn default() -> Self {
        Self { backends: IndexMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Pauses<K> {
    /// Records that a backend has requested a pause. A pause that was requested earlier and ends later
    /// stays in force.
    pub fn record_pause(&mut self, key: K, pause: Duration, now_ms: u64) {
        let until_ms = now_ms + pause.min(MAX_PAUSE).as_millis() as u64;
        let known_until_ms = self.backends.get(&key).map_or(0, |known| known.until_ms);
        let pause = Pause { until_ms: until_ms.max(known_until_ms), allowed_requests: 1 };
        self.backends.insert(key, pause);
    }

    /// Records a response that is no rejection, to a request that was sent at `sent_at_ms`.
    pub fn record_response(&mut self, key: K, sent_at_ms: u64) {
        let Some(pause) = self.backends.get_mut(&key) else {
            return;
        };
        if sent_at_ms >= pause.until_ms {
            pause.allowed_requests *= 2;
        }
        if pause.allowed_requests >= RECOVERED_REQUESTS {
            self.backends.swap_remove(&key);
        }
    }

    /// Returns whether a request may be sent to a backend that has `in_flight` requests of this process.
    pub fn permit(&self, key: K, in_flight: u32, now_ms: u64) -> Permit {
        match self.backends.get(&key) {
            Some(pause) if now_ms < pause.until_ms => {
                Permit::After { wait_ms: pause.until_ms - now_ms }
            }
            Some(pause) if in_flight >= pause.allowed_requests => {
                Permit::After { wait_ms: RAMP_WAIT_MS }
            }
            _ => Permit::Now,
        }
    }

    /// Returns whether a backend wants no requests now.
    pub fn is_paused(&self, key: K, now_ms: u64) -> bool {
        self.backends.get(&key).is_some_and(|pause| now_ms < pause.until_ms)
    }

    /// Removes the backends for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(K) -> bool) {
        self.backends.retain(|&key, _| known(key));
    }
}
