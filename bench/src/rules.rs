//! Candidate rules for picking the backend that loads an adapter.

use derive_more::Display;

use currantlink_core::ids::BackendKey;

/// A backend that could hold an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host {
    /// The backend.
    pub backend: BackendKey,
    /// Free adapter memory.
    pub free_mb: u32,
    /// Work ahead, in tokens.
    pub load_tokens: u64,
    /// It holds the adapter already.
    pub holds: bool,
}

/// How a backend is picked.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Rule {
    /// The backend with the least load.
    #[display("least-loaded")]
    LeastLoaded,
    /// The backend whose free memory is left with the smallest remainder.
    #[display("best-fit")]
    BestFit,
    /// Best fit among the backends whose load is near the least.
    #[display("balanced-fit")]
    BalancedFit,
}

const NEAR_LEAST_PERCENT: u64 = 125;

/// Picks the backend that loads an adapter of `size_mb`, or `None` where a backend holds it or none
/// has room.
pub fn place(hosts: &[Host], size_mb: u32, rule: Rule) -> Option<BackendKey> {
    if hosts.iter().any(|h| h.holds) {
        return None;
    }
    let fitting = hosts.iter().filter(|h| h.free_mb >= size_mb);
    let chosen = match rule {
        Rule::LeastLoaded => fitting.min_by_key(|h| (h.load_tokens, h.backend)),
        Rule::BestFit => fitting.min_by_key(|h| (h.free_mb, h.load_tokens, h.backend)),
        Rule::BalancedFit => {
            let least = fitting.clone().map(|h| h.load_tokens).min()?;
            let bound = least * NEAR_LEAST_PERCENT / 100;
            fitting
                .filter(|h| h.load_tokens <= bound)
                .min_by_key(|h| (h.free_mb, h.load_tokens, h.backend))
        }
    };
    chosen.map(|h| h.backend)
}
