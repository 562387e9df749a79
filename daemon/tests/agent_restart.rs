//! Agents that are restarted while the streams of their backends pause.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    self, ClientRequest, Deployment, RESUMABLE, Shape, wait_until,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Longer than the time after which a backend that is not heard counts as silent, shorter than the time
/// for which callers wait for an event.
const PAUSE: Duration = Duration::from_millis(1_300);
const REQUESTS: usize = 6;

fn log(deployment: &Deployment) -> String {
    std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap()
}

/// Guards against a sound backend that counts as silent because its agent is restarted, so that its
/// streams are ended.
#[tokio::test]
async fn restarted_agents() {
    let shape = Shape { ranks: 3, ..Shape::default() };
    let (mut deployment, _directory) = harness::start_streaming(shape).await;
    let is_reported = |rank: usize| log(&deployment).contains(&format!("backend=model-{rank} "));
    let are_used = || async {
        deployment.send_request("POST", RESUMABLE, "warm-up").await;
        (0..3).all(is_reported)
    };
    wait_until(are_used).await;
    for backend in &deployment.model_backends {
        backend.queue_faults([Fault::Stall(PAUSE); REQUESTS]);
    }
    let address = deployment.gateways[0].callers;
    let send = |index: usize| {
        let request = ClientRequest::new("POST", RESUMABLE, &format!("r-{index}"));
        tokio::spawn(async move { deployment::send_request(address, &request).await })
    };
    let requests: Vec<_> = (0..REQUESTS).map(send).collect();
    for agent in &mut deployment.agents {
        kill(Pid::from_raw(agent.id().unwrap() as i32), Signal::SIGTERM).unwrap();
    }
    for request in requests {
        let response = request.await.unwrap();
        assert!(response.is_complete, "{} {}", response.code(), response.text());
    }
    assert!(!log(&deployment).contains("abandoned at a silent backend"));
    for agent in &mut deployment.agents {
        agent.wait().unwrap();
    }
}
