//! HTTP answers and typed errors.

use bytes::Bytes;
use currantlink_core::attempt::{AttemptEnd, Outcome};
use currantlink_core::gate::Refusal;
use derive_more::Display;
use dropshot::{Body, HttpError};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::call::{BodyChunk, CallBody, CallError, CallResponse};

/// Header with the caller's id of a request, echoed in the answer. The HTTP library sets
/// `x-request-id` of every answer to an id of its own.
pub const REQUEST_ID_HEADER: &str = "request-id";

const MS_PER_S: u64 = 1_000;

/// What every handler returns.
pub type HttpResult = Result<Response<Body>, HttpError>;

/// Codes of errors that callers and operators can act on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The bearer_token token is missing, wrong or another one's.
    #[display("unauthorized")]
    Unauthorized,
    /// The service, backend, adapter or record does not exist for this caller.
    #[display("not-found")]
    NotFound,
    /// A header, the path or the body is wrong.
    #[display("malformed")]
    Malformed,
    /// An Idempotency-Key cannot be honoured; use the ticket's address.
    #[display("use-ticket")]
    UseTicket,
    /// No backend takes work.
    #[display("no-backend")]
    NoBackend,
    /// Queues are full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline cannot be kept or has passed.
    #[display("deadline")]
    Deadline,
    /// The workspace has its most calls in flight.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The ticket does not belong to this call.
    #[display("bad-ticket")]
    BadTicket,
    /// The ticket has expired, or its backend was replaced.
    #[display("ticket-lost")]
    TicketLost,
    /// The back end failed.
    #[display("back-end-failed")]
    BackEndFailed,
    /// The answer was lost.
    #[display("answer-lost")]
    AnswerLost,
    /// The change was made from revisions that are not current.
    #[display("conflict")]
    Conflict,
    /// The configuration has problems.
    #[display("bad-configuration")]
    BadConfiguration,
    /// The platform's log does not answer; the change may be accepted later.
    #[display("log-unavailable")]
    LogUnavailable,
    /// This process stops.
    #[display("stopping")]
    Stopping,
}

/// Body of an error.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// Id of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// What is wrong.
    pub error: ErrorCode,
    /// `not-run`, `failed` or `unknown`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// When a new try makes sense.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Text for people.
    pub message: String,
    /// Items that the error is about.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<String>,
}

impl ErrorBody {
    /// Starts an error without outcome.
    pub fn new(error: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            request_id: None,
            error,
            outcome: None,
            retry_after_ms: None,
            message: message.into(),
            details: Vec::new(),
        }
    }

    /// Says what became of the call.
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome.to_string());
        self
    }

    /// Names the request.
    pub fn request(mut self, id: &str) -> Self {
        self.request_id = Some(id.to_owned());
        self
    }

    /// Says when a new try makes sense.
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds items.
    pub fn details(mut self, details: impl IntoIterator<Item = String>) -> Self {
        self.details = details.into_iter().collect();
        self
    }

    /// Builds the response.
    pub fn respond(self, status: StatusCode) -> HttpResult {
        let retry_after_ms = self.retry_after_ms;
        let mut response = json(status, &self)?;
        if let Some(ms) = retry_after_ms {
            let seconds = HeaderValue::from(ms.div_ceil(MS_PER_S));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        if let Some(id) = self.request_id {
            set_request_id(response.headers_mut(), &id);
        }
        Ok(response)
    }
}

/// Builds a JSON response.
///
/// # Errors
///
/// Fails where the value cannot be written as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResult {
    let text = serde_json::to_vec(value)
        .map_err(|e| HttpError::for_internal_error(format!("could not write json: {e}")))?;
    build(Response::builder().status(status).header(header::CONTENT_TYPE, "application/json"), text)
}

/// Builds a response from its parts.
///
/// # Errors
///
/// Fails where a header is not allowed.
pub fn build(builder: http::response::Builder, body: impl Into<Body>) -> HttpResult {
    builder
        .body(body.into())
        .map_err(|e| HttpError::for_internal_error(format!("could not build response: {e}")))
}

/// Returns the bearer_token token of a request.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Sets the header with the id of a request.
pub fn set_request_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}

/// Passes an answer on.
///
/// # Errors
///
/// Fails where the back end's status is none.
pub fn call_response(response: CallResponse, request_id: &str) -> HttpResult {
    let status =
        u16::try_from(response.head.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let body = match response.body {
        CallBody::Buffered(bytes) => Body::with_content(bytes),
        CallBody::Streamed(chunks) => Body::wrap(StreamedBody { chunks }),
    };
    let mut http_response = build(Response::builder().status(status), body)?;
    for header in &response.head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&header.value)) {
            http_response.headers_mut().append(name, value);
        }
    }
    set_request_id(http_response.headers_mut(), request_id);
    Ok(http_response)
}

/// Tells the caller what became of a call without an answer.
///
/// # Errors
///
/// Fails where the error cannot be written as JSON.
pub fn call_error(error: CallError, request_id: &str) -> HttpResult {
    let (status, code) = classify(error);
    metrics::counter!("currantlink_given_up_total", "outcome" => error.outcome.to_string())
        .increment(1);
    let mut body = ErrorBody::new(code, error_message(code)).outcome(error.outcome);
    body = body.request(request_id).retry_after_ms(error.retry_after_ms);
    body.respond(status)
}

fn classify(error: CallError) -> (StatusCode, ErrorCode) {
    match (error.outcome, error.last_end) {
        (_, AttemptEnd::SideCannotTell) => (StatusCode::GATEWAY_TIMEOUT, ErrorCode::TicketLost),
        (Outcome::Unknown, AttemptEnd::DeadlinePassed) => {
            (StatusCode::GATEWAY_TIMEOUT, ErrorCode::Deadline)
        }
        (Outcome::Unknown, AttemptEnd::IncarnationLost) => {
            (StatusCode::GATEWAY_TIMEOUT, ErrorCode::TicketLost)
        }
        (Outcome::Unknown, _) => (StatusCode::GATEWAY_TIMEOUT, ErrorCode::AnswerLost),
        (Outcome::Failed, _) => (StatusCode::BAD_GATEWAY, ErrorCode::BackEndFailed),
        (_, AttemptEnd::Refused { reason, .. }) => classify_refusal(reason),
        (_, AttemptEnd::NoBackend | AttemptEnd::NotSent) => {
            (StatusCode::SERVICE_UNAVAILABLE, ErrorCode::NoBackend)
        }
        _ => (StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Overloaded),
    }
}

fn classify_refusal(reason: Refusal) -> (StatusCode, ErrorCode) {
    match reason {
        Refusal::Deadline => (StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Deadline),
        Refusal::WorkspaceLimit => (StatusCode::TOO_MANY_REQUESTS, ErrorCode::WorkspaceLimit),
        Refusal::Ticket => (StatusCode::FORBIDDEN, ErrorCode::BadTicket),
        Refusal::Draining => (StatusCode::SERVICE_UNAVAILABLE, ErrorCode::NoBackend),
        Refusal::QueueFull | Refusal::Tombstoned | Refusal::StaleLink => {
            (StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Overloaded)
        }
    }
}

fn error_message(code: ErrorCode) -> &'static str {
    match code {
        ErrorCode::NoBackend => "no backend takes work now",
        ErrorCode::Overloaded => "the backends are full",
        ErrorCode::Deadline => "the deadline cannot be kept",
        ErrorCode::WorkspaceLimit => "the workspace has its most calls in flight",
        ErrorCode::BadTicket => "the ticket was not issued for this call",
        ErrorCode::TicketLost => "the backend that holds this call's ticket is gone or forgot it",
        ErrorCode::BackEndFailed => "the back end failed",
        _ => "the answer was lost",
    }
}

/// An incomplete stream; the connection is cut so that it cannot pass for a whole one.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("the answer broke off")]
pub struct IncompleteBody;

struct StreamedBody {
    chunks: mpsc::Receiver<BodyChunk>,
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            Some(Ok(data)) => Some(Ok(Frame::data(data))),
            Some(Err(_)) => Some(Err(IncompleteBody)),
            None => None,
        })
    }
}
