//! A request that comes again and crashes each backend which runs it.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::{Backend, CrashTrigger};
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, Shape, wait_until,
};

const GATEWAYS: usize = 3;
const BACKENDS: usize = 3;
const BODY: &[u8] = b"the body that crashes backends";
/// Pause between two attempts of the request.
const PAUSE: Duration = Duration::from_millis(500);
/// Number of crashes that may precede the end of the request.
const CRASHES: usize = 3;
/// Number of retries that may reach a backend after all gateways must know.
const LATE: usize = 3;
/// Reason of the rejection, in the response and in the log.
const REFUSED: &str = "crashes-backends";

async fn start() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { gateways: GATEWAYS, plain_backends: BACKENDS, ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    deployment.plain_backends.iter().for_each(|backend| backend.crash_on(CrashTrigger::Body(BODY)));
    (deployment, directory)
}

async fn send(deployment: &Deployment, index: usize, body: &[u8]) -> ClientResponse {
    let id = format!("r-{index}");
    let body = body.to_vec().into();
    let request = ClientRequest { body, ..ClientRequest::new("POST", IDEMPOTENT, &id) };
    deployment::send_request(deployment.gateways[index % GATEWAYS].callers, &request).await
}

fn reached(deployment: &Deployment) -> usize {
    let runs = deployment.plain_backends.iter().flat_map(Backend::runs);
    runs.filter(|run| run.body == BODY).count()
}

/// Sends the request `count` times, with a sound request of the same caller and path after each, and
/// returns how many times it reached a backend although all gateways had to know.
async fn send_crashing(deployment: &Deployment, count: usize) -> usize {
    let send = async |index: usize| {
        send(deployment, index, BODY).await;
        send(deployment, count + index, format!("sound {index}").as_bytes()).await;
    };
    let (backends, reached) = (&deployment.plain_backends, || reached(deployment));
    harness::count_late(backends, CRASHES, count, PAUSE, reached, send).await
}

fn logs(deployment: &Deployment) -> String {
    let log = |g: &deployment::GatewayProcess| std::fs::read_to_string(g.process.log_path());
    deployment.gateways.iter().map(log).collect::<Result<String, _>>().unwrap()
}

#[tokio::test]
async fn crashing_request() {
    let (deployment, _directory) = start().await;
    let late = send_crashing(&deployment, 20).await;
    assert!(late <= LATE, "the request reached backends {late} times too late");
    for index in 0..30 {
        let body = format!("after {index}");
        let served = || async { send(&deployment, index, body.as_bytes()).await.code() == 200 };
        wait_until(served).await;
    }
}

#[tokio::test]
async fn instant_successors() {
    let (deployment, _directory) = start().await;
    for backend in &deployment.plain_backends {
        backend.set_down_time(Duration::ZERO);
    }
    let late = send_crashing(&deployment, 20).await;
    let l = logs(&deployment);
    eprintln!(
        "DBG crashed {} unknown {} reached {} total {}",
        l.matches("backend crashed with").count(),
        l.matches("outcome=unknown").count(),
        reached(&deployment),
        harness::crashes(&deployment.plain_backends)
    );
    assert!(late <= LATE, "the request reached backends {late} times too late");
}

#[tokio::test]
async fn told_requests() {
    let (mut deployment, _directory) = start().await;
    send_crashing(&deployment, 12).await;
    deployment.gateways[0].process.kill();
    deployment.gateways[0].process.start().unwrap();
    deployment.wait_until_ready().await;
    // A process that has just started need not know yet.
    send(&deployment, 0, BODY).await;
    tokio::time::sleep(harness::KNOWN_AFTER).await;
    let before = reached(&deployment);
    let is_refused = || async {
        let response = send(&deployment, 0, BODY).await;
        tokio::time::sleep(PAUSE).await;
        response.code() == 503 && response.text().contains(REFUSED)
    };
    wait_until(is_refused).await;
    let late = reached(&deployment) - before;
    assert!(late <= LATE, "it reached backends {late} times by way of the restarted gateway");
}

#[tokio::test]
async fn repeated_sound() {
    let (deployment, _directory) = start().await;
    for _ in 0..6 {
        deployment.plain_backends.iter().for_each(Backend::crash);
        for index in 0..GATEWAYS {
            send(&deployment, index, b"sound").await;
        }
        tokio::time::sleep(PAUSE).await;
    }
    for index in 0..GATEWAYS {
        let served = || async { send(&deployment, index, b"sound").await.code() == 200 };
        wait_until(served).await;
    }
    assert!(!logs(&deployment).contains(REFUSED), "crashes without a culprit");
}
