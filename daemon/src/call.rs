//! Drives one call from an entry: routes it, hands it over, asks again after a lost link, retries
//! where that is safe, and checks the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use currantlink_core::answer;
use currantlink_core::attempt::{AttemptEnd, Attempts, NextAction, Outcome, RunPolicy};
use currantlink_core::config::Adapter;
use currantlink_core::exchange::{Exchange, Input, Output};
use currantlink_core::ids::{BackendKey, CallKey, Incarnation, RequestId, WorkspaceName};
use currantlink_core::prefix::PrefixHashes;
use currantlink_core::ticket::{Ticket, Unverified};
use currantlink_wire::link::{Cancel, Frame, Head, Header, Mint, Query, Submit, frame};
use currantlink_wire::link::{to_entry, to_side};
use tokio::sync::mpsc;

use crate::clock;
use crate::conversions;
use crate::routing;
use crate::uplink::{Event, Stream, Uplink};
use crate::view::{ServiceState, ServiceView, Target};

const DEADLINE_SLACK: Duration = Duration::from_millis(150);
const RESUME_WAIT: Duration = Duration::from_secs(3);
const RETRY_WAIT: Duration = Duration::from_millis(300);
const BODY_QUEUE: usize = 16;

/// A call as the callers' HTTP has checked it.
pub struct Call {
    /// Fresh id, or the ticket's.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the back end.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
    /// Time by which the answer must be complete.
    pub deadline_ms: u64,
    /// Priority class.
    pub priority: u32,
    /// Ticket of a non-idempotent call.
    pub ticket: Option<Ticket<Unverified>>,
    /// Estimated work.
    pub work_tokens: u32,
    /// Adapter that must be loaded.
    pub adapter: Option<Adapter>,
    /// Prefixes of the prompt.
    pub prefixes: PrefixHashes,
    /// The answer is passed on piece by piece.
    pub streamed: bool,
}

impl Call {
    /// Returns how often the call may run.
    fn repeat(&self) -> RunPolicy {
        if self.ticket.is_some() { RunPolicy::Ticketed } else { RunPolicy::Idempotent }
    }
}

/// A call without an answer.
#[derive(Clone, Copy, Debug)]
pub struct GivenUp {
    /// What became of it.
    pub outcome: Outcome,
    /// When a new try makes sense.
    pub retry_after_ms: u64,
    /// How the last attempt ended.
    pub ending: AttemptEnd,
}

/// A piece of a streamed answer; an error ends the stream as incomplete.
pub type BodyPiece = Result<Bytes, GivenUp>;

/// Body of an answer.
pub enum AnswerBody {
    /// Checked as a whole.
    Whole(Bytes),
    /// Checked piece by piece.
    Streamed(mpsc::Receiver<BodyPiece>),
}

/// An answer of a back end.
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// Body.
    pub body: AnswerBody,
}

/// Runs a call to its answer.
///
/// # Errors
///
/// Tells what became of a call that has no answer.
pub async fn run(service: &ServiceView, call: Call) -> Result<Answer, GivenUp> {
    let mut attempts = Attempts::new(call.repeat(), call.deadline_ms);
    let mut tried = Vec::new();
    service.state.budget().deposit();
    loop {
        let ending = match attempt(service, &call, &attempts, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(ending) => ending,
        };
        let may_retry = || service.state.budget().withdraw();
        let next = attempts.attempt_ended(clock::now_ms(), ending, false, may_retry);
        log::info!(
            target: "attempt",
            request:% = call.request, attempt = attempts.attempt_number(), ending:? = ending,
            next:? = next;
            "attempt ended"
        );
        if let NextAction::GiveUp { outcome, retry_after_ms } = next {
            return Err(GivenUp { outcome, retry_after_ms, ending });
        }
        metrics::counter!("currantlink_retries_total").increment(1);
    }
}

async fn attempt(
    service: &ServiceView,
    call: &Call,
    attempts: &Attempts,
    tried: &mut Vec<BackendKey>,
) -> Result<Answer, AttemptEnd> {
    let remaining_ms = attempts.remaining_ms(clock::now_ms());
    let target = match &call.ticket {
        Some(ticket) => ticket_target(service, ticket).await?,
        None => choose(service, call, remaining_ms, tried)?,
    };
    tried.push(target.key);
    let result = hand_over(service, call, attempts.attempt_number(), remaining_ms, &target).await;
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
    let query = routing::Query {
        request: call.request,
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
    target.uplink.reopened(RESUME_WAIT).await.ok_or(AttemptEnd::NotSent)?;
    Ok(target)
}

async fn hand_over(
    service: &ServiceView,
    call: &Call,
    number: u32,
    remaining_ms: u64,
    target: &Target,
) -> Result<Answer, AttemptEnd> {
    let mut carrier = Carrier::start(call, number, target, remaining_ms).await?;
    target.uplink.note_sent(call.work_tokens);
    service.state.prefixes().record(clock::now_ms(), target.key, &call.prefixes);
    let head = carrier.head().await?;
    let learn = Learn {
        state: Arc::clone(&service.state),
        backend: target.key,
        work_tokens: call.work_tokens,
        started: Instant::now(),
    };
    if call.streamed {
        let (sender, receiver) = mpsc::channel(BODY_QUEUE);
        tokio::spawn(pump(carrier, sender, learn));
        return Ok(Answer { head, body: AnswerBody::Streamed(receiver) });
    }
    let body = carrier.rest().await?;
    learn.answered();
    Ok(Answer { head, body: AnswerBody::Whole(body) })
}

struct Learn {
    state: Arc<ServiceState>,
    backend: BackendKey,
    work_tokens: u32,
    started: Instant,
}

impl Learn {
    fn answered(&self) {
        let per_token = self.started.elapsed().as_micros() as f64 / f64::from(self.work_tokens);
        self.state.health().record_success(clock::now_ms(), self.backend, per_token);
    }
}

async fn pump(mut carrier: Carrier, sender: mpsc::Sender<BodyPiece>, learn: Learn) {
    loop {
        match carrier.piece().await {
            Ok(Some(data)) => {
                if sender.send(Ok(data)).await.is_err() {
                    return;
                }
            }
            Ok(None) => return learn.answered(),
            Err(ending) => {
                let mut attempts = Attempts::new(carrier.exchange.run_policy(), 0);
                let next = attempts.attempt_ended(clock::now_ms(), ending, true, || false);
                if let NextAction::GiveUp { outcome, retry_after_ms } = next {
                    let given_up = GivenUp { outcome, retry_after_ms, ending };
                    // The caller may be gone already.
                    let _ = sender.send(Err(given_up)).await;
                }
                return;
            }
        }
    }
}

/// One attempt on one backend. Dropped, it lets the side cancel or forget an idempotent call.
struct Carrier {
    exchange: Exchange,
    uplink: Arc<Uplink>,
    stream: Stream,
    deadline: Instant,
    service: String,
    ticket: Bytes,
}

impl Carrier {
    async fn start(
        call: &Call,
        number: u32,
        target: &Target,
        remaining_ms: u64,
    ) -> Result<Self, AttemptEnd> {
        let uplink = Arc::clone(&target.uplink);
        let stream = uplink.stream();
        let incarnation = match &call.ticket {
            Some(ticket) => ticket.incarnation(),
            None => Incarnation(uplink.state().status.incarnation),
        };
        let key =
            CallKey { workspace: call.workspace.clone(), request: call.request, attempt: number };
        let submit = submit(call, &key, stream.id, remaining_ms);
        if !uplink.send(incarnation.0, to_side::Body::Submit(submit)).await {
            return Err(AttemptEnd::NotSent);
        }
        let deadline = Instant::now() + Duration::from_millis(remaining_ms) + DEADLINE_SLACK;
        let exchange = Exchange::new(key, incarnation, call.repeat(), clock::now_ms());
        let (service, ticket) = (call.service.clone(), ticket_bytes(call));
        Ok(Self { exchange, uplink, stream, deadline, service, ticket })
    }

    async fn head(&mut self) -> Result<Head, AttemptEnd> {
        match self.frame().await? {
            frame::Body::Head(head) => Ok(head),
            _ => Err(AttemptEnd::Damaged),
        }
    }

    async fn rest(&mut self) -> Result<Bytes, AttemptEnd> {
        let mut whole = BytesMut::new();
        while let Some(data) = self.piece().await? {
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    async fn piece(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        match self.frame().await? {
            frame::Body::Data(data) => Ok(Some(data)),
            frame::Body::End(_) => Ok(None),
            _ => Err(AttemptEnd::Damaged),
        }
    }

    /// Returns the next frame that fits, over as many links as it takes.
    async fn frame(&mut self) -> Result<frame::Body, AttemptEnd> {
        loop {
            let (input, body) = self.input().await?;
            match (self.exchange.handle(clock::now_ms(), input), body) {
                (Output::Forward | Output::Complete, Some(body)) => return Ok(body),
                (Output::AwaitLink { can_reassign }, _) => self.ask_again(can_reassign).await?,
                (Output::Ended(ending), _) => return Err(ending),
                _ => {}
            }
        }
    }

    /// Returns what comes next, with the body of a frame.
    async fn input(&mut self) -> Result<(Input, Option<frame::Body>), AttemptEnd> {
        match tokio::time::timeout(self.time_left(), self.stream.next()).await {
            Err(_) => Ok((Input::DeadlinePassed, None)),
            Ok(Event::Lost) => Ok((Input::LinkLost, None)),
            Ok(Event::Message(to_entry::Body::Frame(frame))) => frame_input(frame),
            Ok(Event::Message(to_entry::Body::Refused(refused))) => {
                let refused = refused.refused.unwrap_or_default();
                Ok((Input::Refused(conversions::attempt_end(&refused)), None))
            }
            Ok(Event::Message(_)) => Err(AttemptEnd::Damaged),
        }
    }

    async fn ask_again(&mut self, can_reassign: bool) -> Result<(), AttemptEnd> {
        let wait = if can_reassign { RETRY_WAIT } else { RESUME_WAIT };
        let state = self.uplink.reopened(wait.min(self.time_left())).await;
        let incarnation = state.map(|s| Incarnation(s.status.incarnation));
        let resume_seq =
            match self.exchange.handle(clock::now_ms(), Input::LinkReopened(incarnation)) {
                Output::Query { resume_seq } => resume_seq,
                Output::Ended(ending) => return Err(ending),
                _ => return Ok(()),
            };
        self.stream = self.uplink.stream();
        let call = Some(conversions::call_ref(self.exchange.key(), self.stream.id));
        let (service, ticket) = (self.service.clone(), self.ticket.clone());
        let query = to_side::Body::Query(Query { call, resume_seq, service, ticket });
        let sent = self.uplink.send(self.exchange.incarnation().0, query).await;
        if sent { Ok(()) } else { Err(AttemptEnd::Unreachable) }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Drop for Carrier {
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
    let piece = piece_of(&body);
    Ok((Input::Frame { key, seq: frame.seq, kind: piece, may_have_run }, Some(body)))
}

fn ticket_bytes(call: &Call) -> Bytes {
    call.ticket.as_ref().map(|t| t.to_bytes().into()).unwrap_or_default()
}

fn submit(call: &Call, key: &CallKey, stream: u64, remaining_ms: u64) -> Submit {
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

fn piece_of(body: &frame::Body) -> answer::FrameKind {
    match body {
        frame::Body::Head(_) => answer::FrameKind::Head,
        frame::Body::Data(data) => answer::FrameKind::Data(data.len() as u64),
        frame::Body::End(end) => answer::FrameKind::End { frames: end.frames, bytes: end.bytes },
        frame::Body::Failed(_) => answer::FrameKind::Failed,
    }
}

/// Gets a ticket for a non-idempotent call.
///
/// # Errors
///
/// Nothing has run where none could be had.
pub async fn mint(service: &ServiceView, call: &Call) -> Result<Bytes, GivenUp> {
    let mut attempts = Attempts::new(RunPolicy::Idempotent, call.deadline_ms);
    let mut tried = Vec::new();
    service.state.budget().deposit();
    loop {
        let ending = match mint_once(service, call, &attempts, &mut tried).await {
            Ok(ticket) => return Ok(ticket),
            Err(ending) => ending,
        };
        let may_retry = || service.state.budget().withdraw();
        let next = attempts.attempt_ended(clock::now_ms(), ending, false, may_retry);
        if let NextAction::GiveUp { retry_after_ms, .. } = next {
            return Err(GivenUp { outcome: Outcome::NotRun, retry_after_ms, ending });
        }
    }
}

async fn mint_once(
    service: &ServiceView,
    call: &Call,
    attempts: &Attempts,
    tried: &mut Vec<BackendKey>,
) -> Result<Bytes, AttemptEnd> {
    let remaining_ms = attempts.remaining_ms(clock::now_ms());
    let target = choose(service, call, remaining_ms, tried)?;
    tried.push(target.key);
    let mut stream = target.uplink.stream();
    let mint = Mint {
        request_id: Bytes::copy_from_slice(call.request.as_bytes()),
        workspace: call.workspace.as_str().to_owned(),
        service: call.service.clone(),
        stream: stream.id,
    };
    let incarnation = target.uplink.state().status.incarnation;
    if !target.uplink.send(incarnation, to_side::Body::Mint(mint)).await {
        return Err(AttemptEnd::NotSent);
    }
    let wait = Duration::from_millis(remaining_ms).min(RESUME_WAIT);
    match tokio::time::timeout(wait, stream.next()).await {
        Ok(Event::Message(to_entry::Body::Minted(minted))) => match minted.refused {
            Some(refused) => Err(conversions::attempt_end(&refused)),
            None => Ok(minted.ticket),
        },
        Ok(Event::Message(_)) => Err(AttemptEnd::Damaged),
        Ok(Event::Lost) => Err(AttemptEnd::NotSent),
        Err(_) => {
            service.state.health().record_failure(clock::now_ms(), target.key);
            Err(AttemptEnd::NotSent)
        }
    }
}
