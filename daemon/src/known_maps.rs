//! Expert maps that an agent has received, which later maps may be encoded against.

use std::sync::Arc;

use currantlink_core::switch::ExpertMap;

/// An expert map with its version.
pub type VersionedMap = (u64, Arc<ExpertMap>);

/// The map in use and the newest map.
#[derive(Debug, Default)]
pub struct KnownMaps {
    maps: Vec<VersionedMap>,
}

impl KnownMaps {
    /// Adds a received map and drops all others except the map in use.
    pub fn insert(&mut self, map: VersionedMap, version_in_use: u64) {
        self.maps.retain(|(version, _)| *version == version_in_use && *version != map.0);
        self.maps.push(map);
    }

    /// Returns the map with this version.
    pub fn get(&self, version: u64) -> Option<&VersionedMap> {
        self.maps.iter().find(|(known, _)| *known == version)
    }
}
