//! An entry's (or a coordinating side's) link to one side, reopened whenever it is lost or silent.

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

const OUTBOX_MESSAGES: usize = 1_024;
const STREAM_EVENTS: usize = 256;
const FIRST_RECONNECT: Duration = Duration::from_millis(50);
const MAX_REPORT_AGE_MS: u64 = 1_000;
const MAX_RECONNECT: Duration = Duration::from_secs(1);

/// What a call hears over its link.
#[derive(Debug)]
pub enum Event {
    /// A message for the call's stream.
    Message(to_entry::Body),
    /// No more messages come on this stream; the call may be asked about on a new one.
    Lost,
}

/// State of a link as traffic sees it.
#[derive(Clone, Debug, Default)]
pub struct LinkState {
    /// The link is open.
    pub connected: bool,
    /// Number of times that the link was opened.
    pub generation: u64,
    /// The side's status as last reported.
    pub status: SideStatus,
    /// Time of that report.
    pub reported_at_ms: u64,
}

/// Handle of a link; the task behind it ends when the handle is stopped.
pub struct Uplink {
    /// Address of the side.
    pub address: SocketAddr,
    state: ArcSwap<LinkState>,
    changes: watch::Sender<u64>,
    streams: Mutex<IndexMap<u64, mpsc::Sender<Event>>>,
    next_stream: AtomicU64,
    sent_tokens: AtomicU64,
    received_tokens: AtomicU64,
    outbox: mpsc::Sender<ToSide>,
    stop: CancellationToken,
}

/// What the link's task needs besides the handle.
#[derive(Clone)]
pub struct LinkSetup {
    /// Shared key.
    pub key: LinkKey,
    /// Name and id of this process.
    pub identity: Identity,
    /// Timing.
    pub timing: LinkTiming,
}

/// A subscription to one call's messages; ends when dropped.
pub struct Stream {
    /// Number that the side echoes.
    pub id: u64,
    events: mpsc::Receiver<Event>,
    uplink: Arc<Uplink>,
}

impl Stream {
    /// Receives the next event.
    pub async fn next(&mut self) -> Event {
        self.events.recv().await.unwrap_or(Event::Lost)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.uplink.lock_streams().swap_remove(&self.id);
    }
}

impl Uplink {
    /// Opens a link and keeps it open.
    pub fn open(runtime: &Handle, address: SocketAddr, setup: LinkSetup) -> Arc<Self> {
        let (outbox, messages) = mpsc::channel(OUTBOX_MESSAGES);
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
        runtime.spawn(keep_open(Arc::clone(&uplink), setup, messages));
        uplink
    }

    /// Closes the link for good.
    pub fn close(&self) {
        self.stop.cancel();
    }

    /// Returns the link's state.
    pub fn state(&self) -> Arc<LinkState> {
        self.state.load_full()
    }

    /// Returns the work sent that the side's last report does not include, in tokens.
    pub fn unreported_tokens(&self) -> u64 {
        let received = self.received_tokens.load(Ordering::Relaxed);
        self.sent_tokens.load(Ordering::Relaxed).saturating_sub(received)
    }

    /// Notes work that was sent.
    pub fn note_sent(&self, work_tokens: u32) {
        self.sent_tokens.fetch_add(u64::from(work_tokens), Ordering::Relaxed);
    }

    /// Subscribes to the messages of one call.
    pub fn stream(self: &Arc<Self>) -> Stream {
        let id = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let (sender, events) = mpsc::channel(STREAM_EVENTS);
        self.lock_streams().insert(id, sender);
        Stream { id, events, uplink: Arc::clone(self) }
    }

    /// Sends a message to the given incarnation; false where the link is down.
    pub async fn send(&self, incarnation: u64, body: to_side::Body) -> bool {
        let up = self.state.load().connected;
        up && self.outbox.send(conversions::to_side(incarnation, body)).await.is_ok()
    }

    /// Sends a message where the link is up and has room.
    pub fn try_send(&self, incarnation: u64, body: to_side::Body) -> bool {
        let up = self.state.load().connected;
        up && self.outbox.try_send(conversions::to_side(incarnation, body)).is_ok()
    }

    /// Waits until the link is open again, and returns its state.
    pub async fn reopened(&self, timeout: Duration) -> Option<Arc<LinkState>> {
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

    fn lock_streams(&self) -> std::sync::MutexGuard<'_, IndexMap<u64, mpsc::Sender<Event>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_streams(&self) -> bool {
        !self.lock_streams().is_empty()
    }

    fn set_state(&self, state: LinkState) {
        self.state.store(Arc::new(state));
        self.changes.send_modify(|version| *version += 1);
    }

    fn opened(&self, generation: u64) {
        self.sent_tokens.store(0, Ordering::Relaxed);
        self.received_tokens.store(0, Ordering::Relaxed);
        let status = self.state.load().status.clone();
        self.set_state(LinkState { generation, status, ..LinkState::default() });
    }

    fn take_status(&self, status: SideStatus) {
        let generation = self.state.load().generation;
        let reported_at_ms = clock::now_ms();
        self.set_state(LinkState { connected: true, generation, status, reported_at_ms });
    }

    fn lost(&self) {
        let last = self.state();
        self.set_state(LinkState { connected: false, ..LinkState::clone(&last) });
        // Dropping the senders ends every stream after what it has buffered.
        self.lock_streams().clear();
    }

    fn dispatch(&self, stream: u64, body: to_entry::Body) {
        let sender = self.lock_streams().get(&stream).cloned();
        if let Some(sender) = sender {
            // A slow receiver is cut off and asks again from where it is; the link is not held up.
            if sender.try_send(Event::Message(body)).is_err() {
                self.lock_streams().swap_remove(&stream);
            }
        }
    }
}

async fn keep_open(uplink: Arc<Uplink>, setup: LinkSetup, mut messages: mpsc::Receiver<ToSide>) {
    let mut pause = FIRST_RECONNECT;
    let mut generation = 0;
    while !uplink.stop.is_cancelled() {
        generation += 1;
        let identity = Identity { generation, ..setup.identity.clone() };
        let timeout = setup.timing.connect_timeout;
        match link::connect(uplink.address, timeout, &setup.key, &identity).await {
            Ok((_, receiver, sender)) => {
                pause = FIRST_RECONNECT;
                uplink.opened(generation);
                let ended = serve(&uplink, &setup.timing, receiver, sender, &mut messages).await;
                uplink.lost();
                while messages.try_recv().is_ok() {}
                log::info!(address:% = uplink.address, cause:% = ended; "link lost");
            }
            Err(error) => {
                log::debug!(address:% = uplink.address, cause:% = error; "link not opened");
                pause = (pause * 2).min(MAX_RECONNECT);
            }
        }
        tokio::select! {
            () = uplink.stop.cancelled() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

async fn serve(
    uplink: &Arc<Uplink>,
    timing: &LinkTiming,
    mut receiver: Receiver,
    mut sender: Sender,
    messages: &mut mpsc::Receiver<ToSide>,
) -> LinkError {
    let heard = Arc::new(Mutex::new(Instant::now()));
    let reading = read(uplink, &mut receiver, &heard);
    let writing = write(uplink, timing, &mut sender, messages, &heard);
    tokio::select! {
        () = uplink.stop.cancelled() => LinkError::Closed,
        error = reading => error,
        error = writing => error,
    }
}

async fn read(uplink: &Arc<Uplink>, receiver: &mut Receiver, heard: &Mutex<Instant>) -> LinkError {
    loop {
        let message: ToEntry = match receiver.receive().await {
            Ok(message) => message,
            Err(error) => return error,
        };
        *heard.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        match message.body {
            Some(to_entry::Body::Pong(pong)) => {
                if let Some(status) = pong.status {
                    uplink.received_tokens.store(pong.received_tokens, Ordering::Relaxed);
                    uplink.take_status(status);
                }
            }
            Some(to_entry::Body::Status(status)) => uplink.take_status(status),
            Some(body) => uplink.dispatch(stream_of(&body), body),
            None => {}
        }
    }
}

/// Stream of messages that belong to no call.
pub const CONTROL_STREAM: u64 = 0;

fn stream_of(body: &to_entry::Body) -> u64 {
    match body {
        to_entry::Body::Frame(frame) => frame.call.as_ref().map_or(0, |c| c.stream),
        to_entry::Body::Refused(refused) => refused.call.as_ref().map_or(0, |c| c.stream),
        to_entry::Body::Minted(minted) => minted.stream,
        to_entry::Body::GroupAnswer(answer) => answer.stream,
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
    heard: &Mutex<Instant>,
) -> LinkError {
    let mut pings = tokio::time::interval(timing.ping);
    pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut waiting_since: Option<Instant> = None;
    loop {
        let sent = tokio::select! {
            message = messages.recv() => match message {
                Some(message) => send_all(sender, message, messages).await,
                None => return LinkError::Closed,
            },
            _ = pings.tick() => {
                let last = *heard.lock().unwrap_or_else(PoisonError::into_inner);
                let in_use = uplink.has_streams();
                waiting_since = waiting_since.filter(|_| in_use).or(in_use.then(Instant::now));
                let quiet_since = waiting_since.map(|since| since.max(last));
                if quiet_since.is_some_and(|since| since.elapsed() > timing.silence) {
                    return LinkError::Silent;
                }
                ping(uplink, sender, in_use, last.elapsed() >= timing.ping).await
            }
        };
        if let Err(error) = sent {
            return error;
        }
    }
}

async fn send_all(
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

/// Pings where the side has been quiet, or its last report is old. Frames of answers show as well
/// that the link works.
async fn ping(
    uplink: &Uplink,
    sender: &mut Sender,
    in_use: bool,
    quiet: bool,
) -> Result<(), LinkError> {
    let state = uplink.state();
    let loaded = state.status.work_tokens > 0;
    let old = clock::now_ms() >= state.reported_at_ms + MAX_REPORT_AGE_MS;
    if !(in_use || loaded) || !(quiet || old) {
        return Ok(());
    }
    let incarnation = state.status.incarnation;
    let ping = currantlink_wire::link::Ping { nonce: 0 };
    sender.send(&conversions::to_side(incarnation, to_side::Body::Ping(ping))).await
}
