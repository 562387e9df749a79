//! Log lines for callers that leave.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    self, ClientRequest, Deployment, ONCE, STREAM, Shape, encode_request, wait_until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn departure_line(deployment: &Deployment, id: &str) -> Option<String> {
    let log = std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap();
    let is_departure =
        |line: &&str| line.contains("caller left") && line.contains(&format!("request={id} "));
    log.lines().find(is_departure).map(str::to_owned)
}

fn has_left(deployment: &Deployment, id: &str) -> bool {
    departure_line(deployment, id).is_some()
}

#[tokio::test]
async fn logged_departures() {
    let shape = Shape { ranks: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    deployment.plain_backends[0].queue_faults([Fault::Hang]);
    deployment.model_backends.iter().for_each(|backend| backend.queue_faults([Fault::Hold]));
    let address = deployment.gateways[0].callers;
    for (path, id, waits_for) in [(ONCE, "waiting", "backend"), (STREAM, "streaming", "event")] {
        let request = tokio::spawn(async move {
            deployment::send_request(address, &ClientRequest::new("POST", path, id)).await;
        });
        let backends = || deployment.plain_backends.iter().chain(&deployment.model_backends);
        wait_until(|| async { backends().any(|b| b.runs().iter().any(|r| r.attempt_id == id)) })
            .await;
        request.abort();
        wait_until(|| async { has_left(&deployment, id) }).await;
        let line = departure_line(&deployment, id).unwrap();
        let waits_for = format!("waits_for={waits_for} ");
        for field in [&waits_for, "backend=", "since_sent_ms=", "sends=1", "is_silent=false"] {
            assert!(line.contains(field), "{field} is missing: {line}");
        }
    }
    deployment.model_backends.iter().for_each(|backend| backend.release_streams());
    for (path, id) in [(ONCE, "whole"), (STREAM, "whole-stream")] {
        assert!(deployment.send_request("POST", path, id).await.is_complete);
        assert!(!has_left(&deployment, id));
    }
}

#[tokio::test]
async fn unread_bytes() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    deployment.plain_backends[0].queue_faults([Fault::Hang]);
    let request = encode_request(&ClientRequest::new("POST", ONCE, "r-1"));
    let mut caller = TcpStream::connect(deployment.gateways[0].callers).await.unwrap();
    caller.write_all(&[request.as_slice(), b"\r\nGET"].concat()).await.unwrap();
    wait_until(|| async { deployment.plain_backends[0].runs().len() == 1 }).await;
    drop(caller);
    wait_until(|| async { deployment.plain_backends[0].client_disconnects() == 1 }).await;
    assert!(has_left(&deployment, "r-1"), "the request ended by its deadline");
}
