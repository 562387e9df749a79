//! The set of silent backends, which requests in flight can wait on.

use std::cell::RefCell;

use currantlink_core::fleet::{Fleet, FleetKey};
use indexmap::IndexSet;

use crate::backend_set::BackendSet;

/// Backends that have stopped or cannot be reached. See [`currantlink_core::silence`].
#[derive(Default)]
pub struct SilentBackends {
    confirmed: BackendSet,
    seen: RefCell<IndexSet<FleetKey>>,
}

impl SilentBackends {
    /// Replaces the set by the backends that were also silent at the last call, and logs the changes.
    /// Reports that wait to be read, after a delay of this process, are read before the second call.
    pub fn replace(&self, seen: IndexSet<FleetKey>, fleet: &Fleet) {
        let before = self.seen.replace(seen.clone());
        let silent = seen.intersection(&before).copied().collect::<IndexSet<_>>();
        let id = |key| fleet.get(key).map_or("", |member| member.id.as_str());
        let before = self.confirmed.get();
        for &key in silent.difference(&before) {
            log::warn!(backend = id(key); "backend is silent");
        }
        for &key in before.difference(&silent) {
            log::info!(backend = id(key); "backend is no longer silent");
        }
        metrics::gauge!("currantlink_silent_backends").set(silent.len() as f64);
        self.confirmed.replace(silent);
    }

    /// Returns whether a backend is silent.
    pub fn contains(&self, key: FleetKey) -> bool {
        self.confirmed.contains(key)
    }

    /// Waits until a backend is silent.
    pub async fn until_silent(&self, key: FleetKey) {
        self.confirmed.until_in(key).await;
    }
}
