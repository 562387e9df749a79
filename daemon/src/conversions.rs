//! Conversions between link messages and the types of `currantlink-core`.

use bytes::Bytes;
use currantlink_core::attempt::AttemptEnd;
use currantlink_core::gate::{Refusal, Refused};
use currantlink_core::ids::{CallKey, RequestId, RequestIdError, WorkspaceName};
use currantlink_wire::link::{self, CallRef, RefusalReason, ToEntry, ToSide, to_entry, to_side};

/// Decodes the key of a call.
///
/// # Errors
///
/// Fails if the request id is not 16 bytes long.
pub fn call_key(call: &CallRef) -> Result<CallKey, RequestIdError> {
    Ok(CallKey {
        workspace: WorkspaceName::from(call.workspace.as_str()),
        request: RequestId::try_from(call.request_id.as_ref())?,
        attempt: call.attempt,
    })
}

/// Encodes the key of a call, with the id of the stream that receives its frames.
pub fn call_ref(key: &CallKey, stream: u64) -> CallRef {
    CallRef {
        request_id: Bytes::copy_from_slice(key.request.as_bytes()),
        workspace: key.workspace.as_str().to_owned(),
        attempt: key.attempt,
        stream,
    }
}

/// Encodes a refusal.
pub fn refused_message(refused: Refused) -> link::Refused {
    let reason = match refused.reason {
        Refusal::QueueFull => RefusalReason::RefusalQueueFull,
        Refusal::Deadline => RefusalReason::RefusalDeadline,
        Refusal::Draining => RefusalReason::RefusalDraining,
        Refusal::WorkspaceLimit => RefusalReason::RefusalWorkspaceLimit,
        Refusal::Tombstoned => RefusalReason::RefusalTombstoned,
        Refusal::Ticket => RefusalReason::RefusalTicket,
        Refusal::StaleLink => RefusalReason::RefusalStaleLink,
    };
    link::Refused { reason: reason.into(), retry_after_ms: refused.retry_after_ms }
}

/// Decodes a refusal into the end of an attempt.
pub fn attempt_end(refused: &link::Refused) -> AttemptEnd {
    let retry_after_ms = refused.retry_after_ms;
    let refused_for = |reason| AttemptEnd::Refused { reason, retry_after_ms };
    match refused.reason() {
        RefusalReason::RefusalQueueFull => refused_for(Refusal::QueueFull),
        RefusalReason::RefusalDeadline => refused_for(Refusal::Deadline),
        RefusalReason::RefusalDraining => refused_for(Refusal::Draining),
        RefusalReason::RefusalWorkspaceLimit => refused_for(Refusal::WorkspaceLimit),
        RefusalReason::RefusalTombstoned => AttemptEnd::Tombstoned,
        RefusalReason::RefusalTicket => refused_for(Refusal::Ticket),
        RefusalReason::RefusalIncarnation => AttemptEnd::IncarnationLost,
        RefusalReason::RefusalMalformed => AttemptEnd::Damaged,
        RefusalReason::RefusalStaleLink => refused_for(Refusal::StaleLink),
        RefusalReason::RefusalUnspecified | RefusalReason::RefusalCannotTell => {
            AttemptEnd::OutcomeNotRetained
        }
    }
}

/// Wraps a message body for an entry.
pub fn to_entry(body: to_entry::Body) -> ToEntry {
    ToEntry { body: Some(body) }
}

/// Wraps a message body for one incarnation of a side.
pub fn to_side(incarnation: u64, body: to_side::Body) -> ToSide {
    ToSide { incarnation, body: Some(body) }
}
