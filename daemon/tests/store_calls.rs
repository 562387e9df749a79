//! Calls of many gateways and agents to the store, and what a gateway learns from others: changes of
//! backends, and a new configuration when its own connection to the store is silent.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::deployment::{Deployment, GatewayProcess, KEY, Shape, wait_until};
use currantlink_standins::relay::Relay;
use harness::status_code;

const GATEWAYS: usize = 10;
const WINDOW: Duration = Duration::from_secs(4);
/// Calls a second of all gateways together: four long polls and three reads of the backends.
const CALLS_PER_S: u64 = 7;

/// Gateways and agents.
const PROCESSES: u64 = 16;
/// Records in a page of the stand-in's listings.
const PAGE_RECORDS: u64 = 5;

fn shape() -> Shape {
    Shape { gateways: GATEWAYS, ranks: 6, ..Shape::default() }
}

#[tokio::test]
async fn calm_deployment() {
    let (deployment, _directory) = harness::start_serving(shape()).await;
    // Peers discover each other.
    tokio::time::sleep(WINDOW).await;
    let before = deployment.records.requests();
    tokio::time::sleep(WINDOW).await;
    let calls = deployment.records.requests() - before;
    assert!(calls <= CALLS_PER_S * WINDOW.as_secs(), "{calls} calls in {WINDOW:?}");
}

#[tokio::test]
async fn common_start() {
    let (deployment, _directory) = harness::start_serving(shape()).await;
    tokio::time::sleep(WINDOW).await;
    // A process registers itself, lists its peers in pages, and reads once more where no key existed.
    // Gateways list two more topics, one in two pages; some agents list one and claim to lead.
    let peer_pages = (PROCESSES + 1).div_ceil(PAGE_RECORDS);
    let most = PROCESSES * (2 + peer_pages) + 3 * 10 + 2 * 6;
    let most = most + CALLS_PER_S * 2 * WINDOW.as_secs();
    let calls = deployment.records.requests();
    assert!(calls <= most, "{calls} calls, {most} allowed");
}

#[tokio::test]
async fn leaving_backend() {
    let shape = Shape { gateways: 4, plain_backends: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    let (spare, address) = harness::add_spare(&deployment).await;
    for gateway in 0..4 {
        let reaches_spare = || async {
            let runs = spare.runs().len();
            status_code(&deployment, gateway, KEY).await;
            spare.runs().len() > runs
        };
        wait_until(reaches_spare).await;
    }
    deployment.register("spare", "plain", address, "draining");
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let runs = spare.runs().len();
    for request in 0..40 {
        assert_eq!(status_code(&deployment, request % 4, KEY).await, 200);
    }
    assert_eq!(spare.runs().len(), runs);
}

/// Returns the number of gateways with a log line that contains all `parts`.
fn gateways_with_line(deployment: &Deployment, parts: &[&str]) -> usize {
    let has_line = |gateway: &&GatewayProcess| {
        let log = std::fs::read_to_string(gateway.process.log_path()).unwrap();
        log.lines().any(|line| parts.iter().all(|part| line.contains(part)))
    };
    deployment.gateways.iter().filter(has_line).count()
}

/// Restarts all gateways but the first `direct` ones with a relay to the store.
async fn relay_store(deployment: &mut Deployment, direct: usize) -> Relay {
    let relay = Relay::new(deployment.store);
    let relayed = relay.serve("127.0.0.1:0".parse().unwrap()).await.unwrap().to_string();
    let store = deployment.store.to_string();
    for gateway in &mut deployment.gateways[direct..] {
        let settings = &gateway.process.settings;
        let text = std::fs::read_to_string(settings).unwrap().replace(&store, &relayed);
        std::fs::write(settings, text).unwrap();
        gateway.process.kill();
        gateway.process.start().unwrap();
    }
    for gateway in 0..deployment.gateways.len() {
        wait_until(|| async { status_code(deployment, gateway, KEY).await == 200 }).await;
    }
    relay
}

#[tokio::test]
async fn idle_connections() {
    let shape = Shape { gateways: 6, plain_backends: 2, ..Shape::default() };
    let (mut deployment, _directory) = harness::start_serving(shape).await;
    let relay = relay_store(&mut deployment, 0).await;
    let (spare, address) = harness::add_spare(&deployment).await;
    tokio::time::sleep(WINDOW).await;
    relay.silence();
    deployment.register("spare", "plain", address, "draining");
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let runs = spare.runs().len();
    for request in 0..60 {
        assert_eq!(status_code(&deployment, request % 6, KEY).await, 200);
    }
    assert_eq!(spare.runs().len(), runs);
    // Only a read that was under way may have timed out.
    let lost = gateways_with_line(&deployment, &["\"lost\"", "topic=keyed.servers"]);
    assert!(lost <= 1, "{lost} gateways waited for a silent connection");
}

#[tokio::test]
async fn silent_connections() {
    let (mut deployment, _directory) = harness::start_serving(shape()).await;
    let relay = relay_store(&mut deployment, 1).await;
    tokio::time::sleep(WINDOW).await;
    relay.silence();
    deployment.configure(5, &["key-two"]);
    for gateway in 0..GATEWAYS {
        wait_until(|| async { status_code(&deployment, gateway, "key-two").await == 200 }).await;
    }
    let told = gateways_with_line(&deployment, &["a peer knows a newer configuration"]);
    assert!(told >= GATEWAYS / 2, "{told} gateways were told by a peer");
}

/// Guards against a gateway that takes its failed call for an outage of the store, in which entries expire,
/// and keeps a backend that was removed meanwhile.
#[tokio::test]
async fn failed_call() {
    const DRAIN: Duration = Duration::from_millis(2_000);
    let shape = Shape { plain_backends: 2, ..Shape::default() };
    let (mut deployment, _directory) = harness::start_serving(shape).await;
    let relay = relay_store(&mut deployment, 0).await;
    let (spare, _) = harness::add_spare(&deployment).await;
    let reaches_spare = || async {
        status_code(&deployment, 0, KEY).await;
        !spare.runs().is_empty()
    };
    wait_until(reaches_spare).await;
    let has_failed = || gateways_with_line(&deployment, &["\"lost\"", "topic=keyed.servers"]) > 0;
    assert!(!has_failed());
    relay.close();
    wait_until(|| async { has_failed() }).await;
    deployment.unregister("spare");
    let removed_at = tokio::time::Instant::now();
    // Together with the time between two reads, less than the shortest outage in which entries expire.
    tokio::time::sleep(Duration::from_millis(300)).await;
    relay.reopen();
    tokio::time::sleep_until(removed_at + DRAIN).await;
    let runs = spare.runs().len();
    for _ in 0..40 {
        assert_eq!(status_code(&deployment, 0, KEY).await, 200);
    }
    assert_eq!(spare.runs().len(), runs);
}
