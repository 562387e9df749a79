//! A set of backends that requests in flight can wait on.

use currantlink_core::fleet::FleetKey;
use indexmap::IndexSet;
use tokio::sync::watch;

/// Set of backends whose changes can be awaited.
#[derive(Default)]
pub struct BackendSet(watch::Sender<IndexSet<FleetKey>>);

impl BackendSet {
    /// Replaces the set. Waiting requests are woken only by a change.
    pub fn replace(&self, backends: IndexSet<FleetKey>) {
        self.0.send_if_modified(|before| {
            let is_changed = *before != backends;
            *before = backends;
            is_changed
        });
    }

    /// Returns a copy of the set.
    pub fn get(&self) -> IndexSet<FleetKey> {
        self.0.borrow().clone()
    }

    /// Returns whether a backend is in the set.
    pub fn contains(&self, key: FleetKey) -> bool {
        self.0.borrow().contains(&key)
    }

    /// Waits until a backend is in the set.
    pub async fn until_in(&self, key: FleetKey) {
        self.until(|backends| backends.contains(&key)).await;
    }

    /// Waits until a backend is not in the set.
    pub async fn until_not_in(&self, key: FleetKey) {
        self.until(|backends| !backends.contains(&key)).await;
    }

    async fn until(&self, condition: impl FnMut(&IndexSet<FleetKey>) -> bool) {
        // The sender is not dropped while it is borrowed, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(condition).await;
    }
}
