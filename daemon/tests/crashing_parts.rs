//! Requests with one part in their prompts that crash each backend which begins to answer them.

#![allow(clippy::unwrap_used)]

mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use currantlink_standins::backends::{Backend, CrashTrigger};
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, RESUMABLE, Shape, wait_until,
};

const GATEWAYS: usize = 3;
const BACKENDS: u32 = 5;
const PART: &str = "bad0";
/// Pause between two requests with the part.
const PAUSE: Duration = Duration::from_millis(300);
/// Number of crashes that may precede the end of the requests with the part.
const CRASHES: usize = 5;
/// Number of requests that may reach a backend after that time.
const LATE: usize = 3;
/// Reason of the rejection, in the response and in the log.
const REFUSED: &str = "crashes-backends";

async fn start() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { gateways: GATEWAYS, ranks: BACKENDS, ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    for backend in &deployment.model_backends {
        backend.crash_on(CrashTrigger::PromptPart(PART));
    }
    (deployment, directory)
}

/// Sends a request whose prompt has `middle` between the part of its route and its own part.
async fn send(address: SocketAddr, id: String, middle: &str) -> ClientResponse {
    let request = ClientRequest {
        prompt_parts: Some(format!("f1:40,c1:300,{middle}:200,{:x}:100", id.len())),
        body: id.clone().into(),
        ..ClientRequest::new("POST", RESUMABLE, &id)
    };
    deployment::send_request(address, &request).await
}

/// Sends sound requests to all gateways until the returned task is aborted.
fn send_sound(deployment: &Deployment) -> tokio::task::JoinHandle<()> {
    let addresses: Vec<SocketAddr> = deployment.gateways.iter().map(|g| g.callers).collect();
    tokio::spawn(async move {
        for index in 0_usize.. {
            let address = addresses[index % GATEWAYS];
            tokio::spawn(async move { send(address, format!("sound-{index}"), "a11").await });
            tokio::time::sleep(PAUSE / 10).await;
        }
    })
}

fn has_part(parts: &Option<String>) -> bool {
    parts.as_ref().is_some_and(|parts| parts.contains(PART))
}

/// Returns how many requests with the part have reached a backend.
fn reached(deployment: &Deployment) -> usize {
    let runs = deployment.model_backends.iter().flat_map(Backend::runs);
    runs.filter(|run| has_part(&run.prompt_parts)).count()
}

fn log(deployment: &Deployment, gateway: usize) -> String {
    std::fs::read_to_string(deployment.gateways[gateway].process.log_path()).unwrap()
}

/// Sends `count` requests with the part to the gateways in turn. Returns how many of them reached a
/// backend although all gateways had to know of the part when they were sent.
async fn send_crashing(deployment: &Deployment, count: usize) -> usize {
    let send = async |index: usize| {
        let address = deployment.gateways[index % GATEWAYS].callers;
        send(address, format!("bad-{index}"), PART).await;
    };
    let (backends, reached) = (&deployment.model_backends, || reached(deployment));
    harness::count_late(backends, CRASHES, count, PAUSE, reached, send).await
}

#[tokio::test]
async fn crashing_part() {
    let (deployment, _directory) = start().await;
    let sound = send_sound(&deployment);
    let late = send_crashing(&deployment, 30).await;
    sound.abort();
    assert!(late <= LATE, "{late} requests reached backends that the part crashes");
    // Sound requests share all other parts.
    for index in 0..30 {
        let address = deployment.gateways[index % GATEWAYS].callers;
        let served = || async { send(address, format!("after-{index}"), "a11").await.is_complete };
        wait_until(served).await;
    }
    let refused = (0..GATEWAYS).map(|gateway| log(&deployment, gateway));
    let is_sound_refused = |line: &str| line.contains(REFUSED) && !line.contains("bad-");
    assert!(!refused.into_iter().any(|log| log.lines().any(is_sound_refused)));
}

#[tokio::test]
async fn told_gateway() {
    let (mut deployment, _directory) = start().await;
    let sound = send_sound(&deployment);
    send_crashing(&deployment, 15).await;
    sound.abort();
    deployment.gateways[0].process.kill();
    deployment.gateways[0].process.start().unwrap();
    deployment.wait_until_ready().await;
    let address = deployment.gateways[0].callers;
    // A process that has just started need not know yet.
    send(address, "bad-first".into(), PART).await;
    tokio::time::sleep(harness::KNOWN_AFTER).await;
    let before = reached(&deployment);
    let is_refused = || async {
        let response = send(address, "bad-again".into(), PART).await;
        tokio::time::sleep(PAUSE).await;
        response.code() == 503 && response.text().contains(REFUSED)
    };
    wait_until(is_refused).await;
    let late = reached(&deployment) - before;
    assert!(late <= LATE, "{late} requests reached backends by way of the restarted gateway");
}

#[tokio::test]
async fn mass_crashes() {
    let (deployment, _directory) = start().await;
    let sound = send_sound(&deployment);
    for _ in 0..6 {
        deployment.model_backends.iter().for_each(Backend::crash);
        tokio::time::sleep(PAUSE * 3).await;
    }
    sound.abort();
    for index in 0..30 {
        let address = deployment.gateways[index % GATEWAYS].callers;
        let served = || async { send(address, format!("after-{index}"), "a11").await.is_complete };
        wait_until(served).await;
    }
    let refused = (0..GATEWAYS).any(|gateway| log(&deployment, gateway).contains(REFUSED));
    assert!(!refused, "crashes without a culprit");
}
