//! Idle connections to backends, and the requests that each backend has of this process.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use currantlink_core::fleet::FleetKey;
use currantlink_platform::answer::Keep;
use indexmap::IndexMap;

use crate::upstream::Upstream;

/// Time before a backend's idle timeout at which a connection is no longer used: its closing and a
/// request may cross.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Idle time after which a connection is not used where the backend names no timeout, which is then
/// under a second.
const UNADVERTISED_IDLE_LIFETIME: Duration = Duration::from_millis(250);

/// Connections and running requests, by backend.
#[derive(Clone, Default)]
pub struct ConnectionPool(Rc<RefCell<IndexMap<FleetKey, BackendState>>>);

#[derive(Default)]
struct BackendState {
    idle: Vec<(Upstream, Instant)>,
    in_flight: u32,
    sent_at_ms: Vec<u64>,
}

/// A request's use of a backend, until dropped.
pub struct InFlightGuard {
    pool: ConnectionPool,
    key: FleetKey,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(backend) = self.pool.0.borrow_mut().get_mut(&self.key) {
            backend.in_flight -= 1;
        }
    }
}

impl InFlightGuard {
    /// Takes an idle connection, where one can still be used.
    pub fn take_idle(&self) -> Option<Upstream> {
        let mut backends = self.pool.0.borrow_mut();
        let backend = backends.get_mut(&self.key)?;
        let now = Instant::now();
        while let Some((upstream, usable_until)) = backend.idle.pop() {
            if now < usable_until && upstream.is_reusable() {
                return Some(upstream);
            }
        }
        None
    }

    /// Keeps a connection for the next request, as long as the backend keeps it.
    pub fn put_idle(&self, upstream: Upstream, keep: Keep) {
        let lifetime = match keep {
            Keep::Close => return,
            Keep::For(timeout) => timeout.saturating_sub(IDLE_TIMEOUT_MARGIN),
            Keep::Unsaid => UNADVERTISED_IDLE_LIFETIME,
        };
        if let Some(backend) = self.pool.0.borrow_mut().get_mut(&self.key) {
            backend.idle.push((upstream, Instant::now() + lifetime));
        }
    }
}

impl ConnectionPool {
    /// Notes that a request is being sent to a backend.
    pub fn begin_request(&self, key: FleetKey, now_ms: u64) -> InFlightGuard {
        let mut backends = self.0.borrow_mut();
        let backend = backends.entry(key).or_default();
        backend.in_flight += 1;
        backend.sent_at_ms.push(now_ms);
        InFlightGuard { pool: self.clone(), key }
    }

    /// Returns the requests that a backend has of this process, and how many were sent since.
    pub fn request_counts(&self, key: FleetKey, since_ms: u64) -> (u32, u32) {
        let mut backends = self.0.borrow_mut();
        let Some(backend) = backends.get_mut(&key) else {
            return (0, 0);
        };
        backend.sent_at_ms.retain(|&at_ms| at_ms >= since_ms);
        (backend.in_flight, backend.sent_at_ms.len() as u32)
    }

    /// Returns the requests that a backend has of this process, each on a connection of its own.
    pub fn in_flight(&self, key: FleetKey) -> u32 {
        self.0.borrow().get(&key).map_or(0, |backend| backend.in_flight)
    }

    /// Closes idle connections whose time has passed, and forgets backends for which `known` does
    /// not hold.
    pub fn evict(&self, known: impl Fn(FleetKey) -> bool) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|&key, backend| {
            backend.idle.retain(|(_, usable_until)| now < *usable_until);
            known(key) || backend.in_flight > 0
        });
    }
}
