//! Answers that come before their request is fully sent, and answers without a length, which end with
//! their connection: a part of an answer is never passed on as all of it.

#![allow(clippy::unwrap_used)]

mod harness;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::ids::{CallKey, RequestId};
use currantlink_daemon::backend::BackendClient;
use currantlink_daemon::recording::Recording;
use currantlink_platform::names;
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, ONCE, Shape, wait_until,
};
use currantlink_wire::link::{Frame, Submit, frame, to_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// More than the buffers of a connection hold, so that the rest is sent only as it is read.
const LARGE_BODY_BYTES: usize = 12 << 20;
const SMALL_BODY_BYTES: usize = 100;
const WHOLE: &str = "the whole answer";
const PART: &str = "the whole";

/// What a backend does once it has read the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// Sends a part of an answer without a length, and resets the connection.
    PartThenReset,
    /// The same, with a pause between the part and the reset.
    PartPauseReset,
    /// Sends an answer without a length and shuts down its side of the connection.
    WholeThenShutdown,
    /// Sends an answer with a length, and reads the rest of the request later.
    WholeWithLength,
    /// Sends an answer to another request, reads the rest of the request, and sends its answer.
    StrayFirst,
    /// Reads the request, and sends an answer without a length.
    ReadThenWhole,
    /// Reads the request, sends a part of an answer without a length, and its process ends.
    PartThenExit,
}

impl Act {
    /// The acts after which the backend goes on.
    const LASTING: [Act; 6] = [
        Act::PartThenReset,
        Act::PartPauseReset,
        Act::WholeThenShutdown,
        Act::WholeWithLength,
        Act::StrayFirst,
        Act::ReadThenWhole,
    ];

    fn is_whole(self) -> bool {
        !matches!(self, Act::PartThenReset | Act::PartPauseReset | Act::PartThenExit)
    }
}

/// A backend that performs its current act for each request.
#[derive(Clone)]
struct ActingBackend {
    address: SocketAddr,
    act: Arc<Mutex<Act>>,
    /// Bytes that followed an early answer where the rest of the request is due.
    later: Arc<Mutex<Vec<u8>>>,
    /// Whether the process is to end, and then whether it no longer listens.
    exit: watch::Sender<bool>,
    exited: watch::Sender<bool>,
}

impl ActingBackend {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            act: Arc::new(Mutex::new(Act::ReadThenWhole)),
            later: Arc::default(),
            exit: watch::Sender::new(false),
            exited: watch::Sender::new(false),
        };
        let (own, mut exit) = (backend.clone(), backend.exit.subscribe());
        tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    _ = exit.wait_for(|&exit| exit) => break,
                };
                let own = own.clone();
                tokio::spawn(async move {
                    if let Some(connection) = Connection::read_request(stream).await {
                        let act = *own.act.lock().unwrap();
                        connection.act(act, &own).await;
                    }
                });
            }
            drop(listener);
            own.exited.send_replace(true);
        });
        backend
    }

    /// Ends the process as far as others see it, but for its connections.
    async fn stop_listening(&self) {
        self.exit.send_replace(true);
        self.exited.subscribe().wait_for(|&exited| exited).await.unwrap();
    }
}

struct Connection {
    stream: TcpStream,
    attempt_id: String,
    unread_bytes: usize,
}

impl Connection {
    /// Reads the head of a request, or returns `None` if the connection ends before.
    async fn read_request(mut stream: TcpStream) -> Option<Self> {
        let mut received = Vec::with_capacity(16 << 10);
        let head_bytes = loop {
            if stream.read_buf(&mut received).await.ok()? == 0 {
                return None;
            }
            if let Some(at) = received.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
        };
        let head = String::from_utf8_lossy(&received[..head_bytes]).to_lowercase();
        let value = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
            line.unwrap_or_default().to_owned()
        };
        let body_bytes: usize = value("content-length").parse().unwrap_or(0);
        let unread_bytes = body_bytes - (received.len() - head_bytes);
        Some(Self { stream, attempt_id: value(names::ATTEMPT_ID.as_str()), unread_bytes })
    }

    async fn read_rest(&mut self) {
        let mut received = vec![0; self.unread_bytes];
        let read = self.stream.read_exact(&mut received);
        let read = tokio::time::timeout(Duration::from_secs(5), read).await;
        assert!(matches!(read, Ok(Ok(_))), "the rest of the request is not sent");
        self.unread_bytes = 0;
    }

    async fn send(&mut self, attempt_id: &str, length: Option<usize>, body: &str) {
        let length = length.map(|bytes| format!("Content-Length: {bytes}\r\n")).unwrap_or_default();
        // A gateway may only use the connection again if the request has been sent completely.
        let close = if self.unread_bytes == 0 { "Connection: close\r\n" } else { "" };
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}: {attempt_id}\r\n{}: signature\r\n{length}{close}\r\n{body}",
            names::ATTEMPT_ID,
            names::SIGNATURE,
        );
        self.stream.write_all(answer.as_bytes()).await.unwrap();
    }

    async fn act(mut self, act: Act, backend: &ActingBackend) {
        let id = self.attempt_id.clone();
        match act {
            Act::PartThenReset | Act::PartPauseReset => {
                self.send(&id, None, PART).await;
                if act == Act::PartPauseReset {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                self.stream.set_zero_linger().unwrap();
            }
            Act::WholeThenShutdown => {
                self.send(&id, None, WHOLE).await;
                self.stream.shutdown().await.unwrap();
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            Act::WholeWithLength => {
                self.send(&id, Some(WHOLE.len()), WHOLE).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                let (mut received, rest) = (Vec::new(), self.unread_bytes as u64);
                // The connection may be reset once the answer has been read.
                let _ = self.stream.take(rest).read_to_end(&mut received).await;
                backend.later.lock().unwrap().extend(received);
            }
            Act::StrayFirst => {
                self.send("another", Some(5), "stray").await;
                self.read_rest().await;
                self.send(&id, Some(WHOLE.len()), WHOLE).await;
            }
            Act::PartThenExit => {
                self.read_rest().await;
                self.send(&id, None, PART).await;
                backend.stop_listening().await;
            }
            Act::ReadThenWhole => {
                self.read_rest().await;
                self.send(&id, None, WHOLE).await;
            }
        }
    }
}

async fn start() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { plain_backends: 1, ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    let mut config = deployment::config(2, &[deployment::KEY]);
    config["limits"]["max_body_bytes"] = LARGE_BODY_BYTES.into();
    deployment.put_config(&config.to_string());
    let is_configured =
        || async { upload(&deployment, IDEMPOTENT, "first", 1 << 20).await.code() == 200 };
    wait_until(is_configured).await;
    deployment.unregister("plain-0");
    let is_gone = || async { upload(&deployment, IDEMPOTENT, "gone", 0).await.code() == 503 };
    wait_until(is_gone).await;
    (deployment, directory)
}

async fn upload(deployment: &Deployment, path: &str, id: &str, bytes: usize) -> ClientResponse {
    let body = Bytes::from(vec![b'x'; bytes]);
    let request = ClientRequest { body, ..ClientRequest::new("POST", path, id) };
    deployment::send_request(deployment.gateways[0].callers, &request).await
}

async fn register(deployment: &Deployment, backend: &ActingBackend) {
    deployment.register("acting", "plain", backend.address, "ready");
    *backend.act.lock().unwrap() = Act::ReadThenWhole;
    let serves = || async { upload(deployment, IDEMPOTENT, "first", 0).await.code() == 200 };
    wait_until(serves).await;
}

/// Performs an act for a request to each of the paths and checks what the caller gets.
async fn check(deployment: &Deployment, backend: &ActingBackend, act: Act, path: &str) {
    for body_bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
        let case = format!("{act:?}, {body_bytes} bytes, {path}");
        *backend.act.lock().unwrap() = act;
        let id = format!("r-{act:?}-{body_bytes}-{}", path.len()).to_lowercase();
        let response = upload(deployment, path, &id, body_bytes).await;
        match act.is_whole() {
            true => {
                assert_eq!(response.code(), 200, "{case}: {}", response.text());
                assert_eq!(response.text(), WHOLE, "{case}");
                assert!(response.is_complete, "{case}");
            }
            false => assert_eq!(response.code(), 502, "{case}: {}", response.text()),
        }
        let later = std::mem::take(&mut *backend.later.lock().unwrap());
        assert!(later.iter().all(|&byte| byte == b'x'), "{case}: other bytes follow");
    }
}

/// Guards against a part of an answer that a caller gets as a complete one, against complete answers that
/// are lost, and against other bytes where the rest of a request is due.
#[tokio::test]
async fn every_act() {
    let (deployment, _directory) = start().await;
    let backend = ActingBackend::start().await;
    register(&deployment, &backend).await;
    for act in Act::LASTING {
        for path in [ONCE, IDEMPOTENT] {
            check(&deployment, &backend, act, path).await;
        }
    }
}

/// Guards against a part of an answer that looks complete because the process of its backend has ended
/// after it had read the whole request.
#[tokio::test]
async fn ended_process() {
    let (deployment, _directory) = start().await;
    for path in [ONCE, IDEMPOTENT] {
        for body_bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
            let backend = ActingBackend::start().await;
            register(&deployment, &backend).await;
            *backend.act.lock().unwrap() = Act::PartThenExit;
            let id = format!("r-{}-{body_bytes}", path.len());
            let response = upload(&deployment, path, &id, body_bytes).await;
            assert_eq!(response.code(), 502, "{path}, {body_bytes}: {}", response.text());
            deployment.unregister("acting");
            let is_gone =
                || async { upload(&deployment, IDEMPOTENT, "gone", 0).await.code() == 503 };
            wait_until(is_gone).await;
        }
    }
}

/// Runs a call of a side at a backend and returns whether its response is recorded as complete.
async fn is_complete_at_side(backend: &ActingBackend, body_bytes: usize) -> bool {
    let uri = format!("http://{}", backend.address).parse().unwrap();
    let submit = Submit {
        method: "POST".into(),
        path: "/".into(),
        body: Bytes::from(vec![b'x'; body_bytes]),
        ..Submit::default()
    };
    let recording = Recording::new(1 << 20);
    let cancel = CancellationToken::new();
    BackendClient::new(&uri).run(&submit, &recording, Duration::from_secs(5), cancel).await;
    let (outbox, mut parts) = mpsc::channel(16);
    let key = CallKey {
        workspace: "w".into(),
        request: RequestId::try_from([0; 16].as_slice()).unwrap(),
        attempt: 1,
    };
    recording.follow(key, 1, 0, outbox).await;
    let mut is_complete = false;
    while let Some(part) = parts.recv().await {
        if let Some(to_entry::Body::Frame(Frame { body, .. })) = part.body {
            is_complete = matches!(body, Some(frame::Body::End(_)));
        }
    }
    is_complete
}

/// Guards against a part of a response that a side records as a complete one.
#[tokio::test]
async fn at_side() {
    let backend = ActingBackend::start().await;
    for act in [Act::PartThenReset, Act::PartPauseReset, Act::WholeThenShutdown, Act::ReadThenWhole]
    {
        for body_bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
            for _ in 0..10 {
                *backend.act.lock().unwrap() = act;
                let is_complete = is_complete_at_side(&backend, body_bytes).await;
                assert_eq!(is_complete, act.is_whole(), "{act:?}, {body_bytes} bytes");
            }
        }
    }
}
