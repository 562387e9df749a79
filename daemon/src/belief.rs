//! What a gateway believes of the outside, published by its control thread.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use currantlink_core::fleet::Fleet;
use currantlink_core::routes::RouteTable;
use currantlink_core::spread::LoadReport;
use indexmap::IndexMap;

/// One state of what is believed.
#[derive(Clone, Debug, Default)]
pub struct Belief {
    /// Configuration in force, where one is known.
    pub table: Option<Arc<RouteTable>>,
    /// Backends.
    pub fleet: Arc<Fleet>,
    /// Gateways, this one included.
    pub gateways: usize,
}

/// The state that traffic reads.
pub type SharedBelief = Arc<ArcSwap<Belief>>;

/// Loads that agents reported, by the backend's address. Written far more often than the rest, so
/// kept apart from it.
#[derive(Debug, Default)]
pub struct Loads(Mutex<IndexMap<SocketAddr, LoadReport>>);

impl Loads {
    /// Notes a report.
    pub fn report(&self, backend: SocketAddr, load: LoadReport) {
        self.lock().insert(backend, load);
    }

    /// Returns the newest report of a backend.
    pub fn get(&self, backend: SocketAddr) -> Option<LoadReport> {
        self.lock().get(&backend).copied()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, LoadReport>> {
        // A poisoned lock holds whole reports all the same.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
