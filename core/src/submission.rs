//! Inputs and outputs of the gate: submissions, queries, commands and refusals.

use derive_more::{Display, Error};

use crate::ids::CallKey;
use crate::ticket::{Ticket, TicketError, Unverified};

/// Limits of one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of running calls.
    pub max_running: usize,
    /// Maximum number of queued calls.
    pub max_queued: usize,
    /// Maximum number of retained calls, including queued and running ones but not tombstones.
    pub max_retained: usize,
    /// Time for which a finished or refused call is retained.
    pub retention_ms: u64,
    /// Time after which an idempotent call without a link to its entry is cancelled.
    pub orphan_ms: u64,
    /// Initial estimate of the time per token of work.
    pub us_per_token: u64,
}

/// Why a call is refused. A refused call has not run and will not run on this side.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The queue or the table of retained calls is full.
    #[display("queue-full")]
    QueueFull,
    /// The response would arrive after the deadline.
    #[display("deadline")]
    Deadline,
    /// The side is draining.
    #[display("draining")]
    Draining,
    /// The workspace has reached its limit of calls in flight.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The call was tombstoned before it was submitted.
    #[display("tombstoned")]
    Tombstoned,
    /// The ticket was not issued for this call.
    #[display("ticket")]
    Ticket,
    /// The message was sent over a link that has been replaced.
    #[display("stale-link")]
    StaleLink,
}

/// A refusal with the delay before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason of the refusal.
    pub reason: Refusal,
    /// Delay before a retry.
    pub retry_after_ms: u64,
}

/// One link generation of one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkId {
    /// Random id of the entry process.
    pub entry: u64,
    /// Number that increases with each link that the entry opens to this side.
    pub generation: u64,
}

/// A call that an entry dispatches to the side.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Key of the call.
    pub key: CallKey,
    /// Link over which the call was sent.
    pub link: LinkId,
    /// Service that the call is for.
    pub service: String,
    /// Remaining time until the deadline.
    pub remaining_ms: u64,
    /// Priority class, 0 is the most urgent.
    pub priority: u32,
    /// Weight of its workspace.
    pub weight: u32,
    /// Maximum number of calls of its workspace in flight on this side.
    pub workspace_limit: usize,
    /// Estimated work in tokens.
    pub work_tokens: u32,
    /// Ticket of a non-idempotent call.
    pub ticket: Option<Ticket<Unverified>>,
}

/// A query for the state of a call.
#[derive(Clone, Debug)]
pub struct CallQuery {
    /// Key of the call.
    pub key: CallKey,
    /// Service that the call is for.
    pub service: String,
    /// Ticket of a non-idempotent call.
    pub ticket: Option<Ticket<Unverified>>,
}

/// A command that the side must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Dispatch the call to the back end.
    Start(CallKey),
    /// Keep the call until it is started.
    Enqueue(CallKey),
    /// Send the response of an already submitted call to the link that submitted it again.
    Attach(CallKey),
    /// Report to the entry that the call will not run.
    Refuse(CallKey, Refused),
    /// Report to the entry that the call may have run: its ticket has expired or is of another
    /// incarnation.
    OutcomeUnknown(CallKey, TicketError),
    /// Cancel the call at the back end.
    Cancel(CallKey),
    /// Drop all data of the call.
    Evict(CallKey),
}

/// State of a queried call.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// The call is queued or running; its frames follow.
    #[debug("Live")]
    InFlight,
    /// The call has ended; its response can be replayed.
    Done,
    /// The call has not run and will not run.
    NotRun,
    /// The ticket has expired or is of another incarnation, so the call may have run.
    #[debug("CannotTell")]
    OutcomeUnknown,
}
