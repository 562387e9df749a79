//! Limits on the memory and descriptors that callers make a gateway hold.
//!
//! Each caller's connection is opened in one [`CallerBudget`]. What is read for it is held in a
//! [`HeldBuffer`], which reserves from the budget before it grows. A connection that gives way is closed;
//! if it sends a body, its request is rejected first.

mod held_buffer;
mod request_body;

use std::hash::{DefaultHasher, Hasher as _};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use currantlink_core::memory_budget::{
    BudgetLimits, ConnectionKey, MemoryBudget, Need, Phase, Purpose, STANDSTILL_MS,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::now_ms;

pub use held_buffer::HeldBuffer;
pub use request_body::{BodyError, read as read_request_body};

/// Interval between choices of connections that give way while something waits for room.
const RETRY_INTERVAL: Duration = Duration::from_millis(STANDSTILL_MS / 5);

/// Time after which the listener is tried again without descriptors.
const DESCRIPTOR_WAIT: Duration = Duration::from_secs(1);
/// Interval between log lines on connections that give way.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The budget of a process. Clones share their state.
#[derive(Clone, Default)]
pub struct CallerBudget(Arc<Shared>);

#[derive(Default)]
struct Shared {
    budget: Mutex<MemoryBudget>,
    endings: Mutex<indexmap::IndexMap<ConnectionKey, Arc<Ending>>>,
    freed: Notify,
    logged_at_ms: AtomicU64,
    /// Connections that gave way since the last log line.
    unlogged: AtomicU64,
}

/// Whether a connection gives way.
#[derive(Default)]
struct Ending {
    is_due: AtomicBool,
    /// Whether the request is rejected before the connection is closed.
    is_receiving: AtomicBool,
    changed: Notify,
}

impl Shared {
    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn endings(&self) -> MutexGuard<'_, indexmap::IndexMap<ConnectionKey, Arc<Ending>>> {
        self.endings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the connections that give way for `need`.
    fn make_room(&self, need: Need) {
        let chosen = self.budget().give_way(need, now_ms());
        if chosen.is_empty() {
            return;
        }
        self.log_closing(need, chosen.len());
        let endings = self.endings();
        for ending in chosen.iter().filter_map(|key| endings.get(key)) {
            ending.is_due.store(true, Ordering::Relaxed);
            ending.changed.notify_waiters();
        }
        let need = match need {
            Need::Connection => "connection",
            Need::Memory(_, Purpose::Body, _) => "body",
            Need::Memory(_, Purpose::Response, _) => "response",
        };
        metrics::counter!("currantlink_caller_connections_closed_total", "need" => need)
            .increment(chosen.len() as u64);
    }

    fn log_closing(&self, need: Need, count: usize) {
        let count = self.unlogged.fetch_add(count as u64, Ordering::Relaxed) + count as u64;
        let now = now_ms();
        if now < self.logged_at_ms.load(Ordering::Relaxed) + LOG_INTERVAL_MS {
            return;
        }
        self.logged_at_ms.store(now, Ordering::Relaxed);
        self.unlogged.store(0, Ordering::Relaxed);
        let budget = self.budget();
        let (used_bytes, open) = (budget.used_bytes(), budget.connections());
        drop(budget);
        log::info!(need:? = need, count, used_bytes, open; "connections that stand still are closed");
    }

    async fn wait_for_change(&self) {
        tokio::select! {
            () = self.freed.notified() => {}
            () = tokio::time::sleep(RETRY_INTERVAL) => {}
        }
    }
}

impl CallerBudget {
    /// Replaces the limits.
    pub fn set_limits(&self, limits: BudgetLimits) {
        self.0.budget().set_limits(limits);
    }

    /// Waits until another connection with buffers of `fixed_bytes` fits.
    pub async fn room_for_connection(&self, fixed_bytes: usize) {
        while !self.0.budget().has_room(fixed_bytes) {
            self.0.make_room(Need::Connection);
            self.0.wait_for_change().await;
        }
    }

    /// Waits until something is freed, after the process has run out of descriptors.
    pub async fn connection_closed(&self) {
        self.0.make_room(Need::Connection);
        if tokio::time::timeout(DESCRIPTOR_WAIT, self.0.freed.notified()).await.is_err() {
            log::debug!("no connection was closed since the last one was refused");
        }
    }

    /// Opens a connection of a caller.
    pub fn open(&self, caller: IpAddr, fixed_bytes: usize) -> CallerConnection {
        let key = self.0.budget().open(hash(&caller), fixed_bytes, now_ms());
        let ending = Arc::<Ending>::default();
        self.0.endings().insert(key, Arc::clone(&ending));
        CallerConnection(Arc::new(Open { shared: Arc::clone(&self.0), key, ending }))
    }

    /// Records the state of the budget in the metrics.
    pub fn record_metrics(&self) {
        let budget = self.0.budget();
        metrics::gauge!("currantlink_callers_held_bytes").set(budget.used_bytes() as f64);
        metrics::gauge!("currantlink_caller_connections").set(budget.connections() as f64);
    }
}

/// A caller's connection in the budget, until all clones are dropped.
#[derive(Clone)]
pub struct CallerConnection(Arc<Open>);

struct Open {
    shared: Arc<Shared>,
    key: ConnectionKey,
    ending: Arc<Ending>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.budget().close(self.key);
        self.shared.endings().swap_remove(&self.key);
        self.shared.freed.notify_waiters();
    }
}

impl CallerConnection {
    /// Records what the connection waits for.
    pub fn set_phase(&self, phase: Phase) {
        self.0.ending.is_receiving.store(phase == Phase::Receiving, Ordering::Relaxed);
        self.0.shared.budget().set_phase(self.0.key, phase, now_ms());
    }

    /// Counts the connection to its workspace in place of its address.
    pub fn set_workspace(&self, workspace: &str) {
        self.0.shared.budget().set_client(self.0.key, hash(&workspace));
    }

    /// Records bytes that the caller has sent or taken.
    pub fn record_bytes(&self, bytes: usize) {
        self.0.shared.budget().record_bytes(self.0.key, bytes, now_ms());
    }

    /// Waits until the connection gives way.
    pub async fn gives_way(&self) {
        loop {
            let changed = self.0.ending.changed.notified();
            if self.0.ending.is_due.load(Ordering::Relaxed) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the connection gives way and has no body to reject first.
    pub async fn gives_way_now(&self) {
        loop {
            let changed = self.0.ending.changed.notified();
            let is_due = self.0.ending.is_due.load(Ordering::Relaxed);
            if is_due && !self.0.ending.is_receiving.load(Ordering::Relaxed) {
                return;
            }
            changed.await;
        }
    }

    /// Records that the connection no longer has to be closed because it gave way: it ends with the
    /// response to its request, or its body is complete.
    pub fn ends_with_response(&self) {
        self.0.ending.is_due.store(false, Ordering::Relaxed);
    }

    /// Reserves bytes, or returns `None` if they do not fit by `until`.
    async fn reserve(&self, purpose: Purpose, bytes: usize, until: Instant) -> Option<Reservation> {
        let mut reservation = self.reserve_nothing(purpose);
        reservation.grow(bytes, until).await.then_some(reservation)
    }

    fn reserve_nothing(&self, purpose: Purpose) -> Reservation {
        Reservation { shared: Arc::clone(&self.0.shared), key: self.0.key, purpose, bytes: 0 }
    }

    /// Returns a holder of the memory for the incomplete event of a stream.
    pub fn hold_partial(&self) -> HeldPartial {
        HeldPartial(self.reserve_nothing(Purpose::Response))
    }

    /// Counts bytes of a response that are in memory already, until they are dropped.
    pub fn hold_response(&self, bytes: bytes::Bytes) -> bytes::Bytes {
        let mut reservation = self.reserve_nothing(Purpose::Response);
        reservation.bytes = bytes.len();
        self.0.shared.budget().reserve(self.0.key, Purpose::Response, bytes.len());
        held_buffer::hold(bytes, reservation)
    }
}

/// Memory that is reserved for the incomplete event of a stream, released when dropped.
pub struct HeldPartial(Reservation);

impl HeldPartial {
    /// Reserves what a growing buffer of `bytes` bytes takes. Returns false if it does not fit by `until`.
    pub async fn grow_to(&mut self, bytes: usize, until: Instant) -> bool {
        // The buffer doubles its capacity when it is full.
        let missing = (2 * bytes).saturating_sub(self.0.bytes);
        bytes <= self.0.bytes || self.0.grow(missing, until).await
    }

    /// Releases the memory.
    pub fn release(&mut self) {
        self.0.shrink(0);
    }
}

/// Reserved bytes, released when dropped.
struct Reservation {
    shared: Arc<Shared>,
    key: ConnectionKey,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes. Returns whether they fit by `until`.
    async fn grow(&mut self, bytes: usize, until: Instant) -> bool {
        loop {
            if self.shared.budget().try_reserve(self.key, self.purpose, bytes) {
                self.bytes += bytes;
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            self.shared.make_room(Need::Memory(self.key, self.purpose, bytes));
            self.shared.wait_for_change().await;
        }
    }

    /// Releases all but `bytes`.
    fn shrink(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        if released > 0 {
            self.bytes -= released;
            self.shared.budget().release(self.key, self.purpose, released);
            self.shared.freed.notify_waiters();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

fn hash(value: &impl std::hash::Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
