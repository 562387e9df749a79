//! Snapshot of the control state that the control thread publishes for the traffic threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use currantlink_core::budget::RetryBudget;
use currantlink_core::config::{Config, Problem};
use currantlink_core::fold::{Fold, FoldedRecord};
use currantlink_core::health::Health;
use currantlink_core::ids::BackendKey;
use currantlink_core::prefix::PrefixTable;
use currantlink_core::reader::Progress;
use derive_more::Display;
use indexmap::IndexMap;

use crate::uplink::Uplink;

/// Origin of the current configuration.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum ConfigSource {
    /// No configuration was read yet.
    #[default]
    #[display("none")]
    None,
    /// The platform's log.
    #[display("log")]
    Log,
    /// A side, because the log was unavailable or truncated.
    #[display("peer")]
    Peer,
}

/// A backend that this entry is linked to.
#[derive(Clone)]
pub struct Target {
    /// Key of the backend, stable for the lifetime of this process.
    pub key: BackendKey,
    /// Name of the backend.
    pub name: String,
    /// Failure domain of the backend.
    pub failure_domain: String,
    /// Link to the side of the backend.
    pub uplink: Arc<Uplink>,
    /// Whether the platform's list or an operator takes the backend out of service.
    pub leaving: bool,
    /// Assumed one-way network latency, based on the failure domains.
    pub one_way_us: u64,
}

/// State of one service that calls update: backend health, prefix table and retry budget.
pub struct ServiceState {
    health: Mutex<Health>,
    prefixes: Mutex<PrefixTable>,
    budget: Mutex<RetryBudget>,
}

impl ServiceState {
    /// Creates an empty state whose retry budget is `retry_percent` of the calls.
    pub fn new(retry_percent: u32) -> Self {
        Self {
            health: Mutex::default(),
            prefixes: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(retry_percent)),
        }
    }

    /// Locks and returns the health of the backends.
    pub fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the prefix table.
    pub fn prefixes(&self) -> MutexGuard<'_, PrefixTable> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the retry budget.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Linked backends of one service and the state that calls update.
#[derive(Clone)]
pub struct ServiceView {
    /// Linked backends in the order of the configuration.
    pub targets: Arc<Vec<Target>>,
    /// State shared by all calls of the service.
    pub state: Arc<ServiceState>,
}

/// Published state of an entry.
#[derive(Clone, Default)]
pub struct View {
    /// Current configuration.
    pub config: Arc<Config>,
    /// Problems of the items that the configuration leaves out.
    pub problems: Arc<Vec<Problem>>,
    /// Folded log, which holds the current files.
    pub fold: Arc<Fold>,
    /// Most recent folded records, oldest first.
    pub history: Arc<Vec<FoldedRecord>>,
    /// Origin of the configuration.
    pub source: ConfigSource,
    /// Progress of reading the log, or `None` before the first state is published.
    pub progress: Option<Progress>,
    /// Time of the last successful read of the log.
    pub log_read_at_ms: Option<u64>,
    /// Time of the last successful read of the instance list.
    pub list_read_at_ms: Option<u64>,
    /// Services by name.
    pub services: IndexMap<String, ServiceView>,
}

impl View {
    /// Returns a linked backend of the given service.
    pub fn target(&self, service: &str, backend: &str) -> Option<&Target> {
        self.services.get(service)?.targets.iter().find(|t| t.name == backend)
    }

    /// Returns a linked backend of any service.
    pub fn find_target(&self, backend: &str) -> Option<&Target> {
        self.services.values().flat_map(|s| s.targets.iter()).find(|t| t.name == backend)
    }
}
