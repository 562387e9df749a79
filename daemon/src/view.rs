//! State that an entry's control thread publishes and its traffic threads read.

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

/// Where the configuration in force came from.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum ConfigSource {
    /// Nothing was read yet.
    #[default]
    #[display("none")]
    None,
    /// The platform's log.
    #[display("log")]
    Log,
    /// A side, while the log was out.
    #[display("peer")]
    Peer,
}

/// A backend that this entry links to.
#[derive(Clone)]
pub struct Target {
    /// Key that stays the same while this process lives.
    pub key: BackendKey,
    /// Name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Link to its side.
    pub uplink: Arc<Uplink>,
    /// The platform's list or an operator takes it out of service.
    pub leaving: bool,
    /// One-way network time as assumed from the failure domains.
    pub one_way_us: u64,
}

/// What traffic learns about the backends of one service.
pub struct ServiceState {
    health: Mutex<Health>,
    prefixes: Mutex<PrefixTable>,
    budget: Mutex<RetryBudget>,
}

impl ServiceState {
    /// Starts with nothing learnt.
    pub fn new(retry_percent: u32) -> Self {
        Self {
            health: Mutex::default(),
            prefixes: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(retry_percent)),
        }
    }

    /// Returns the backends' health.
    pub fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the prefix hints.
    pub fn prefixes(&self) -> MutexGuard<'_, PrefixTable> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the retry budget.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Backends of one service with what was learnt about them.
#[derive(Clone)]
pub struct ServiceView {
    /// Backends in the order of their names.
    pub targets: Arc<Vec<Target>>,
    /// What was learnt.
    pub state: Arc<ServiceState>,
}

/// One published state.
#[derive(Clone, Default)]
pub struct View {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Items left out of it.
    pub problems: Arc<Vec<Problem>>,
    /// Files in force.
    pub fold: Arc<Fold>,
    /// Newest folded records, oldest first.
    pub history: Arc<Vec<FoldedRecord>>,
    /// Where the configuration came from.
    pub source: ConfigSource,
    /// How the log is followed.
    pub progress: Option<Progress>,
    /// Time of the last good read of the log.
    pub log_read_at_ms: Option<u64>,
    /// Time of the last good read of the list.
    pub list_read_at_ms: Option<u64>,
    /// Services by name.
    pub services: IndexMap<String, ServiceView>,
}

impl View {
    /// Returns the linked backend of a service by name.
    pub fn target(&self, service: &str, backend: &str) -> Option<&Target> {
        self.services.get(service)?.targets.iter().find(|t| t.name == backend)
    }

    /// Returns a linked backend by name.
    pub fn find_target(&self, backend: &str) -> Option<&Target> {
        self.services.values().flat_map(|s| s.targets.iter()).find(|t| t.name == backend)
    }
}
