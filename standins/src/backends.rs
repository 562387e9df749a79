//! Backends of the deployment: plain services and ranks of model groups, with fault injection.
//!
//! Responses are written as raw bytes, because some of them violate HTTP on purpose.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use currantlink_core::switch::{Action, ExpertMap, Order};
use currantlink_platform::names;
use http::HeaderName;
use serde::Deserialize;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit, watch};

use crate::lockstep::Lockstep;
use crate::rank::OrderRefusal;

const READ_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
/// Time from the start of a request that crashes its backend until the crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time for which a crashed backend is down.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// Interval between attempts to listen again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that is applied to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request is handled normally.
    None,
    /// The request is refused with status 503 and is not run.
    Refuse,
    /// The response has a body of this many bytes.
    Large(usize),
    /// The request is refused as by `Refuse`, with a body that does not end.
    RefuseEndlessly,
    /// The request is run and the response has status 500.
    Fail,
    /// The request is run and the connection is closed without a response.
    LoseResponse,
    /// The request is run and no response is sent; the connection stays open.
    Hang,
    /// A response for another attempt precedes the response.
    StrayResponse,
    /// A refusal without an attempt ID, as of an earlier request, precedes the response.
    StaleRefusal,
    /// Unsolicited bytes follow the response.
    ExtraBytes,
    /// The response lacks the signature header.
    Unsigned,
    /// The event stream begins with this many bytes of an event that does not end.
    PartialEvent(usize),
    /// The response has this status line after the version, and these headers besides its own.
    Odd(&'static str, &'static [(&'static str, &'static str)]),
    /// The request is run and the connection is closed after this many bytes of the response's head.
    CutHead(usize),
    /// The response has no length and the connection is reset halfway through the body.
    Reset,
    /// The event stream is closed in the middle of the event that follows this many events.
    TruncateAfter(u64),
    /// The event stream has neither a length nor chunks. It ends with the connection, in the middle of the
    /// event that follows this many events if there is one.
    UnframedAfter(u64),
    /// The event stream is closed after its second event. If it is resumed here, the response has this
    /// status line and body instead.
    FailResumed(&'static str, &'static str),
    /// The event stream pauses for this long before its last event.
    Stall(Duration),
    /// The event stream pauses before its last event until `release_streams` is called.
    Hold,
}

/// Record of a request that was run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// Value of the attempt ID header.
    pub attempt_id: String,
    /// Method and path.
    pub target: String,
    /// Value of the workspace header.
    pub workspace: Option<String>,
    /// Value of the `authorization` header, if the gateway forwarded it.
    pub key: Option<String>,
    /// Value of the deadline header: the remaining time.
    pub deadline_ms: Option<u64>,
    /// Value of the urgency header.
    pub urgency: Option<u64>,
    /// Value of the `last-event-id` header.
    pub last_event_id: Option<u64>,
    /// Parts of the prompt.
    pub prompt_parts: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
}

/// A request that was received, whether it was run or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Value of the attempt ID header.
    pub attempt_id: String,
    /// Time of arrival.
    pub at: Instant,
}

/// What the requests have in common that crash a backend when it begins to run them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashTrigger {
    /// A part of the prompt, by its id.
    PromptPart(&'static str),
    /// The whole body.
    Body(&'static [u8]),
}

/// Backend server that records its requests. Clones share their state.
#[derive(Clone)]
pub struct Backend {
    id: String,
    group: Option<(Lockstep, usize)>,
    events: u64,
    state: Arc<Mutex<State>>,
    released: watch::Sender<bool>,
    crashes: watch::Sender<u32>,
    restarts: watch::Sender<u32>,
    slots: Arc<Semaphore>,
}

#[derive(Default)]
struct State {
    crash_triggers: Vec<CrashTrigger>,
    faults: VecDeque<Fault>,
    runs: Vec<Run>,
    client_disconnects: u64,
    active: u32,
    named_rate: Option<String>,
    requested_pause: Option<String>,
    is_leaving: bool,
    keeps_id: bool,
    down_time: Option<Duration>,
    cold_time: Duration,
    cold_until: Option<Instant>,
    cold_arrivals: Vec<Instant>,
    exit_time: Duration,
    arrived: Vec<Arrival>,
    queued_since: Vec<Instant>,
}

struct IncomingRequest {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl IncomingRequest {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    fn has(&self, trigger: &CrashTrigger) -> bool {
        let parts = || self.header(names::PROMPT_PARTS.as_str()).unwrap_or_default().split(',');
        match trigger {
            CrashTrigger::PromptPart(id) => parts().any(|part| part.split(':').next() == Some(id)),
            CrashTrigger::Body(body) => self.body == *body,
        }
    }
}

impl Backend {
    /// Creates a backend of a plain service.
    pub fn plain(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            group: None,
            events: 0,
            state: Arc::default(),
            released: watch::Sender::default(),
            crashes: watch::Sender::default(),
            restarts: watch::Sender::default(),
            slots: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
        }
    }

    /// Creates a rank of a model group whose streams have `events` events.
    pub fn model(id: &str, group: Lockstep, rank: usize, events: u64) -> Self {
        Self { group: Some((group, rank)), events, ..Self::plain(id) }
    }

    /// Limits how many streams run at once. Further requests wait without a response.
    pub fn limit_slots(&mut self, slots: usize) {
        self.slots = Arc::new(Semaphore::new(slots));
    }

    /// Listens on `address` and returns the bound address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let backend = self.clone();
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                backend.accept_until_crash(&listener).await;
                let down_time = backend.state().down_time.unwrap_or(DOWN_TIME);
                // A successor that takes over the listening socket is there at once.
                if !down_time.is_zero() {
                    let exit_time = backend.state().exit_time;
                    // Even a sleep of no length would keep the listener for a tick of the timer.
                    if !exit_time.is_zero() {
                        tokio::time::sleep(exit_time).await;
                    }
                    drop(listener);
                    tokio::time::sleep(down_time).await;
                    listener = loop {
                        match TcpListener::bind(bound).await {
                            Ok(listener) => break listener,
                            Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
                        }
                    };
                }
                {
                    let mut state = backend.state();
                    state.is_leaving = false;
                    state.cold_until = Some(Instant::now() + state.cold_time);
                }
                backend.restarts.send_modify(|restarts| *restarts += 1);
            }
        });
        Ok(bound)
    }

    async fn accept_until_crash(&self, listener: &TcpListener) {
        let mut crashes = self.crashes.subscribe();
        loop {
            let stream = tokio::select! {
                biased;
                _ = crashes.changed() => return,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => return,
                },
            };
            let (backend, mut crashes) = (self.clone(), crashes.clone());
            tokio::spawn(async move {
                tokio::select! {
                    // A client that disconnects is not an error of the stand-in.
                    _ = backend.handle_connection(stream) => {}
                    _ = crashes.changed() => {}
                }
            });
        }
    }

    /// Crashes the backend's process: it ends all connections and is back with another id some time
    /// later.
    pub fn crash(&self) {
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// Sets the time for which the backend is down after a crash; zero if a successor listens at once.
    pub fn set_down_time(&self, down_time: Duration) {
        self.state().down_time = Some(down_time);
    }

    /// Sets the time from a crash, which ends the connections, until the address refuses connections.
    pub fn set_exit_time(&self, exit_time: Duration) {
        self.state().exit_time = exit_time;
    }

    /// Sets the time for which the backend is cold after each restart.
    pub fn set_cold_time(&self, cold_time: Duration) {
        self.state().cold_time = cold_time;
    }

    /// Returns the time for which the backend is still cold.
    pub fn cold_remaining(&self) -> Duration {
        let until = self.state().cold_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Returns when each request was received while the backend was cold, without those with status 421.
    pub fn cold_arrival_times(&self) -> Vec<Instant> {
        self.state().cold_arrivals.clone()
    }

    /// Makes the backend return under the same id after crashes.
    pub fn keep_id(&self) {
        self.state().keeps_id = true;
    }

    /// Returns how many times the backend has crashed.
    pub fn crashes(&self) -> u32 {
        *self.crashes.borrow()
    }

    /// Returns a receiver of the number of restarts after crashes.
    pub fn restarts(&self) -> watch::Receiver<u32> {
        self.restarts.subscribe()
    }

    /// Makes all following requests with a trigger crash the backend.
    pub fn crash_on(&self, trigger: CrashTrigger) {
        self.state().crash_triggers.push(trigger);
    }

    /// Returns the id of the current process.
    pub fn id(&self) -> String {
        match *self.restarts.borrow() {
            0 => self.id.clone(),
            _ if self.state().keeps_id => self.id.clone(),
            restarts => format!("{}-{restarts}", self.id),
        }
    }

    async fn crash_if_triggered(&self, request: &IncomingRequest) {
        if self.state().crash_triggers.iter().any(|trigger| request.has(trigger)) {
            tokio::time::sleep(CRASH_DELAY).await;
            self.crash();
            std::future::pending().await
        }
    }

    /// Queues faults for the next requests, one fault per request.
    pub fn queue_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().faults.extend(faults);
    }

    /// Ends the pause of all streams, also of those that are yet to come.
    pub fn release_streams(&self) {
        self.released.send_replace(true);
    }

    /// Removes the queued faults.
    pub fn clear_faults(&self) {
        self.state().faults.clear();
    }

    /// Returns the requests that were run, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the number of requests received, including those that were not run.
    pub fn arrivals(&self) -> u64 {
        self.state().arrived.len() as u64
    }

    /// Returns the requests that were received, in order.
    pub fn arrived(&self) -> Vec<Arrival> {
        self.state().arrived.clone()
    }

    /// Returns when each request was received.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.state().arrived.iter().map(|arrival| arrival.at).collect()
    }

    /// Makes all following responses say that the backend leaves. A restart ends it.
    pub fn announce_leaving(&self) {
        self.state().is_leaving = true;
    }

    /// Makes the backend refuse all requests and request a pause, until `None` is passed.
    pub fn request_pause(&self, pause: Option<&str>) {
        self.state().requested_pause = pause.map(str::to_owned);
    }

    /// Sets the request rate that all following responses name, if any.
    pub fn name_rate(&self, rate: Option<&str>) {
        self.state().named_rate = rate.map(str::to_owned);
    }

    /// Returns how long each request in the queue has waited for a slot.
    pub fn queued_times(&self) -> Vec<Duration> {
        self.state().queued_since.iter().map(Instant::elapsed).collect()
    }

    /// Returns the number of requests whose client disconnected before the response was complete.
    pub fn client_disconnects(&self) -> u64 {
        self.state().client_disconnects
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await? {
            let path = request.target.split('?').next().unwrap_or_default();
            let keep_alive = match (path, &self.group) {
                (names::REPORT_PATH, Some(_)) => self.send_report(&mut stream).await?,
                (names::EXPERT_COUNTS_PATH, Some(_)) => {
                    self.send_expert_counts(&mut stream, &request).await?
                }
                (names::ORDER_PATH, Some(_)) => self.handle_order(&mut stream, &request).await?,
                _ => self.handle_request(&mut stream, &request).await?,
            };
            if !keep_alive {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn handle_request(
        &self,
        stream: &mut TcpStream,
        request: &IncomingRequest,
    ) -> io::Result<bool> {
        let id = request.header(names::ATTEMPT_ID.as_str()).unwrap_or_default().to_owned();
        let expected = request.header(names::EXPECT_BACKEND.as_str());
        let fault = {
            let mut state = self.state();
            state.arrived.push(Arrival { attempt_id: id.clone(), at: Instant::now() });
            state.faults.pop_front().unwrap_or(Fault::None)
        };
        let rate = self.state().named_rate.clone();
        let rate_header = rate.as_deref().map(|rate| (names::RATE_LIMIT, rate));
        let leaving_header = self.state().is_leaving.then_some((names::LEAVING, "1"));
        let stated = rate_header.into_iter().chain(leaving_header);
        let own_id = self.id();
        if expected.is_some_and(|expected| expected != own_id) {
            write_response(stream, "421 Misdirected Request", &[(names::BACKEND_ID, &own_id)], b"")
                .await?;
            return Ok(true);
        }
        let cold_ms = self.cold_remaining().as_millis();
        if cold_ms > 0 {
            self.state().cold_arrivals.push(Instant::now());
        }
        let cold_value = cold_ms.to_string();
        let cold_header = (cold_ms > 0).then_some((names::COLD_MS, cold_value.as_str()));
        let stated = stated.chain(cold_header);
        let pause = self.state().requested_pause.clone();
        if let Some(pause) = pause {
            let headers = [
                (names::NOT_RUN, "1"),
                (names::ATTEMPT_ID, id.as_str()),
                (names::PAUSE_S, pause.as_str()),
            ];
            write_response(stream, "503 Service Unavailable", &headers, b"").await?;
            return Ok(true);
        }
        if fault == Fault::Refuse {
            let headers = [(names::NOT_RUN, "1"), (names::ATTEMPT_ID, id.as_str())];
            let headers: Vec<_> = headers.into_iter().chain(stated).collect();
            write_response(stream, "503 Service Unavailable", &headers, b"").await?;
            return Ok(true);
        }
        if fault == Fault::RefuseEndlessly {
            let headers = [(names::NOT_RUN, "1"), (names::ATTEMPT_ID, id.as_str())];
            let head = response_head("503 Service Unavailable", &headers, None);
            stream.write_all(head.as_bytes()).await?;
            return self.hang(stream).await;
        }
        if fault == Fault::StaleRefusal {
            write_response(stream, "503 Service Unavailable", &[(names::NOT_RUN, "1")], b"")
                .await?;
        }
        let Some(_slot) = self.wait_for_slot(stream).await else {
            return Ok(false);
        };
        self.record_run(request, &id);
        if self.group.is_none() {
            self.crash_if_triggered(request).await;
        }
        let signature = format!("{own_id}.{id}");
        let signed_headers =
            [(names::ATTEMPT_ID, id.as_str()), (names::SIGNATURE, signature.as_str())];
        let signed_headers: Vec<_> = signed_headers.into_iter().chain(stated).collect();
        let body = format!("{id} by {own_id}");
        match fault {
            Fault::LoseResponse => Ok(false),
            Fault::Hang => self.hang(stream).await,
            Fault::Fail => {
                write_response(stream, "500 Internal Server Error", &signed_headers, b"failed")
                    .await?;
                Ok(true)
            }
            Fault::Unsigned => {
                write_response(stream, "200 OK", &signed_headers[..1], body.as_bytes()).await?;
                Ok(true)
            }
            Fault::PartialEvent(len) => {
                let head = response_head("200 OK", &signed_headers, None);
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'x'; len]).await?;
                self.hang(stream).await
            }
            Fault::Odd(status, headers) => {
                let odd =
                    headers.iter().map(|&(name, value)| (HeaderName::from_static(name), value));
                let headers: Vec<_> = signed_headers.into_iter().chain(odd).collect();
                write_response(stream, status, &headers, body.as_bytes()).await?;
                Ok(true)
            }
            Fault::CutHead(len) => {
                let framing = self.group.is_some().then_some("Transfer-Encoding: chunked");
                let head = response_head("200 OK", &signed_headers, framing);
                // The last byte completes the head.
                stream.write_all(&head.as_bytes()[..len.min(head.len() - 1)]).await?;
                Ok(false)
            }
            Fault::Reset => self.reset(stream, &signed_headers, body.as_bytes()).await,
            Fault::Large(len) => {
                write_response(stream, "200 OK", &signed_headers, &vec![b'x'; len]).await?;
                Ok(true)
            }
            Fault::FailResumed(status, body)
                if request.header(names::LAST_EVENT_ID.as_str()).is_some() =>
            {
                write_response(stream, status, &signed_headers, body.as_bytes()).await?;
                Ok(true)
            }
            _ if self.group.is_some() => {
                self.stream_events(stream, request, &signed_headers, fault).await
            }
            _ => {
                if fault == Fault::StrayResponse {
                    let stray = [(names::ATTEMPT_ID, "other"), (names::SIGNATURE, "x")];
                    write_response(stream, "200 OK", &stray, b"stray").await?;
                }
                write_response(stream, "200 OK", &signed_headers, body.as_bytes()).await?;
                if fault == Fault::ExtraBytes {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra").await?;
                }
                Ok(true)
            }
        }
    }

    /// Waits for a slot, or returns `None` if the client disconnects before.
    async fn wait_for_slot(&self, stream: &TcpStream) -> Option<SemaphorePermit<'_>> {
        if let Ok(slot) = self.slots.try_acquire() {
            return Some(slot);
        }
        let since = Instant::now();
        self.state().queued_since.push(since);
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot.ok(),
            _ = stream.readable() => None,
        };
        self.state().queued_since.retain(|&queued_since| queued_since != since);
        slot
    }

    fn record_run(&self, request: &IncomingRequest, id: &str) {
        let number = |name: &str| request.header(name).and_then(|value| value.parse().ok());
        self.state().runs.push(Run {
            attempt_id: id.to_owned(),
            target: format!("{} {}", request.method, request.target),
            workspace: request.header(names::WORKSPACE.as_str()).map(str::to_owned),
            key: request.header("authorization").map(str::to_owned),
            deadline_ms: number(names::DEADLINE_MS.as_str()),
            urgency: number(names::URGENCY.as_str()),
            last_event_id: number(names::LAST_EVENT_ID.as_str()),
            prompt_parts: request.header(names::PROMPT_PARTS.as_str()).map(str::to_owned),
            body: request.body.clone(),
        });
    }

    async fn hang(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let mut byte = [0; 1];
        let read = stream.read(&mut byte).await;
        self.state().client_disconnects += 1;
        read.map(|_| false)
    }

    async fn reset(
        &self,
        stream: &mut TcpStream,
        signed_headers: &[(HeaderName, &str)],
        body: &[u8],
    ) -> io::Result<bool> {
        let head = response_head("200 OK", signed_headers, None);
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body[..body.len() / 2]).await?;
        stream.flush().await?;
        tokio::time::sleep(Duration::from_millis(20)).await;
        // With a linger time of zero, closing the socket resets the connection.
        stream.set_zero_linger()?;
        Ok(false)
    }

    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        request: &IncomingRequest,
        signed_headers: &[(HeaderName, &str)],
        fault: Fault,
    ) -> io::Result<bool> {
        let Some((mut group, _)) = self.group.clone() else {
            return Ok(false);
        };
        let from = request.header(names::LAST_EVENT_ID.as_str()).and_then(|id| id.parse().ok());
        let is_framed = !matches!(fault, Fault::UnframedAfter(_));
        let framing = is_framed.then_some("Transfer-Encoding: chunked");
        let head = response_head("200 OK", signed_headers, framing);
        stream.write_all(head.as_bytes()).await?;
        self.crash_if_triggered(request).await;
        self.state().active += 1;
        let done = async {
            for event in from.unwrap_or(0) + 1..=self.events {
                group.next_pass().await;
                match fault {
                    Fault::Stall(pause) if event == self.events => tokio::time::sleep(pause).await,
                    Fault::Hold if event == self.events => self.wait_for_release().await,
                    _ => {}
                }
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                let chunk = match is_framed {
                    true => format!("{:x}\r\n{text}\r\n", text.len()),
                    false => text,
                };
                match fault {
                    Fault::UnframedAfter(0) => return Ok(false),
                    Fault::FailResumed(..) if event > 2 => return Ok(false),
                    Fault::TruncateAfter(events) | Fault::UnframedAfter(events)
                        if event > events =>
                    {
                        stream.write_all(&chunk.as_bytes()[..chunk.len() / 2]).await?;
                        return Ok(false);
                    }
                    _ => stream.write_all(chunk.as_bytes()).await?,
                }
            }
            if is_framed {
                stream.write_all(b"0\r\n\r\n").await?;
            }
            Ok(is_framed)
        };
        let done: io::Result<bool> = done.await;
        let mut state = self.state();
        state.active -= 1;
        state.client_disconnects += u64::from(done.is_err());
        done
    }

    async fn wait_for_release(&self) {
        // The sender lives as long as this backend, so the wait cannot fail.
        let _ = self.released.subscribe().wait_for(|&released| released).await;
    }

    async fn send_report(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let Some((group, rank)) = &self.group else {
            return Ok(false);
        };
        let rank = group.rank(*rank).state;
        let armed = rank.armed.map(|(version, step)| json!({ "version": version, "step": step }));
        let body = json!({
            "stage": "combined", "busy": rank.busy, "sequence": rank.orders,
            "queued": self.state().queued_since.len(), "active": self.state().active, "step": rank.step,
            "map": rank.map_version, "prepared": rank.prepared_version, "armed": armed,
            "held": rank.held_step, "size": rank.size,
            "group": { "name": rank.group, "epoch": rank.epoch, "rank": rank.rank, "state": "open" },
        });
        write_response(stream, "200 OK", &[], body.to_string().as_bytes()).await?;
        Ok(true)
    }

    async fn send_expert_counts(
        &self,
        stream: &mut TcpStream,
        request: &IncomingRequest,
    ) -> io::Result<bool> {
        let Some((group, rank)) = &self.group else {
            return Ok(false);
        };
        let state = group.rank(*rank).state;
        let body = if request.target.contains("lists") {
            let initial_experts = || vec![round_robin_experts(state.rank, state.size)];
            let experts = group.experts(*rank).unwrap_or_else(initial_experts);
            json!({ "map": { "version": state.map_version, "experts": experts }, "prepared": null })
        } else {
            json!({ "step": state.step, "epoch": state.epoch, "counts": expert_choices(state.step) })
        };
        write_response(stream, "200 OK", &[], body.to_string().as_bytes()).await?;
        Ok(true)
    }

    async fn handle_order(
        &self,
        stream: &mut TcpStream,
        request: &IncomingRequest,
    ) -> io::Result<bool> {
        let Some((group, rank)) = &self.group else {
            return Ok(false);
        };
        let body: Option<OrderBody> = serde_json::from_slice(&request.body).ok();
        let Some((order, map)) = body.and_then(OrderBody::into_order) else {
            write_response(stream, "400 Bad Request", &[], b"").await?;
            return Ok(true);
        };
        let status = match group.apply_order(*rank, &order, map) {
            Some(Ok(())) => "202 Accepted",
            Some(Err(OrderRefusal::Conflict)) => "409 Conflict",
            Some(Err(OrderRefusal::Fenced)) => "412 Precondition Failed",
            None => return self.hang(stream).await,
        };
        write_response(stream, status, &[], b"").await?;
        Ok(true)
    }
}

/// Number of experts in the only expert set of a group.
pub const EXPERTS: u32 = 12;

fn round_robin_experts(rank: u32, size: u32) -> Vec<u32> {
    (0..EXPERTS).filter(|expert| expert % size == rank).collect()
}

/// Returns the cumulative choices per expert at `step`; expert 0 has about a third of them.
fn expert_choices(step: u64) -> Vec<u64> {
    (0..EXPERTS).map(|expert| step * if expert == 0 { 600 } else { 100 }).collect()
}

#[derive(Deserialize)]
struct OrderBody {
    op: String,
    fence: u64,
    epoch: u64,
    expect: Option<u64>,
    version: Option<u64>,
    step: Option<u64>,
    map: Option<ExpertMap>,
}

impl OrderBody {
    fn into_order(self) -> Option<(Order, Option<ExpertMap>)> {
        let action = match self.op.as_str() {
            "prepare" => {
                let map = Arc::new(self.map.clone()?);
                Action::Prepare { version: self.version?, map }
            }
            "arm" => Action::Arm { version: self.version?, step: self.step? },
            "disarm" => Action::Disarm { version: self.version? },
            "hold" => Action::Hold { step: self.step? },
            "go" => Action::Go { step: self.step? },
            _ => return None,
        };
        let (fence, epoch, expected_orders) = (self.fence, self.epoch, self.expect);
        Some((Order { fence, epoch, expected_orders, action }, self.map))
    }
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<IncomingRequest>> {
    loop {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut storage);
        let malformed = |_| io::Error::from(io::ErrorKind::InvalidData);
        if let httparse::Status::Complete(len) = parsed.parse(buffer).map_err(malformed)? {
            let headers = parsed.headers.iter().map(|header| {
                (header.name.to_owned(), String::from_utf8_lossy(header.value).into_owned())
            });
            let mut request = IncomingRequest {
                method: parsed.method.unwrap_or_default().to_owned(),
                target: parsed.path.unwrap_or_default().to_owned(),
                headers: headers.collect(),
                body: Vec::new(),
            };
            let body_len = request.header("content-length").and_then(|len| len.parse().ok());
            let end = len + body_len.unwrap_or(0);
            while buffer.len() < end {
                if fill_buffer(stream, buffer).await? == 0 {
                    return Ok(None);
                }
            }
            request.body = buffer[len..end].to_vec();
            buffer.drain(..end);
            return Ok(Some(request));
        }
        if fill_buffer(stream, buffer).await? == 0 {
            return Ok(None);
        }
    }
}

async fn fill_buffer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    buffer.reserve(READ_BYTES);
    stream.read_buf(buffer).await
}

fn response_head(status: &str, headers: &[(HeaderName, &str)], framing: Option<&str>) -> String {
    let mut head = format!("HTTP/1.1 {status}\r\nKeep-Alive: timeout=10\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(framing) = framing {
        head.push_str(framing);
        head.push_str("\r\n");
    }
    head + "\r\n"
}

async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(HeaderName, &str)],
    body: &[u8],
) -> io::Result<()> {
    let head = response_head(status, headers, Some(&format!("Content-Length: {}", body.len())));
    stream.write_all(&[head.as_bytes(), body].concat()).await
}
