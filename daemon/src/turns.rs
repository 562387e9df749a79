//! Requests that wait in this gateway until a backend has room. See [`currantlink_core::turns`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use currantlink_core::fleet::FleetKey;
use currantlink_core::ids::{Fingerprint, WorkspaceName};
use currantlink_core::retry::RetryState;
use currantlink_core::turns::{
    Origin, SendLeft, TurnKey, UrgencyClass, WaitQueue, Waiting, WorkspaceKey,
};
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::now_ms;
use crate::placement::{Placement, PlacementError, Unavailable};
use crate::rejection::{NotRunReason, Rejection};
use crate::request_handler::{Call, Gateway};

const MS_PER_S: f64 = 1_000.0;
/// Interval at which waiting requests look for room that other gateways have left.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The waiting requests of all services. Clones share their state.
#[derive(Clone, Default)]
pub struct Turns(Rc<RefCell<IndexMap<String, ServiceTurns>>>);

#[derive(Default)]
struct ServiceTurns {
    queue: WaitQueue,
    wakers: IndexMap<TurnKey, Rc<Waker>>,
    /// Expected time between two turns when a request last joined, if the service has several urgency
    /// classes.
    class_interval_ms: Option<f64>,
}

/// Wakes a waiting request.
#[derive(Default)]
struct Waker {
    notify: Notify,
    /// Whether the request has given way and is to be rejected.
    has_yielded: Cell<bool>,
}

/// The place of a request in a queue, given up when dropped.
struct Turn {
    turns: Turns,
    service: String,
    key: TurnKey,
    waker: Rc<Waker>,
    class: UrgencyClass,
}

impl Turns {
    /// Adds a request to a queue, or returns `None` if it would wait for longer than it can.
    /// `has_classes` is whether the service has several urgency classes.
    fn join(
        &self,
        service: &str,
        request: Waiting,
        interval_ms: f64,
        has_classes: bool,
    ) -> Option<Turn> {
        let mut services = self.0.borrow_mut();
        let turns = services.entry(service.to_owned()).or_default();
        turns.class_interval_ms = has_classes.then_some(interval_ms);
        let key = turns.queue.join(now_ms(), request, interval_ms);
        turns.wake_yielded(service);
        let key = key?;
        let waker = Rc::<Waker>::default();
        turns.wakers.insert(key, Rc::clone(&waker));
        metrics::gauge!("currantlink_waiting_requests", "service" => service.to_owned())
            .set(turns.queue.len() as f64);
        let class = request.class;
        Some(Turn { turns: self.clone(), service: service.to_owned(), key, waker, class })
    }

    fn has_waiting(&self) -> bool {
        self.0.borrow().values().any(|turns| !turns.queue.is_empty())
    }

    /// Returns the number of waiting requests of a service.
    pub fn count(&self, service: &str) -> usize {
        self.0.borrow().get(service).map_or(0, |turns| turns.queue.len())
    }

    /// Returns whether there may be more requests for a service than can be sent.
    pub fn is_busy(&self, service: &str) -> bool {
        let services = self.0.borrow();
        services.get(service).is_some_and(|turns| turns.queue.is_busy(now_ms()))
    }

    /// Returns whether a request that arrives is sent before those that wait.
    fn may_overtake(&self, service: &str, class: UrgencyClass, origin: Origin) -> bool {
        let services = self.0.borrow();
        let may_overtake =
            |turns: &ServiceTurns| turns.queue.may_overtake_in(class, origin, now_ms());
        services.get(service).is_none_or(may_overtake)
    }

    fn record_sent_directly(&self, service: &str, class: UrgencyClass) {
        if let Some(turns) = self.0.borrow_mut().get_mut(service) {
            turns.queue.record_sent_directly_in(class);
        }
    }

    /// Wakes the next requests of each service, and those that can no longer be sent in time.
    fn wake(&self) {
        for (service, turns) in self.0.borrow_mut().iter_mut() {
            if let Some(interval_ms) = turns.class_interval_ms {
                turns.queue.yield_late(now_ms(), interval_ms, |_| true);
                turns.wake_yielded(service);
            }
            let next = turns.queue.next_turns(now_ms()).filter_map(|key| turns.wakers.get(&key));
            next.for_each(|waker| waker.notify.notify_one());
        }
    }
}

impl ServiceTurns {
    fn wake_yielded(&mut self, service: &str) {
        for key in self.queue.take_yielded() {
            metrics::counter!("currantlink_yielded_requests_total", "service" => service.to_owned())
                .increment(1);
            if let Some(waker) = self.wakers.get(&key) {
                waker.has_yielded.set(true);
                waker.notify.notify_one();
            }
        }
    }
}

impl Turn {
    fn record_sent(&self) {
        if let Some(turns) = self.turns.0.borrow_mut().get_mut(&self.service) {
            turns.queue.record_sent(self.key);
        }
    }

    fn record_rejected(&self, origin: Origin) {
        if let Some(turns) = self.turns.0.borrow_mut().get_mut(&self.service) {
            turns.queue.record_rejected_in(self.class, origin, now_ms());
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let Some(turns) = self.turns.0.borrow_mut().get_mut(&self.service) {
            turns.queue.remove(self.key);
            turns.wakers.shift_remove(&self.key);
            metrics::gauge!("currantlink_waiting_requests", "service" => self.service.clone())
                .set(turns.queue.len() as f64);
        }
        self.turns.wake();
    }
}

impl Gateway {
    /// Selects a backend as [`place`](Self::place) does. If all are full, the request waits for its
    /// turn, if it is expected to come in time.
    ///
    /// # Errors
    ///
    /// Fails if no backend takes the request in time, or for the reasons of
    /// [`place`](Self::place).
    pub(crate) async fn place_in_turn(
        &self,
        call: &Call,
        relay: &RetryState,
        tried: &[FleetKey],
    ) -> Result<Placement, Rejection> {
        let service = &call.service().name;
        self.rates.record_arrival(service);
        let may_wait = call.service().engine.is_some();
        let origin = origin(call, relay);
        if self.is_out_of_patience(call) {
            return Err(self.not_run_rejection(call, NotRunReason::Late));
        }
        if tried.is_empty() {
            self.admit_in_class(call, origin)?;
        }
        let class = self.turn_class(call);
        let mut unavailable = None;
        if !may_wait || self.turns.may_overtake(service, class, origin) {
            match self.place(call, tried) {
                Err(PlacementError::Unavailable(backends)) => unavailable = Some(backends),
                Err(PlacementError::Rejected(rejection)) => return Err(rejection),
                Ok(placement) => {
                    self.turns.record_sent_directly(service, class);
                    self.record_sent(call, tried, 0);
                    return Ok(placement);
                }
            }
        }
        let interval_ms = self.release_interval_ms(call);
        if !may_wait || !is_worth_waiting(unavailable.as_ref(), origin) {
            return Err(self.unavailable_rejection(call, unavailable, interval_ms));
        }
        let waiting = self.waiting(call, origin, class, !tried.is_empty());
        let has_classes = call.class.is_some();
        let Some(turn) = self.turns.join(service, waiting, interval_ms, has_classes) else {
            self.record_without_room(call, origin);
            return Err(self.unavailable_rejection(call, unavailable, interval_ms));
        };
        let until = call.deadline.min(Instant::now() + waiting.longest());
        self.pool.changed().notify_one();
        while tokio::time::timeout_at(until, turn.waker.notify.notified()).await.is_ok() {
            if turn.waker.has_yielded.get() {
                log::info!(request = call.attempt_id.as_str(), class:% = class,
                    waited_ms = now_ms() - waiting.since_ms, interval_ms = interval_ms as u64;
                    "request gives way to others");
                self.record_without_room(call, origin);
                return Err(self.unavailable_rejection(call, unavailable, interval_ms));
            }
            match self.place(call, tried) {
                Err(PlacementError::Unavailable(backends)) => unavailable = Some(backends),
                Err(PlacementError::Rejected(rejection)) => return Err(rejection),
                Ok(placement) => {
                    turn.record_sent();
                    let waited_ms = now_ms() - waiting.since_ms;
                    self.record_sent(call, tried, waited_ms);
                    metrics::histogram!("currantlink_wait_seconds")
                        .record(waited_ms as f64 / MS_PER_S);
                    return Ok(placement);
                }
            }
            if !is_worth_waiting(unavailable.as_ref(), origin) {
                return Err(self.unavailable_rejection(call, unavailable, interval_ms));
            }
        }
        turn.record_rejected(origin);
        self.record_without_room(call, origin);
        Err(self.unavailable_rejection(call, unavailable, interval_ms))
    }

    fn record_sent(&self, call: &Call, tried: &[FleetKey], waited_ms: u64) {
        if tried.is_empty() {
            self.record_sent_in_class(call, waited_ms);
        }
    }

    /// Returns how long a request waits for a trial.
    pub(crate) fn trial_wait(&self, call: &Call, relay: &RetryState) -> Duration {
        let on_time_ms = call.target_left_ms();
        let left = SendLeft { on_time_ms, awaited_ms: call.patience().left_ms() };
        Waiting::new(origin(call, relay), call.urgency, now_ms(), left).longest()
    }

    fn waiting(
        &self,
        call: &Call,
        origin: Origin,
        class: UrgencyClass,
        has_tried: bool,
    ) -> Waiting {
        let left = SendLeft {
            on_time_ms: call.target_left_ms().saturating_sub(self.start_ms(call) as u64),
            awaited_ms: self.send_left_ms(call).unwrap_or(0),
        };
        let waiting = Waiting { has_tried, ..Waiting::new(origin, call.urgency, now_ms(), left) };
        match call.class {
            Some(_) => waiting.in_class(class, workspace_key(call)),
            None => waiting,
        }
    }
}

fn workspace_key(call: &Call) -> WorkspaceKey {
    let name = call.workspace.as_ref().map_or("", WorkspaceName::as_str);
    WorkspaceKey(Fingerprint::of(&[name.as_bytes()]).0)
}

/// Returns whether a request waits for backends that do not take it now.
fn is_worth_waiting(unavailable: Option<&Unavailable>, origin: Origin) -> bool {
    match unavailable {
        Some(Unavailable::Forming { .. }) => origin.waits_for_groups(),
        Some(Unavailable::Full(_)) | None => true,
    }
}

fn origin(call: &Call, relay: &RetryState) -> Origin {
    match relay.may_have_run() {
        true => Origin::Moved,
        false if call.is_client_retry => Origin::Returned,
        false => Origin::New,
    }
}

/// Wakes waiting requests when a request of this gateway ends, and at an interval while any wait.
pub async fn wake_waiting(gateway: Rc<Gateway>) {
    let changed = gateway.pool.changed();
    loop {
        match gateway.turns.has_waiting() {
            // An interval without a change has the same effect as a change.
            true => drop(tokio::time::timeout(RETRY_INTERVAL, changed.notified()).await),
            false => changed.notified().await,
        }
        gateway.turns.wake();
    }
}
