//! Order in which requests that wait in a gateway are sent to backends.
//!
//! Requests wait here and not at backends, because a backend that stops cannot be told that a caller
//! has left. A request is rejected at once if it is expected to wait for longer than is of use to its
//! caller. Requests of more urgent classes go first: only those count that are sent before a request,
//! and less urgent ones that can no longer be sent in time give way to it at once.

use std::cmp::Reverse;
use std::time::Duration;

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};

/// Longest wait of a request that returns after a rejection. It is late, but a second rejection loses
/// it.
const RETURNED_WAIT_MS: u64 = 600;
/// One in this many requests that are sent is one that has returned, if any waits. The others are new
/// ones while there are more of them than can be sent, because those can still be on time.
const RETURNED_PERIOD: u32 = 16;
/// The same where requests of several classes are sent. New requests that are held back by the admission
/// level return, and a second rejection costs more than a late response.
const CLASS_RETURNED_PERIOD: u32 = 4;
/// Time after the rejection of a new request during which there are more new ones than can be sent.
const OVERLOAD_MS: u64 = 1_000;

/// Part of its time to wait within which a request of one of several classes must be expected to be sent
/// when it joins. Waits are estimated, and a late rejection costs more than one at once.
const JOIN_SHARE: f64 = 0.5;
/// Number of workspaces whose last turns are remembered. One that is forgotten counts as new.
const MAX_WORKSPACES: usize = 256;
/// Weight of the newest request in the shares of the classes among the requests that are sent.
const SENT_WEIGHT: f64 = 0.02;
/// Largest share of more urgent requests that counts, so that an expected wait stays finite.
const MAX_MORE_URGENT_SHARE: f64 = 0.9;

/// Urgency class of a request among those of its service; 0 is the most urgent one. All requests have
/// the same class if the routes of the service have the same priority.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UrgencyClass(pub u8);

/// Workspace of a waiting request. All have the same one if workspaces take no turns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceKey(pub u64);

/// Key of a waiting request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TurnKey(u64);

/// How a request came to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
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
    /// Urgency class. Requests of more urgent classes are sent first, however they came to wait.
    pub class: UrgencyClass,
    /// Order among requests of the same class and origin; lower ones are sent first.
    pub urgency: u8,
    /// Workspace. Those of a class take turns.
    pub workspace: WorkspaceKey,
    /// Whether a backend has had it. It is not sent there again.
    pub has_tried: bool,
    /// Time at which it began to wait.
    pub since_ms: u64,
    /// Time by which it must be expected to be sent when it joins.
    pub join_until_ms: u64,
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
        Self {
            origin,
            class: UrgencyClass::default(),
            urgency,
            workspace: WorkspaceKey::default(),
            has_tried: false,
            since_ms: now_ms,
            join_until_ms: until_ms,
            until_ms,
        }
    }

    /// Returns the entry for a service whose routes differ in priority. It joins only if it is expected
    /// to be sent in half of its time, since more urgent requests may come.
    pub fn in_class(self, class: UrgencyClass, workspace: WorkspaceKey) -> Self {
        let wait_ms = ((self.until_ms - self.since_ms) as f64 * JOIN_SHARE) as u64;
        // All of a class count as equally urgent, also starved ones that wait in another class.
        Self { class, workspace, urgency: 0, join_until_ms: self.since_ms + wait_ms, ..self }
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
    /// Time at which a new request was last rejected, by class.
    new_rejected_at_ms: IndexMap<UrgencyClass, u64>,
    /// Recent shares of the classes among the requests that were sent.
    sent_shares: IndexMap<UrgencyClass, f64>,
    /// Numbers of the last turns of workspaces, the latest last.
    last_turns: IndexMap<WorkspaceKey, u32>,
    /// Requests that have given way and are to be rejected.
    yielded: Vec<TurnKey>,
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

    /// Returns the most urgent class of which a request waits.
    pub fn most_urgent(&self) -> Option<UrgencyClass> {
        self.waiting.values().map(|request| request.class).min()
    }

    /// Adds a request, or returns `None` if it would wait for longer than it can.
    ///
    /// `interval_ms` is the expected time between two requests that are sent from this queue. A moved
    /// request joins whatever it is: while a group waits for the rank that has stopped, its pace does
    /// not tell when it goes on. Requests of less urgent classes, and of workspaces with more waiting
    /// requests, give way if they can no longer be sent in time.
    pub fn join(&mut self, now_ms: u64, request: Waiting, interval_ms: f64) -> Option<TurnKey> {
        let wait_ms = (self.ahead(&request) + 1) as f64 * self.interval_ms(&request, interval_ms);
        let is_late = now_ms as f64 + wait_ms > request.join_until_ms as f64;
        if is_late && !request.origin.waits_for_groups() {
            self.record_rejected_in(request.class, request.origin, now_ms);
            return None;
        }
        self.last_key += 1;
        let key = TurnKey(self.last_key);
        self.waiting.insert(key, request);
        let is_behind = |other: &Waiting| match other.class == request.class {
            true => other.origin == request.origin && other.workspace != request.workspace,
            false => other.class > request.class,
        };
        if self.waiting.values().any(is_behind) {
            self.yield_late(now_ms, interval_ms, is_behind);
        }
        Some(key)
    }

    /// Returns how many waiting requests are sent before one that joins.
    fn ahead(&self, request: &Waiting) -> usize {
        let is_peer =
            |other: &&Waiting| (other.class, other.origin) == (request.class, request.origin);
        let mut by_workspace = IndexMap::<WorkspaceKey, usize>::new();
        for other in self.waiting.values().filter(is_peer) {
            *by_workspace.entry(other.workspace).or_default() += 1;
        }
        let own = by_workspace.get(&request.workspace).copied().unwrap_or_default();
        // Each other workspace has at most one turn before each turn of this one.
        let peers: usize = by_workspace
            .iter()
            .map(|(&workspace, &count)| match workspace == request.workspace {
                true => count,
                false => count.min(own + 1),
            })
            .sum();
        let goes_first =
            |other: &&Waiting| (other.class, other.origin) < (request.class, request.origin);
        self.waiting.values().filter(goes_first).count() + peers
    }

    /// Returns the expected time between two turns of the class of a request. Requests of more urgent
    /// classes that are yet to come take their share of the turns.
    fn interval_ms(&self, request: &Waiting, interval_ms: f64) -> f64 {
        let more_urgent = self.sent_shares.iter().filter(|(class, _)| **class < request.class);
        let share: f64 = more_urgent.map(|(_, share)| share).sum();
        interval_ms / (1.0 - share.min(MAX_MORE_URGENT_SHARE))
    }

    /// Removes requests that can no longer be sent in time, among those for which `is_eligible` holds.
    /// They are returned by [`take_yielded`](Self::take_yielded).
    pub fn yield_late(
        &mut self,
        now_ms: u64,
        interval_ms: f64,
        is_eligible: impl Fn(&Waiting) -> bool,
    ) {
        let (mut ahead, mut late) = (0, Vec::new());
        for (key, request) in self.in_order(now_ms) {
            let wait_ms = f64::from(ahead + 1) * self.interval_ms(&request, interval_ms);
            let is_late = now_ms as f64 + wait_ms > request.until_ms as f64;
            match is_late && !request.origin.waits_for_groups() && is_eligible(&request) {
                true => late.push((key, request)),
                false => ahead += 1,
            }
        }
        for (key, request) in late {
            self.remove(key);
            self.record_rejected_in(request.class, request.origin, now_ms);
            self.yielded.push(key);
        }
    }

    /// Returns the requests that have given way since the last call, which are to be rejected.
    pub fn take_yielded(&mut self) -> Vec<TurnKey> {
        std::mem::take(&mut self.yielded)
    }

    /// Returns the waiting requests in the order in which they are expected to be sent.
    fn in_order(&self, now_ms: u64) -> Vec<(TurnKey, Waiting)> {
        let delayed = self.delayed_classes(now_ms);
        let mut requests: Vec<_> = self.waiting.iter().map(|(&key, &r)| (key, r)).collect();
        let order = |key: TurnKey, request: &Waiting| match request.origin {
            Origin::New if delayed.contains(&request.class) => u64::MAX - key.0,
            Origin::Moved | Origin::New | Origin::Returned => key.0,
        };
        requests.sort_by_key(|(key, request)| {
            (request.class, request.origin, request.urgency, order(*key, request))
        });
        let mut turns = IndexMap::<(UrgencyClass, Origin, WorkspaceKey), u32>::new();
        let mut numbered: Vec<_> = requests
            .into_iter()
            .map(|(key, request)| {
                let turn = turns.entry((request.class, request.origin, request.workspace));
                let turn = turn.or_default();
                *turn += 1;
                (*turn, key, request)
            })
            .collect();
        // The sort is stable, so requests of the same turn stay in their order.
        numbered.sort_by_key(|(turn, _, request)| (request.class, request.origin, *turn));
        numbered.into_iter().map(|(_, key, request)| (key, request)).collect()
    }

    /// Returns whether there may be more requests than can be sent: some wait, or were rejected lately.
    pub fn is_busy(&self, now_ms: u64) -> bool {
        !self.is_empty() || self.is_overloaded(UrgencyClass(u8::MAX), now_ms)
    }

    /// Returns whether a request that arrives is sent before those that wait, if all have the same
    /// class.
    pub fn may_overtake(&self, origin: Origin, now_ms: u64) -> bool {
        self.may_overtake_in(UrgencyClass::default(), origin, now_ms)
    }

    /// Returns whether a request of a class that arrives is sent before those that wait.
    pub fn may_overtake_in(&self, class: UrgencyClass, origin: Origin, now_ms: u64) -> bool {
        let mut others = self.waiting.values().filter(|other| other.class <= class);
        match origin {
            Origin::Returned => others.next().is_none() && !self.is_overloaded(class, now_ms),
            Origin::Moved | Origin::New => {
                others.all(|other| other.class == class && other.origin > origin)
            }
        }
    }

    /// Records that a request is rejected because no backend takes it in time.
    pub fn record_rejected(&mut self, origin: Origin, now_ms: u64) {
        self.record_rejected_in(UrgencyClass::default(), origin, now_ms);
    }

    /// Records that a request of a class is rejected because no backend takes it in time.
    pub fn record_rejected_in(&mut self, class: UrgencyClass, origin: Origin, now_ms: u64) {
        if origin == Origin::New {
            self.new_rejected_at_ms.insert(class, now_ms);
        }
    }

    /// Returns whether there are more new requests of a class, or of more urgent ones, than can be sent.
    fn is_overloaded(&self, class: UrgencyClass, now_ms: u64) -> bool {
        let mut rejected = self.new_rejected_at_ms.iter().filter(|(other, _)| **other <= class);
        rejected.any(|(_, &at_ms)| now_ms < at_ms + OVERLOAD_MS)
    }

    /// Returns the request whose turn it is, and the next one that may use any backend if the first may
    /// not.
    pub fn next_turns(&self, now_ms: u64) -> impl Iterator<Item = TurnKey> {
        let first = self.next(now_ms, |_| true);
        let is_bound = first.is_some_and(|key| self.waiting[&key].has_tried);
        let second = is_bound.then(|| self.next(now_ms, |request| !request.has_tried)).flatten();
        first.into_iter().chain(second)
    }

    /// Returns the classes whose new requests wait for long.
    fn delayed_classes(&self, now_ms: u64) -> IndexSet<UrgencyClass> {
        let new = self.waiting.values().filter(|request| request.origin == Origin::New);
        new.filter(|request| request.is_old(now_ms)).map(|request| request.class).collect()
    }

    /// Returns the request among those for which `is_eligible` holds whose turn it is.
    ///
    /// It is one of the most urgent class. Within a class and origin, it is the one that has waited
    /// longest of the workspace whose last turn is longest ago. If new requests of a class wait for
    /// long, there are more than can be sent in time: the one that came last is then the most certain
    /// to be on time. A returned request does not stand back for less urgent ones.
    fn next(&self, now_ms: u64, is_eligible: impl Fn(&Waiting) -> bool) -> Option<TurnKey> {
        let has_classes = self.sent_shares.len() > 1;
        let period = if has_classes { CLASS_RETURNED_PERIOD } else { RETURNED_PERIOD };
        let is_returned_turn = self.sent % period == period - 1;
        let least_urgent = self.waiting.values().map(|request| request.class).max();
        let may_return = |request: &Waiting| {
            is_returned_turn
                || !self.is_overloaded(request.class, now_ms)
                || least_urgent.is_some_and(|class| class > request.class)
        };
        let delayed = self.delayed_classes(now_ms);
        let rank = |(key, request): &(&TurnKey, &Waiting)| {
            let origin = match request.origin {
                Origin::Moved => 0,
                Origin::Returned if is_returned_turn => 1,
                Origin::New => 2,
                Origin::Returned => 3,
            };
            let order = match request.origin {
                Origin::New if delayed.contains(&request.class) => u64::MAX - key.0,
                Origin::Moved | Origin::New | Origin::Returned => key.0,
            };
            // Numbers of turns wrap around, so their distance is compared.
            let last_turn = self.last_turns.get(&request.workspace);
            let since_turn = last_turn.map_or(u32::MAX, |turn| self.sent.wrapping_sub(*turn));
            (request.class, origin, request.urgency, Reverse(since_turn), order)
        };
        let eligible = self.waiting.iter().filter(|(_, request)| {
            is_eligible(request) && (request.origin != Origin::Returned || may_return(request))
        });
        eligible.min_by_key(rank).map(|(&key, _)| key)
    }

    /// Removes a request that was sent to a backend.
    pub fn record_sent(&mut self, key: TurnKey) {
        let Some(request) = self.waiting.shift_remove(&key) else {
            return;
        };
        self.record_sent_directly_in(request.class);
        self.last_turns.shift_remove(&request.workspace);
        self.last_turns.insert(request.workspace, self.sent);
        if self.last_turns.len() > MAX_WORKSPACES {
            self.last_turns.shift_remove_index(0);
        }
    }

    /// Records that a request was sent to a backend without waiting.
    pub fn record_sent_directly(&mut self) {
        self.record_sent_directly_in(UrgencyClass::default());
    }

    /// Records that a request of a class was sent to a backend without waiting.
    pub fn record_sent_directly_in(&mut self, class: UrgencyClass) {
        self.sent = self.sent.wrapping_add(1);
        self.sent_shares.values_mut().for_each(|share| *share *= 1.0 - SENT_WEIGHT);
        *self.sent_shares.entry(class).or_default() += SENT_WEIGHT;
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, key: TurnKey) {
        self.waiting.shift_remove(&key);
    }
}
