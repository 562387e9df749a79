//! The side role: starts its threads, serves links from entries, and drains before it stops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use currantlink_core::gate::{Gate, Limits, LinkId};
use currantlink_core::ids::Incarnation;
use currantlink_core::ticket::{Minter, TICKET_KEY_LEN};
use currantlink_wire::link::{Pong, RefusalReason, ToEntry, ToSide, to_entry, to_side};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use crate::backend::BackendClient;
use crate::engine::EngineClient;
use crate::error::DaemonError;
use crate::groups::GroupOrderHandler;
use crate::leader::Leader;
use crate::link::{self, Identity, LinkError, Receiver, Sender};
use crate::platform::PlatformClient;
use crate::settings::{LinkTiming, Side};
use crate::side_control::{ControlSetup, DrainReason, Event, Outbox, SideControl, SideView};
use crate::stop::{self, StopSignals};
use crate::threads::{control_thread, traffic_runtime};
use crate::uplink::LinkSetup;
use crate::{clock, conversions, engine, monitor, telemetry};

/// Capacity of the control thread's queue, in events.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the send queue of one link, in messages.
const OUTBOX_CAPACITY: usize = 1_024;
/// Estimated time per token of work until the first call has finished.
const INITIAL_US_PER_TOKEN: u64 = 200;
const MAX_RETAINED_CALLS: usize = 10_000;
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before the process exits, in which links send their last frames. Also the delay after a
/// failed accept.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Runs the side until a stop signal arrives, then drains it. A second stop signal or the end of
/// the grace period stops the side immediately.
///
/// # Errors
///
/// Fails if a thread, a listener or the metrics exporter cannot be started.
pub fn run(settings: Side) -> Result<(), DaemonError> {
    let traffic = traffic_runtime(settings.traffic_threads())?;
    let handle = traffic.handle().clone();
    traffic.block_on(serve(settings, handle))
}

struct SharedState {
    settings: Side,
    incarnation: u64,
    events: mpsc::Sender<Event>,
    view: Arc<ArcSwap<SideView>>,
    groups: Arc<GroupOrderHandler>,
    links: AtomicUsize,
}

async fn serve(settings: Side, traffic: tokio::runtime::Handle) -> Result<(), DaemonError> {
    let incarnation: u64 = rand::random::<u64>().max(1);
    let mut signals = StopSignals::listen()?;
    stop::ignore_hangups()?;
    let metrics = telemetry::install_metrics()?;
    let listener = bind(settings.link_address).await?;
    let view: Arc<ArcSwap<SideView>> = Arc::default();
    let (closed, mut closing) = watch::channel(false);
    let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let client = BackendClient::new(&settings.backend_url);
    let setup = ControlSetup {
        gate: new_gate(&settings, incarnation),
        backend: settings.backend().to_owned(),
        capacity: settings.max_running() as u32,
        max_response_bytes: settings.max_response_bytes(),
        client: client.clone(),
        traffic,
        view: Arc::clone(&view),
        closed,
    };
    let own_events = events.clone();
    control_thread(move || SideControl::new(setup, own_events).run(queue))?;
    let engine = EngineClient::new(client, ORDER_TIMEOUT);
    let groups = GroupOrderHandler::new(incarnation, engine.clone(), settings.store_url());
    if settings.is_engine() {
        tokio::spawn(engine::poll_load(engine.clone(), settings.load_poll(), events.clone()));
        let setup = peer_link_setup(&settings, incarnation);
        tokio::spawn(Leader::new(settings.clone(), setup, engine, Arc::clone(&view)).run());
    }
    tokio::spawn(poll_instance_list(settings.clone(), events.clone()));
    let shared = Arc::new(SharedState {
        settings,
        incarnation,
        events,
        view: Arc::clone(&view),
        groups,
        links: AtomicUsize::new(0),
    });
    let server = monitor::serve(&shared.settings, view, metrics)?;
    log::info!(
        side = shared.settings.name(), backend = shared.settings.backend(),
        incarnation:% = Incarnation(incarnation), address:% = listener.local_addr()?;
        "side started"
    );
    let accepting = tokio::spawn(accept_links(listener, Arc::clone(&shared)));
    signals.next().await;
    log::info!("side stopping");
    let grace = shared.settings.grace();
    let exit_at_ms = clock::now_ms().saturating_add(grace.as_millis() as u64);
    send_event(&shared.events, Event::Stop(exit_at_ms)).await;
    tokio::select! {
        _ = closing.wait_for(|closed| *closed) => {}
        () = signals.next() => log::warn!("second stop signal received; stopping immediately"),
        () = tokio::time::sleep(grace) => {
            log::warn!("grace period expired; stopping immediately");
        }
    }
    // The last frames of finished calls may still be queued on the links.
    tokio::time::sleep(FLUSH_DELAY).await;
    accepting.abort();
    drop(server);
    log::info!("side stopped");
    Ok(())
}

fn peer_link_setup(settings: &Side, incarnation: u64) -> LinkSetup {
    let identity =
        Identity { name: settings.name().to_owned(), process_id: incarnation, generation: 0 };
    LinkSetup { key: settings.link_key.clone(), identity, timing: LinkTiming::default() }
}

fn new_gate(settings: &Side, incarnation: u64) -> Gate {
    let key: [u8; TICKET_KEY_LEN] = rand::random();
    let incarnation = Incarnation(incarnation);
    let minter = Minter::new(incarnation, settings.backend(), key, settings.ticket_ttl_ms());
    let limits = Limits {
        max_running: settings.max_running(),
        max_queued: settings.max_queued(),
        max_retained: MAX_RETAINED_CALLS,
        retention_ms: settings.retention_ms(),
        orphan_ms: settings.orphan_ms(),
        us_per_token: INITIAL_US_PER_TOKEN,
    };
    Gate::new(incarnation, minter, limits)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| DaemonError::Bind { address, source })
}

/// Polls the platform's instance list and drains the backend while the list reports its instance
/// as leaving.
async fn poll_instance_list(settings: Side, events: mpsc::Sender<Event>) {
    let list = PlatformClient::new(settings.list_url());
    let mut polls = tokio::time::interval(settings.list_poll());
    let mut was_leaving = false;
    loop {
        polls.tick().await;
        let Ok(own) = list.instance(settings.backend()).await else {
            continue;
        };
        let leaving = own.is_some_and(|i| i.is_leaving());
        if leaving != was_leaving {
            send_event(&events, Event::Drain(DrainReason::List, leaving)).await;
        }
        was_leaving = leaving;
    }
}

async fn send_event(events: &mpsc::Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        log::error!("control thread has ended; event dropped");
    }
}

async fn accept_links(listener: TcpListener, shared: Arc<SharedState>) {
    loop {
        let accepted = listener.accept().await;
        let Ok((stream, address)) = accepted else {
            log_accept_error(accepted.err());
            tokio::time::sleep(FLUSH_DELAY).await;
            continue;
        };
        if shared.links.fetch_add(1, Ordering::Relaxed) >= shared.settings.max_links() {
            shared.links.fetch_sub(1, Ordering::Relaxed);
            log::warn!(address:% = address; "link limit reached; connection closed");
            continue;
        }
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let error = serve_link(stream, &shared).await;
            shared.links.fetch_sub(1, Ordering::Relaxed);
            log::debug!(address:% = address, cause:% = error; "link ended");
        });
    }
}

fn log_accept_error(error: Option<io::Error>) {
    if let Some(error) = error {
        log::warn!(error:% = error; "failed to accept a link");
    }
}

async fn serve_link(stream: TcpStream, shared: &SharedState) -> LinkError {
    let identity = Identity {
        name: shared.settings.name().to_owned(),
        process_id: shared.incarnation,
        generation: 0,
    };
    let accepted = link::accept(stream, &shared.settings.link_key, &identity).await;
    let (hello, receiver, sender) = match accepted {
        Ok(accepted) => accepted,
        Err(error) => return error,
    };
    let link = LinkId { entry: hello.process_id, generation: hello.generation };
    let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
    send_event(&shared.events, Event::LinkOpened(link, outbox.clone())).await;
    let error = tokio::select! {
        error = read_link(receiver, link, outbox, shared) => error,
        error = write_link(sender, messages) => error,
    };
    send_event(&shared.events, Event::LinkLost(link)).await;
    error
}

async fn write_link(mut sender: Sender, mut messages: mpsc::Receiver<ToEntry>) -> LinkError {
    loop {
        let Some(message) = messages.recv().await else {
            return LinkError::Closed;
        };
        if let Err(error) = write_batch(&mut sender, message, &mut messages).await {
            return error;
        }
    }
}

async fn write_batch(
    sender: &mut Sender,
    first: ToEntry,
    messages: &mut mpsc::Receiver<ToEntry>,
) -> Result<(), LinkError> {
    sender.feed(&first).await?;
    while let Ok(next) = messages.try_recv() {
        sender.feed(&next).await?;
    }
    sender.flush().await
}

async fn read_link(
    mut receiver: Receiver,
    link: LinkId,
    outbox: Outbox,
    shared: &SharedState,
) -> LinkError {
    let mut received_tokens = 0;
    loop {
        let message: ToSide = match receiver.receive().await {
            Ok(message) => message,
            Err(error) => return error,
        };
        match message.body {
            Some(to_side::Body::Ping(ping)) => {
                let status = Some(shared.view.load().status.clone());
                let pong = Pong { nonce: ping.nonce, status, received_tokens };
                send(&outbox, to_entry::Body::Pong(pong)).await;
                continue;
            }
            Some(to_side::Body::Submit(ref submit)) => {
                received_tokens += u64::from(submit.work_tokens);
            }
            _ => {}
        }
        handle_message(message, link, &outbox, shared).await;
    }
}

async fn handle_message(message: ToSide, link: LinkId, outbox: &Outbox, shared: &SharedState) {
    let is_current = message.incarnation == shared.incarnation;
    let Some(body) = message.body else {
        return;
    };
    let event = match body {
        to_side::Body::Submit(submit) if is_current => {
            Event::Submit(link, outbox.clone(), Box::new(submit))
        }
        to_side::Body::Query(query) if is_current => {
            let Some(call) = query.call.clone() else { return };
            Event::Query(link, outbox.clone(), call, Box::new(query))
        }
        to_side::Body::Mint(mint) if is_current => Event::Mint(outbox.clone(), mint),
        to_side::Body::Cancel(cancel) if is_current => {
            let Some(call) = cancel.call else { return };
            Event::Cancel(call)
        }
        to_side::Body::Submit(submit) => {
            return refuse_other_incarnation(submit.call, outbox).await;
        }
        to_side::Body::Query(query) => return refuse_other_incarnation(query.call, outbox).await,
        to_side::Body::Drain(drain) if is_current => {
            Event::Drain(DrainReason::Operator, drain.drained)
        }
        to_side::Body::ConfigRecords(records) => Event::ConfigRecords(
            records.records.into_iter().map(|r| (r.offset, r.payload)).collect(),
        ),
        to_side::Body::ConfigState(state) => Event::ConfigState(state.state),
        to_side::Body::ConfigPull(pull) => Event::ConfigPull(outbox.clone(), pull.stream),
        to_side::Body::GroupOrder(order) => {
            let (groups, outbox) = (Arc::clone(&shared.groups), outbox.clone());
            tokio::spawn(async move {
                let response = groups.handle_order(message.incarnation, order).await;
                send(&outbox, to_entry::Body::GroupAnswer(response)).await;
            });
            return;
        }
        to_side::Body::LoadPull(pull) => {
            let (groups, outbox) = (Arc::clone(&shared.groups), outbox.clone());
            tokio::spawn(async move {
                let load = groups.expert_load(pull.stream).await;
                send(&outbox, to_entry::Body::ExpertLoad(load)).await;
            });
            return;
        }
        to_side::Body::Ping(_)
        | to_side::Body::Mint(_)
        | to_side::Body::Cancel(_)
        | to_side::Body::Drain(_) => return,
    };
    send_event(&shared.events, event).await;
}

async fn refuse_other_incarnation(call: Option<currantlink_wire::link::CallRef>, outbox: &Outbox) {
    let refused = currantlink_wire::link::Refused {
        reason: RefusalReason::RefusalIncarnation.into(),
        retry_after_ms: 0,
    };
    let body = currantlink_wire::link::CallRefused { call, refused: Some(refused) };
    send(outbox, to_entry::Body::Refused(body)).await;
}

async fn send(outbox: &Outbox, body: to_entry::Body) {
    if outbox.send(conversions::to_entry(body)).await.is_err() {
        log::debug!("message dropped: link closed");
    }
}
