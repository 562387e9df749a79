//! Log lines for callers that leave.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    self, ClientRequest, Deployment, ONCE, STREAM, Shape, encode_request, wait_until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn has_left(deployment: &Deployment, id: &str) -> bool {
    let log = std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap();
    log.lines().any(|line| line.contains("caller left") && line.contains(&format!("request={id} ")))
}

#[tokio::test]
async fn logged_departures() {
    let shape = Shape { ranks: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    deployment.plain_backends[0].queue_faults([Fault::Hang]);
    deployment.model_backends.iter().for_each(|backend| backend.queue_faults([Fault::Hold]));
    let address = deployment.gateways[0].callers;
    for (path, id) in [(ONCE, "waiting"), (STREAM, "streaming")] {
        let request = tokio::spawn(async move {
            deployment::send_request(address, &ClientRequest::new("POST", path, id)).await;
        });
        let backends = || deployment.plain_backends.iter().chain(&deployment.model_backends);
        wait_until(|| async { backends().any(|b| b.runs().iter().any(|r| r.attempt_id == id)) })
            .await;
        request.abort();
        wait_until(|| async { has_left(&deployment, id) }).await;
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
