//! Conversions between the messages of links and peers and the types of `currantlink-core`.

use bytes::Bytes;
use currantlink_core::attempt::AttemptEnd;
use currantlink_core::fleet::{Fleet, Process};
use currantlink_core::gate::{Refusal, Refused};
use currantlink_core::ids::{CallKey, RequestId, RequestIdError, WorkspaceName};
use currantlink_wire::link::{self, CallRef, RefusalReason, ToEntry, ToSide, to_entry, to_side};
use currantlink_wire::peers::Leaving;

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

/// Encodes a backend that leaves.
pub fn encode_leaving(process: &Process) -> Leaving {
    let Process { id, started_at_ms, service, address } = process.clone();
    Leaving { id, born_ms: started_at_ms, service, address: address.to_string() }
}

/// Decodes a backend that leaves. Returns `None` if it is not known which process of the id is meant.
pub fn decode_leaving(message: &Leaving, fleet: &Fleet) -> Option<Process> {
    let Leaving { id, born_ms, service, address } = message;
    if address.is_empty() {
        let member = fleet.by_id(id).and_then(|key| fleet.get(key))?;
        return Some(member.process()).filter(|process| process.started_at_ms == *born_ms);
    }
    let address = address.parse().inspect_err(|error| {
        log::warn!(backend = id.as_str(), error:% = error; "leaving backend has a malformed address");
    });
    Some(Process {
        id: id.clone(),
        started_at_ms: *born_ms,
        service: service.clone(),
        address: address.ok()?,
    })
}
