//! Routing state that the control thread publishes to the traffic thread.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use currantlink_core::evacuation::Evacuations;
use currantlink_core::fleet::Fleet;
use currantlink_core::least_loaded::LoadReport;
use currantlink_core::routes::RouteTable;
use indexmap::IndexMap;

/// Immutable snapshot of configuration and fleet.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshot {
    /// Configuration in force, if any has been read.
    pub table: Option<Arc<RouteTable>>,
    /// Known backends.
    pub fleet: Arc<Fleet>,
    /// Evacuations of failure domains.
    pub evacuations: Arc<Evacuations>,
    /// Number of gateways, including this one.
    pub gateway_count: usize,
}

/// Shared handle to the current snapshot.
pub type SharedSnapshot = Arc<ArcSwap<RoutingSnapshot>>;

/// Newest load report of each backend, by address.
///
/// Separate from [`RoutingSnapshot`] because reports are written far more often.
#[derive(Debug, Default)]
pub struct LoadReports(Mutex<IndexMap<SocketAddr, LoadReport>>);

impl LoadReports {
    /// Stores a report, replacing the backend's previous one.
    pub fn record(&self, backend: SocketAddr, load: LoadReport) {
        let mut reports = self.lock();
        let load = match reports.get(&backend) {
            Some(previous) => load.following(previous),
            None => load,
        };
        reports.insert(backend, load);
    }

    /// Returns the newest report for a backend.
    pub fn get(&self, backend: SocketAddr) -> Option<LoadReport> {
        self.lock().get(&backend).copied()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, LoadReport>> {
        // Each report is inserted in one operation, so the map stays consistent even if the lock is poisoned.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
