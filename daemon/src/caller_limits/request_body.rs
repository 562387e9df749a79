//! Reads the body of a request into one buffer, as far as the budget allows.

use std::time::Duration;

use bytes::Bytes;
use currantlink_core::memory_budget::{Phase, Purpose, STANDSTILL_MS};
use derive_more::{Display, Error, From};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;

use super::{CallerConnection, HeldBuffer};

/// Time for which a body may wait for memory: those that stand still have given way by then, and a body
/// of 4 MiB takes a few hundred milliseconds to arrive.
const ROOM_TIMEOUT: Duration = Duration::from_millis(2 * STANDSTILL_MS);

/// Reason why a body was not read.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The body exceeds the limit of the configuration.
    #[display("body exceeds the limit")]
    TooLarge,
    /// The body ended early or is malformed.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// The body did not arrive before the deadline.
    #[display("body did not arrive in time")]
    Late,
    /// There is no memory for the body.
    #[display("no memory for the body")]
    NoMemory,
    /// The body stood still while memory was short.
    #[display("body stood still while memory was short")]
    GaveWay,
}

/// Reads a body. Nothing is read before it is reserved, except what the connection's buffer holds.
///
/// # Errors
///
/// Fails if the body exceeds `limit_bytes`, does not arrive by `deadline`, is broken, or if memory is
/// short.
pub async fn read(
    connection: &CallerConnection,
    body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Option<Bytes>, BodyError> {
    if body.is_end_stream() {
        return Ok(None);
    }
    let declared = body.size_hint().exact();
    let declared = declared.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if declared.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyError::TooLarge);
    }
    let until = deadline.min(Instant::now() + ROOM_TIMEOUT);
    let buffer = HeldBuffer::begin(connection, Purpose::Body, declared, limit_bytes, until);
    let buffer = buffer.await.ok_or(BodyError::NoMemory)?;
    connection.set_phase(Phase::Receiving);
    let read = tokio::select! {
        biased;
        read = receive(connection, body, buffer, limit_bytes) => read,
        () = connection.gives_way() => Err(BodyError::GaveWay),
        () = tokio::time::sleep_until(deadline) => Err(BodyError::Late),
    };
    // The request is either rejected now or complete, and then does not give way.
    connection.ends_with_response();
    connection.set_phase(Phase::Working);
    read.map(Some)
}

async fn receive(
    connection: &CallerConnection,
    mut body: Incoming,
    mut buffer: HeldBuffer,
    limit_bytes: usize,
) -> Result<Bytes, BodyError> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLarge);
        }
        if !buffer.fits(data.len()) {
            // The peer does not stand still while its bytes are not read.
            connection.set_phase(Phase::Working);
            if !buffer.reserve(data.len(), Instant::now() + ROOM_TIMEOUT).await {
                return Err(BodyError::NoMemory);
            }
            connection.set_phase(Phase::Receiving);
        }
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(buffer.finish_with(data));
        }
        connection.record_bytes(data.len());
        buffer.extend(&data);
    }
    Ok(buffer.finish())
}
