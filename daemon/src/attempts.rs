//! Dispatches requests to backends, with retries.
//!
//! A request is sent to one backend after another until a response arrives or no further attempt is
//! allowed.

use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::{FleetKey, Member};
use currantlink_core::ids::WorkspaceName;
use currantlink_core::memory_budget::Purpose;
use currantlink_core::pauses::UNREADABLE_PAUSE;
use currantlink_core::retry::{NextAction, Outcome, RetryState};
use currantlink_platform::request::{self, BackendRequest};
use currantlink_platform::response::{self, NamedRate, RequestedPause, ResponseMetadata};
use http::{Method, Response};

use crate::caller_limits::HeldBuffer;
use crate::clock::now_ms;
use crate::placement::Placement;
use crate::pool::InFlightGuard;
use crate::rejection::{NotRunReason, Rejection};
use crate::request_handler::{Call, Gateway};
use crate::response_body::ResponseBody;
use crate::upstream::{Framing, Head, Upstream, UpstreamError};

/// Timeout for connecting to a backend. A connection takes a few milliseconds; a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Urgency class that backends admit first.
const MOST_URGENT: u8 = 0;
/// Number of responses to other requests that are skipped on a connection before the attempt fails.
const MAX_STRAY_RESPONSES: usize = 3;
/// Maximum size of a response body that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time to read the body of a response that is not passed on, so that its connection can be used
/// again. A new connection takes a few milliseconds.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// A response whose body has not been read yet.
pub struct BackendResponse {
    /// Status, headers and body framing.
    pub head: Head,
    /// Metadata decoded from the head.
    pub metadata: ResponseMetadata,
    /// Connection that the response arrives on.
    pub upstream: Upstream,
    /// Counts the request as in flight at the backend.
    pub in_flight: InFlightGuard,
    /// Backend that sent the response.
    pub key: FleetKey,
    /// Mean number of running requests per backend of the service at placement.
    pub running: f64,
    /// Time at which the request was sent.
    pub sent_at_ms: u64,
}

/// Outcome of dispatching a request.
pub enum Dispatched {
    /// A backend sent a usable response head.
    Response(Box<BackendResponse>),
    /// A backend returned a server error that is passed to the caller without a retry.
    Failure(Response<ResponseBody>),
}

/// Result of waiting for a backend.
pub(crate) enum Waited<T> {
    /// The backend has responded or failed.
    Read(T),
    /// The backend has fallen silent, and the request may run again elsewhere.
    Silent,
    /// No event can come while the caller waits for one.
    NoEvent,
}

enum AttemptEnd {
    Response(Box<BackendResponse>),
    ServerError(Box<BackendResponse>),
    NoResponse(Outcome),
}

impl Gateway {
    /// Dispatches a request and buffers the complete response body.
    pub(crate) async fn dispatch_buffered(
        &self,
        call: &Call,
        relay: &mut RetryState,
        tried: &mut Vec<FleetKey>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        loop {
            let response = match self.dispatch(call, relay, tried, None).await? {
                Dispatched::Response(response) => response,
                Dispatched::Failure(response) => return Ok(response),
            };
            let key = response.key;
            let head = response.head.clone();
            let read = match self.read_response_body(call, response).await {
                Ok(body) => {
                    let ended = self.check_end(call, key, head.framing).await;
                    ended.map(|is_sound| (body, is_sound))
                }
                Err(error) => Err(error),
            };
            match read {
                Ok((body, is_sound)) => {
                    self.record_success(call, key, head.status);
                    if is_sound {
                        self.record_sound(call);
                    }
                    return Ok(caller_response(&head, ResponseBody::from_bytes(body)));
                }
                Err(error) => {
                    self.record_failure(call, key, &error);
                    let outcome = self.lost_outcome(call, key, &error).await;
                    let next = relay.attempt_ended(outcome, || self.try_spend_retry(call));
                    if next != NextAction::Retry {
                        return Err(self.unknown_outcome_rejection(call));
                    }
                }
            }
        }
    }

    /// Dispatches a request, with retries, until a backend sends a response head.
    ///
    /// # Errors
    ///
    /// Fails if no backend is available, the deadline has passed or no retry is allowed.
    pub async fn dispatch(
        &self,
        call: &Call,
        relay: &mut RetryState,
        tried: &mut Vec<FleetKey>,
        last_event_id: Option<u64>,
    ) -> Result<Dispatched, Rejection> {
        loop {
            if call.remaining().is_zero() {
                return Err(self.deadline_rejection(call, relay));
            }
            let placement = match self.place_cleared(call, relay, tried).await {
                Ok(Some(placement)) => placement,
                Ok(None) => continue,
                Err(_) if relay.may_have_run() => return Err(self.unknown_outcome_rejection(call)),
                Err(rejection) => return Err(rejection),
            };
            tried.push(placement.key);
            let (outcome, failure) = match self.attempt(call, relay, placement, last_event_id).await
            {
                AttemptEnd::Response(response) => return Ok(Dispatched::Response(response)),
                AttemptEnd::NoResponse(outcome) => (outcome, None),
                AttemptEnd::ServerError(response) => {
                    let head = response.head.clone();
                    match self.read_response_body(call, response).await {
                        Ok(body) => (
                            Outcome::Failed,
                            Some(caller_response(&head, ResponseBody::from_bytes(body))),
                        ),
                        Err(error) => {
                            self.record_failure(call, placement.key, &error);
                            (self.lost_outcome(call, placement.key, &error).await, None)
                        }
                    }
                }
            };
            let next = relay.attempt_ended(outcome, || self.try_spend_retry(call));
            log::info!(request = call.attempt_id.as_str(), outcome:% = outcome, next:% = next,
                sends = relay.dispatches(); "attempt ended");
            metrics::counter!("currantlink_attempts_ended_total",
                "outcome" => outcome.to_string(), "next" => next.to_string())
            .increment(1);
            match (next, failure) {
                (NextAction::Retry, _) => {}
                (NextAction::ForwardFailure, Some(failure)) => {
                    return Ok(Dispatched::Failure(failure));
                }
                (NextAction::Refuse, _) => {
                    return Err(self.not_run_rejection(call, NotRunReason::RefusedByBackends));
                }
                (NextAction::GiveUp | NextAction::ForwardFailure, _) => {
                    return Err(self.unknown_outcome_rejection(call));
                }
            }
        }
    }

    /// Selects a backend for a request that may be sent by what is known of crashes. Returns `None` if
    /// that has changed while the request waited for the backend.
    async fn place_cleared(
        &self,
        call: &Call,
        relay: &RetryState,
        tried: &[FleetKey],
    ) -> Result<Option<Placement>, Rejection> {
        self.begin_trial(call, relay).await?;
        let placement = self.place_in_turn(call, relay, tried).await?;
        if self.must_wait_for_trial(call) {
            return Ok(None);
        }
        if !call.is_trial() {
            self.check_suspicion(call, relay)?;
        }
        Ok(Some(placement))
    }

    /// Sends a request to one backend and reads the response head.
    async fn attempt(
        &self,
        call: &Call,
        relay: &mut RetryState,
        placement: Placement,
        last_event_id: Option<u64>,
    ) -> AttemptEnd {
        let key = placement.key;
        let snapshot = self.snapshot.load();
        let Some(member) = snapshot.fleet.get(key) else {
            return AttemptEnd::NoResponse(Outcome::NotConnected);
        };
        let in_flight = self.pool.begin_request(key, now_ms());
        let (mut upstream, is_reused) = match in_flight.take_idle() {
            Some(upstream) => (upstream, true),
            None => {
                let limit = CONNECT_TIMEOUT.min(call.remaining());
                match Upstream::connect(member.announcement.address, limit).await {
                    Ok(upstream) => (upstream, false),
                    Err(error) => {
                        self.record_unconnected(key, &error);
                        self.record_failure(call, key, &error.into());
                        return AttemptEnd::NoResponse(Outcome::NotConnected);
                    }
                }
            }
        };
        // Connecting takes up to 400 ms.
        if self.snapshot.load().evacuations.is_active(&member.announcement.failure_domain) {
            log::info!(request = call.attempt_id.as_str(), backend = member.id.as_str(),
                failure_domain = member.announcement.failure_domain.as_str();
                "failure domain has been evacuated since the request was placed");
            metrics::counter!("currantlink_evacuated_after_placement_total").increment(1);
            return AttemptEnd::NoResponse(Outcome::NotConnected);
        }
        if self.stated_limits.is_paused(key) {
            log::info!(request = call.attempt_id.as_str(), backend = member.id.as_str();
                "backend has requested a pause since the request was placed");
            return AttemptEnd::NoResponse(Outcome::NotConnected);
        }
        let head = request::encode_head(&self.backend_request(call, member, relay, last_event_id));
        let head = Bytes::from(head);
        let body = call.body.clone().unwrap_or_default();
        self.log_suspect(call, &member.id);
        relay.record_dispatch();
        call.progress.record_dispatch(key);
        let sent_at_ms = now_ms();
        let reading = Self::read_own_response(call, &mut upstream, is_reused, head, body);
        let reading = tokio::time::timeout_at(call.deadline, reading);
        let read = match self.while_awaited(call, key, reading).await {
            Waited::Silent => {
                self.record_unexplained(call, key);
                return AttemptEnd::NoResponse(Outcome::Silent);
            }
            Waited::NoEvent => return AttemptEnd::NoResponse(Outcome::NoEvent),
            Waited::Read(Ok(read)) => read,
            Waited::Read(Err(_)) => {
                let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
                self.record_failure(call, key, &error.into());
                return AttemptEnd::NoResponse(Outcome::Unknown);
            }
        };
        let (head, metadata) = match read {
            Ok(response) => response,
            Err(error) => {
                // A backend may close an idle connection while the request is in transit, so the
                // failure of a reused connection does not count against the backend's health.
                match is_reused {
                    true => self.log_failure(call, key, &error),
                    false => self.record_failure(call, key, &error),
                }
                return AttemptEnd::NoResponse(self.lost_outcome(call, key, &error).await);
            }
        };
        self.pool.record_heard(key, now_ms());
        self.record_rate(key, &member.id, &metadata, sent_at_ms);
        self.record_pause(key, &metadata, sent_at_ms);
        if metadata.status != http::StatusCode::MISDIRECTED_REQUEST {
            self.stated_limits.record_heard(key, metadata.cold_remaining_ms, sent_at_ms);
        }
        // Another backend at the address speaks for itself only.
        if metadata.leaving && metadata.status != http::StatusCode::MISDIRECTED_REQUEST {
            self.record_leaving(key, member);
        }
        let status = metadata.status;
        let response = Box::new(BackendResponse {
            head,
            metadata,
            upstream,
            in_flight,
            key,
            running: placement.running,
            sent_at_ms,
        });
        match &response.metadata {
            metadata if metadata.not_run => {
                log_refusal(call, &member.id, metadata);
                let misdirected = status == http::StatusCode::MISDIRECTED_REQUEST;
                self.drain_refusal(call, response).await;
                match misdirected {
                    true => {
                        log::info!(backend = member.id.as_str();
                            "backend address is served by another backend");
                        self.observations.borrow_mut().misdirected.insert(key);
                        AttemptEnd::NoResponse(Outcome::Misdirected)
                    }
                    false => AttemptEnd::NoResponse(Outcome::NotRun),
                }
            }
            metadata if !metadata.is_signed || metadata.is_encoded || metadata.is_contradictory => {
                let error = UpstreamError::Malformed {
                    detail: "response is not signed, is encoded or contradicts itself",
                };
                self.record_failure(call, key, &error);
                AttemptEnd::NoResponse(Outcome::Unknown)
            }
            _ if status.is_server_error() => {
                self.observations.borrow_mut().health.record_failure(now_ms(), key);
                AttemptEnd::ServerError(response)
            }
            _ => AttemptEnd::Response(response),
        }
    }

    /// Records the rate limit that a backend names in a response, or that it names none.
    fn record_rate(
        &self,
        key: FleetKey,
        backend: &str,
        metadata: &ResponseMetadata,
        sent_at_ms: u64,
    ) {
        let is_own = metadata.status != http::StatusCode::MISDIRECTED_REQUEST;
        let is_response = metadata.is_signed || metadata.not_run;
        let limit = match metadata.rate {
            _ if !is_own || !is_response => return,
            NamedRate::Limit(rate) => Some(rate),
            NamedRate::Unlimited => None,
            NamedRate::Invalid => {
                metrics::counter!("currantlink_invalid_rates_total").increment(1);
                log::warn!(backend; "backend names an invalid rate limit");
                return;
            }
        };
        self.stated_limits.record_response(key, backend, limit, sent_at_ms);
    }

    /// Records the pause that a backend requests in a response, or that it has taken the request.
    fn record_pause(&self, key: FleetKey, metadata: &ResponseMetadata, sent_at_ms: u64) {
        match metadata.pause {
            RequestedPause::For(pause) => self.stated_limits.record_pause(key, pause),
            RequestedPause::Invalid => self.stated_limits.record_pause(key, UNREADABLE_PAUSE),
            RequestedPause::None if metadata.not_run => {}
            RequestedPause::None => self.stated_limits.record_accepted(key, sent_at_ms),
        }
    }

    /// Waits for `reading` while its backend is heard and the caller of a stream waits.
    pub(crate) async fn while_awaited<T>(
        &self,
        call: &Call,
        key: FleetKey,
        reading: impl Future<Output = T>,
    ) -> Waited<T> {
        let patience = call.patience();
        let left = Duration::from_millis(patience.left_ms());
        let missed = async {
            tokio::time::sleep(left).await;
            // The caller of a stream that has begun can be sent no other response, so an early end gains
            // nothing while the event can still come.
            if call.progress.has_head() {
                self.log_late_stream(call, key);
                self.sound.until_not_in(key).await;
            }
        };
        tokio::select! {
            biased;
            read = reading => Waited::Read(read),
            () = self.silent.until_silent(key), if call.route().repeat.may_run_again() => {
                let after_ms = call.arrived_at.elapsed().as_millis() as u64;
                let snapshot = self.snapshot.load();
                let backend = snapshot.fleet.get(key).map(|member| member.id.as_str());
                let unheard_ms = call.progress.unheard().as_millis() as u64;
                log::info!(request = call.attempt_id.as_str(), backend, after_ms, unheard_ms;
                    "attempt abandoned at a silent backend");
                metrics::counter!("currantlink_attempts_abandoned_total").increment(1);
                Waited::Silent
            }
            () = missed, if patience.ends_before_deadline() => {
                metrics::counter!("currantlink_events_missed_total").increment(1);
                Waited::NoEvent
            }
        }
    }

    /// Logs that a stream that has begun has had no event for almost as long as its caller waits.
    fn log_late_stream(&self, call: &Call, key: FleetKey) {
        let snapshot = self.snapshot.load();
        let member = snapshot.fleet.get(key);
        let report = member.and_then(|m| self.load_reports.get(m.announcement.address));
        let report_age_ms = report.map(|report| report.age_ms(now_ms()));
        let is_sound = self.sound.contains(key);
        let unheard_ms = call.progress.unheard().as_millis() as u64;
        log::info!(request = call.attempt_id.as_str(), backend = member.map(|m| m.id.as_str()),
            unheard_ms, is_sound, report_age_ms; "stream is late for its caller");
        metrics::counter!("currantlink_late_streams_total", "is_sound" => is_sound.to_string())
            .increment(1);
    }

    /// Sends the request and reads responses until one belongs to the request.
    ///
    /// A response belongs to the request if it carries the attempt id, or reports not-run without an id
    /// on a new connection. On a reused one, that may be the report on an earlier request.
    async fn read_own_response(
        call: &Call,
        upstream: &mut Upstream,
        is_reused: bool,
        head: Bytes,
        body: Bytes,
    ) -> Result<(Head, ResponseMetadata), UpstreamError> {
        let mut response = upstream.exchange(head, body).await?;
        for _ in 0..MAX_STRAY_RESPONSES {
            let metadata = response::decode(response.status, &response.headers);
            if call.method == Method::HEAD {
                response.framing = Framing::Done;
            }
            let is_own = match &metadata.attempt_id {
                Some(id) => *id == call.attempt_id,
                None => metadata.not_run && !is_reused,
            };
            if is_own {
                upstream.stop_sending();
                return Ok((response, metadata));
            }
            if response.framing == Framing::UntilClose || metadata.attempt_id.is_none() {
                return Err(UpstreamError::Malformed {
                    detail: "response matches no known request",
                });
            }
            let mut framing = response.framing;
            let mut read_bytes = 0;
            while let Some(chunk) = upstream.read_body(&mut framing).await? {
                read_bytes += chunk.len();
                if read_bytes > MAX_RESPONSE_BYTES {
                    return Err(UpstreamError::Malformed { detail: "response body is too large" });
                }
            }
            response = upstream.read_head().await?;
        }
        Err(UpstreamError::Malformed { detail: "too many responses to other requests" })
    }

    fn backend_request<'a>(
        &self,
        call: &'a Call,
        member: &'a Member,
        relay: &RetryState,
        last_event_id: Option<u64>,
    ) -> BackendRequest<'a> {
        let urgency = if relay.is_delayed() { MOST_URGENT } else { call.urgency };
        BackendRequest {
            method: &call.method,
            target: &call.target,
            headers: &call.headers,
            backend_id: &member.id,
            workspace: call.workspace.as_ref().map(WorkspaceName::as_str),
            has_api_keys: call.table.has_keys(),
            remaining_ms: call.remaining().as_millis() as u64,
            urgency: call.service().engine.is_some().then_some(urgency),
            last_event_id,
            body_len: call.body.as_ref().map(Bytes::len),
        }
    }

    /// Reads the body of a not-run response so that the connection can be reused.
    async fn drain_refusal(&self, call: &Call, response: Box<BackendResponse>) {
        let reading = self.read_response_body(call, response);
        match tokio::time::timeout(DRAIN_TIMEOUT, reading).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!(error:% = error; "not-run response ended early"),
            Err(_) => log::debug!("not-run response not read to its end"),
        }
    }

    /// Reads a complete response body and returns the connection to the pool.
    pub(crate) async fn read_response_body(
        &self,
        call: &Call,
        response: Box<BackendResponse>,
    ) -> Result<Bytes, UpstreamError> {
        let BackendResponse { head, metadata, mut upstream, in_flight, .. } = *response;
        let mut framing = head.framing;
        let reading = async {
            let declared = declared_bytes(framing);
            let too_large = UpstreamError::Malformed { detail: "response body is too large" };
            if declared.is_some_and(|bytes| bytes > MAX_RESPONSE_BYTES) {
                return Err(too_large);
            }
            let body = HeldBuffer::begin(
                &call.connection,
                Purpose::Response,
                declared,
                MAX_RESPONSE_BYTES,
                call.deadline,
            );
            let mut body = body.await.ok_or_else(no_memory)?;
            while let Some(chunk) = upstream.read_body(&mut framing).await? {
                if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                    return Err(too_large);
                }
                if !body.reserve(chunk.len(), call.deadline).await {
                    return Err(no_memory());
                }
                body.extend(&chunk);
            }
            Ok(body.finish())
        };
        let body = match tokio::time::timeout_at(call.deadline, reading).await {
            Ok(body) => body?,
            Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
        };
        self.keep_connection(in_flight, upstream, &head, metadata);
        Ok(body)
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn keep_connection(
        &self,
        in_flight: InFlightGuard,
        upstream: Upstream,
        head: &Head,
        metadata: ResponseMetadata,
    ) {
        if head.framing != Framing::UntilClose && upstream.is_reusable() {
            in_flight.put_idle(upstream, metadata.keep_alive);
        }
    }

    fn deadline_rejection(&self, call: &Call, relay: &RetryState) -> Rejection {
        match relay.may_have_run() {
            true => Rejection::Timeout,
            false => self.not_run_rejection(call, NotRunReason::Deadline),
        }
    }

    pub(crate) fn unknown_outcome_rejection(&self, call: &Call) -> Rejection {
        match call.remaining() {
            remaining if remaining.is_zero() => Rejection::Timeout,
            _ if self.is_out_of_patience(call) => {
                Rejection::NoEvent { retry_after: self.retry_after(call, false, 0) }
            }
            _ => Rejection::ResponseLost,
        }
    }
}

/// Returns the length of a body, if its head declares it.
fn declared_bytes(framing: Framing) -> Option<usize> {
    match framing {
        Framing::Length(bytes) => Some(usize::try_from(bytes).unwrap_or(usize::MAX)),
        Framing::Done => Some(0),
        Framing::Chunked { .. } | Framing::UntilClose => None,
    }
}

/// Returns the error for a response that finds no memory by the deadline of its request.
fn no_memory() -> UpstreamError {
    std::io::Error::new(std::io::ErrorKind::TimedOut, "no memory for the response").into()
}

/// Logs that a backend did not run a request, and the pause that it requests.
fn log_refusal(call: &Call, backend: &str, metadata: &ResponseMetadata) {
    let pause_ms = match metadata.pause {
        RequestedPause::None => None,
        RequestedPause::For(pause) => Some(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)),
        RequestedPause::Invalid => {
            log::warn!(backend; "backend requests an invalid pause");
            None
        }
    };
    if metadata.pause != RequestedPause::None {
        metrics::counter!("currantlink_requested_pauses_total").increment(1);
    }
    log::info!(request = call.attempt_id.as_str(), backend, status = metadata.status.as_u16(),
        pause_ms; "request refused by a backend");
}

/// Builds the caller's response from a backend's, without hop-by-hop headers and `content-length`.
pub(crate) fn caller_response(head: &Head, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let is_forwarded =
        |name: &str| !request::is_hop_by_hop_header(name) && name != "content-length";
    for (name, value) in &head.headers {
        if is_forwarded(name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    response
}
