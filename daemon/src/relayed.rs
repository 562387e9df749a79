//! A stream of events on its way to a caller, continued at another backend where it may be.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantlink_core::events::EventSplitter;
use currantlink_core::fleet::FleetKey;
use currantlink_core::pace::StreamPauses;
use currantlink_core::relay::{NextAction, Outcome, RetryState};
use currantlink_core::routes::Repeat;
use futures::Stream;

use crate::attempts::{Answered, Started};
use crate::outbound::EndsEarly;
use crate::serve::{Call, Gateway};
use crate::upstream::{Framing, UpstreamError};

/// Pauses below which a stream is too short to tell how its backend keeps pace.
const LEAST_PAUSES: u32 = 4;

/// A stream that is being passed on.
pub struct Relayed {
    gateway: Rc<Gateway>,
    call: Call,
    relay: RetryState,
    tried: Vec<FleetKey>,
    splitter: EventSplitter,
    source: Option<Source>,
    pauses: Option<Pauses>,
}

/// Pauses between the events of a stream from one backend.
struct Pauses {
    running: f64,
    last: Option<Instant>,
    longest: Duration,
    total: Duration,
    count: u32,
}

struct Source {
    answered: Box<Answered>,
    framing: Framing,
}

enum Piece {
    Events(Bytes),
    End,
    Broken(UpstreamError),
    Late,
}

impl Relayed {
    /// Takes over an answer whose head has been read.
    pub fn new(
        gateway: Rc<Gateway>,
        call: Call,
        relay: RetryState,
        tried: Vec<FleetKey>,
        answered: Box<Answered>,
    ) -> Self {
        let splitter = EventSplitter::new(call.ask.last_event_id);
        let pauses = Some(Pauses::new(answered.running));
        let source = Some(Source::from(answered));
        Self { gateway, call, relay, tried, splitter, source, pauses }
    }

    async fn next(&mut self) -> Option<Result<Bytes, EndsEarly>> {
        loop {
            let source = self.source.as_mut()?;
            match source.read(&self.call, &mut self.splitter).await {
                Piece::Events(events) => {
                    self.pauses.iter_mut().for_each(|pauses| pauses.event(Instant::now()));
                    return Some(Ok(events));
                }
                Piece::End => {
                    self.finish();
                    return None;
                }
                Piece::Late => return self.give_up("timeout"),
                Piece::Broken(error) => {
                    let key = source.answered.key;
                    self.gateway.attempt_failed(&self.call, key, &error);
                    if !self.resume().await {
                        return self.give_up("broken");
                    }
                }
            }
        }
    }

    /// Has another backend go on after the last whole event; returns whether one does.
    async fn resume(&mut self) -> bool {
        self.source = None;
        self.pauses = None;
        self.splitter.drop_partial();
        let resumable = matches!(self.call.route().repeat, Repeat::ResumableStream { .. });
        let next =
            self.relay.attempt_ended(Outcome::Unknown, || self.gateway.take_retry(&self.call));
        if !resumable || next != NextAction::Retry {
            return false;
        }
        let last_event_id = self.splitter.last_id();
        let started =
            self.gateway.start(&self.call, &mut self.relay, &mut self.tried, last_event_id);
        match started.await {
            Ok(Started::Answered(answered)) => {
                let request = self.call.attempt_id.as_str();
                log::info!(request, after_event = last_event_id; "stream resumed");
                self.source = Some(Source::from(answered));
                true
            }
            Ok(Started::Failure(_)) => false,
            Err(rejection) => {
                let request = self.call.attempt_id.as_str();
                log::info!(request, reason:% = rejection; "stream not resumed");
                false
            }
        }
    }

    fn finish(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        self.gateway.succeeded(&self.call, source.answered.key, source.answered.head.status);
        if let Some(pauses) = self.pauses.as_ref().and_then(Pauses::seen) {
            log::info!(request = self.call.attempt_id.as_str(),
                longest_pause_ms = pauses.longest_ms as u64, mean_pause_ms = pauses.mean_ms as u64,
                running = pauses.running as u64; "stream ended");
            self.gateway.stream_ended(&self.call, pauses);
        }
        let Answered { head, facts, upstream, claim, .. } = *source.answered;
        self.gateway.keep(claim, upstream, &head, facts);
    }

    fn give_up(&mut self, reason: &str) -> Option<Result<Bytes, EndsEarly>> {
        self.source = None;
        let after_ms = self.call.arrived.elapsed().as_millis() as u64;
        let request = self.call.attempt_id.as_str();
        log::info!(request, reason, after_ms, last_event = self.splitter.last_id();
            "stream ended early");
        Some(Err(EndsEarly))
    }
}

impl Pauses {
    fn new(running: f64) -> Self {
        Self { running, last: None, longest: Duration::ZERO, total: Duration::ZERO, count: 0 }
    }

    fn event(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            let pause = now - last;
            self.longest = self.longest.max(pause);
            self.total += pause;
            self.count += 1;
        }
    }

    fn seen(&self) -> Option<StreamPauses> {
        let mean_ms = |count| self.total.as_secs_f64() * 1_000.0 / f64::from(count);
        (self.count >= LEAST_PAUSES).then(|| StreamPauses {
            longest_ms: self.longest.as_secs_f64() * 1_000.0,
            mean_ms: mean_ms(self.count),
            running: self.running,
        })
    }
}

impl Source {
    async fn read(&mut self, call: &Call, splitter: &mut EventSplitter) -> Piece {
        loop {
            let reading = self.answered.upstream.body(&mut self.framing);
            let piece = match tokio::time::timeout_at(call.until, reading).await {
                Err(_) => return Piece::Late,
                Ok(Err(error)) => return Piece::Broken(error),
                Ok(Ok(None)) if splitter.has_partial() => {
                    return Piece::Broken(UpstreamError::Malformed { detail: "partial event" });
                }
                Ok(Ok(None)) => return Piece::End,
                Ok(Ok(Some(piece))) => piece,
            };
            match splitter.push(&piece) {
                None => return Piece::Broken(UpstreamError::Malformed { detail: "event size" }),
                Some(events) if events.is_empty() => {}
                Some(events) => return Piece::Events(Bytes::from(events)),
            }
        }
    }
}

impl From<Box<Answered>> for Source {
    fn from(answered: Box<Answered>) -> Self {
        let framing = answered.head.framing;
        Self { answered, framing }
    }
}

/// Returns the pieces to pass on.
pub fn pieces(stream: Relayed) -> impl Stream<Item = Result<Bytes, EndsEarly>> {
    futures::stream::unfold(Some(stream), |stream| async {
        let mut stream = stream?;
        match stream.next().await? {
            Ok(events) => Some((Ok(events), Some(stream))),
            Err(early) => Some((Err(early), None)),
        }
    })
}
