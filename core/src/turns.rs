//! Order in which requests that wait in a gateway are sent to backends.
//!
//! Requests wait here and not at backends, because a backend that stops cannot be told that a caller
//! has left. A request is rejected at once if it is expected to wait for longer than is of use to its
//! caller.

use std::time::Duration;

use indexmap::IndexMap;

/// Longest wait of a request that returns after a rejection. It is late, but a second rejection loses
/// it.
const RETURNED_WAIT_MS: u64 = 600;
/// One in this many requests that are sent is one that has returned, if any waits. The others are new
/// ones while there are more of them than can be sent, because those can still be on time.
const RETURNED_PERIOD: u32 = 16;
/// Time after the rejection of a new request during which there are more new ones than can be sent.
const OVERLOAD_MS: u64 = 1_000;

/// Key of a waiting request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TurnKey(u64);

/// How a request came to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// A backend had it and failed or stopped.
    Moved,
    /// It arrived for the first time.
    New,
    /// It returned after a rejection.
    Returned,
}

impl Origin {
    /// Returns whether a request also waits while the groups of all backends are forming or stalled.
    ///
    /// The caller of a new one can send it again, but that of a moved one would lose its answer.
    pub fn waits_for_groups(self) -> bool {
        self == Origin::Moved
    }
}

/// How much later a request can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendLeft {
    /// So that its response is on time.
    pub on_time_ms: u64,
    /// So that its caller still waits for the response.
    pub awaited_ms: u64,
}

/// A request that waits for a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// How it came to wait.
    pub origin: Origin,
    /// Urgency class; lower classes are sent first.
    pub urgency: u8,
    /// Whether a backend has had it. It is not sent there again.
    pub has_tried: bool,
    /// Time at which it began to wait.
    pub since_ms: u64,
    /// Time after which it is rejected.
    pub until_ms: u64,
}

impl Waiting {
    /// Creates the entry of a request that begins to wait.
    pub fn new(origin: Origin, urgency: u8, now_ms: u64, left: SendLeft) -> Self {
        let wait_ms = match origin {
            Origin::Moved => left.awaited_ms,
            Origin::New => left.on_time_ms,
            Origin::Returned => RETURNED_WAIT_MS,
        };
        let until_ms = now_ms + wait_ms.min(left.awaited_ms);
        Self { origin, urgency, has_tried: false, since_ms: now_ms, until_ms }
    }

    /// Returns how long it waits at most.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.until_ms - self.since_ms)
    }

    /// Returns whether more than half of its time to wait is over.
    fn is_old(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.since_ms) > self.until_ms.saturating_sub(now_ms)
    }
}

/// The requests of one service that wait in this gateway.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: IndexMap<TurnKey, Waiting>,
    last_key: u64,
    sent: u32,
    /// Time at which a new request was last rejected.
    new_rejected_at_ms: Option<u64>,
}

impl WaitQueue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request, or returns `None` if it would wait for longer than it can.
    ///
    /// `interval_ms` is the expected time between two requests that are sent from this queue. A moved
    /// request joins whatever it is: while a group waits for the rank that has stopped, its pace does
    /// not tell when it goes on.
    pub fn join(&mut self, now_ms: u64, request: Waiting, interval_ms: f64) -> Option<TurnKey> {
        let ahead = self.waiting.values().filter(|other| other.origin <= request.origin).count();
        let wait_ms = (ahead + 1) as f64 * interval_ms;
        let is_late = now_ms as f64 + wait_ms > request.until_ms as f64;
        if is_late && !request.origin.waits_for_groups() {
            self.record_rejected(request.origin, now_ms);
            return None;
        }
        self.last_key += 1;
        let key = TurnKey(self.last_key);
        self.waiting.insert(key, request);
        Some(key)
    }

    /// Returns whether there may be more requests than can be sent: some wait, or were rejected lately.
    pub fn is_busy(&self, now_ms: u64) -> bool {
        !self.is_empty() || self.is_overloaded(now_ms)
    }

    /// Returns whether a request that arrives is sent before those that wait.
    pub fn may_overtake(&self, origin: Origin, now_ms: u64) -> bool {
        match origin {
            Origin::Returned => self.is_empty() && !self.is_overloaded(now_ms),
            Origin::Moved | Origin::New => self.waiting.values().all(|other| other.origin > origin),
        }
    }

    /// Records that a request is rejected because no backend takes it in time.
    pub fn record_rejected(&mut self, origin: Origin, now_ms: u64) {
        if origin == Origin::New {
            self.new_rejected_at_ms = Some(now_ms);
        }
    }

    /// Returns whether there are more new requests than can be sent.
    fn is_overloaded(&self, now_ms: u64) -> bool {
        self.new_rejected_at_ms.is_some_and(|at_ms| now_ms < at_ms + OVERLOAD_MS)
    }

    /// Returns the request whose turn it is, and the next one that may use any backend if the first may
    /// not.
    pub fn next_turns(&self, now_ms: u64) -> impl Iterator<Item = TurnKey> {
        let first = self.next(now_ms, |_| true);
        let is_bound = first.is_some_and(|key| self.waiting[&key].has_tried);
        let second = is_bound.then(|| self.next(now_ms, |request| !request.has_tried)).flatten();
        first.into_iter().chain(second)
    }

    /// Returns the request among those for which `is_eligible` holds whose turn it is.
    ///
    /// Within a class it is the one that has waited longest. If new requests wait for long, there are
    /// more than can be sent in time: the one that came last is then the most certain to be on time.
    fn next(&self, now_ms: u64, is_eligible: impl Fn(&Waiting) -> bool) -> Option<TurnKey> {
        let is_returned_turn = self.sent % RETURNED_PERIOD == RETURNED_PERIOD - 1;
        let may_return = is_returned_turn || !self.is_overloaded(now_ms);
        let mut new = self.waiting.values().filter(|request| request.origin == Origin::New);
        let are_new_delayed = new.any(|request| request.is_old(now_ms));
        let rank = |(key, request): &(&TurnKey, &Waiting)| {
            let origin = match request.origin {
                Origin::Moved => 0,
                Origin::Returned if is_returned_turn => 1,
                Origin::New => 2,
                Origin::Returned => 3,
            };
            let order = match request.origin {
                Origin::New if are_new_delayed => u64::MAX - key.0,
                Origin::Moved | Origin::New | Origin::Returned => key.0,
            };
            (origin, request.urgency, order)
        };
        let eligible = self.waiting.iter().filter(|(_, request)| {
            is_eligible(request) && (may_return || request.origin != Origin::Returned)
        });
        eligible.min_by_key(rank).map(|(&key, _)| key)
    }

    /// Removes a request that was sent to a backend.
    pub fn record_sent(&mut self, key: TurnKey) {
        self.remove(key);
        self.record_sent_directly();
    }

    /// Records that a request was sent to a backend without waiting.
    pub fn record_sent_directly(&mut self) {
        self.sent = self.sent.wrapping_add(1);
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, key: TurnKey) {
        self.waiting.shift_remove(&key);
    }
}
