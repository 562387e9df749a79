//! Idle connections to backends, and the requests that each backend has of this process.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use currantlink_core::fleet::FleetKey;
use currantlink_platform::response::KeepAlive;
use indexmap::IndexMap;

use crate::upstream::Upstream;

/// Time before a backend's idle timeout at which a connection is no longer used: its closing and a
/// request may cross.
const MARGIN: Duration = Duration::from_millis(700);
/// Idle time after which a connection is not used where the backend names no timeout, which is then
/// under a second.
const UNSAID_LIFE: Duration = Duration::from_millis(250);

/// Connections and running requests, by backend.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<IndexMap<FleetKey, Slot>>>);

#[derive(Default)]
struct Slot {
    idle: Vec<(Upstream, Instant)>,
    running: u32,
    sent_at_ms: Vec<u64>,
}

/// A request's use of a backend, until dropped.
pub struct Claim {
    pool: Pool,
    key: FleetKey,
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(slot) = self.pool.0.borrow_mut().get_mut(&self.key) {
            slot.running -= 1;
        }
    }
}

impl Claim {
    /// Takes an idle connection, where one can still be used.
    pub fn idle(&self) -> Option<Upstream> {
        let mut slots = self.pool.0.borrow_mut();
        let slot = slots.get_mut(&self.key)?;
        let now = Instant::now();
        while let Some((upstream, until)) = slot.idle.pop() {
            if now < until && upstream.is_reusable() {
                return Some(upstream);
            }
        }
        None
    }

    /// Keeps a connection for the next request, as long as the backend keeps it.
    pub fn keep(&self, upstream: Upstream, keep: KeepAlive) {
        let life = match keep {
            KeepAlive::Close => return,
            KeepAlive::Timeout(timeout) => timeout.saturating_sub(MARGIN),
            KeepAlive::Unspecified => UNSAID_LIFE,
        };
        if let Some(slot) = self.pool.0.borrow_mut().get_mut(&self.key) {
            slot.idle.push((upstream, Instant::now() + life));
        }
    }
}

impl Pool {
    /// Notes that a request is being sent to a backend.
    pub fn claim(&self, key: FleetKey, now_ms: u64) -> Claim {
        let mut slots = self.0.borrow_mut();
        let slot = slots.entry(key).or_default();
        slot.running += 1;
        slot.sent_at_ms.push(now_ms);
        Claim { pool: self.clone(), key }
    }

    /// Returns the requests that a backend has of this process, and how many were sent since.
    pub fn load(&self, key: FleetKey, since_ms: u64) -> (u32, u32) {
        let mut slots = self.0.borrow_mut();
        let Some(slot) = slots.get_mut(&key) else {
            return (0, 0);
        };
        slot.sent_at_ms.retain(|&at_ms| at_ms >= since_ms);
        (slot.running, slot.sent_at_ms.len() as u32)
    }

    /// Returns the requests that a backend has of this process, each on a connection of its own.
    pub fn running(&self, key: FleetKey) -> u32 {
        self.0.borrow().get(&key).map_or(0, |slot| slot.running)
    }

    /// Closes idle connections whose time has passed, and forgets backends for which `known` does
    /// not hold.
    pub fn sweep(&self, known: impl Fn(FleetKey) -> bool) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|&key, slot| {
            slot.idle.retain(|(_, until)| now < *until);
            known(key) || slot.running > 0
        });
    }
}
