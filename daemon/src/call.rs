//! Runs a call of the entry: selects a backend, dispatches the call, resumes it after a lost link
//! and retries it if that is safe.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use currantlink_core::attempt::{AttemptEnd, Attempts, NextAction, Outcome, RunPolicy};
use currantlink_core::config::Adapter;
use currantlink_core::exchange::{Exchange, Input, Output};
use currantlink_core::ids::{BackendKey, CallKey, Incarnation, RequestId, WorkspaceName};
use currantlink_core::prefix::PrefixHashes;
use currantlink_core::response;
use currantlink_core::ticket::{Ticket, Unverified};
use currantlink_wire::link::{Cancel, Frame, Head, Header, Mint, Query, Submit, frame};
use currantlink_wire::link::{to_entry, to_side};
use tokio::sync::mpsc;

use crate::clock;
use crate::conversions;
use crate::routing;
use crate::uplink::{Stream, StreamEvent, Uplink};
use crate::view::{ServiceState, ServiceView, Target};

/// Time past the deadline for which the entry waits for a response that is on its way.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Time to wait for a link to the only backend that can complete the call, or for a ticket.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Time to wait for a lost link before the call is dispatched to another backend.
const REASSIGN_TIMEOUT: Duration = Duration::from_millis(300);
const BODY_QUEUE_CHUNKS: usize = 16;

/// A call whose HTTP request was validated.
pub struct Call {
    /// Generated id, or the id in the ticket.
    pub request_id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query of the request to the backend server.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Request body.
    pub body: Bytes,
    /// Time on the process clock by which the response must be complete.
    pub deadline_ms: u64,
    /// Priority class, 0 being the most urgent.
    pub priority: u32,
    /// Ticket of a non-idempotent call.
    pub ticket: Option<Ticket<Unverified>>,
    /// Estimated work in tokens.
    pub work_tokens: u32,
    /// Adapter that must be loaded before the call runs.
    pub adapter: Option<Adapter>,
    /// Hashes of the prompt's prefixes.
    pub prefixes: PrefixHashes,
    /// Whether the response body is streamed to the caller.
    pub streamed: bool,
}

impl Call {
    /// Returns how many times the call may run.
    fn run_policy(&self) -> RunPolicy {
        if self.ticket.is_some() { RunPolicy::Ticketed } else { RunPolicy::Idempotent }
    }
}

/// Result of a call without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct CallError {
    /// Whether the call has run, as reported to the caller.
    pub outcome: Outcome,
    /// Advised delay before the caller retries.
    pub retry_after_ms: u64,
    /// Why the last attempt ended.
    pub last_end: AttemptEnd,
}

/// A chunk of a streamed response body, or `None` at its end. An error ends the stream as incomplete.
pub type BodyChunk = Result<Option<Bytes>, CallError>;

/// Body of a response.
pub enum CallBody {
    /// Complete body, verified before it is forwarded.
    Buffered(Bytes),
    /// Chunks, each verified before it is forwarded. A channel that closes before the end is an
    /// incomplete body.
    Streamed(mpsc::Receiver<BodyChunk>),
}

/// Response of a backend server.
pub struct CallResponse {
    /// Status and headers.
    pub head: Head,
    /// Response body.
    pub body: CallBody,
}

/// Runs a call until it has a response or no attempt is left.
///
/// # Errors
///
/// Returns the outcome of a call that has no response.
pub async fn run(service: &ServiceView, call: Call) -> Result<CallResponse, CallError> {
    let mut attempts = Attempts::new(call.run_policy(), call.deadline_ms);
    let mut tried = Vec::new();
    service.state.budget().deposit();
    loop {
        let end = match attempt(service, &call, &attempts, &mut tried).await {
            Ok(response) => return Ok(response),
            Err(end) => end,
        };
        let may_retry = || service.state.budget().withdraw();
        let next = attempts.attempt_ended(clock::now_ms(), end, false, may_retry);
        log::info!(
            target: "attempt",
            request:% = call.request_id, attempt = attempts.attempt_number(), ending:? = end,
            next:? = next;
            "attempt ended"
        );
        if let NextAction::GiveUp { outcome, retry_after_ms } = next {
            return Err(CallError { outcome, retry_after_ms, last_end: end });
        }
        metrics::counter!("currantlink_retries_total").increment(1);
    }
}

async fn attempt(
    service: &ServiceView,
    call: &Call,
    attempts: &Attempts,
    tried: &mut Vec<BackendKey>,
) -> Result<CallResponse, AttemptEnd> {
    let remaining_ms = attempts.remaining_ms(clock::now_ms());
    let target = match &call.ticket {
        Some(ticket) => ticket_target(service, ticket).await?,
        None => choose(service, call, remaining_ms, tried)?,
    };
    tried.push(target.key);
    let result = dispatch(service, call, attempts.attempt_number(), remaining_ms, &target).await;
    let failed = matches!(
        result,
        Err(AttemptEnd::Unreachable | AttemptEnd::IncarnationLost | AttemptEnd::BackendUnreached)
    );
    if failed {
        service.state.health().record_failure(clock::now_ms(), target.key);
        service.state.prefixes().remove_backend(target.key);
    }
    result
}

fn choose(
    service: &ServiceView,
    call: &Call,
    remaining_ms: u64,
    tried: &[BackendKey],
) -> Result<Target, AttemptEnd> {
    let query = routing::RouteQuery {
        request_id: call.request_id,
        workspace: &call.workspace,
        work_tokens: call.work_tokens,
        prefixes: &call.prefixes,
        adapter: call.adapter.as_ref(),
        remaining_ms,
    };
    routing::choose(service, &query, tried)
}

async fn ticket_target(
    service: &ServiceView,
    ticket: &Ticket<Unverified>,
) -> Result<Target, AttemptEnd> {
    let found = service.targets.iter().find(|t| t.name == ticket.backend()).cloned();
    let target = found.ok_or(AttemptEnd::NoBackend)?;
    target.uplink.wait_connected(RESUME_TIMEOUT).await.ok_or(AttemptEnd::NotSent)?;
    Ok(target)
}

async fn dispatch(
    service: &ServiceView,
    call: &Call,
    attempt_number: u32,
    remaining_ms: u64,
    target: &Target,
) -> Result<CallResponse, AttemptEnd> {
    let mut attempt = BackendAttempt::start(call, attempt_number, target, remaining_ms).await?;
    target.uplink.record_sent(call.work_tokens);
    service.state.prefixes().record(clock::now_ms(), target.key, &call.prefixes);
    let head = attempt.read_head().await?;
    let success = SuccessRecorder {
        state: Arc::clone(&service.state),
        backend: target.key,
        work_tokens: call.work_tokens,
        started: Instant::now(),
    };
    if call.streamed {
        let (sender, receiver) = mpsc::channel(BODY_QUEUE_CHUNKS);
        tokio::spawn(forward_body(attempt, sender, success));
        return Ok(CallResponse { head, body: CallBody::Streamed(receiver) });
    }
    let body = attempt.read_body().await?;
    success.record();
    Ok(CallResponse { head, body: CallBody::Buffered(body) })
}

struct SuccessRecorder {
    state: Arc<ServiceState>,
    backend: BackendKey,
    work_tokens: u32,
    started: Instant,
}

impl SuccessRecorder {
    fn record(&self) {
        let per_token = self.started.elapsed().as_micros() as f64 / f64::from(self.work_tokens);
        self.state.health().record_success(clock::now_ms(), self.backend, per_token);
    }
}

async fn forward_body(
    mut attempt: BackendAttempt,
    sender: mpsc::Sender<BodyChunk>,
    success: SuccessRecorder,
) {
    loop {
        match attempt.next_chunk().await {
            Ok(Some(data)) => {
                if sender.send(Ok(Some(data))).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                success.record();
                // The send fails if the caller has disconnected.
                let _ = sender.send(Ok(None)).await;
                return;
            }
            Err(end) => {
                let mut attempts = Attempts::new(attempt.exchange.run_policy(), 0);
                let next = attempts.attempt_ended(clock::now_ms(), end, true, || false);
                if let NextAction::GiveUp { outcome, retry_after_ms } = next {
                    let error = CallError { outcome, retry_after_ms, last_end: end };
                    // The send fails if the caller has disconnected.
                    let _ = sender.send(Err(error)).await;
                }
                return;
            }
        }
    }
}

/// One attempt on one backend. Dropping it sends a cancellation to the side if the call is
/// idempotent: the side then stops the call or discards its response.
struct BackendAttempt {
    exchange: Exchange,
    uplink: Arc<Uplink>,
    stream: Stream,
    deadline: Instant,
    service: String,
    ticket: Bytes,
}

impl BackendAttempt {
    async fn start(
        call: &Call,
        attempt_number: u32,
        target: &Target,
        remaining_ms: u64,
    ) -> Result<Self, AttemptEnd> {
        let uplink = Arc::clone(&target.uplink);
        let stream = uplink.open_stream();
        let incarnation = match &call.ticket {
            Some(ticket) => ticket.incarnation(),
            None => Incarnation(uplink.state().status.incarnation),
        };
        let key = CallKey {
            workspace: call.workspace.clone(),
            request: call.request_id,
            attempt: attempt_number,
        };
        let submit = submit_message(call, &key, stream.id, remaining_ms);
        if !uplink.send(incarnation.0, to_side::Body::Submit(submit)).await {
            return Err(AttemptEnd::NotSent);
        }
        let deadline = Instant::now() + Duration::from_millis(remaining_ms) + DEADLINE_SLACK;
        let exchange = Exchange::new(key, incarnation, call.run_policy(), clock::now_ms());
        let (service, ticket) = (call.service.clone(), ticket_bytes(call));
        Ok(Self { exchange, uplink, stream, deadline, service, ticket })
    }

    async fn read_head(&mut self) -> Result<Head, AttemptEnd> {
        match self.next_frame().await? {
            frame::Body::Head(head) => Ok(head),
            _ => Err(AttemptEnd::Damaged),
        }
    }

    async fn read_body(&mut self) -> Result<Bytes, AttemptEnd> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next_chunk().await? {
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        match self.next_frame().await? {
            frame::Body::Data(data) => Ok(Some(data)),
            frame::Body::End(_) => Ok(None),
            _ => Err(AttemptEnd::Damaged),
        }
    }

    /// Returns the next frame of the response, resuming the call on new links as needed.
    async fn next_frame(&mut self) -> Result<frame::Body, AttemptEnd> {
        loop {
            let (input, body) = self.next_input().await?;
            match (self.exchange.handle(clock::now_ms(), input), body) {
                (Output::Forward | Output::Complete, Some(body)) => return Ok(body),
                (Output::AwaitLink { can_reassign }, _) => self.query_side(can_reassign).await?,
                (Output::Ended(end), _) => return Err(end),
                _ => {}
            }
        }
    }

    /// Waits for the next event of the attempt. A frame includes its body.
    async fn next_input(&mut self) -> Result<(Input, Option<frame::Body>), AttemptEnd> {
        match tokio::time::timeout(self.remaining(), self.stream.next()).await {
            Err(_) => Ok((Input::DeadlinePassed, None)),
            Ok(StreamEvent::Lost) => Ok((Input::LinkLost, None)),
            Ok(StreamEvent::Message(to_entry::Body::Frame(frame))) => frame_input(frame),
            Ok(StreamEvent::Message(to_entry::Body::Refused(refused))) => {
                let refused = refused.refused.unwrap_or_default();
                Ok((Input::Refused(conversions::attempt_end(&refused)), None))
            }
            Ok(StreamEvent::Message(_)) => Err(AttemptEnd::Damaged),
        }
    }

    async fn query_side(&mut self, can_reassign: bool) -> Result<(), AttemptEnd> {
        let timeout = if can_reassign { REASSIGN_TIMEOUT } else { RESUME_TIMEOUT };
        let state = self.uplink.wait_connected(timeout.min(self.remaining())).await;
        let incarnation = state.map(|s| Incarnation(s.status.incarnation));
        let resume_seq =
            match self.exchange.handle(clock::now_ms(), Input::LinkReopened(incarnation)) {
                Output::Query { resume_seq } => resume_seq,
                Output::Ended(end) => return Err(end),
                _ => return Ok(()),
            };
        self.stream = self.uplink.open_stream();
        let call = Some(conversions::call_ref(self.exchange.key(), self.stream.id));
        let (service, ticket) = (self.service.clone(), self.ticket.clone());
        let query = to_side::Body::Query(Query { call, resume_seq, service, ticket });
        let sent = self.uplink.send(self.exchange.incarnation().0, query).await;
        if sent { Ok(()) } else { Err(AttemptEnd::Unreachable) }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Drop for BackendAttempt {
    fn drop(&mut self) {
        if self.exchange.run_policy() == RunPolicy::Idempotent {
            let call = Some(conversions::call_ref(self.exchange.key(), self.stream.id));
            let cancel = to_side::Body::Cancel(Cancel { call });
            self.uplink.try_send(self.exchange.incarnation().0, cancel);
        }
    }
}

fn frame_input(frame: Frame) -> Result<(Input, Option<frame::Body>), AttemptEnd> {
    let call = frame.call.as_ref().ok_or(AttemptEnd::Damaged)?;
    let key = conversions::call_key(call).map_err(|_| AttemptEnd::Damaged)?;
    let body = frame.body.ok_or(AttemptEnd::Damaged)?;
    let may_have_run = matches!(&body, frame::Body::Failed(failed) if failed.may_have_run);
    let kind = frame_kind(&body);
    Ok((Input::Frame { key, seq: frame.seq, kind, may_have_run }, Some(body)))
}

fn ticket_bytes(call: &Call) -> Bytes {
    call.ticket.as_ref().map(|t| t.to_bytes().into()).unwrap_or_default()
}

fn submit_message(call: &Call, key: &CallKey, stream: u64, remaining_ms: u64) -> Submit {
    Submit {
        call: Some(conversions::call_ref(key, stream)),
        service: call.service.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        remaining_ms,
        priority: call.priority,
        idempotent: call.ticket.is_none(),
        ticket: ticket_bytes(call),
        work_tokens: call.work_tokens,
        adapter: call.adapter.as_ref().map(|a| a.name.clone()).unwrap_or_default(),
    }
}

fn frame_kind(body: &frame::Body) -> response::FrameKind {
    match body {
        frame::Body::Head(_) => response::FrameKind::Head,
        frame::Body::Data(data) => response::FrameKind::Data(data.len() as u64),
        frame::Body::End(end) => response::FrameKind::End { frames: end.frames, bytes: end.bytes },
        frame::Body::Failed(_) => response::FrameKind::Failed,
    }
}

/// Requests a ticket for a non-idempotent call.
///
/// # Errors
///
/// Fails if no side issues a ticket. The call has not run in that case.
pub async fn mint_ticket(service: &ServiceView, call: &Call) -> Result<Bytes, CallError> {
    let mut attempts = Attempts::new(RunPolicy::Idempotent, call.deadline_ms);
    let mut tried = Vec::new();
    service.state.budget().deposit();
    loop {
        let end = match try_mint_ticket(service, call, &attempts, &mut tried).await {
            Ok(ticket) => return Ok(ticket),
            Err(end) => end,
        };
        let may_retry = || service.state.budget().withdraw();
        let next = attempts.attempt_ended(clock::now_ms(), end, false, may_retry);
        if let NextAction::GiveUp { retry_after_ms, .. } = next {
            return Err(CallError { outcome: Outcome::NotRun, retry_after_ms, last_end: end });
        }
    }
}

async fn try_mint_ticket(
    service: &ServiceView,
    call: &Call,
    attempts: &Attempts,
    tried: &mut Vec<BackendKey>,
) -> Result<Bytes, AttemptEnd> {
    let remaining_ms = attempts.remaining_ms(clock::now_ms());
    let target = choose(service, call, remaining_ms, tried)?;
    tried.push(target.key);
    let mut stream = target.uplink.open_stream();
    let mint = Mint {
        request_id: Bytes::copy_from_slice(call.request_id.as_bytes()),
        workspace: call.workspace.as_str().to_owned(),
        service: call.service.clone(),
        stream: stream.id,
    };
    let incarnation = target.uplink.state().status.incarnation;
    if !target.uplink.send(incarnation, to_side::Body::Mint(mint)).await {
        return Err(AttemptEnd::NotSent);
    }
    let timeout = Duration::from_millis(remaining_ms).min(RESUME_TIMEOUT);
    match tokio::time::timeout(timeout, stream.next()).await {
        Ok(StreamEvent::Message(to_entry::Body::Minted(minted))) => match minted.refused {
            Some(refused) => Err(conversions::attempt_end(&refused)),
            None => Ok(minted.ticket),
        },
        Ok(StreamEvent::Message(_)) => Err(AttemptEnd::Damaged),
        Ok(StreamEvent::Lost) => Err(AttemptEnd::NotSent),
        Err(_) => {
            service.state.health().record_failure(clock::now_ms(), target.key);
            Err(AttemptEnd::NotSent)
        }
    }
}
