//! Requests through a real gateway: matching of responses, at-most-once execution and rejections.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, KEY, ONCE, RESUMABLE, STREAM,
    Shape, WORKSPACE, wait_until,
};

fn model(gateways: usize) -> Shape {
    Shape { gateways, ranks: 2, ..Shape::default() }
}

fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

fn runs_of(deployment: &Deployment, id: &str) -> usize {
    let all = deployment.plain_backends.iter().chain(&deployment.model_backends);
    all.flat_map(|backend| backend.runs()).filter(|run| run.attempt_id == id).count()
}

#[tokio::test]
async fn own_answer() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    let reply = deployment.send_request("POST", ONCE, "r-1").await;
    assert_eq!((reply.code(), reply.text().as_str()), (200, "r-1 by plain-0"));
    assert_eq!(reply.header("x-attempt-id"), Some("r-1"));
    assert!(reply.header("x-response-seal").is_some() && reply.is_complete);
    let run = deployment.plain_backends[0].runs().pop().unwrap();
    assert_eq!(run.target, format!("POST {ONCE}"));
    assert_eq!(run.workspace.as_deref(), Some(WORKSPACE));
    assert_eq!((run.key, run.body.as_slice()), (None, b"the body".as_slice()));
    assert!(run.deadline_ms.is_some_and(|left| left <= 4_000), "the route allows four seconds");
}

#[tokio::test]
async fn denied_requests() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    let address = deployment.gateways[0].callers;
    let code = |path: &'static str, key: Option<&'static str>| async move {
        let key = key.map(str::to_owned);
        deployment::send_request(
            address,
            &ClientRequest { key, ..ClientRequest::new("GET", path, "r-1") },
        )
        .await
        .code()
    };
    assert_eq!(code("/nowhere/x", Some(KEY)).await, 404);
    assert_eq!(code(IDEMPOTENT, Some("wrong")).await, 401);
    assert_eq!(code(IDEMPOTENT, None).await, 401);
    let body = vec![0; 70_000].into();
    let large = ClientRequest { body, ..ClientRequest::new("POST", ONCE, "r-2") };
    assert_eq!(deployment::send_request(address, &large).await.code(), 413);
    assert_eq!(runs_of(&deployment, "r-1") + runs_of(&deployment, "r-2"), 0);
}

#[tokio::test]
async fn lost_answer() {
    let (deployment, _directory) =
        harness::start_serving(Shape { plain_backends: 2, ..Shape::default() }).await;
    for backend in &deployment.plain_backends {
        backend.queue_faults([Fault::LoseResponse]);
    }
    let reply = deployment.send_request("POST", ONCE, "r-1").await;
    assert_eq!(reply.code(), 502, "the request may have run, so its outcome is unknown");
    assert_eq!(runs_of(&deployment, "r-1"), 1);
    let reply = deployment.send_request("GET", IDEMPOTENT, "r-2").await;
    assert_eq!(reply.code(), 200, "{}", reply.text());
}

#[tokio::test]
async fn refused_request() {
    let (deployment, _directory) =
        harness::start_serving(Shape { plain_backends: 2, ..Shape::default() }).await;
    deployment.plain_backends.iter().for_each(|backend| backend.queue_faults([Fault::Refuse]));
    let reply = deployment.send_request("POST", ONCE, "r-1").await;
    assert_eq!(reply.code(), 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(runs_of(&deployment, "r-1"), 0);
    deployment.plain_backends[0].queue_faults([Fault::Refuse]);
    let arrivals =
        || deployment.plain_backends.iter().map(|backend| backend.arrivals()).sum::<u64>();
    let before = arrivals();
    assert_eq!(deployment.send_request("POST", ONCE, "r-2").await.code(), 200);
    assert!(arrivals() - before <= 2);
}

#[tokio::test]
async fn endless_refusal() {
    let (deployment, _directory) =
        harness::start_serving(Shape { plain_backends: 2, ..Shape::default() }).await;
    deployment.plain_backends[0].queue_faults([Fault::RefuseEndlessly]);
    for index in 0..10 {
        let reply = deployment.send_request("POST", ONCE, &format!("r-{index}")).await;
        assert_eq!(reply.code(), 200, "{}", reply.text());
    }
    assert_eq!(deployment.plain_backends[0].client_disconnects(), 1, "no request was refused");
}

#[tokio::test]
async fn wrong_backend() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    let other = currantlink_standins::backends::Backend::plain("other");
    let address = other.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
    deployment.register("gone", "plain", address, "ready");
    wait_until(|| async {
        deployment.send_request("GET", IDEMPOTENT, "probe").await;
        other.arrivals() > 0
    })
    .await;
    for index in 0..10 {
        let id = format!("r-{index}");
        assert_eq!(deployment.send_request("POST", ONCE, &id).await.code(), 200);
        assert_eq!(runs_of(&deployment, &id), 1);
    }
    assert!(
        other.runs().is_empty() && other.arrivals() == 1,
        "a misdirected backend is not tried again"
    );
}

#[tokio::test]
async fn garbled_answers() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    let backend = &deployment.plain_backends[0];
    backend.queue_faults([Fault::StrayResponse]);
    assert_eq!(deployment.send_request("POST", ONCE, "r-1").await.text(), "r-1 by plain-0");
    backend.queue_faults([Fault::ExtraBytes]);
    assert_eq!(deployment.send_request("POST", ONCE, "r-2").await.text(), "r-2 by plain-0");
    assert_eq!(deployment.send_request("POST", ONCE, "r-3").await.text(), "r-3 by plain-0");
    for (id, fault) in [("r-4", Fault::Unsigned), ("r-5", Fault::Reset)] {
        backend.queue_faults([fault]);
        assert_eq!(deployment.send_request("POST", ONCE, id).await.code(), 502, "{fault:?}");
        assert_eq!(runs_of(&deployment, id), 1);
    }
}

#[tokio::test]
async fn failing_backend() {
    let (deployment, _directory) =
        harness::start_serving(Shape { plain_backends: 2, ..Shape::default() }).await;
    deployment.plain_backends.iter().for_each(|backend| backend.queue_faults([Fault::Fail]));
    let reply = deployment.send_request("POST", ONCE, "r-1").await;
    assert_eq!(
        (reply.code(), reply.text().as_str()),
        (500, "failed"),
        "the failure is forwarded unchanged"
    );
    assert_eq!(deployment.send_request("GET", IDEMPOTENT, "r-2").await.code(), 200);
}

#[tokio::test]
async fn whole_stream() {
    let (deployment, _directory) = harness::start_serving(model(1)).await;
    let reply = deployment.send_request("POST", STREAM, "r-1").await;
    assert_eq!((reply.code(), reply.is_complete), (200, true));
    assert_eq!(reply.text(), events(1, 5));
}

#[tokio::test]
async fn resumed_stream() {
    let (deployment, _directory) = harness::start_serving(model(1)).await;
    deployment
        .model_backends
        .iter()
        .for_each(|backend| backend.queue_faults([Fault::TruncateAfter(2)]));
    let reply = deployment.send_request("POST", RESUMABLE, "r-1").await;
    assert!(!reply.is_complete, "both backends ended early and the route allows two attempts");
    assert_eq!(reply.text(), events(1, 2));
    deployment.model_backends[0].queue_faults([Fault::TruncateAfter(3)]);
    deployment.model_backends[1].queue_faults([Fault::TruncateAfter(9)]);
    let replies = [
        deployment.send_request("POST", RESUMABLE, "r-2").await,
        deployment.send_request("POST", RESUMABLE, "r-3").await,
    ];
    assert!(
        replies
            .iter()
            .all(|reply: &ClientResponse| reply.text() == events(1, 5) && reply.is_complete)
    );
}

#[tokio::test]
async fn broken_stream() {
    let (deployment, _directory) = harness::start_serving(model(1)).await;
    deployment
        .model_backends
        .iter()
        .for_each(|backend| backend.queue_faults([Fault::TruncateAfter(2)]));
    let reply = deployment.send_request("POST", STREAM, "r-1").await;
    assert!(!reply.is_complete, "an early end must not look complete");
    assert_eq!(reply.text(), events(1, 2));
    assert_eq!(runs_of(&deployment, "r-1"), 1);
}

#[tokio::test]
async fn client_gone() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    deployment.plain_backends[0].queue_faults([Fault::Hang]);
    let address = deployment.gateways[0].callers;
    let request = tokio::spawn(async move {
        deployment::send_request(address, &ClientRequest::new("POST", ONCE, "r-1")).await;
    });
    wait_until(|| async { runs_of(&deployment, "r-1") == 1 }).await;
    request.abort();
    wait_until(|| async { deployment.plain_backends[0].client_disconnects() == 1 }).await;
}

#[tokio::test]
async fn route_timeout() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    deployment.plain_backends[0].queue_faults([Fault::Hang]);
    let address = deployment.gateways[0].callers;
    let short = ClientRequest { deadline_ms: 300, ..ClientRequest::new("POST", ONCE, "r-1") };
    assert_eq!(deployment::send_request(address, &short).await.code(), 504);
    wait_until(|| async { deployment.plain_backends[0].client_disconnects() == 1 }).await;
}
