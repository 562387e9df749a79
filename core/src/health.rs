//! Outlier detection: temporarily ejects backends that fail or are much slower than their peers.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::ids::BackendKey;

const EWMA_WEIGHT: f64 = 0.2;
const MIN_SAMPLES: u32 = 5;
const SLOW_FACTOR: f64 = 3.0;
const FAILURES_TO_EJECT: u32 = 3;
const FIRST_EJECTION_MS: u64 = 2_000;
const MAX_EJECTION_MS: u64 = 60_000;
const MAX_EJECTED_SHARE: f64 = 0.34;

#[derive(Clone, Debug, Default)]
struct BackendStats {
    mean_latency: f64,
    samples: u32,
    consecutive_failures: u32,
    ejected_until_ms: u64,
    ejections: u32,
}

/// Observed latency and failures of the backends of one service.
#[derive(Clone, Debug)]
pub struct Health<K = BackendKey> {
    backends: IndexMap<K, BackendStats>,
}

impl<K> Default for Health<K> {
    fn default() -> Self {
        Self { backends: IndexMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Health<K> {
    /// Records a completed request with its latency.
    ///
    /// Only ratios of latencies matter, so any unit is valid if it is the same for all backends, such
    /// as microseconds per token of work.
    pub fn record_success(&mut self, now_ms: u64, backend: K, latency: f64) {
        let stats = self.backends.entry(backend).or_default();
        stats.consecutive_failures = 0;
        stats.samples = stats.samples.saturating_add(1);
        stats.mean_latency = match stats.samples {
            1 => latency,
            _ => stats.mean_latency + EWMA_WEIGHT * (latency - stats.mean_latency),
        };
        if self.is_slow(backend) {
            self.eject(now_ms, backend);
        }
    }

    /// Records a failed or timed-out attempt.
    pub fn record_failure(&mut self, now_ms: u64, backend: K) {
        let stats = self.backends.entry(backend).or_default();
        stats.consecutive_failures += 1;
        if stats.consecutive_failures >= FAILURES_TO_EJECT {
            self.eject(now_ms, backend);
        }
    }

    /// Returns whether the backend is currently ejected.
    pub fn is_ejected(&self, now_ms: u64, backend: K) -> bool {
        self.backends.get(&backend).is_some_and(|stats| stats.ejected_until_ms > now_ms)
    }

    /// Drops the statistics of backends for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(K) -> bool) {
        self.backends.retain(|&backend, _| known(backend));
    }

    fn is_slow(&self, backend: K) -> bool {
        let mut others: Vec<f64> = self
            .backends
            .iter()
            .filter(|&(&key, stats)| key != backend && stats.samples >= MIN_SAMPLES)
            .map(|(_, stats)| stats.mean_latency)
            .collect();
        let stats = &self.backends[&backend];
        if others.is_empty() || stats.samples < MIN_SAMPLES {
            return false;
        }
        others.sort_by(f64::total_cmp);
        stats.mean_latency > SLOW_FACTOR * others[others.len() / 2]
    }

    fn eject(&mut self, now_ms: u64, backend: K) {
        let ejected =
            self.backends.values().filter(|stats| stats.ejected_until_ms > now_ms).count();
        let allowed = (self.backends.len() as f64 * MAX_EJECTED_SHARE) as usize;
        let stats = &mut self.backends[&backend];
        if ejected >= allowed || stats.ejected_until_ms > now_ms {
            return;
        }
        let duration_ms = FIRST_EJECTION_MS << stats.ejections.min(5);
        stats.ejected_until_ms = now_ms + duration_ms.min(MAX_EJECTION_MS);
        stats.ejections += 1;
        stats.samples = 0;
        stats.consecutive_failures = 0;
    }
}
