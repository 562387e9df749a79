//! Estimates which backends have cached a prompt prefix.
//!
//! Cache events arrive late and with gaps. Records are therefore hints that decay with age, and the
//! entry also records its own dispatches. The hash includes the workspace, so that no prefix is
//! shared between workspaces.

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{BackendKey, WorkspaceKey};

/// Length of a hashed prompt block.
pub const BLOCK_BYTES: usize = 256;

const MAX_BLOCKS: usize = 16;
const CAPACITY: usize = 8_192;
const MAX_HOLDERS: usize = 4;
const HALF_LIFE_MS: f64 = 20_000.0;
const BYTES_PER_TOKEN: f64 = 4.0;

/// Hashes of the block-aligned prefixes of a prompt, shortest first.
#[derive(Clone, Debug, Default)]
pub struct PrefixHashes(Vec<u64>);

impl PrefixHashes {
    /// Hashes the complete blocks of a prompt, up to a fixed number of blocks.
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

/// Bounded table from prefix hashes to the backends that likely cache them.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    hints: IndexMap<u64, Vec<Hint>>,
}

impl PrefixTable {
    /// Records that a backend caches, or will soon cache, the prefixes.
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

    /// Removes all hints for a backend.
    pub fn remove_backend(&mut self, backend: BackendKey) {
        self.hints.values_mut().for_each(|holders| holders.retain(|hint| hint.backend != backend));
        self.hints.retain(|_, holders| !holders.is_empty());
    }

    /// Returns the backends that likely cache the longest known prefix, each with the expected number
    /// of cached tokens.
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
