//! Rules that choose the backend to load an adapter on.

use derive_more::Display;

use currantlink_core::ids::BackendKey;

/// State of a backend that can load adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host {
    /// Key of the backend.
    pub backend: BackendKey,
    /// Free memory for adapters.
    pub free_mb: u32,
    /// Queued and running work, in tokens.
    pub load_tokens: u64,
    /// Whether the adapter is already loaded on this backend.
    pub has_adapter: bool,
}

/// Rule that chooses a backend.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Rule {
    /// The backend with the least load.
    #[display("least-loaded")]
    LeastLoaded,
    /// The backend with the least free memory among those that can hold the adapter.
    #[display("best-fit")]
    BestFit,
    /// Best fit among the backends whose load is at most `NEAR_LEAST_PERCENT` of the least load.
    #[display("balanced-fit")]
    BalancedFit,
}

const NEAR_LEAST_PERCENT: u64 = 125;

/// Chooses the backend to load an adapter of `size_mb` on.
///
/// Returns `None` if a backend has already loaded the adapter, or none has enough free memory.
pub fn place(hosts: &[Host], size_mb: u32, rule: Rule) -> Option<BackendKey> {
    if hosts.iter().any(|h| h.has_adapter) {
        return None;
    }
    let candidates = hosts.iter().filter(|h| h.free_mb >= size_mb);
    let chosen = match rule {
        Rule::LeastLoaded => candidates.min_by_key(|h| (h.load_tokens, h.backend)),
        Rule::BestFit => candidates.min_by_key(|h| (h.free_mb, h.load_tokens, h.backend)),
        Rule::BalancedFit => {
            let least = candidates.clone().map(|h| h.load_tokens).min()?;
            let bound = least * NEAR_LEAST_PERCENT / 100;
            candidates
                .filter(|h| h.load_tokens <= bound)
                .min_by_key(|h| (h.free_mb, h.load_tokens, h.backend))
        }
    };
    chosen.map(|h| h.backend)
}
