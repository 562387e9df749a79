//! Link from an entry, or from a coordinating side, to one side. The link reconnects whenever it is
//! lost or silent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use currantlink_wire::link::{SideStatus, ToEntry, ToSide, to_entry, to_side};
use indexmap::IndexMap;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::conversions;
use crate::key::LinkKey;
use crate::link::{self, Identity, LinkError, Receiver, Sender};
use crate::settings::LinkTiming;

/// Capacity of the send queue of a link.
const OUTBOX_CAPACITY: usize = 1_024;
/// Capacity of the receive queue of a stream.
const STREAM_CAPACITY: usize = 256;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Age at which the side's last report counts as stale and a ping requests a new one.
const MAX_REPORT_AGE_MS: u64 = 1_000;
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An event on a stream.
#[derive(Debug)]
pub enum StreamEvent {
    /// A message for the stream.
    Message(to_entry::Body),
    /// The stream has ended. The call can be queried on a new stream.
    Lost,
}

/// State of a link.
#[derive(Clone, Debug, Default)]
pub struct LinkState {
    /// Whether the link is open and the side has reported its status.
    pub connected: bool,
    /// Number of the connection attempt, counted from 1.
    pub generation: u64,
    /// The side's status as last reported.
    pub status: SideStatus,
    /// Time of the last report.
    pub reported_at_ms: u64,
}

/// Handle of a link. A background task maintains the connection until [`Uplink::close`] is called.
pub struct Uplink {
    /// Address of the side.
    pub address: SocketAddr,
    state: ArcSwap<LinkState>,
    changes: watch::Sender<u64>,
    streams: Mutex<IndexMap<u64, mpsc::Sender<StreamEvent>>>,
    next_stream: AtomicU64,
    sent_tokens: AtomicU64,
    received_tokens: AtomicU64,
    outbox: mpsc::Sender<ToSide>,
    stop: CancellationToken,
}

/// Parameters of a link.
#[derive(Clone)]
pub struct LinkSetup {
    /// Key that authenticates both ends.
    pub key: LinkKey,
    /// Name and id of this process.
    pub identity: Identity,
    /// Intervals and timeouts.
    pub timing: LinkTiming,
}

/// Subscription to the messages of one call, cancelled on drop.
pub struct Stream {
    /// Id that the side echoes in its messages.
    pub id: u64,
    events: mpsc::Receiver<StreamEvent>,
    uplink: Arc<Uplink>,
}

impl Stream {
    /// Waits for the next event.
    pub async fn next(&mut self) -> StreamEvent {
        self.events.recv().await.unwrap_or(StreamEvent::Lost)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.uplink.lock_streams().swap_remove(&self.id);
    }
}

impl Uplink {
    /// Starts the background task of a link, which connects and reconnects.
    pub fn open(runtime: &Handle, address: SocketAddr, setup: LinkSetup) -> Arc<Self> {
        let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
        let uplink = Arc::new(Self {
            address,
            state: ArcSwap::default(),
            changes: watch::Sender::new(0),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(1),
            sent_tokens: AtomicU64::new(0),
            received_tokens: AtomicU64::new(0),
            outbox,
            stop: CancellationToken::new(),
        });
        runtime.spawn(run_link(Arc::clone(&uplink), setup, messages));
        uplink
    }

    /// Closes the link permanently.
    pub fn close(&self) {
        self.stop.cancel();
    }

    /// Returns the current state of the link.
    pub fn state(&self) -> Arc<LinkState> {
        self.state.load_full()
    }

    /// Returns the dispatched work that the side's last report does not include, in tokens.
    pub fn unreported_tokens(&self) -> u64 {
        let received = self.received_tokens.load(Ordering::Relaxed);
        self.sent_tokens.load(Ordering::Relaxed).saturating_sub(received)
    }

    /// Records dispatched work.
    pub fn record_sent(&self, work_tokens: u32) {
        self.sent_tokens.fetch_add(u64::from(work_tokens), Ordering::Relaxed);
    }

    /// Opens a stream for the messages of one call.
    pub fn open_stream(self: &Arc<Self>) -> Stream {
        let id = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let (sender, events) = mpsc::channel(STREAM_CAPACITY);
        self.lock_streams().insert(id, sender);
        Stream { id, events, uplink: Arc::clone(self) }
    }

    /// Sends a message to the given incarnation. Returns false if the link is down.
    pub async fn send(&self, incarnation: u64, body: to_side::Body) -> bool {
        let connected = self.state.load().connected;
        connected && self.outbox.send(conversions::to_side(incarnation, body)).await.is_ok()
    }

    /// Sends a message without waiting. Returns false if the link is down or its queue is full.
    pub fn try_send(&self, incarnation: u64, body: to_side::Body) -> bool {
        let connected = self.state.load().connected;
        connected && self.outbox.try_send(conversions::to_side(incarnation, body)).is_ok()
    }

    /// Waits until the link is connected and returns its state, or `None` after the timeout.
    pub async fn wait_connected(&self, timeout: Duration) -> Option<Arc<LinkState>> {
        let mut changes = self.changes.subscribe();
        let waiting = async {
            loop {
                changes.borrow_and_update();
                let state = self.state();
                if state.connected {
                    return Some(state);
                }
                if changes.changed().await.is_err() {
                    return None;
                }
            }
        };
        tokio::time::timeout(timeout, waiting).await.ok().flatten()
    }

    fn lock_streams(&self) -> std::sync::MutexGuard<'_, IndexMap<u64, mpsc::Sender<StreamEvent>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_streams(&self) -> bool {
        !self.lock_streams().is_empty()
    }

    fn set_state(&self, state: LinkState) {
        self.state.store(Arc::new(state));
        self.changes.send_modify(|version| *version += 1);
    }

    fn begin_connection(&self, generation: u64) {
        self.sent_tokens.store(0, Ordering::Relaxed);
        self.received_tokens.store(0, Ordering::Relaxed);
        let status = self.state.load().status.clone();
        self.set_state(LinkState { generation, status, ..LinkState::default() });
    }

    fn update_status(&self, status: SideStatus) {
        let generation = self.state.load().generation;
        let reported_at_ms = clock::now_ms();
        self.set_state(LinkState { connected: true, generation, status, reported_at_ms });
    }

    fn end_connection(&self) {
        let last = self.state();
        self.set_state(LinkState { connected: false, ..LinkState::clone(&last) });
        // Dropping the senders ends each stream after its buffered messages.
        self.lock_streams().clear();
    }

    fn deliver(&self, stream: u64, body: to_entry::Body) {
        let sender = self.lock_streams().get(&stream).cloned();
        if let Some(sender) = sender {
            // Close the stream of a slow receiver so that it does not block the link. The receiver
            // resumes the call on a new stream.
            if sender.try_send(StreamEvent::Message(body)).is_err() {
                self.lock_streams().swap_remove(&stream);
            }
        }
    }
}

async fn run_link(uplink: Arc<Uplink>, setup: LinkSetup, mut messages: mpsc::Receiver<ToSide>) {
    let mut backoff = INITIAL_BACKOFF;
    let mut generation = 0;
    while !uplink.stop.is_cancelled() {
        generation += 1;
        let identity = Identity { generation, ..setup.identity.clone() };
        let timeout = setup.timing.connect_timeout;
        match link::connect(uplink.address, timeout, &setup.key, &identity).await {
            Ok((_, receiver, sender)) => {
                backoff = INITIAL_BACKOFF;
                uplink.begin_connection(generation);
                let ended =
                    run_connection(&uplink, &setup.timing, receiver, sender, &mut messages).await;
                uplink.end_connection();
                while messages.try_recv().is_ok() {}
                log::info!(address:% = uplink.address, cause:% = ended; "link lost");
            }
            Err(error) => {
                log::debug!(address:% = uplink.address, cause:% = error; "failed to open a link");
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        tokio::select! {
            () = uplink.stop.cancelled() => {}
            () = tokio::time::sleep(backoff) => {}
        }
    }
}

async fn run_connection(
    uplink: &Arc<Uplink>,
    timing: &LinkTiming,
    mut receiver: Receiver,
    mut sender: Sender,
    messages: &mut mpsc::Receiver<ToSide>,
) -> LinkError {
    let last_received = Arc::new(Mutex::new(Instant::now()));
    let reading = read(uplink, &mut receiver, &last_received);
    let writing = write(uplink, timing, &mut sender, messages, &last_received);
    tokio::select! {
        () = uplink.stop.cancelled() => LinkError::Closed,
        error = reading => error,
        error = writing => error,
    }
}

async fn read(
    uplink: &Arc<Uplink>,
    receiver: &mut Receiver,
    last_received: &Mutex<Instant>,
) -> LinkError {
    loop {
        let message: ToEntry = match receiver.receive().await {
            Ok(message) => message,
            Err(error) => return error,
        };
        *last_received.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        match message.body {
            Some(to_entry::Body::Pong(pong)) => {
                if let Some(status) = pong.status {
                    uplink.received_tokens.store(pong.received_tokens, Ordering::Relaxed);
                    uplink.update_status(status);
                }
            }
            Some(to_entry::Body::Status(status)) => uplink.update_status(status),
            Some(body) => uplink.deliver(stream_id(&body), body),
            None => {}
        }
    }
}

/// Stream id of messages that belong to no call.
pub const CONTROL_STREAM: u64 = 0;

fn stream_id(body: &to_entry::Body) -> u64 {
    match body {
        to_entry::Body::Frame(frame) => frame.call.as_ref().map_or(0, |c| c.stream),
        to_entry::Body::Refused(refused) => refused.call.as_ref().map_or(0, |c| c.stream),
        to_entry::Body::Minted(minted) => minted.stream,
        to_entry::Body::GroupAnswer(response) => response.stream,
        to_entry::Body::ConfigState(state) => state.stream,
        to_entry::Body::ExpertLoad(load) => load.stream,
        _ => CONTROL_STREAM,
    }
}

async fn write(
    uplink: &Arc<Uplink>,
    timing: &LinkTiming,
    sender: &mut Sender,
    messages: &mut mpsc::Receiver<ToSide>,
    last_received: &Mutex<Instant>,
) -> LinkError {
    let mut pings = tokio::time::interval(timing.ping);
    pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut in_use_since: Option<Instant> = None;
    loop {
        let sent = tokio::select! {
            message = messages.recv() => match message {
                Some(message) => send_batch(sender, message, messages).await,
                None => return LinkError::Closed,
            },
            _ = pings.tick() => {
                let received_at = *last_received.lock().unwrap_or_else(PoisonError::into_inner);
                let in_use = uplink.has_streams();
                in_use_since = in_use_since.filter(|_| in_use).or(in_use.then(Instant::now));
                let silent_since = in_use_since.map(|since| since.max(received_at));
                if silent_since.is_some_and(|since| since.elapsed() > timing.silence) {
                    return LinkError::Silent;
                }
                ping(uplink, sender, in_use, received_at.elapsed() >= timing.ping).await
            }
        };
        if let Err(error) = sent {
            return error;
        }
    }
}

async fn send_batch(
    sender: &mut Sender,
    first: ToSide,
    messages: &mut mpsc::Receiver<ToSide>,
) -> Result<(), LinkError> {
    sender.feed(&first).await?;
    while let Ok(next) = messages.try_recv() {
        sender.feed(&next).await?;
    }
    sender.flush().await
}

/// Sends a ping if the link is in use or the side has work, and the side has sent nothing for a
/// ping interval or its last report is stale. Response frames also prove that the link works,
/// so no ping is needed while they arrive.
async fn ping(
    uplink: &Uplink,
    sender: &mut Sender,
    in_use: bool,
    idle: bool,
) -> Result<(), LinkError> {
    let state = uplink.state();
    let has_work = state.status.work_tokens > 0;
    let is_report_stale = clock::now_ms() >= state.reported_at_ms + MAX_REPORT_AGE_MS;
    if !(in_use || has_work) || !(idle || is_report_stale) {
        return Ok(());
    }
    let incarnation = state.status.incarnation;
    let ping = currantlink_wire::link::Ping { nonce: 0 };
    sender.send(&conversions::to_side(incarnation, to_side::Body::Ping(ping))).await
}
