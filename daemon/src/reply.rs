//! HTTP responses and error codes.

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

/// Header with the caller's request id, echoed in the response. The HTTP library sets the header
/// `x-request-id` of every response to an id that it generates.
pub const REQUEST_ID_HEADER: &str = "request-id";

const MS_PER_S: u64 = 1_000;

/// Result of an HTTP handler.
pub type HttpResult = Result<Response<Body>, HttpError>;

/// Error code in the body of an error response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The bearer token is missing, unknown or not valid for the endpoint.
    #[display("unauthorized")]
    Unauthorized,
    /// The service, backend, adapter or record does not exist for this caller.
    #[display("not-found")]
    NotFound,
    /// A header, the path or the body is invalid.
    #[display("malformed")]
    Malformed,
    /// An Idempotency-Key is not supported; a retry must use the URL with the ticket.
    #[display("use-ticket")]
    UseTicket,
    /// No backend accepts calls.
    #[display("no-backend")]
    NoBackend,
    /// The queues of the backends are full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline cannot be met or has passed.
    #[display("deadline")]
    Deadline,
    /// The workspace has reached its limit of calls in flight.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The ticket does not belong to this call.
    #[display("bad-ticket")]
    BadTicket,
    /// The ticket has expired, or its backend was replaced.
    #[display("ticket-lost")]
    TicketLost,
    /// The backend server failed.
    #[display("back-end-failed")]
    BackEndFailed,
    /// The response was lost.
    #[display("answer-lost")]
    AnswerLost,
    /// The change is based on revisions that are not current.
    #[display("conflict")]
    Conflict,
    /// The configuration has problems.
    #[display("bad-configuration")]
    BadConfiguration,
    /// The platform's log is unavailable. The change may still be accepted later.
    #[display("log-unavailable")]
    LogUnavailable,
    /// This process is shutting down.
    #[display("stopping")]
    Stopping,
}

/// Body of an error response.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// Id of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Error code.
    pub error: ErrorCode,
    /// `not-run`, `failed` or `unknown`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// Advised delay before a retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Human-readable description.
    pub message: String,
    /// Individual problems or conflicts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<String>,
}

impl ErrorBody {
    /// Creates an error without an outcome.
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

    /// Sets the outcome of the call.
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome.to_string());
        self
    }

    /// Sets the request id.
    pub fn request(mut self, id: &str) -> Self {
        self.request_id = Some(id.to_owned());
        self
    }

    /// Sets the advised delay before a retry.
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets the details.
    pub fn details(mut self, details: impl IntoIterator<Item = String>) -> Self {
        self.details = details.into_iter().collect();
        self
    }

    /// Builds the response.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be serialized as JSON.
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
/// Fails if the value cannot be serialized as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResult {
    let text = serde_json::to_vec(value)
        .map_err(|e| HttpError::for_internal_error(format!("could not write json: {e}")))?;
    build(Response::builder().status(status).header(header::CONTENT_TYPE, "application/json"), text)
}

/// Builds a response from a builder and a body.
///
/// # Errors
///
/// Fails if the builder contains an invalid header.
pub fn build(builder: http::response::Builder, body: impl Into<Body>) -> HttpResult {
    builder
        .body(body.into())
        .map_err(|e| HttpError::for_internal_error(format!("could not build response: {e}")))
}

/// Returns the bearer token of a request.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Sets the request id header.
pub fn set_request_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}

/// Builds the HTTP response from a backend server's response.
///
/// Invalid headers are dropped, and an invalid status is replaced by 502.
///
/// # Errors
///
/// Fails if the response cannot be built.
pub fn call_response(response: CallResponse, request_id: &str) -> HttpResult {
    let status =
        u16::try_from(response.head.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let body = match response.body {
        CallBody::Buffered(bytes) => Body::with_content(bytes),
        CallBody::Streamed(chunks) => Body::wrap(StreamedBody { chunks, is_done: false }),
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

/// Builds the error response to a call that has no complete response of a backend server.
///
/// # Errors
///
/// Fails if the body cannot be serialized as JSON.
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
        (_, AttemptEnd::OutcomeNotRetained) => (StatusCode::GATEWAY_TIMEOUT, ErrorCode::TicketLost),
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

/// Error of an incomplete stream. It aborts the connection, so that the caller cannot mistake the
/// body for a complete one.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("response body is incomplete")]
pub struct IncompleteBody;

struct StreamedBody {
    chunks: mpsc::Receiver<BodyChunk>,
    is_done: bool,
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if self.is_done {
            return std::task::Poll::Ready(None);
        }
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            Some(Ok(Some(data))) => Some(Ok(Frame::data(data))),
            Some(Ok(None)) => {
                self.is_done = true;
                None
            }
            // The source of the chunks is gone, for example at the end of the process.
            Some(Err(_)) | None => Some(Err(IncompleteBody)),
        })
    }
}
