//! Requests that the gateway answers itself.

use std::time::Duration;

use currantlink_core::routes::Denied;
use derive_more::{Display, Error, From};
use http::{HeaderValue, Response, StatusCode, header};

use crate::response_body::ResponseBody;

const MS_PER_S: f64 = 1_000.0;

/// Why a request gets no backend's answer.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum Rejection {
    /// No configuration is known yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The configuration does not allow it.
    #[display("{_0}")]
    Denied(Denied),
    /// Its body is larger than the configuration allows.
    #[display("body-too-large")]
    BodyTooLarge,
    /// Its body did not arrive in time.
    #[display("body-late")]
    BodyTimeout,
    /// Its body broke off or is malformed.
    #[display("body-broken")]
    BodyIncomplete,
    /// It has no id, without which no backend runs it.
    #[display("no-attempt-id")]
    NoAttemptId,
    /// It has not run, as no backend can take it now.
    #[display("not-run: {reason}")]
    #[from(ignore)]
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run, but its answer was lost.
    #[display("answer-lost")]
    ResponseLost,
    /// It may have run, but its time is over.
    #[display("timeout")]
    Timeout,
}

/// Why no backend runs a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotRunReason {
    /// All backends are full.
    #[display("full")]
    Full,
    /// The backends' group is being formed again.
    #[display("forming")]
    Forming,
    /// No backend is listed.
    #[display("no-backend")]
    NoBackend,
    /// Every backend that was asked refused.
    #[display("refused-by-backends")]
    RefusedByBackends,
    /// Its time ended before it was handed to a backend.
    #[display("deadline")]
    Deadline,
    /// The process is about to end.
    #[display("stopping")]
    Stopping,
}

/// Time after which a request may find a configuration. Gateways read it within this time of their
/// start.
pub const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Rejection {
    /// Returns the status that says this.
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
            Rejection::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Rejection::NoConfiguration => Some(CONFIGURATION_RETRY_AFTER),
            Rejection::NotRun { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// Writes the answer.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::from_text(format!("{self}\n")));
        *response.status_mut() = self.status();
        if let Some(wait) = self.retry_after() {
            let seconds = format!("{:.3}", wait.as_millis() as f64 / MS_PER_S);
            match HeaderValue::try_from(seconds) {
                Ok(value) => drop(response.headers_mut().insert(header::RETRY_AFTER, value)),
                Err(error) => log::error!(error:% = error; "retry-after is not written"),
            }
        }
        response
    }
}
