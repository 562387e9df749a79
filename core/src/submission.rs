//! What goes into the gate and what comes out of it.

use derive_more::{Display, Error};

use crate::ids::CallKey;
use crate::ticket::{Ticket, TicketError, Unverified};

/// Bounds of one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Calls that the back end runs at a time.
    pub max_running: usize,
    /// Calls that may wait.
    pub max_queued: usize,
    /// Calls that may be remembered, waiting and running ones included.
    pub max_retained: usize,
    /// Time that a finished or refused call is remembered.
    pub retention_ms: u64,
    /// Time that an idempotent call goes on without a link to its entry.
    pub orphan_ms: u64,
    /// First estimate of the time per token of work.
    pub us_per_token: u64,
}

/// Why a call is refused; it has not run and will not run here.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Too many calls wait.
    #[display("queue-full")]
    QueueFull,
    /// The answer would come after the deadline.
    #[display("deadline")]
    Deadline,
    /// The backend is leaving.
    #[display("draining")]
    Draining,
    /// The workspace has its most calls in flight.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The call was tombstoned before it came.
    #[display("tombstoned")]
    Tombstoned,
    /// The ticket was not issued for this call.
    #[display("ticket")]
    Ticket,
    /// The message came over a link that was replaced.
    #[display("stale-link")]
    StaleLink,
}

/// A refusal with the time after which a new try makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The reason.
    pub reason: Refusal,
    /// Time to wait before a new try.
    pub retry_after_ms: u64,
}

/// One link generation of one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkId {
    /// Random id of the entry process.
    pub entry: u64,
    /// Rises with each link that the entry opens to this side.
    pub generation: u64,
}

/// A call as an entry hands it over.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The call.
    pub key: CallKey,
    /// Link over which it came.
    pub link: LinkId,
    /// Service that it asks for.
    pub service: String,
    /// Time left for the answer.
    pub remaining_ms: u64,
    /// Priority class, 0 is the most urgent.
    pub priority: u32,
    /// Share of its workspace.
    pub weight: u32,
    /// Most calls of its workspace in flight here.
    pub workspace_limit: usize,
    /// Estimated work in tokens.
    pub work_tokens: u32,
    /// Ticket of a non-idempotent call.
    pub ticket: Option<Ticket<Unverified>>,
}

/// A call that an entry asks about.
#[derive(Clone, Debug)]
pub struct CallQuery {
    /// The call.
    pub key: CallKey,
    /// Service that it asks for.
    pub service: String,
    /// Ticket of a non-idempotent call.
    pub ticket: Option<Ticket<Unverified>>,
}

/// What the side has to do for the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Hand the call to the back end.
    Start(CallKey),
    /// Keep the call until its turn.
    Enqueue(CallKey),
    /// Send the answer of a call that is known already to the asking link.
    Attach(CallKey),
    /// Tell the entry that the call does not run.
    Refuse(CallKey, Refused),
    /// Tell the entry that the call may have run under an earlier incarnation or expired ticket.
    OutcomeUnknown(CallKey, TicketError),
    /// Cancel the call at the back end.
    Cancel(CallKey),
    /// Drop what is kept of the call.
    Evict(CallKey),
}

/// What the gate knows of a call that an entry asks about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// It waits or runs; frames follow.
    Live,
    /// It has ended; its answer can be replayed.
    Done,
    /// It has not run and never will.
    NotRun,
    /// Its ticket is of another incarnation or has expired, so that it may have been forgotten.
    CannotTell,
}
