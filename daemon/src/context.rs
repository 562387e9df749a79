//! Shared state of the HTTP handlers of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use metrics_exporter_prometheus::PrometheusHandle;

use crate::control::ControlHandle;
use crate::platform::PlatformClient;
use crate::settings::Entry;

/// Shared state of the HTTP handlers.
pub struct EntryContext {
    /// Settings of the entry.
    pub settings: Entry,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Client of the platform's log.
    pub log: PlatformClient,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    in_flight: Arc<AtomicUsize>,
    stopping: AtomicBool,
}

/// Counts a request as in flight until dropped.
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EntryContext {
    /// Creates the state with no requests in flight.
    pub fn new(settings: Entry, control: ControlHandle, metrics: PrometheusHandle) -> Self {
        let (in_flight, stopping) = (Arc::default(), AtomicBool::new(false));
        let log = PlatformClient::new(settings.log_url());
        Self { settings, control, log, metrics, in_flight, stopping }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(&self.in_flight))
    }

    /// Returns the number of requests whose response has not begun.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Starts to refuse new requests.
    pub fn stop_accepting(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}
