//! Connection pool with in-flight request counts per backend.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use currantlink_core::fleet::FleetKey;
use currantlink_platform::response::KeepAlive;
use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::clock::now_ms;
use crate::upstream::Upstream;

/// Margin before a backend's idle timeout within which a connection is not reused: the backend may
/// close the connection while the request is on its way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Idle lifetime of a connection if the backend advertises no idle timeout. Such a backend closes
/// idle connections within a second.
const UNADVERTISED_IDLE_LIFETIME: Duration = Duration::from_millis(250);
/// Longest idle lifetime. A backend may advertise a timeout that no point in time can express.
const MAX_IDLE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Idle connections and in-flight requests, by backend.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    backends: Rc<RefCell<IndexMap<FleetKey, BackendState>>>,
    changed: Rc<Notify>,
    idle_count: Rc<Cell<usize>>,
    /// Largest number of idle connections, if limited.
    idle_limit: Rc<Cell<Option<usize>>>,
}

/// This process's requests at a backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that were sent since the time in question.
    pub sent: u32,
    /// Requests that ended since the time in question.
    pub ended: u32,
}

#[derive(Default)]
struct BackendState {
    idle: Vec<(Upstream, Instant)>,
    in_flight: u32,
    sent_at_ms: Vec<u64>,
    ended_at_ms: Vec<u64>,
    heard_at_ms: u64,
}

/// Counts a request as in flight at a backend until dropped.
pub struct InFlightGuard {
    pool: ConnectionPool,
    key: FleetKey,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(backend) = self.pool.backends.borrow_mut().get_mut(&self.key) {
            backend.in_flight -= 1;
            backend.ended_at_ms.push(now_ms());
        }
        self.pool.changed.notify_one();
    }
}

impl InFlightGuard {
    /// Takes an idle connection that is still usable, if any.
    pub fn take_idle(&self) -> Option<Upstream> {
        let mut backends = self.pool.backends.borrow_mut();
        let backend = backends.get_mut(&self.key)?;
        let now = Instant::now();
        while let Some((upstream, usable_until)) = backend.idle.pop() {
            self.pool.idle_count.update(|count| count - 1);
            if now < usable_until && upstream.is_reusable() {
                return Some(upstream);
            }
        }
        None
    }

    /// Keeps a connection for reuse while the backend keeps it open.
    pub fn put_idle(&self, upstream: Upstream, keep: KeepAlive) {
        self.pool.put_idle(self.key, upstream, keep);
    }
}

impl ConnectionPool {
    /// Counts a request that is about to be sent to a backend.
    pub fn begin_request(&self, key: FleetKey, now_ms: u64) -> InFlightGuard {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.entry(key).or_default();
        backend.in_flight += 1;
        backend.sent_at_ms.push(now_ms);
        InFlightGuard { pool: self.clone(), key }
    }

    /// Limits the number of idle connections. Above the limit, connections are closed after use.
    pub fn set_idle_limit(&self, limit: Option<usize>) {
        self.idle_limit.set(limit);
    }

    /// Keeps a connection to a backend for reuse while the backend keeps it open.
    pub fn put_idle(&self, key: FleetKey, upstream: Upstream, keep: KeepAlive) {
        if self.idle_limit.get().is_some_and(|limit| self.idle_count.get() >= limit) {
            return;
        }
        let lifetime = match keep {
            KeepAlive::Close => return,
            KeepAlive::Timeout(timeout) => timeout.saturating_sub(IDLE_TIMEOUT_MARGIN),
            KeepAlive::Unspecified => UNADVERTISED_IDLE_LIFETIME,
        };
        if let Some(backend) = self.backends.borrow_mut().get_mut(&key) {
            backend.idle.push((upstream, Instant::now() + lifetime.min(MAX_IDLE_LIFETIME)));
            self.idle_count.update(|count| count + 1);
        }
    }

    /// Returns the number of this process's requests in flight at a backend, and of those that were
    /// sent there or ended since `since_ms`.
    ///
    /// Times before `since_ms` are discarded.
    pub fn request_counts(&self, key: FleetKey, since_ms: u64) -> RequestCounts {
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&key) else {
            return RequestCounts::default();
        };
        backend.sent_at_ms.retain(|&at_ms| at_ms >= since_ms);
        backend.ended_at_ms.retain(|&at_ms| at_ms >= since_ms);
        RequestCounts {
            in_flight: backend.in_flight,
            sent: backend.sent_at_ms.len() as u32,
            ended: backend.ended_at_ms.len() as u32,
        }
    }

    /// Returns what is notified when a request of this process ends.
    pub fn changed(&self) -> Rc<Notify> {
        Rc::clone(&self.changed)
    }

    /// Records that bytes of a response have arrived from a backend.
    pub fn record_heard(&self, key: FleetKey, now_ms: u64) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&key) {
            backend.heard_at_ms = now_ms;
        }
    }

    /// Returns when bytes of a response last arrived from a backend, or 0 if none have.
    pub fn heard_at_ms(&self, key: FleetKey) -> u64 {
        self.backends.borrow().get(&key).map_or(0, |backend| backend.heard_at_ms)
    }

    /// Returns the number of this process's requests in flight at a backend. Each uses a separate
    /// connection.
    pub fn in_flight(&self, key: FleetKey) -> u32 {
        self.backends.borrow().get(&key).map_or(0, |backend| backend.in_flight)
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, key: FleetKey) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&key) {
            self.idle_count.update(|count| count - backend.idle.len());
            backend.idle.clear();
        }
    }

    /// Closes expired idle connections and removes backends for which `known` returns false.
    pub fn evict(&self, known: impl Fn(FleetKey) -> bool) {
        let now = Instant::now();
        let mut backends = self.backends.borrow_mut();
        backends.retain(|&key, backend| {
            backend.idle.retain(|(_, usable_until)| now < *usable_until);
            known(key) || backend.in_flight > 0
        });
        self.idle_count.set(backends.values().map(|backend| backend.idle.len()).sum());
    }
}
