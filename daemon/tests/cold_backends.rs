//! Backends that return cold.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::{Duration, Instant};

use currantlink_core::rate_lanes::RateMargin;
use currantlink_daemon::deployment_settings;
use currantlink_standins::backends::Backend;
use currantlink_standins::deployment::{
    self, ClientRequest, Connection, Deployment, IDEMPOTENT, KEY, Shape, wait_until,
};
use serde_json::json;

const GATEWAYS: usize = 3;
/// Closed-loop clients of each gateway.
const CLIENTS: usize = 6;
const COLD_MS: u64 = 3_000;
/// Requests that a cold backend may get in any one second: 26 x 1.5 + 5.
const ALLOWED: usize = 44;
/// Time in which gateways learn of each other, and of each other's requests.
const SETTLED_AFTER: Duration = Duration::from_secs(6);

fn most_in_a_second(backend: &Backend, since: Instant, until: Instant) -> usize {
    let times = backend.arrival_times();
    let times: Vec<Instant> = times.into_iter().filter(|at| (since..until).contains(at)).collect();
    let second = Duration::from_secs(1);
    let in_second =
        |first: &Instant| times.iter().filter(|&at| at >= first && *at <= *first + second).count();
    times.iter().map(in_second).max().unwrap_or_default()
}

async fn send_forever(address: std::net::SocketAddr) {
    loop {
        let Ok(mut connection) = Connection::open(address).await else {
            continue;
        };
        let request = ClientRequest::new("GET", IDEMPOTENT, "r-1");
        while connection.send(&request).await.is_complete {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

fn configure(deployment: &Deployment) {
    let mut config = deployment::config(2, &[KEY]);
    config["services"][0]["cold_start_s"] = json!(COLD_MS as f64 / 1_000.0);
    config["services"][0]["cold_per_s"] = json!(26.0);
    config["services"][0]["max_connections"] = json!(500);
    deployment.put_config(&config.to_string());
}

/// Guards against a backend that returns under its old id, looks empty to all gateways and is sent more
/// than it tolerates.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returned_under_old_id() {
    let shape = Shape { gateways: GATEWAYS, plain_backends: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    let (spare, address) = harness::add_spare(&deployment).await;
    spare.keep_id();
    configure(&deployment);
    let addresses = deployment.gateways.iter().map(|gateway| gateway.callers);
    let clients: Vec<_> = addresses
        .flat_map(|address| (0..CLIENTS).map(move |_| tokio::spawn(send_forever(address))))
        .collect();
    tokio::time::sleep(SETTLED_AFTER).await;
    let before = spare.arrivals();
    wait_until(|| async { spare.arrivals() > before + 100 }).await;

    let mut restarts = spare.restarts();
    spare.crash();
    restarts.changed().await.unwrap();
    let returned_at = Instant::now();
    deployment.register_cold("spare", "plain", address, 2, COLD_MS);
    let warm_at = returned_at + Duration::from_millis(COLD_MS);
    tokio::time::sleep_until(warm_at.into()).await;
    let most = most_in_a_second(&spare, returned_at, warm_at);
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(most > 0, "a cold backend gets some requests");

    let before = spare.arrivals();
    wait_until(|| async { spare.arrivals() > before + 200 }).await;
    clients.iter().for_each(tokio::task::JoinHandle::abort);
}

/// Guards against settings without the bound that lead to a higher one, and against those that are no bound.
#[test]
fn margin_settings() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("gateway.json");
    let load = |fields: serde_json::Value| {
        let mut settings = json!({
            "name": "g", "failure_domain": "a", "ip": "127.0.0.1", "link_port": 1,
            "store_address": "127.0.0.1:2", "callers_address": "127.0.0.1:3",
            "readiness_address": "127.0.0.1:4",
        });
        settings.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
        std::fs::write(&path, settings.to_string()).unwrap();
        deployment_settings::load_gateway(&path).map(|settings| settings.common.cold_margin())
    };
    assert_eq!(load(json!({})).unwrap(), RateMargin { overage: 1.5, slack: 0.0 });
    let stated = load(json!({ "cold_overage": 2.0, "cold_slack": 5 })).unwrap();
    assert_eq!(stated, RateMargin { overage: 2.0, slack: 5.0 });
    let error = load(json!({ "cold_slack": -1.0 })).unwrap_err();
    assert!(error.to_string().contains("cold_slack"), "{error}");
}
