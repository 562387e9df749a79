//! Callers that leave before their response is complete.

use std::cell::Cell;
use std::rc::Rc;

use currantlink_core::fleet::FleetKey;
use derive_more::Display;
use tokio::time::Instant;

use crate::request_handler::Gateway;

/// How far a request has come. Clones share their state.
#[derive(Clone, Default)]
pub struct Progress(Rc<Cell<Option<Dispatch>>>);

/// The latest dispatch of a request.
#[derive(Clone, Copy, Debug)]
struct Dispatch {
    key: FleetKey,
    sent_at: Instant,
    count: u32,
    has_events: bool,
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Wait {
    /// It has not been sent to a backend.
    #[display("gateway")]
    Gateway,
    /// A backend has it and has sent no event of this response.
    #[display("backend")]
    Backend,
    /// The next event of its response.
    #[display("event")]
    Event,
}

impl Progress {
    /// Records that the request is sent to a backend.
    pub fn record_dispatch(&self, key: FleetKey) {
        let count = self.0.get().map_or(0, |dispatch| dispatch.count) + 1;
        self.0.set(Some(Dispatch { key, sent_at: Instant::now(), count, has_events: false }));
    }

    /// Records an event of the response.
    pub fn record_event(&self) {
        self.0.set(self.0.get().map(|dispatch| Dispatch { has_events: true, ..dispatch }));
    }

    fn wait(&self) -> Wait {
        match self.0.get() {
            None => Wait::Gateway,
            Some(dispatch) if dispatch.has_events => Wait::Event,
            Some(_) => Wait::Backend,
        }
    }
}

/// Logs that the caller has left, unless the response was completed before the drop.
pub struct Departure {
    gateway: Rc<Gateway>,
    attempt_id: String,
    arrived_at: Instant,
    progress: Progress,
    is_answered: bool,
}

impl Departure {
    /// Begins to watch the caller of a request.
    pub fn watch(
        gateway: Rc<Gateway>,
        attempt_id: String,
        arrived_at: Instant,
        progress: Progress,
    ) -> Self {
        Self { gateway, attempt_id, arrived_at, progress, is_answered: false }
    }

    /// Records that the response is complete, or that the gateway has ended it.
    pub fn record_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for Departure {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let after_ms = self.arrived_at.elapsed().as_millis() as u64;
        let dispatch = self.progress.0.get();
        let snapshot = self.gateway.snapshot.load();
        let backend = dispatch.and_then(|d| snapshot.fleet.get(d.key)).map(|m| m.id.as_str());
        let since_sent_ms = dispatch.map(|d| d.sent_at.elapsed().as_millis() as u64);
        let is_silent = dispatch.is_some_and(|d| self.gateway.silent.contains(d.key));
        let waits_for = self.progress.wait();
        log::info!(request = self.attempt_id.as_str(), after_ms, waits_for:% = waits_for, backend,
            since_sent_ms, sends = dispatch.map_or(0, |d| d.count), is_silent; "caller left");
        metrics::counter!("currantlink_callers_left_total",
            "waits_for" => waits_for.to_string(), "is_silent" => is_silent.to_string())
        .increment(1);
    }
}
