//! Has a request run: sends it to backends until one answers, or until no other may be asked.

use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::{FleetKey, Member};
use currantlink_core::ids::WorkspaceName;
use currantlink_core::relay::{NextAction, Outcome, RetryState};
use currantlink_platform::request::{self, BackendRequest};
use currantlink_platform::response::{self, ResponseMetadata};
use http::{Method, Response};

use crate::clock::now_ms;
use crate::outbound::Outbound;
use crate::placing::Placed;
use crate::pool::Claim;
use crate::rejection::{NotRunReason, Rejection};
use crate::serve::{Call, Gateway};
use crate::upstream::{Framing, Head, Upstream, UpstreamError};

/// Time to connect to a backend. Connections take a few milliseconds; a lost opening packet is sent
/// again after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Answers of other requests that are skipped on a connection before it is given up.
const MAX_STRAY_ANSWERS: usize = 3;
/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// An answer whose body is still to be read.
pub struct Answered {
    /// Head.
    pub head: Head,
    /// What the head says.
    pub facts: ResponseMetadata,
    /// Connection that it arrives on.
    pub upstream: Upstream,
    /// Use of the backend.
    pub claim: Claim,
    /// Backend.
    pub key: FleetKey,
    /// Requests that each backend of the service ran, on average, when this one was placed.
    pub running: f64,
}

/// What became of sending a request.
pub enum Started {
    /// A backend answers.
    Answered(Box<Answered>),
    /// A backend ran it and failed; no other is asked.
    Failure(Response<Outbound>),
}

enum Attempt {
    Answered(Box<Answered>),
    Failed(Box<Answered>),
    Ended(Outcome),
}

impl Gateway {
    /// Has a request run whose answer is not a stream.
    pub(crate) async fn whole(
        &self,
        call: &Call,
        relay: &mut RetryState,
        tried: &mut Vec<FleetKey>,
    ) -> Result<Response<Outbound>, Rejection> {
        loop {
            let answered = match self.start(call, relay, tried, None).await? {
                Started::Answered(answered) => answered,
                Started::Failure(response) => return Ok(response),
            };
            let key = answered.key;
            let head = answered.head.clone();
            match self.collect(call, answered).await {
                Ok(body) => {
                    self.succeeded(call, key, head.status);
                    return Ok(response(&head, Outbound::whole(body)));
                }
                Err(error) => {
                    self.attempt_failed(call, key, &error);
                    let next = relay.attempt_ended(Outcome::Unknown, || self.take_retry(call));
                    if next != NextAction::Retry {
                        return Err(self.outcome_unknown(call));
                    }
                }
            }
        }
    }

    /// Sends a request to backends until one answers.
    pub async fn start(
        &self,
        call: &Call,
        relay: &mut RetryState,
        tried: &mut Vec<FleetKey>,
        last_event_id: Option<u64>,
    ) -> Result<Started, Rejection> {
        loop {
            if call.left().is_zero() {
                return Err(self.no_time(call, relay));
            }
            let placed = match self.place(call, tried) {
                Ok(placed) => placed,
                Err(_) if relay.may_have_run() => return Err(Rejection::AnswerLost),
                Err(rejection) => return Err(rejection),
            };
            tried.push(placed.key);
            let (outcome, failure) = match self.attempt(call, relay, placed, last_event_id).await {
                Attempt::Answered(answered) => return Ok(Started::Answered(answered)),
                Attempt::Ended(outcome) => (outcome, None),
                Attempt::Failed(answered) => {
                    let head = answered.head.clone();
                    match self.collect(call, answered).await {
                        Ok(body) => (Outcome::Failed, Some(response(&head, Outbound::whole(body)))),
                        Err(error) => {
                            self.attempt_failed(call, placed.key, &error);
                            (Outcome::Unknown, None)
                        }
                    }
                }
            };
            let next = relay.attempt_ended(outcome, || self.take_retry(call));
            log::info!(request = call.attempt_id.as_str(), outcome:% = outcome, next:% = next,
                sends = relay.dispatches(); "attempt ended");
            match (next, failure) {
                (NextAction::Retry, _) => {}
                (NextAction::ForwardFailure, Some(failure)) => {
                    return Ok(Started::Failure(failure));
                }
                (NextAction::Refuse, _) => {
                    return Err(self.not_run(call, NotRunReason::RefusedByBackends));
                }
                (NextAction::GiveUp | NextAction::ForwardFailure, _) => {
                    return Err(self.outcome_unknown(call));
                }
            }
        }
    }

    /// Sends a request to one backend and reads the head of its answer.
    async fn attempt(
        &self,
        call: &Call,
        relay: &mut RetryState,
        placed: Placed,
        last_event_id: Option<u64>,
    ) -> Attempt {
        let key = placed.key;
        let belief = self.belief.load();
        let Some(member) = belief.fleet.get(key) else {
            return Attempt::Ended(Outcome::NotConnected);
        };
        let claim = self.pool.claim(key, now_ms());
        let (mut upstream, reused) = match claim.idle() {
            Some(upstream) => (upstream, true),
            None => {
                let limit = CONNECT_LIMIT.min(call.left());
                match Upstream::connect(member.announcement.address, limit).await {
                    Ok(upstream) => (upstream, false),
                    Err(error) => {
                        self.attempt_failed(call, key, &error.into());
                        return Attempt::Ended(Outcome::NotConnected);
                    }
                }
            }
        };
        let head = request::encode_head(&self.handover(call, member, last_event_id));
        let body = call.body.as_deref().unwrap_or_default();
        relay.record_dispatch();
        let reading = Self::own_answer(call, &mut upstream, &head, body);
        let read = match tokio::time::timeout_at(call.until, reading).await {
            Ok(read) => read,
            Err(_) => {
                let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
                self.attempt_failed(call, key, &error.into());
                return Attempt::Ended(Outcome::Unknown);
            }
        };
        let (head, facts) = match read {
            Ok(answer) => answer,
            Err(error) => {
                // An idle connection that the backend closes in this moment says nothing of it.
                match reused {
                    true => self.log_failure(call, key, &error),
                    false => self.attempt_failed(call, key, &error),
                }
                return Attempt::Ended(Outcome::Unknown);
            }
        };
        let status = facts.status;
        let answered =
            Box::new(Answered { head, facts, upstream, claim, key, running: placed.running });
        match &answered.facts {
            facts if facts.not_run => {
                let misdirected = status == http::StatusCode::MISDIRECTED_REQUEST;
                self.drain_refusal(call, answered).await;
                match misdirected {
                    true => {
                        log::info!(backend = member.id.as_str(); "another backend has the address");
                        self.learned.borrow_mut().misplaced.insert(key);
                        Attempt::Ended(Outcome::Misdirected)
                    }
                    false => Attempt::Ended(Outcome::NotRun),
                }
            }
            facts if !facts.is_signed || facts.is_encoded => {
                let error = UpstreamError::Malformed { detail: "answer is not signed" };
                self.attempt_failed(call, key, &error);
                Attempt::Ended(Outcome::Unknown)
            }
            _ if status.is_server_error() => {
                self.learned.borrow_mut().health.record_failure(now_ms(), key);
                Attempt::Failed(answered)
            }
            _ => Attempt::Answered(answered),
        }
    }

    /// Reads answers until the one that belongs to the request.
    async fn own_answer(
        call: &Call,
        upstream: &mut Upstream,
        head: &[u8],
        body: &[u8],
    ) -> Result<(Head, ResponseMetadata), UpstreamError> {
        let mut answer = upstream.exchange(head, body).await?;
        for _ in 0..MAX_STRAY_ANSWERS {
            let facts = response::decode(answer.status, &answer.headers);
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
            while upstream.body(&mut framing).await?.is_some() {}
            answer = upstream.next_head().await?;
        }
        Err(UpstreamError::Malformed { detail: "too many stray answers" })
    }

    fn handover<'a>(
        &self,
        call: &'a Call,
        member: &'a Member,
        last_event_id: Option<u64>,
    ) -> BackendRequest<'a> {
        BackendRequest {
            method: &call.method,
            target: &call.target,
            headers: &call.headers,
            backend_id: &member.id,
            workspace: call.workspace.as_ref().map(WorkspaceName::as_str),
            has_api_keys: call.table.has_keys(),
            remaining_ms: call.left().as_millis() as u64,
            urgency: call.pool().engine.is_some().then_some(call.urgency),
            last_event_id,
            body_len: call.body.as_ref().map(Bytes::len),
        }
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    async fn drain_refusal(&self, call: &Call, answered: Box<Answered>) {
        if let Err(error) = self.collect(call, answered).await {
            log::debug!(error:% = error; "refusal broke off");
        }
    }

    pub(crate) async fn collect(
        &self,
        call: &Call,
        answered: Box<Answered>,
    ) -> Result<Bytes, UpstreamError> {
        let Answered { head, facts, mut upstream, claim, .. } = *answered;
        let mut framing = head.framing;
        let reading = async {
            let mut body = bytes::BytesMut::new();
            while let Some(piece) = upstream.body(&mut framing).await? {
                body.extend_from_slice(&piece);
                if body.len() > MAX_ANSWER_BYTES {
                    return Err(UpstreamError::Malformed { detail: "answer is too long" });
                }
            }
            Ok(body.freeze())
        };
        let body = match tokio::time::timeout_at(call.until, reading).await {
            Ok(body) => body?,
            Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
        };
        self.keep(claim, upstream, &head, facts);
        Ok(body)
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn keep(&self, claim: Claim, upstream: Upstream, head: &Head, facts: ResponseMetadata) {
        if head.framing != Framing::UntilClose && upstream.is_reusable() {
            claim.keep(upstream, facts.keep_alive);
        }
    }

    fn no_time(&self, call: &Call, relay: &RetryState) -> Rejection {
        match relay.may_have_run() {
            true => Rejection::Timeout,
            false => self.not_run(call, NotRunReason::Deadline),
        }
    }

    pub(crate) fn outcome_unknown(&self, call: &Call) -> Rejection {
        if call.left().is_zero() { Rejection::Timeout } else { Rejection::AnswerLost }
    }
}

/// Writes a backend's answer, without what concerned only its connection.
pub(crate) fn response(head: &Head, body: Outbound) -> Response<Outbound> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let is_passed_on =
        |name: &str| !request::is_hop_by_hop_header(name) && name != "content-length";
    for (name, value) in &head.headers {
        if is_passed_on(name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    response
}
