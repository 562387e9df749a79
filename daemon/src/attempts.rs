//! Has a request run: sends it to backends until one answers, or until no other may be asked.

use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::{FleetKey, Member};
use currantlink_core::ids::WorkspaceName;
use currantlink_core::relay::{Next, Outcome, Relay};
use currantlink_platform::answer::{self, AnswerFacts};
use currantlink_platform::request::{self, Handover};
use http::{Method, Response};

use crate::clock::now_ms;
use crate::placing::Placement;
use crate::pool::InFlightGuard;
use crate::rejection::{NotRunReason, Rejection};
use crate::response_body::ResponseBody;
use crate::serve::{Call, Gateway};
use crate::upstream::{Framing, Head, Upstream, UpstreamError};

/// Time to connect to a backend. Connections take a few milliseconds; a lost opening packet is sent
/// again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Answers of other requests that are skipped on a connection before it is given up.
const MAX_STRAY_RESPONSES: usize = 3;
/// Largest answer that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An answer whose body is still to be read.
pub struct BackendResponse {
    /// Head.
    pub head: Head,
    /// What the head says.
    pub facts: AnswerFacts,
    /// Connection that it arrives on.
    pub upstream: Upstream,
    /// Use of the backend.
    pub in_flight: InFlightGuard,
    /// Backend.
    pub key: FleetKey,
    /// Requests that each backend of the service ran, on average, when this one was placement.
    pub running: f64,
}

/// What became of sending a request.
pub enum Dispatched {
    /// A backend answers.
    Response(Box<BackendResponse>),
    /// A backend ran it and failed; no other is asked.
    Failure(Response<ResponseBody>),
}

enum AttemptEnd {
    Response(Box<BackendResponse>),
    ServerError(Box<BackendResponse>),
    NoResponse(Outcome),
}

impl Gateway {
    /// Has a request run whose answer is not a stream.
    pub(crate) async fn dispatch_buffered(
        &self,
        call: &Call,
        relay: &mut Relay,
        tried: &mut Vec<FleetKey>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        loop {
            let response = match self.dispatch(call, relay, tried, None).await? {
                Dispatched::Response(response) => response,
                Dispatched::Failure(response) => return Ok(response),
            };
            let key = response.key;
            let head = response.head.clone();
            match self.read_response_body(call, response).await {
                Ok(body) => {
                    self.record_success(call, key, head.status);
                    return Ok(caller_response(&head, ResponseBody::from_bytes(body)));
                }
                Err(error) => {
                    self.record_failure(call, key, &error);
                    let next = relay.ended(Outcome::Unknown, || self.try_spend_retry(call));
                    if next != Next::Again {
                        return Err(self.unknown_outcome_rejection(call));
                    }
                }
            }
        }
    }

    /// Sends a request to backends until one answers.
    pub async fn dispatch(
        &self,
        call: &Call,
        relay: &mut Relay,
        tried: &mut Vec<FleetKey>,
        last_event_id: Option<u64>,
    ) -> Result<Dispatched, Rejection> {
        loop {
            if call.remaining().is_zero() {
                return Err(self.deadline_rejection(call, relay));
            }
            let placement = match self.place(call, tried) {
                Ok(placement) => placement,
                Err(_) if relay.may_have_run() => return Err(Rejection::ResponseLost),
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
                            (Outcome::Unknown, None)
                        }
                    }
                }
            };
            let next = relay.ended(outcome, || self.try_spend_retry(call));
            log::info!(request = call.attempt_id.as_str(), outcome:% = outcome, next:% = next,
                sends = relay.sends(); "attempt ended");
            match (next, failure) {
                (Next::Again, _) => {}
                (Next::PassOn, Some(failure)) => return Ok(Dispatched::Failure(failure)),
                (Next::Refuse, _) => {
                    return Err(self.not_run_rejection(call, NotRunReason::RefusedByBackends));
                }
                (Next::GiveUp | Next::PassOn, _) => {
                    return Err(self.unknown_outcome_rejection(call));
                }
            }
        }
    }

    /// Sends a request to one backend and reads the head of its answer.
    async fn attempt(
        &self,
        call: &Call,
        relay: &mut Relay,
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
                match Upstream::connect(member.said.address, limit).await {
                    Ok(upstream) => (upstream, false),
                    Err(error) => {
                        self.record_failure(call, key, &error.into());
                        return AttemptEnd::NoResponse(Outcome::NotConnected);
                    }
                }
            }
        };
        let head = request::encode_head(&self.backend_request(call, member, last_event_id));
        let body = call.body.as_deref().unwrap_or_default();
        relay.sending();
        let reading = Self::read_own_response(call, &mut upstream, &head, body);
        let read = match tokio::time::timeout_at(call.deadline, reading).await {
            Ok(read) => read,
            Err(_) => {
                let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
                self.record_failure(call, key, &error.into());
                return AttemptEnd::NoResponse(Outcome::Unknown);
            }
        };
        let (head, facts) = match read {
            Ok(answer) => answer,
            Err(error) => {
                // An idle connection that the backend closes in this moment says nothing of it.
                match is_reused {
                    true => self.log_failure(call, key, &error),
                    false => self.record_failure(call, key, &error),
                }
                return AttemptEnd::NoResponse(Outcome::Unknown);
            }
        };
        let status = facts.status;
        let response = Box::new(BackendResponse {
            head,
            facts,
            upstream,
            in_flight,
            key,
            running: placement.running,
        });
        match &response.facts {
            facts if facts.not_run => {
                let misdirected = status == http::StatusCode::MISDIRECTED_REQUEST;
                self.drain_refusal(call, response).await;
                match misdirected {
                    true => {
                        log::info!(backend = member.id.as_str(); "another backend has the address");
                        self.observations.borrow_mut().misdirected.insert(key);
                        AttemptEnd::NoResponse(Outcome::Misdirected)
                    }
                    false => AttemptEnd::NoResponse(Outcome::NotRun),
                }
            }
            facts if !facts.is_signed || facts.is_encoded => {
                let error = UpstreamError::Malformed { detail: "answer is not signed" };
                self.record_failure(call, key, &error);
                AttemptEnd::NoResponse(Outcome::Unknown)
            }
            _ if status.is_server_error() => {
                self.observations.borrow_mut().health.failed(now_ms(), key);
                AttemptEnd::ServerError(response)
            }
            _ => AttemptEnd::Response(response),
        }
    }

    /// Reads answers until the one that belongs to the request.
    async fn read_own_response(
        call: &Call,
        upstream: &mut Upstream,
        head: &[u8],
        body: &[u8],
    ) -> Result<(Head, AnswerFacts), UpstreamError> {
        let mut answer = upstream.exchange(head, body).await?;
        for _ in 0..MAX_STRAY_RESPONSES {
            let facts = answer::decode(answer.status, &answer.headers);
            let has_other_id = facts.attempt_id.as_ref().is_some_and(|id| *id != call.attempt_id);
            if call.method == Method::HEAD {
                answer.framing = Framing::Done;
            }
            if facts.attempt_id.as_ref() == Some(&call.attempt_id) || facts.not_run && !has_other_id
            {
                return Ok((answer, facts));
            }
            if answer.framing == Framing::UntilClose || facts.attempt_id.is_none() {
                return Err(UpstreamError::Malformed { detail: "answer to no known request" });
            }
            let mut framing = answer.framing;
            while upstream.read_body(&mut framing).await?.is_some() {}
            answer = upstream.read_head().await?;
        }
        Err(UpstreamError::Malformed { detail: "too many stray answers" })
    }

    fn backend_request<'a>(
        &self,
        call: &'a Call,
        member: &'a Member,
        last_event_id: Option<u64>,
    ) -> Handover<'a> {
        Handover {
            method: &call.method,
            target: &call.target,
            headers: &call.headers,
            backend_id: &member.id,
            workspace: call.workspace.as_ref().map(WorkspaceName::as_str),
            has_keys: call.table.has_keys(),
            left_ms: call.remaining().as_millis() as u64,
            urgency: call.service().engine.is_some().then_some(call.urgency),
            last_event_id,
            body_len: call.body.as_ref().map(Bytes::len),
        }
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    async fn drain_refusal(&self, call: &Call, response: Box<BackendResponse>) {
        if let Err(error) = self.read_response_body(call, response).await {
            log::debug!(error:% = error; "refusal broke off");
        }
    }

    pub(crate) async fn read_response_body(
        &self,
        call: &Call,
        response: Box<BackendResponse>,
    ) -> Result<Bytes, UpstreamError> {
        let BackendResponse { head, facts, mut upstream, in_flight, .. } = *response;
        let mut framing = head.framing;
        let reading = async {
            let mut body = bytes::BytesMut::new();
            while let Some(piece) = upstream.read_body(&mut framing).await? {
                body.extend_from_slice(&piece);
                if body.len() > MAX_RESPONSE_BYTES {
                    return Err(UpstreamError::Malformed { detail: "answer is too long" });
                }
            }
            Ok(body.freeze())
        };
        let body = match tokio::time::timeout_at(call.deadline, reading).await {
            Ok(body) => body?,
            Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
        };
        self.keep_connection(in_flight, upstream, &head, facts);
        Ok(body)
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn keep_connection(
        &self,
        in_flight: InFlightGuard,
        upstream: Upstream,
        head: &Head,
        facts: AnswerFacts,
    ) {
        if head.framing != Framing::UntilClose && upstream.is_reusable() {
            in_flight.put_idle(upstream, facts.keep);
        }
    }

    fn deadline_rejection(&self, call: &Call, relay: &Relay) -> Rejection {
        match relay.may_have_run() {
            true => Rejection::Timeout,
            false => self.not_run_rejection(call, NotRunReason::Deadline),
        }
    }

    pub(crate) fn unknown_outcome_rejection(&self, call: &Call) -> Rejection {
        if call.remaining().is_zero() { Rejection::Timeout } else { Rejection::ResponseLost }
    }
}

/// Writes a backend's answer, without what concerned only its connection.
pub(crate) fn caller_response(head: &Head, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let is_passed_on = |name: &str| !request::is_hop_header(name) && name != "content-length";
    for (name, value) in &head.headers {
        if is_passed_on(name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    response
}
