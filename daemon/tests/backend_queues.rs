//! Requests that wait for a slot while all backends are busy.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_core::silence::SILENT_AFTER_RANGE_MS;
use currantlink_standins::backends::{Backend, Fault};
use currantlink_standins::deployment::{
    self, ClientRequest, Deployment, RESUMABLE, Shape, wait_until,
};
use tokio::task::JoinHandle;

const RANKS: usize = 3;
const SLOTS: usize = 4;
const EXCESS_REQUESTS: usize = 12;
const MAX_BUSY_REQUESTS: usize = 3 * RANKS * SLOTS;
/// More than the time between the reports of an agent whose backend's load changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

const CONFIG_VERSION: u64 = 2;
/// Target for pauses with which callers wait for the next event until their deadline.
const GAP_TARGET_MS: u64 = 500;

/// Time between the events of a sound stream, several times over.
const PAUSE: Duration = Duration::from_millis(600);

fn send(deployment: &Deployment, prefix: &str, index: usize) -> JoinHandle<u16> {
    let (address, id) = (deployment.gateways[0].callers, format!("{prefix}-{index}"));
    tokio::spawn(async move {
        deployment::send_request(address, &ClientRequest::new("POST", RESUMABLE, &id)).await.code()
    })
}

/// Starts a deployment whose backends run as many streams as they can. The streams pause.
async fn start_busy() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { ranks: RANKS as u32, slots: Some(SLOTS), ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    let mut config = deployment::config(CONFIG_VERSION, &[deployment::KEY]);
    deployment::set_on_routes(&mut config, "gap_target_ms", GAP_TARGET_MS);
    deployment.put_config(&config.to_string());
    let log = deployment.gateways[0].process.log_path();
    let applied = format!("\"configuration applied\" version={CONFIG_VERSION}");
    wait_until(|| async { std::fs::read_to_string(&log).unwrap().contains(&applied) }).await;
    harness::wait_until_streaming(&deployment).await;
    let hold = |backend: &Backend| backend.queue_faults([Fault::Hold; SLOTS]);
    deployment.model_backends.iter().for_each(hold);
    let running = || -> usize {
        let runs = deployment.model_backends.iter().flat_map(Backend::runs);
        runs.filter(|run| run.attempt_id.starts_with("busy-")).count()
    };
    // A request may be rejected while the group changes its map.
    let mut sent = 0;
    while running() < RANKS * SLOTS {
        assert!(sent < MAX_BUSY_REQUESTS, "{} of {sent} requests run", running());
        drop(send(&deployment, "busy", sent));
        sent += 1;
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
    tokio::time::sleep(PAUSE).await;
    (deployment, directory)
}

// A backend that stops cannot learn that the callers of queued requests have left.
#[tokio::test]
async fn left_in_queue() {
    let (deployment, _directory) = start_busy().await;
    let requests: Vec<_> =
        (0..EXCESS_REQUESTS).map(|index| send(&deployment, "excess", index)).collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let silent_after = Duration::from_secs_f64(SILENT_AFTER_RANGE_MS.0 / 1e3);
    let queued = deployment.model_backends.iter().flat_map(Backend::queued_times);
    let queued: Vec<_> = queued.filter(|&time| time > silent_after).collect();
    assert!(queued.is_empty(), "queued at backends for longer than silence takes: {queued:?}");
    deployment.model_backends.iter().for_each(Backend::release_streams);
    for request in requests {
        assert!([200, 503].contains(&request.await.unwrap()));
    }
}
