//! Compares when the next event of a response can come with how long its caller waits for it.

/// Time that a response of the gateway takes to its caller, in which the caller must not have left.
const RESPONSE_MS: u64 = 100;

/// What is left of the time that a caller waits for the next event of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Longest time that the caller waits for an event, or `None` if it waits until its deadline.
    pub event_wait_ms: Option<u64>,
    /// Time since the caller was last sent an event, or since its request arrived.
    pub unheard_ms: u64,
    /// Time until the caller's deadline.
    pub deadline_left_ms: u64,
}

impl Patience {
    /// Returns how long the gateway can wait for the next event. After that it can only respond that
    /// none has come, before the caller leaves.
    pub fn left_ms(&self) -> u64 {
        let wait_left_ms = self.event_wait_ms.map_or(u64::MAX, |wait_ms| {
            wait_ms.saturating_sub(RESPONSE_MS).saturating_sub(self.unheard_ms)
        });
        wait_left_ms.min(self.deadline_left_ms)
    }

    /// Returns whether the caller leaves for want of an event before its deadline.
    pub fn ends_before_deadline(&self) -> bool {
        self.left_ms() < self.deadline_left_ms
    }

    /// Returns how much later the request can be sent to a backend that has its first event `start_ms`
    /// after that, or `None` if the event would come too late if it were sent now.
    pub fn send_left_ms(&self, start_ms: f64) -> Option<u64> {
        self.left_ms().checked_sub(start_ms as u64).filter(|&left_ms| left_ms > 0)
    }
}
