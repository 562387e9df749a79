//! Event streams relayed to callers.
//!
//! If a backend's stream breaks and the route allows it, the stream is resumed at another backend
//! after the last complete event.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantlink_core::concurrency::StreamPauses;
use currantlink_core::events::{self, EventSplitter};
use currantlink_core::fleet::FleetKey;
use currantlink_core::retry::{NextAction, Outcome, RetryState};
use currantlink_core::routes::Repeat;
use futures::Stream;
use http::{HeaderValue, StatusCode, header};

use crate::attempts::{BackendResponse, Dispatched, Waited};
use crate::caller_limits::HeldPartial;
use crate::clock::now_ms;
use crate::crashes::AnswerProgress;
use crate::placement::StreamInProgress;
use crate::request_handler::{Call, Gateway};
use crate::response_body::TruncatedBody;
use crate::upstream::{Framing, UpstreamError};

/// Minimum number of pauses between events. The pace of a backend cannot be measured on a shorter
/// stream.
const MIN_PAUSES: u32 = 4;

/// Largest piece of a stream that counts as part of the connection's buffers.
const BUFFERED_EVENT_BYTES: usize = 16 << 10;

/// An event stream that is being relayed to a caller.
pub struct RelayedStream {
    gateway: Rc<Gateway>,
    call: Call,
    relay: RetryState,
    tried: Vec<FleetKey>,
    splitter: EventSplitter,
    partial: HeldPartial,
    backend_stream: Option<BackendStream>,
    /// Status and content type that the caller was given.
    head: (StatusCode, Option<HeaderValue>),
    pauses: Option<PauseMeter>,
    first_event_ms: Option<u64>,
    in_progress: Option<StreamInProgress>,
}

/// Measures the pauses between the events of a stream from one backend.
struct PauseMeter {
    running: f64,
    last_event_at: Option<Instant>,
    longest: Duration,
    total: Duration,
    count: u32,
}

struct BackendStream {
    response: Box<BackendResponse>,
    framing: Framing,
    answer: AnswerProgress,
    /// Event that the stream was resumed after, until it has continued with the next one.
    resumed_after: Option<u64>,
}

enum StreamRead {
    Events(Bytes),
    End,
    Broken(UpstreamError),
    Timeout,
    /// The backend has fallen silent.
    Silent,
    /// No event has come for as long as the caller waits for one.
    NoEvent,
    /// The stream was resumed, but not with the events after the last one.
    Discontinuous,
}

impl RelayedStream {
    /// Creates a stream from a response whose head has been read.
    pub fn new(
        gateway: Rc<Gateway>,
        call: Call,
        relay: RetryState,
        tried: Vec<FleetKey>,
        response: Box<BackendResponse>,
    ) -> Self {
        call.progress.record_head();
        let splitter = EventSplitter::new(call.metadata.last_event_id);
        let partial = call.connection.hold_partial();
        let pauses = Some(PauseMeter::new(response.running));
        let head = (response.head.status, content_type(&response));
        let backend_stream = Some(BackendStream::from(response));
        Self {
            gateway,
            call,
            relay,
            tried,
            splitter,
            partial,
            backend_stream,
            head,
            pauses,
            first_event_ms: None,
            in_progress: None,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        loop {
            let backend_stream = self.backend_stream.as_mut()?;
            let key = backend_stream.response.key;
            let reading = backend_stream.read(&self.call, &mut self.splitter, &mut self.partial);
            let read = match self.gateway.while_awaited(&self.call, key, reading).await {
                Waited::Read(read) => read,
                Waited::Silent => StreamRead::Silent,
                Waited::NoEvent => StreamRead::NoEvent,
            };
            match read {
                StreamRead::Events(events) => {
                    self.gateway.pool.record_heard(key, now_ms());
                    if !backend_stream.answer.has_events() {
                        let start_ms = now_ms() - backend_stream.response.sent_at_ms;
                        let start = Duration::from_millis(start_ms);
                        self.in_progress = Some(self.gateway.record_start(&self.call, key, start));
                    }
                    let after_ms = self.call.arrived_at.elapsed().as_millis() as u64;
                    self.first_event_ms.get_or_insert(after_ms);
                    self.call.progress.record_event();
                    let pauses = self.pauses.as_mut();
                    let pause = pauses.and_then(|pauses| pauses.record_event(Instant::now()));
                    self.gateway.record_event(&self.call, self.in_progress.as_ref(), pause);
                    if backend_stream.answer.record_event(Instant::now()) {
                        self.gateway.record_sound(&self.call);
                    }
                    if backend_stream.answer.has_begun() {
                        self.call.end_trial();
                    }
                    let events = match events.len() {
                        len if len > BUFFERED_EVENT_BYTES => {
                            self.call.connection.hold_response(events)
                        }
                        _ => events,
                    };
                    return Some(Ok(events));
                }
                StreamRead::End => {
                    let framing = backend_stream.response.head.framing;
                    match self.gateway.check_end(&self.call, key, framing).await {
                        Ok(is_sound) => {
                            self.complete(is_sound);
                            return None;
                        }
                        Err(error) if self.resume_broken(key, &error).await => {}
                        Err(_) => return self.truncate("broken"),
                    }
                }
                StreamRead::Timeout => return self.truncate("timeout"),
                StreamRead::NoEvent => return self.truncate("no-event"),
                StreamRead::Discontinuous => return self.truncate("discontinuous"),
                StreamRead::Silent => {
                    if !backend_stream.answer.has_begun() {
                        self.gateway.record_unexplained(&self.call, key);
                    }
                    if !self.resume(Outcome::Silent).await {
                        return self.truncate("silent");
                    }
                }
                StreamRead::Broken(error) => {
                    if !self.resume_broken(key, &error).await {
                        return self.truncate("broken");
                    }
                }
            }
        }
    }

    /// Resumes the stream after its connection has failed. Returns whether it resumed.
    async fn resume_broken(&mut self, key: FleetKey, error: &UpstreamError) -> bool {
        self.gateway.record_failure(&self.call, key, error);
        let state = self.gateway.check_lost(&self.call, key, error).await;
        if let Some(BackendStream { response, answer, .. }) = &self.backend_stream {
            self.gateway.record_broken(&self.call, key, state, response.sent_at_ms, *answer);
        }
        self.resume(state.into()).await
    }

    /// Resumes the stream at another backend after the last complete event. Returns whether it
    /// resumed.
    async fn resume(&mut self, outcome: Outcome) -> bool {
        self.backend_stream = None;
        self.pauses = None;
        self.in_progress = None;
        self.splitter.drop_partial();
        self.partial.release();
        let resumable = matches!(self.call.route().repeat, Repeat::ResumableStream { .. });
        let next = self.relay.attempt_ended(outcome, || self.gateway.try_spend_retry(&self.call));
        if !resumable || next != NextAction::Retry {
            return false;
        }
        let last_event_id = self.splitter.last_id();
        let dispatched =
            self.gateway.dispatch(&self.call, &mut self.relay, &mut self.tried, last_event_id);
        match dispatched.await {
            Ok(Dispatched::Response(response))
                if (response.head.status, content_type(&response)) == self.head =>
            {
                let request = self.call.attempt_id.as_str();
                log::info!(request, after_event = last_event_id; "stream resumed");
                let resumed_after = last_event_id;
                self.backend_stream =
                    Some(BackendStream { resumed_after, ..BackendStream::from(response) });
                true
            }
            Ok(Dispatched::Response(response)) => {
                let request = self.call.attempt_id.as_str();
                log::warn!(request, status = response.head.status.as_u16();
                    "stream not resumed: the response is no event stream");
                false
            }
            Ok(Dispatched::Failure(_)) => false,
            Err(rejection) => {
                let request = self.call.attempt_id.as_str();
                log::info!(request, reason:% = rejection; "stream not resumed");
                false
            }
        }
    }

    fn complete(&mut self, is_sound: bool) {
        let Some(backend_stream) = self.backend_stream.take() else {
            return;
        };
        self.gateway.record_success(
            &self.call,
            backend_stream.response.key,
            backend_stream.response.head.status,
        );
        if let Some(pauses) = self.pauses.as_ref().and_then(PauseMeter::measured) {
            log::info!(request = self.call.attempt_id.as_str(),
                first_event_ms = self.first_event_ms,
                longest_pause_ms = pauses.longest_ms as u64, mean_pause_ms = pauses.mean_ms as u64,
                running = pauses.running as u64; "stream ended");
            self.gateway.record_stream(&self.call, pauses);
        }
        if is_sound {
            self.gateway.record_sound(&self.call);
        }
        let BackendResponse { head, metadata, upstream, in_flight, .. } = *backend_stream.response;
        self.gateway.keep_connection(in_flight, upstream, &head, metadata);
    }

    fn truncate(&mut self, reason: &str) -> Option<Result<Bytes, TruncatedBody>> {
        self.backend_stream = None;
        let after_ms = self.call.arrived_at.elapsed().as_millis() as u64;
        let request = self.call.attempt_id.as_str();
        log::info!(request, reason, after_ms, last_event = self.splitter.last_id();
            "stream ended early");
        Some(Err(TruncatedBody))
    }
}

impl PauseMeter {
    fn new(running: f64) -> Self {
        Self {
            running,
            last_event_at: None,
            longest: Duration::ZERO,
            total: Duration::ZERO,
            count: 0,
        }
    }

    /// Records an event and returns the pause before it, if it is not the first one.
    fn record_event(&mut self, now: Instant) -> Option<Duration> {
        let pause = now - self.last_event_at.replace(now)?;
        self.longest = self.longest.max(pause);
        self.total += pause;
        self.count += 1;
        Some(pause)
    }

    fn measured(&self) -> Option<StreamPauses> {
        let mean_ms = |count| self.total.as_secs_f64() * 1_000.0 / f64::from(count);
        (self.count >= MIN_PAUSES).then(|| StreamPauses {
            longest_ms: self.longest.as_secs_f64() * 1_000.0,
            mean_ms: mean_ms(self.count),
            running: self.running,
        })
    }
}

impl BackendStream {
    /// Returns whether the stream was resumed and nothing has continued it yet. Its backend may have had
    /// nothing to send, or have answered with an empty error.
    fn is_not_continued(&self) -> bool {
        self.resumed_after.is_some()
    }

    fn is_empty_until_close(&self) -> bool {
        self.response.head.framing == Framing::UntilClose && !self.answer.has_events()
    }

    async fn read(
        &mut self,
        call: &Call,
        splitter: &mut EventSplitter,
        partial: &mut HeldPartial,
    ) -> StreamRead {
        loop {
            let reading = self.response.upstream.read_body(&mut self.framing);
            let chunk = match tokio::time::timeout_at(call.deadline, reading).await {
                Err(_) => return StreamRead::Timeout,
                Ok(Err(error)) => return StreamRead::Broken(error),
                Ok(Ok(None)) if splitter.has_partial() => {
                    return StreamRead::Broken(UpstreamError::Malformed {
                        detail: "stream ended within an event",
                    });
                }
                // The connection of a backend that crashed ends like such a stream.
                Ok(Ok(None)) if self.is_empty_until_close() => {
                    return StreamRead::Broken(UpstreamError::Malformed {
                        detail: "stream without a length ended before its first event",
                    });
                }
                Ok(Ok(None)) if self.is_not_continued() => return StreamRead::Discontinuous,
                Ok(Ok(None)) => return StreamRead::End,
                Ok(Ok(Some(chunk))) => chunk,
            };
            let held_bytes = splitter.partial_bytes() + chunk.len();
            if held_bytes > BUFFERED_EVENT_BYTES
                && !partial.grow_to(held_bytes, call.deadline).await
            {
                return StreamRead::Timeout;
            }
            let events = splitter.push(&chunk);
            if splitter.partial_bytes() <= BUFFERED_EVENT_BYTES {
                partial.release();
            }
            match events {
                None => {
                    return StreamRead::Broken(UpstreamError::Malformed {
                        detail: "event is too large",
                    });
                }
                Some(events) if events.is_empty() => {}
                Some(events) => match self.resumed_after.take() {
                    Some(last_id) if !events::continues(&events, last_id) => {
                        return StreamRead::Discontinuous;
                    }
                    _ => return StreamRead::Events(Bytes::from(events)),
                },
            }
        }
    }
}

impl From<Box<BackendResponse>> for BackendStream {
    fn from(response: Box<BackendResponse>) -> Self {
        let framing = response.head.framing;
        Self { response, framing, answer: AnswerProgress::default(), resumed_after: None }
    }
}

fn content_type(response: &BackendResponse) -> Option<HeaderValue> {
    response.head.headers.get(header::CONTENT_TYPE).cloned()
}

/// Converts a relayed stream into response body chunks.
pub fn chunks(stream: RelayedStream) -> impl Stream<Item = Result<Bytes, TruncatedBody>> {
    futures::stream::unfold(Some(stream), |stream| async {
        let mut stream = stream?;
        match stream.next().await? {
            Ok(events) => Some((Ok(events), Some(stream))),
            Err(early) => Some((Err(early), None)),
        }
    })
}
