//! Callers that leave before their response is complete.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use currantlink_core::fleet::FleetKey;
use derive_more::Display;
use tokio::time::Instant;

use crate::request_handler::Gateway;

/// How far a request has come. Clones share their state.
#[derive(Clone)]
pub struct Progress(Rc<Cell<Steps>>);

#[derive(Clone, Copy)]
struct Steps {
    dispatch: Option<Dispatch>,
    /// Time of the last event that the caller was sent, or of the request's arrival.
    heard_at: Instant,
    /// Whether the caller has the head of a response, so that it cannot be sent another one.
    has_head: bool,
}

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
    /// Creates the progress of a request that has arrived and was not sent yet.
    pub fn new(arrived_at: Instant) -> Self {
        Self(Rc::new(Cell::new(Steps { dispatch: None, heard_at: arrived_at, has_head: false })))
    }

    /// Records that the request is sent to a backend.
    pub fn record_dispatch(&self, key: FleetKey) {
        let steps = self.0.get();
        let count = steps.dispatch.map_or(0, |dispatch| dispatch.count) + 1;
        let dispatch = Dispatch { key, sent_at: Instant::now(), count, has_events: false };
        self.0.set(Steps { dispatch: Some(dispatch), ..steps });
    }

    /// Records an event of the response.
    pub fn record_event(&self) {
        let dispatch = self.0.get().dispatch;
        let dispatch = dispatch.map(|dispatch| Dispatch { has_events: true, ..dispatch });
        self.0.set(Steps { dispatch, heard_at: Instant::now(), ..self.0.get() });
    }

    /// Records that the head of the response is passed on.
    pub fn record_head(&self) {
        self.0.set(Steps { has_head: true, ..self.0.get() });
    }

    /// Returns whether the caller has the head of a response.
    pub fn has_head(&self) -> bool {
        self.0.get().has_head
    }

    /// Returns the time for which the caller has been sent nothing.
    pub fn unheard(&self) -> Duration {
        self.0.get().heard_at.elapsed()
    }

    fn wait(&self) -> Wait {
        match self.0.get().dispatch {
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
        let dispatch = self.progress.0.get().dispatch;
        let snapshot = self.gateway.snapshot.load();
        let backend = dispatch.and_then(|d| snapshot.fleet.get(d.key)).map(|m| m.id.as_str());
        let since_sent_ms = dispatch.map(|d| d.sent_at.elapsed().as_millis() as u64);
        let is_silent = dispatch.is_some_and(|d| self.gateway.silent.contains(d.key));
        let waits_for = self.progress.wait();
        let unheard_ms = self.progress.unheard().as_millis() as u64;
        log::info!(request = self.attempt_id.as_str(), after_ms, unheard_ms,
            waits_for:% = waits_for, backend, since_sent_ms,
            sends = dispatch.map_or(0, |d| d.count), is_silent; "caller left");
        metrics::counter!("currantlink_callers_left_total",
            "waits_for" => waits_for.to_string(), "is_silent" => is_silent.to_string())
        .increment(1);
    }
}
