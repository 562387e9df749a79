//! End-to-end requests: model requests, plain calls, tokens, limits and errors.
#![allow(clippy::unwrap_used)]

mod common;

use common::{OPERATOR, OTHER_TOKEN, System, TOKEN, Topology, send};
use currantlink_standins::engine::tokens;
use http::{Method, StatusCode};

async fn system() -> System {
    System::start(Topology { engines: 2, plain: 2, ..Topology::default() }).await
}

#[tokio::test(flavor = "multi_thread")]
async fn model_request() {
    let system = system().await;
    let response = system.complete(0, "hello", 5, false).await.unwrap();
    assert_eq!(response.json()["text"], tokens("hello", 5).join(" "));
    let streamed = system.complete(0, "hello", 5, true).await.unwrap();
    let text = String::from_utf8(streamed.body.to_vec()).unwrap();
    let expected: String =
        tokens("hello", 5).iter().map(|t| format!("data: {{\"token\":\"{t}\"}}\n\n")).collect();
    assert_eq!(text, format!("{expected}data: [DONE]\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn loaded_adapter() {
    let system = system().await;
    let body = r#"{"prompt": "hello", "max_tokens": 2, "adapter": "style"}"#;
    let path = "/v1/models/llm/completions";
    let own = system.call(0, Method::POST, path, body).await.unwrap();
    assert_eq!(own.status, StatusCode::OK, "{own:?}");
    system.wait_for(0, |backends| backends.iter().any(|r| r["adapters"][0] == "style")).await;
    let url = format!("{}{path}", system.entry_urls[0]);
    let foreign = send(Method::POST, &url, OTHER_TOKEN, &[], body).await.unwrap();
    assert_eq!(foreign.status, StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_call() {
    let system = system().await;
    let path = "/v1/services/api/some/path?x=1&y=/z";
    let read = system.call(0, Method::GET, path, "").await.unwrap();
    assert_eq!(read.json()["path"], "/some/path?x=1&y=/z");
    let ticket = system.ticket(0).await;
    let written = system.present(0, &ticket, "one").await.unwrap();
    assert_eq!(written.json()["body"], "one");
    assert_eq!(written.json()["path"], "/entries");
    let again = system.present(0, &ticket, "one").await.unwrap();
    assert_eq!(again.body, written.body);
    assert_eq!(system.runs_of("one"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_tokens() {
    let system = system().await;
    let url = format!("{}/v1/services/api/x", system.entry_urls[0]);
    let mut bodies = Vec::new();
    for token in ["wrong", "", OPERATOR] {
        let headers = [("request-id", "same")];
        let reply = send(Method::GET, &url, token, &headers, "").await.unwrap();
        assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
        bodies.push(reply.body);
    }
    assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]));
    let url = format!("{}/v1/status", system.entry_urls[0]);
    let reply = send(Method::GET, &url, TOKEN, &[], "").await.unwrap();
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_ticket() {
    let system = system().await;
    let ticket = system.ticket(0).await;
    let url = format!("{}{ticket}", system.entry_urls[0]);
    let stolen = send(Method::POST, &url, OTHER_TOKEN, &[], "stolen").await.unwrap();
    assert_eq!(stolen.status, StatusCode::FORBIDDEN);
    assert_eq!(stolen.outcome(), "not-run");
    assert_eq!(system.runs_of("stolen"), 0);
    assert_eq!(system.present(0, &ticket, "own").await.unwrap().status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests() {
    let system = system().await;
    let url = |path: &str| format!("{}{path}", system.entry_urls[0]);
    let headers = [("idempotency-key", "k")];
    let keyed = send(Method::POST, &url("/v1/services/api/x"), TOKEN, &headers, "").await.unwrap();
    assert_eq!(keyed.json()["error"], "use-ticket");
    let unknown = system.call(0, Method::GET, "/v1/services/none/x", "").await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let malformed = system.call(0, Method::POST, "/v1/models/llm/completions", "{").await.unwrap();
    assert_eq!(
        (malformed.status, malformed.outcome().as_str()),
        (StatusCode::BAD_REQUEST, "not-run")
    );
    let large = "x".repeat(2 << 20);
    let large = system.call(0, Method::POST, "/v1/services/api/x", &large).await;
    assert!(large.is_none_or(|r| r.status.is_client_error()));
    let garbage = system.call(0, Method::POST, "/v1/tickets/zz/api/x", "").await.unwrap();
    assert_eq!(garbage.status, StatusCode::BAD_REQUEST);
    let headers = [("x-deadline-ms", "soon")];
    let late = send(Method::GET, &url("/v1/services/api/x"), TOKEN, &headers, "").await.unwrap();
    assert_eq!(late.status, StatusCode::BAD_REQUEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn echoed_request_id() {
    let system = system().await;
    let url = format!("{}/v1/services/api/x", system.entry_urls[0]);
    let headers = [("request-id", "mine-1")];
    let reply = send(Method::GET, &url, TOKEN, &headers, "").await.unwrap();
    assert_eq!(reply.headers["request-id"], "mine-1");
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_endpoints() {
    let system = system().await;
    system.complete(0, "hello", 2, false).await.unwrap();
    let status = system.operate(0, Method::GET, "/v1/status", "").await.unwrap().json();
    assert_eq!(
        (&status["backends_connected"], &status["config_source"]),
        (&4.into(), &"log".into())
    );
    let metrics = system.operate(0, Method::GET, "/metrics", "").await.unwrap();
    let metrics = String::from_utf8(metrics.body.to_vec()).unwrap();
    assert!(metrics.contains("currantlink_requests_total 1"), "{metrics}");
    let document = system.operate(0, Method::GET, "/openapi.json", "").await.unwrap().json();
    assert!(document["paths"]["/v1/backends"].is_object());
}
