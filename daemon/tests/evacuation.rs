//! Evacuation of a failure domain: the operator's record takes effect at all gateways and is lifted
//! again, with processes and links that fail in between.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::{Duration, Instant};

use currantlink_platform::names;
use currantlink_standins::backends::{Backend, Fault};
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, KEY, ONCE, RESUMABLE, Shape,
    send_request, wait_until,
};
use currantlink_standins::records::Health;
use currantlink_standins::relay::Relay;
use harness::status_code;
use socket2::{Domain, Socket, Type};
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Time by which an evacuation takes effect, as stated to the operator.
const LIMIT: Duration = Duration::from_millis(5_000);
/// Number of requests by which two backends are told apart from one.
const REQUESTS: usize = 30;

/// Returns a deployment whose backends are in two zones. Gateways are in a third one, since they prefer
/// the backends of their own.
fn two_zones(gateways: usize) -> Shape {
    Shape { gateways, plain_backends: 2, zones: &["b", "c"], ..Shape::default() }
}

async fn start(shape: Shape) -> (Deployment, TempDir) {
    let (deployment, directory) = harness::start_serving(shape).await;
    for gateway in 0..deployment.gateways.len() {
        wait_until_reached(&deployment, gateway).await;
    }
    (deployment, directory)
}

/// Returns the plain backend in zone "c".
fn backend_in_c(deployment: &Deployment) -> &Backend {
    &deployment.plain_backends[1]
}

/// Waits until a gateway sends requests to the backend in zone "c".
async fn wait_until_reached(deployment: &Deployment, gateway: usize) {
    let backend = backend_in_c(deployment);
    let is_reached = || async {
        let before = backend.arrivals();
        status_code(deployment, gateway, KEY).await;
        backend.arrivals() > before
    };
    wait_until(is_reached).await;
}

/// Returns the number of lines of a gateway's log, of all its runs, that contain all `parts`.
fn count_lines(deployment: &Deployment, gateway: usize, parts: &[&str]) -> usize {
    let log = std::fs::read_to_string(deployment.gateways[gateway].process.log_path()).unwrap();
    log.lines().filter(|line| parts.iter().all(|part| line.contains(part))).count()
}

/// Waits until more than `skipped` lines of a gateway's log contain all `parts`.
async fn wait_for_line(deployment: &Deployment, gateway: usize, skipped: usize, parts: &[&str]) {
    wait_until(|| async { count_lines(deployment, gateway, parts) > skipped }).await;
}

/// Sends requests to a gateway, all of which must succeed without reaching zone "c".
async fn assert_avoided(deployment: &Deployment, gateway: usize) {
    let before = backend_in_c(deployment).arrivals();
    for _ in 0..REQUESTS {
        assert_eq!(status_code(deployment, gateway, KEY).await, 200);
    }
    assert_eq!(backend_in_c(deployment).arrivals(), before, "gateway {gateway}");
}

/// Guards against an evacuation that takes effect late, at some gateways only, or forever.
#[tokio::test]
async fn evacuated_and_returned() {
    let (deployment, _directory) = start(two_zones(3)).await;
    deployment.evacuate("c");
    tokio::time::sleep(LIMIT / 10).await;
    for gateway in 0..3 {
        assert_avoided(&deployment, gateway).await;
    }
    deployment.lift_evacuation("c");
    for gateway in 0..3 {
        wait_until_reached(&deployment, gateway).await;
    }
}

/// Guards against cutting off streams that run in the domain when the evacuation begins, and against new
/// ones that are sent there.
#[tokio::test]
async fn running_stream() {
    let shape = Shape { ranks: 2, events: 5, ..two_zones(1) };
    let (deployment, _directory) = harness::start_streaming(shape).await;
    let stalled = &deployment.model_backends[1];
    // Callers wait for 960 ms for an event.
    stalled.queue_faults([Fault::Stall(Duration::from_millis(800))]);
    let gateway = deployment.gateways[0].callers;
    let stream = |id: String| {
        let request = ClientRequest::new("POST", RESUMABLE, &id);
        tokio::spawn(async move { send_request(gateway, &request).await })
    };
    let before = stalled.arrivals();
    let mut streams = Vec::new();
    while stalled.arrivals() == before {
        streams.push(stream(format!("before-{}", streams.len())));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    deployment.evacuate("c");
    wait_for_line(&deployment, 0, 0, &["failure domain evacuated"]).await;
    assert!(streams.iter().any(|stream| !stream.is_finished()), "no stream is running");
    let before = stalled.arrivals();
    for index in 0..4 {
        let response = stream(format!("after-{index}")).await.unwrap();
        assert_eq!(response.code(), 200, "{}", response.text());
    }
    for stream in streams {
        let response = stream.await.unwrap();
        assert_eq!((response.code(), response.is_complete), (200, true), "{}", response.text());
    }
    assert_eq!(stalled.arrivals(), before);
}

/// Restarts a gateway with a relay to the store.
async fn relay_store(deployment: &mut Deployment, gateway: usize) -> Relay {
    let relay = Relay::new(deployment.store);
    let relayed = relay.serve("127.0.0.1:0".parse().unwrap()).await.unwrap().to_string();
    let store = deployment.store.to_string();
    let process = &mut deployment.gateways[gateway].process;
    let text = std::fs::read_to_string(&process.settings).unwrap().replace(&store, &relayed);
    std::fs::write(&process.settings, text).unwrap();
    process.kill();
    process.start().unwrap();
    wait_until(|| async { status_code(deployment, gateway, KEY).await == 200 }).await;
    wait_until_reached(deployment, gateway).await;
    relay
}

/// Guards against a gateway that ignores the operator because it cannot reach the store.
#[tokio::test]
async fn cut_off_from_store() {
    let (mut deployment, _directory) = start(two_zones(2)).await;
    let peers = [(0, ["peer discovered", "gateway-1"]), (1, ["peer discovered", "gateway-0"])];
    let known = peers.map(|(gateway, parts)| count_lines(&deployment, gateway, &parts));
    // Without the key, which one of the processes creates after its start, none believes the others.
    let has_key = ["link key of the peers read"];
    let keys = count_lines(&deployment, 1, &has_key);
    let relay = relay_store(&mut deployment, 1).await;
    for ((gateway, parts), known) in peers.into_iter().zip(known) {
        wait_for_line(&deployment, gateway, known, &parts).await;
    }
    wait_for_line(&deployment, 0, 0, &has_key).await;
    wait_for_line(&deployment, 1, keys, &has_key).await;
    relay.close();
    tokio::time::sleep(LIMIT / 10).await;
    deployment.evacuate("c");
    tokio::time::sleep(LIMIT / 10).await;
    assert_avoided(&deployment, 1).await;
    wait_for_line(&deployment, 1, 0, &["failure domain evacuated", "peer"]).await;
    deployment.lift_evacuation("c");
    wait_until_reached(&deployment, 1).await;
    relay.reopen();
}

/// Guards against a gateway that has forgotten the evacuation when it serves its first request, and
/// against one that forgets it while the store does not respond.
#[tokio::test]
async fn restarted_gateway() {
    let (mut deployment, _directory) = start(two_zones(2)).await;
    deployment.evacuate("c");
    tokio::time::sleep(LIMIT / 10).await;
    // The record is no longer retained and only listed.
    deployment.records.truncate();
    let before = backend_in_c(&deployment).arrivals();
    deployment.gateways[0].process.kill();
    deployment.gateways[0].process.start().unwrap();
    wait_until(|| async { status_code(&deployment, 0, KEY).await == 200 }).await;
    assert_avoided(&deployment, 0).await;
    for health in [Health::Silent, Health::Busy] {
        deployment.records.set_health(health);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert_avoided(&deployment, 0).await;
        assert_avoided(&deployment, 1).await;
    }
    assert_eq!(backend_in_c(&deployment).arrivals(), before);
    deployment.records.set_health(Health::Up);
    deployment.lift_evacuation("c");
    wait_until_reached(&deployment, 0).await;
    wait_until_reached(&deployment, 1).await;
}

/// Guards against a store whose responses take longer than the usual timeout.
#[tokio::test]
async fn slow_store() {
    let (deployment, _directory) = start(two_zones(2)).await;
    deployment.records.set_delay(Duration::from_millis(2_200));
    tokio::time::sleep(LIMIT).await;
    deployment.evacuate("c");
    tokio::time::sleep(LIMIT).await;
    assert_avoided(&deployment, 0).await;
    assert_avoided(&deployment, 1).await;
}

/// Guards against requests that are sent to an evacuated domain, or wait, for lack of other backends.
#[tokio::test]
async fn all_evacuated() {
    let (deployment, _directory) = start(two_zones(1)).await;
    deployment.evacuate("b");
    deployment.evacuate("c");
    tokio::time::sleep(LIMIT / 10).await;
    let arrivals = || deployment.plain_backends.iter().map(Backend::arrivals).sum::<u64>();
    let before = arrivals();
    for (index, (method, path)) in [("POST", ONCE), ("GET", IDEMPOTENT)].into_iter().enumerate() {
        let sent_at = Instant::now();
        let response = deployment.send_request(method, path, &format!("r-{index}")).await;
        assert_eq!(response.code(), 503);
        assert!(response.text().contains("evacuated"), "{}", response.text());
        let retry_after_s: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after_s > 0.0);
        assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
    }
    assert_eq!(arrivals(), before);
    deployment.lift_evacuation("b");
    wait_until(|| async { status_code(&deployment, 0, KEY).await == 200 }).await;
}

/// Guards against a record that cannot be read and has an effect, in each state.
#[tokio::test]
async fn malformed_records() {
    let (mut deployment, _directory) = start(two_zones(1)).await;
    for value in [&b"[]"[..], b"{", b"\xff"] {
        deployment.put_evacuation("c", value);
    }
    deployment.put_evacuation("", b"{}");
    deployment.evacuate("nowhere");
    deployment.records.put(names::OPERATOR_TOPIC, "unrelated", b"7");
    wait_for_line(&deployment, 0, 3, &["evacuation record rejected"]).await;
    wait_for_line(&deployment, 0, 0, &["no listed backend is in the evacuated", "nowhere"]).await;
    wait_until_reached(&deployment, 0).await;
    deployment.gateways[0].process.kill();
    deployment.gateways[0].process.start().unwrap();
    wait_until(|| async { status_code(&deployment, 0, KEY).await == 200 }).await;
    wait_until_reached(&deployment, 0).await;
    deployment.evacuate("c");
    deployment.put_evacuation("c", b"null");
    tokio::time::sleep(LIMIT / 10).await;
    assert_avoided(&deployment, 0).await;
}

/// Guards against agents that are not told: the leader of a group suspends its map changes.
#[tokio::test]
async fn agents_follow() {
    let shape = Shape { ranks: 2, ..two_zones(1) };
    let (deployment, _directory) = harness::start_streaming(shape).await;
    let suspended = |is_evacuated: bool| {
        let logs: Vec<_> = deployment.agents.iter().map(|agent| agent.log_path()).collect();
        let parts =
            [format!("is_evacuated={is_evacuated}"), String::from("map changes of the group")];
        move || {
            let found = logs.iter().any(|log| {
                let text = std::fs::read_to_string(log).unwrap();
                text.lines().any(|line| parts.iter().all(|part| line.contains(part)))
            });
            std::future::ready(found)
        }
    };
    deployment.evacuate("c");
    wait_until(suspended(true)).await;
    deployment.lift_evacuation("c");
    wait_until(suspended(false)).await;
}

/// Returns a listener that completes no further connection until connections are accepted, and the
/// connections that it holds.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(socket.into()).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address));
    let mut held = Vec::new();
    while let Ok(connection) = connect().await {
        held.push(connection.unwrap());
    }
    (listener, held)
}

fn spawn_request(
    deployment: &Deployment,
    method: &str,
    path: &str,
    id: String,
) -> JoinHandle<ClientResponse> {
    let (gateway, request) =
        (deployment.gateways[0].callers, ClientRequest::new(method, path, &id));
    tokio::spawn(async move { send_request(gateway, &request).await })
}

/// Sends requests until one is sent to the backend "slow", and returns it.
async fn begin_connecting(deployment: &Deployment, sent: &mut usize) -> JoinHandle<ClientResponse> {
    let placed = ["request placed", "backend=slow"];
    let before = count_lines(deployment, 0, &placed);
    loop {
        let request = spawn_request(deployment, "GET", IDEMPOTENT, format!("r-{sent}"));
        *sent += 1;
        let is_placed = || count_lines(deployment, 0, &placed) > before;
        wait_until(|| async { request.is_finished() || is_placed() }).await;
        if is_placed() {
            return request;
        }
    }
}

/// Guards against a request that is sent to an evacuated domain, to the same backend or another one, because
/// it was connecting when the evacuation arrived. The connection does not open within the gateway's limit: on
/// the loopback interface, none can be delayed and open before.
#[tokio::test]
async fn connecting_request() {
    /// More than the time after which the first packet of a connection is sent again.
    const REPEATED_AFTER: Duration = Duration::from_millis(1_500);
    let (deployment, _directory) = start(two_zones(1)).await;
    let (listener, held) = full_listener().await;
    // The gateway prefers the backends of its own zone, "a".
    let (spare, _) = harness::add_spare(&deployment).await;
    deployment.register("slow", "plain", listener.local_addr().unwrap(), "ready");
    let mut sent = 0;
    let connecting = loop {
        let connecting = begin_connecting(&deployment, &mut sent).await;
        let evacuated = count_lines(&deployment, 0, &["failure domain evacuated"]);
        deployment.evacuate("a");
        wait_for_line(&deployment, 0, evacuated, &["failure domain evacuated"]).await;
        if !connecting.is_finished() {
            break connecting;
        }
        // The evacuation arrived after the limit for opening a connection.
        let returned = count_lines(&deployment, 0, &["evacuation of a failure domain lifted"]);
        deployment.lift_evacuation("a");
        wait_for_line(&deployment, 0, returned, &["evacuation of a failure domain lifted"]).await;
    };
    let before = spare.arrivals();
    for _ in &held {
        listener.accept().await.unwrap();
    }
    let response = connecting.await.unwrap();
    assert_eq!(response.code(), 200, "{}", response.text());
    assert_eq!(spare.arrivals(), before, "sent to another backend there");
    if let Ok(accepted) = tokio::time::timeout(REPEATED_AFTER, listener.accept()).await {
        let mut received = Vec::new();
        accepted.unwrap().0.read_to_end(&mut received).await.unwrap();
        assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
    }
    let failed = ["attempt failed", "backend=slow"];
    let placed = ["request placed", "backend=slow"];
    let (failed, placed) =
        (count_lines(&deployment, 0, &failed), count_lines(&deployment, 0, &placed));
    assert_eq!(failed, placed, "the request was connecting");
}

/// Guards against a request that is sent to an evacuated domain because it waited in the gateway's queue
/// when the evacuation arrived.
#[tokio::test]
async fn waiting_request() {
    const SLOTS: usize = 4;
    const WAITING: usize = 6;
    /// More than the time between the reports of an agent whose backend's load changes.
    const REPORT_INTERVAL: Duration = Duration::from_millis(150);
    let shape = Shape { ranks: 2, slots: Some(SLOTS), ..two_zones(1) };
    let (deployment, _directory) = harness::start_serving(shape).await;
    let mut config = deployment::config(2, &[KEY]);
    // Callers wait long enough for the first event and between events.
    deployment::set_on_routes(&mut config, "target_latency_ms", 3_000);
    deployment::set_on_routes(&mut config, "gap_target_ms", 500);
    deployment.put_config(&config.to_string());
    wait_for_line(&deployment, 0, 0, &["configuration applied", "version=2"]).await;
    harness::wait_until_streaming(&deployment).await;
    let backends = &deployment.model_backends;
    backends.iter().for_each(|backend| backend.queue_faults([Fault::Hold; SLOTS]));
    let arrived = |backend: &Backend, prefix: &str| {
        let arrived = backend.arrived();
        arrived.iter().filter(|arrival| arrival.attempt_id.starts_with(prefix)).count()
    };
    let mut busy = Vec::new();
    while backends.iter().any(|backend| arrived(backend, "busy-") < SLOTS) {
        assert!(busy.len() < 8 * SLOTS, "the backends are not busy");
        busy.push(spawn_request(&deployment, "POST", RESUMABLE, format!("busy-{}", busy.len())));
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
    let waiting: Vec<_> = (0..WAITING)
        .map(|index| spawn_request(&deployment, "POST", RESUMABLE, format!("waiting-{index}")))
        .collect();
    tokio::time::sleep(REPORT_INTERVAL).await;
    let sent = || backends.iter().map(|backend| arrived(backend, "waiting-")).sum::<usize>();
    assert!(sent() < WAITING, "no request waits");
    assert!(waiting.iter().any(|request| !request.is_finished()), "no request waits");
    deployment.evacuate("c");
    wait_for_line(&deployment, 0, 0, &["failure domain evacuated"]).await;
    let (before, sent_before) = (arrived(&backends[1], "waiting-"), sent());
    backends.iter().for_each(Backend::release_streams);
    for request in waiting {
        let code = request.await.unwrap().code();
        assert!([200, 503].contains(&code), "{code}");
    }
    assert_eq!(arrived(&backends[1], "waiting-"), before, "sent to the evacuated domain");
    assert!(sent() > sent_before, "no waiting request was sent elsewhere");
}
