//! The set of silent backends, which requests in flight can wait on.

use currantlink_core::fleet::{Fleet, FleetKey};
use indexmap::IndexSet;
use tokio::sync::watch;

/// Backends that have stopped or cannot be reached. See [`currantlink_core::silence`].
#[derive(Default)]
pub struct SilentBackends(watch::Sender<IndexSet<FleetKey>>);

impl SilentBackends {
    /// Replaces the set and logs the changes.
    pub fn replace(&self, silent: IndexSet<FleetKey>, fleet: &Fleet) {
        let id = |key| fleet.get(key).map_or("", |member| member.id.as_str());
        let before = self.0.borrow().clone();
        for &key in silent.difference(&before) {
            log::warn!(backend = id(key); "backend is silent");
        }
        for &key in before.difference(&silent) {
            log::info!(backend = id(key); "backend is no longer silent");
        }
        metrics::gauge!("currantlink_silent_backends").set(silent.len() as f64);
        if silent != before {
            self.0.send_replace(silent);
        }
    }

    /// Returns whether a backend is silent.
    pub fn contains(&self, key: FleetKey) -> bool {
        self.0.borrow().contains(&key)
    }

    /// Waits until a backend is silent.
    pub async fn until_silent(&self, key: FleetKey) {
        // The sender is not dropped while it is borrowed, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(|silent| silent.contains(&key)).await;
    }
}
