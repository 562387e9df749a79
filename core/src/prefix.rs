//! Remembers which backend has likely cached a prompt prefix.
//!
//! Cache events come late and with gaps, so entries are hints that age; they are also noted from
//! the entry's own sends. Hashes include the workspace: no prefix is shared between workspaces.

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{BackendKey, WorkspaceKey};

/// Length of the prompt blocks that are hashed, in bytes.
pub const BLOCK_BYTES: usize = 256;

const MAX_BLOCKS: usize = 16;
const CAPACITY: usize = 8_192;
const MAX_HOLDERS: usize = 4;
const HALF_LIFE_MS: f64 = 20_000.0;
const BYTES_PER_TOKEN: f64 = 4.0;

/// Hashes of the growing prefixes of one prompt, shortest first.
#[derive(Clone, Debug, Default)]
pub struct PrefixHashes(Vec<u64>);

impl PrefixHashes {
    /// Hashes the whole blocks of a prompt.
    pub fn of(workspace: WorkspaceKey, prompt: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&workspace.0.to_be_bytes());
        let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        let hashes = blocks.map(|block| {
            hasher.update(block);
            hasher.digest()
        });
        Self(hashes.collect())
    }
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    backend: BackendKey,
    recorded_at_ms: u64,
}

/// Bounded table of prefix hints.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    hints: IndexMap<u64, Vec<Hint>>,
}

impl PrefixTable {
    /// Notes that a backend has or will have the prefixes in its cache.
    pub fn record(&mut self, now_ms: u64, backend: BackendKey, hashes: &PrefixHashes) {
        for &hash in &hashes.0 {
            let holders = self.hints.entry(hash).or_default();
            holders.retain(|hint| hint.backend != backend);
            holders.push(Hint { backend, recorded_at_ms: now_ms });
            if holders.len() > MAX_HOLDERS {
                holders.remove(0);
            }
        }
        let excess = self.hints.len().saturating_sub(CAPACITY);
        if excess > 0 {
            self.hints.drain(..excess.max(CAPACITY / 8));
        }
    }

    /// Drops what is known of a backend.
    pub fn remove_backend(&mut self, backend: BackendKey) {
        self.hints.values_mut().for_each(|holders| holders.retain(|hint| hint.backend != backend));
        self.hints.retain(|_, holders| !holders.is_empty());
    }

    /// Returns the backends that likely hold the longest known prefix, with the tokens that each
    /// likely saves.
    pub fn holders(&self, now_ms: u64, hashes: &PrefixHashes) -> Vec<(BackendKey, u32)> {
        let found = |(index, hash)| self.hints.get(hash).map(|holders| (index, holders));
        let Some((index, holders)) = hashes.0.iter().enumerate().rev().find_map(found) else {
            return Vec::new();
        };
        let tokens = ((index + 1) * BLOCK_BYTES) as f64 / BYTES_PER_TOKEN;
        let saving = |hint: &Hint| {
            let age_ms = now_ms.saturating_sub(hint.recorded_at_ms) as f64;
            let likelihood = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
            (hint.backend, (tokens * likelihood) as u32)
        };
        holders.iter().map(saving).collect()
    }
}
