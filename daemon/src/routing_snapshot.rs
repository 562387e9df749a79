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
pub struct RoutingSnapshot {
    /// Configuration in force, where one is known.
    pub table: Option<Arc<RouteTable>>,
    /// Backends.
    pub fleet: Arc<Fleet>,
    /// Gateways, this one included.
    pub gateway_count: usize,
}

/// The state that traffic reads.
pub type SharedSnapshot = Arc<ArcSwap<RoutingSnapshot>>;

/// LoadReports that agents reported, by the backend's address. Written far more often than the rest, so
/// kept apart from it.
#[derive(Debug, Default)]
pub struct LoadReports(Mutex<IndexMap<SocketAddr, LoadReport>>);

impl LoadReports {
    /// Notes a report.
    pub fn record(&self, backend: SocketAddr, load: LoadReport) {
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
