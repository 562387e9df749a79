//! Requests that a gateway has accepted and not answered completely.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::time::Instant;

/// The requests in flight, in no order. Clones share their state.
#[derive(Clone, Default)]
pub struct InFlightRequests(Rc<RefCell<Requests>>);

#[derive(Default)]
struct Requests {
    next_key: u64,
    by_key: IndexMap<u64, InFlightRequest>,
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// Id of the caller's attempt; empty if the caller sent none.
    pub attempt_id: String,
    /// Time of arrival.
    pub arrived_at: Instant,
}

/// Counts a request as in flight until dropped.
pub struct InFlightEntry {
    requests: InFlightRequests,
    key: u64,
}

impl InFlightRequests {
    /// Adds a request.
    pub fn begin(&self, request: InFlightRequest) -> InFlightEntry {
        let mut requests = self.0.borrow_mut();
        let key = requests.next_key;
        requests.next_key += 1;
        requests.by_key.insert(key, request);
        InFlightEntry { requests: self.clone(), key }
    }

    /// Returns the requests in flight.
    pub fn list(&self) -> Vec<InFlightRequest> {
        self.0.borrow().by_key.values().cloned().collect()
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.0.borrow().by_key.len()
    }
}

impl Drop for InFlightEntry {
    fn drop(&mut self) {
        self.requests.0.borrow_mut().by_key.swap_remove(&self.key);
    }
}
