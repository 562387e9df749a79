//! Selects the backends that an entry connects to, which avoids a full mesh.

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::BackendKey;

/// Divisor of the subset size that yields the share of backends in other failure domains.
const REMOTE_DIVISOR: usize = 4;

/// A backend that the entry may connect to.
#[derive(Clone, Copy, Debug)]
pub struct LinkCandidate<'a> {
    /// The backend.
    pub backend: BackendKey,
    /// Name of the backend.
    pub name: &'a str,
    /// Whether the backend is in the entry's failure domain.
    pub local: bool,
}

/// Selects up to `size` backends by rendezvous hashing, a quarter of them in other failure domains.
///
/// The selection depends only on names, so adding or removing a backend changes few links.
pub fn pick(entry: &str, options: &[LinkCandidate<'_>], size: usize) -> IndexSet<BackendKey> {
    let seed = xxh3_64_with_seed(entry.as_bytes(), 0);
    let score = |o: &LinkCandidate<'_>| xxh3_64_with_seed(o.name.as_bytes(), seed);
    let (mut local, mut remote): (Vec<_>, Vec<_>) = options.iter().partition(|o| o.local);
    local.sort_by_cached_key(|o| score(o));
    remote.sort_by_cached_key(|o| score(o));
    let remote_room = (size / REMOTE_DIVISOR).max(size.saturating_sub(local.len()));
    let local_room = size - remote_room.min(remote.len()).min(size);
    let chosen = local.iter().take(local_room).chain(remote.iter().take(remote_room));
    chosen.take(size).map(|o| o.backend).collect()
}
