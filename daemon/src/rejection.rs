//! Reasons for rejecting a request, and the HTTP responses for them.

use std::time::Duration;

use currantlink_core::routes::Denied;
use derive_more::{Display, Error, From};
use http::{HeaderValue, Response, StatusCode, header};

use crate::caller_limits::BodyError;
use crate::response_body::ResponseBody;

const MS_PER_S: f64 = 1_000.0;

/// Reason why the gateway rejects a request.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum Rejection {
    /// No configuration has been read yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The configuration does not admit the request.
    #[display("{_0}")]
    Denied(Denied),
    /// The request body exceeds the configured limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The request body did not arrive before the deadline.
    #[display("body-late")]
    BodyTimeout,
    /// The request body ended early or is malformed.
    #[display("body-broken")]
    BodyIncomplete,
    /// The request has no attempt id; backends require one.
    #[display("no-attempt-id")]
    NoAttemptId,
    /// The request has not run, and no backend accepts it now.
    #[display("not-run: {reason}")]
    #[from(ignore)]
    NotRun {
        /// Why no backend ran the request.
        reason: NotRunReason,
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run, but its response was lost.
    #[display("answer-lost")]
    ResponseLost,
    /// The request may have run, but its deadline has passed.
    #[display("timeout")]
    Timeout,
    /// The request may have run, but no event can come while its caller waits for one.
    #[display("no-event")]
    #[from(ignore)]
    NoEvent {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
}

/// Reason why no backend ran a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotRunReason {
    /// All backends are full.
    #[display("full")]
    Full,
    /// More urgent requests need the room.
    #[display("held-back")]
    HeldBack,
    /// All backends' groups are forming or stalled.
    #[display("forming")]
    Forming,
    /// All backends that could run the request are at their rate limits.
    #[display("rate-limited")]
    RateLimited,
    /// All backends that could run the request have requested pauses.
    #[display("paused")]
    Paused,
    /// All backends that accept requests are in evacuated failure domains.
    #[display("evacuated")]
    Evacuated,
    /// No backend is listed for the service.
    #[display("no-backend")]
    NoBackend,
    /// Every backend that was tried refused the request.
    #[display("refused-by-backends")]
    RefusedByBackends,
    /// Requests like this one crash the backends that run them.
    #[display("crashes-backends")]
    CrashesBackends,
    /// Requests like this one may crash backends, and another one is on trial.
    #[display("suspected")]
    Suspected,
    /// The deadline passed before the request was dispatched.
    #[display("deadline")]
    Deadline,
    /// Its first event would come after the caller has left.
    #[display("late")]
    Late,
    /// The process is shutting down.
    #[display("stopping")]
    Stopping,
    /// The gateway has no memory for the request body.
    #[display("no-memory")]
    NoMemory,
    /// The request body stood still while memory was short.
    #[display("slow-body")]
    SlowBody,
}

/// Range of the retry delay of a request for whose body there is no memory, in milliseconds. Uploads that
/// stand still have given way by then, and the callers return one after the other.
const MEMORY_RETRY_AFTER_MS: std::ops::Range<u64> = 500..1_500;

/// Retry delay while no configuration is known. A gateway reads its configuration within this time
/// after its start.
pub const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Self {
        let not_run = |reason| {
            let retry_after = Duration::from_millis(rand::random_range(MEMORY_RETRY_AFTER_MS));
            Rejection::NotRun { reason, retry_after }
        };
        match error {
            BodyError::TooLarge => Rejection::BodyTooLarge,
            BodyError::Broken(error) => {
                log::debug!(error:% = error; "request body ended early");
                Rejection::BodyIncomplete
            }
            BodyError::Late => Rejection::BodyTimeout,
            BodyError::NoMemory => not_run(NotRunReason::NoMemory),
            BodyError::GaveWay => not_run(NotRunReason::SlowBody),
        }
    }
}

/// Marks the response to a request that was rejected: its body may not have been read.
#[derive(Clone, Copy, Debug)]
pub struct Rejected;

impl Rejection {
    /// Returns whether the rest of the request is not read, so that the connection has to be closed.
    fn closes_connection(&self) -> bool {
        match self {
            Rejection::BodyTooLarge | Rejection::BodyTimeout => true,
            Rejection::NotRun { reason, .. } => {
                matches!(reason, NotRunReason::NoMemory | NotRunReason::SlowBody)
            }
            _ => false,
        }
    }

    /// Returns the HTTP status for this rejection.
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::NoConfiguration | Rejection::NotRun { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Rejection::Denied(Denied::NoRoute) => StatusCode::NOT_FOUND,
            Rejection::Denied(Denied::UnknownKey) => StatusCode::UNAUTHORIZED,
            Rejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Rejection::BodyIncomplete | Rejection::NoAttemptId => StatusCode::BAD_REQUEST,
            Rejection::ResponseLost => StatusCode::BAD_GATEWAY,
            Rejection::Timeout | Rejection::NoEvent { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Rejection::NoConfiguration => Some(CONFIGURATION_RETRY_AFTER),
            Rejection::NotRun { retry_after, .. } | Rejection::NoEvent { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }

    /// Builds the HTTP response.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::from_text(format!("{self}\n")));
        *response.status_mut() = self.status();
        response.extensions_mut().insert(Rejected);
        if self.closes_connection() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(wait) = self.retry_after() {
            let seconds = format!("{:.3}", wait.as_millis() as f64 / MS_PER_S);
            match HeaderValue::try_from(seconds) {
                Ok(value) => drop(response.headers_mut().insert(header::RETRY_AFTER, value)),
                Err(error) => {
                    log::error!(error:% = error; "failed to encode the retry-after header")
                }
            }
        }
        response
    }
}
