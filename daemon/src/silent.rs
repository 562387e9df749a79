//! The set of silent backends, which requests in flight can wait on.

use std::cell::RefCell;

use currantlink_core::fleet::{Fleet, FleetKey};
use indexmap::IndexSet;
use tokio::sync::watch;

/// Backends that have stopped or cannot be reached. See [`currantlink_core::silence`].
#[derive(Default)]
pub struct SilentBackends {
    confirmed: watch::Sender<IndexSet<FleetKey>>,
    seen: RefCell<IndexSet<FleetKey>>,
}

impl SilentBackends {
    /// Replaces the set by the backends that were also silent at the last call, and logs the changes.
    /// Reports that wait to be read, after a delay of this process, are read before the second call.
    pub fn replace(&self, seen: IndexSet<FleetKey>, fleet: &Fleet) {
        let before = self.seen.replace(seen.clone());
        let silent = seen.intersection(&before).copied().collect::<IndexSet<_>>();
        let id = |key| fleet.get(key).map_or("", |member| member.id.as_str());
        let before = self.confirmed.borrow().clone();
        for &key in silent.difference(&before) {
            log::warn!(backend = id(key); "backend is silent");
        }
        for &key in before.difference(&silent) {
            log::info!(backend = id(key); "backend is no longer silent");
        }
        metrics::gauge!("currantlink_silent_backends").set(silent.len() as f64);
        if silent != before {
            self.confirmed.send_replace(silent);
        }
    }

    /// Returns whether a backend is silent.
    pub fn contains(&self, key: FleetKey) -> bool {
        self.confirmed.borrow().contains(&key)
    }

    /// Waits until a backend is silent.
    pub async fn until_silent(&self, key: FleetKey) {
        // The sender is not dropped while it is borrowed, so the wait cannot fail.
        let _ = self.confirmed.subscribe().wait_for(|silent| silent.contains(&key)).await;
    }
}
