//! Finds backends that are much slower than their peers and leaves them out for a while.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::ids::BackendKey;

const SMOOTHING: f64 = 0.2;
const MIN_SAMPLES: u32 = 5;
const SLOW_FACTOR: f64 = 3.0;
const FAILURES_TO_EJECT: u32 = 3;
const FIRST_EJECTION_MS: u64 = 2_000;
const MAX_EJECTION_MS: u64 = 60_000;
const MAX_EJECTED_SHARE: f64 = 0.34;

#[derive(Clone, Debug, Default)]
struct Record {
    us_per_token: f64,
    samples: u32,
    failures_in_row: u32,
    ejected_until_ms: u64,
    ejections: u32,
}

/// Observed speed and failures of the backends of one service.
#[derive(Clone, Debug)]
pub struct Health<K = BackendKey> {
    records: IndexMap<K, Record>,
}

impl<K> Default for Health<K> {
    fn default() -> Self {
        Self { records: IndexMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Health<K> {
    /// Notes an answer with its time per token of work.
    pub fn answered(&mut self, now_ms: u64, backend: K, us_per_token: f64) {
        let record = self.records.entry(backend).or_default();
        record.failures_in_row = 0;
        record.samples = record.samples.saturating_add(1);
        record.us_per_token = match record.samples {
            1 => us_per_token,
            _ => record.us_per_token + SMOOTHING * (us_per_token - record.us_per_token),
        };
        if self.is_slow(backend) {
            self.eject(now_ms, backend);
        }
    }

    /// Notes a failed or silent attempt.
    pub fn failed(&mut self, now_ms: u64, backend: K) {
        let record = self.records.entry(backend).or_default();
        record.failures_in_row += 1;
        if record.failures_in_row >= FAILURES_TO_EJECT {
            self.eject(now_ms, backend);
        }
    }

    /// Returns whether the backend is left out.
    pub fn is_ejected(&self, now_ms: u64, backend: K) -> bool {
        self.records.get(&backend).is_some_and(|r| r.ejected_until_ms > now_ms)
    }

    /// Keeps only backends for which `known` holds.
    pub fn retain(&mut self, known: impl Fn(K) -> bool) {
        self.records.retain(|&backend, _| known(backend));
    }

    fn is_slow(&self, backend: K) -> bool {
        let mut others: Vec<f64> = self
            .records
            .iter()
            .filter(|&(&key, r)| key != backend && r.samples >= MIN_SAMPLES)
            .map(|(_, r)| r.us_per_token)
            .collect();
        let record = &self.records[&backend];
        if others.is_empty() || record.samples < MIN_SAMPLES {
            return false;
        }
        others.sort_by(f64::total_cmp);
        record.us_per_token > SLOW_FACTOR * others[others.len() / 2]
    }

    fn eject(&mut self, now_ms: u64, backend: K) {
        let ejected = self.records.values().filter(|r| r.ejected_until_ms > now_ms).count();
        let allowed = (self.records.len() as f64 * MAX_EJECTED_SHARE) as usize;
        let record = &mut self.records[&backend];
        if ejected >= allowed || record.ejected_until_ms > now_ms {
            return;
        }
        let time_ms = FIRST_EJECTION_MS << record.ejections.min(5);
        record.ejected_until_ms = now_ms + time_ms.min(MAX_EJECTION_MS);
        record.ejections += 1;
        record.samples = 0;
        record.failures_in_row = 0;
    }
}
