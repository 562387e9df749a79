//! The set of sound backends, which streams that wait for an event can wait on.

use currantlink_core::fleet::FleetKey;
use indexmap::IndexSet;
use tokio::sync::watch;

/// Listed backends that can be expected to send events. See [`currantlink_core::stalls`].
#[derive(Default)]
pub struct SoundBackends(watch::Sender<IndexSet<FleetKey>>);

impl SoundBackends {
    /// Replaces the set.
    pub fn replace(&self, sound: IndexSet<FleetKey>) {
        metrics::gauge!("currantlink_sound_backends").set(sound.len() as f64);
        self.0.send_if_modified(|before| {
            let is_changed = *before != sound;
            *before = sound;
            is_changed
        });
    }

    /// Returns whether a backend is sound.
    pub fn contains(&self, key: FleetKey) -> bool {
        self.0.borrow().contains(&key)
    }

    /// Waits until a backend is not sound.
    pub async fn until_unsound(&self, key: FleetKey) {
        // The sender is not dropped while it is borrowed, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(|sound| !sound.contains(&key)).await;
    }
}
