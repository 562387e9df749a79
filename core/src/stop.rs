//! Phases of a planned stop.
//!
//! A process that is asked to stop first drains: it reports not ready and serves what still reaches
//! it. Then it closes: it accepts only requests whose deadline passes before its exit, so that all
//! others have the rest of the grace period to complete.

use std::marker::PhantomData;
use std::time::Duration;

/// Time within which callers are sent elsewhere after the process has reported not ready.
const REROUTE_TIME: Duration = Duration::from_millis(2_600);
/// Maximum share of the grace period that is spent draining.
const MAX_DRAIN_SHARE: f64 = 0.5;
/// Time before the end of the grace period at which the process exits in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Maximum share of the grace period that the margin takes.
const MAX_MARGIN_SHARE: f64 = 0.1;
/// Time that a short response takes to reach the caller.
const RESPONSE_TIME: Duration = Duration::from_millis(200);

/// The process still accepts all requests.
#[derive(Debug)]
pub struct Draining;

/// The process completes the requests in flight.
#[derive(Debug)]
pub struct Closing;

/// A stop in progress, in state `Draining` or `Closing`. All times are relative to the stop signal.
#[derive(Debug)]
pub struct Stop<S> {
    grace: Duration,
    state: PhantomData<S>,
}

impl Stop<Draining> {
    /// Begins a stop that must be complete at the end of the grace period.
    pub fn begin(grace: Duration) -> Self {
        Self { grace, state: PhantomData }
    }

    /// Returns how long all requests are accepted.
    pub fn drains_for(&self) -> Duration {
        REROUTE_TIME.min(self.grace.mul_f64(MAX_DRAIN_SHARE))
    }

    /// Returns which requests are accepted, now and while closing.
    pub fn acceptance(&self) -> Acceptance {
        Acceptance { drains_for: self.drains_for(), exits_after: self.exits_after() }
    }

    /// Ends the acceptance of requests that could outlast the process.
    pub fn close(self) -> Stop<Closing> {
        Stop { grace: self.grace, state: PhantomData }
    }
}

impl<S> Stop<S> {
    /// Returns when the process exits although requests are still in flight.
    pub fn exits_after(&self) -> Duration {
        self.grace - EXIT_MARGIN.min(self.grace.mul_f64(MAX_MARGIN_SHARE))
    }

    /// Returns when the requests without a response are answered although their outcome is unknown.
    pub fn answers_after(&self) -> Duration {
        self.exits_after().saturating_sub(RESPONSE_TIME)
    }
}

/// Which requests a stopping process accepts.
#[derive(Clone, Copy, Debug)]
pub struct Acceptance {
    drains_for: Duration,
    exits_after: Duration,
}

impl Acceptance {
    /// Returns whether a request is accepted that arrives `after_stop`, with `remaining` time until
    /// its deadline.
    pub fn accepts(&self, after_stop: Duration, remaining: Duration) -> bool {
        after_stop < self.drains_for || after_stop + remaining + RESPONSE_TIME <= self.exits_after
    }
}
