//! Authentication of links, rejection of malformed frames, and error messages of invalid settings.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use currantlink_daemon::key::LinkKey;
use currantlink_daemon::link::{self, Identity, LinkError};
use currantlink_wire::link::Hello;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

fn key(byte: u8) -> LinkKey {
    LinkKey::try_from([byte; 32].as_slice()).unwrap()
}

fn identity(name: &str) -> Identity {
    Identity { name: name.to_owned(), process_id: 1, generation: 1 }
}

/// Accepts one link; the task returns whether the dialer was authenticated.
async fn listener(byte: u8) -> (SocketAddr, JoinHandle<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        link::accept(stream, &key(byte), &identity("listener")).await.is_ok()
    });
    (address, accepting)
}

async fn handshake(listener_key: u8, dialer_key: u8) -> (Result<Hello, LinkError>, bool) {
    let (address, accepting) = listener(listener_key).await;
    let timeout = Duration::from_secs(5);
    let dialed = link::connect(address, timeout, &key(dialer_key), &identity("dialer")).await;
    (dialed.map(|(hello, _, _)| hello), accepting.await.unwrap())
}

#[tokio::test]
async fn shared_key() {
    let (dialed, accepted) = handshake(1, 1).await;
    assert_eq!(dialed.unwrap().name, "listener");
    assert!(accepted);
}

#[tokio::test]
async fn other_key() {
    let (dialed, accepted) = handshake(1, 2).await;
    assert!(dialed.is_err() && !accepted);
}

#[tokio::test]
async fn reflected_proof() {
    let (address, accepting) = listener(1).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut buffer = [0; 1024];
    for _ in 0..2 {
        let count = stream.read(&mut buffer).await.unwrap();
        stream.write_all(&buffer[..count]).await.unwrap();
    }
    assert!(!accepting.await.unwrap());
}

#[tokio::test]
async fn oversized_frame() {
    let (address, accepting) = listener(1).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    assert!(!accepting.await.unwrap());
}

#[tokio::test]
async fn short_key() {
    assert!(LinkKey::try_from([1; 31].as_slice()).is_err());
}

fn check(role: &str, text: &str) -> (bool, String) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.json");
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_currantlinkd"))
        .args([role, "--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    (output.status.success(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn wrong_settings() {
    for (role, text, field) in [
        ("entry", r#"{"name": "e", "colour": 1}"#, "colour"),
        ("entry", r#"{"name": ""}"#, "name"),
        ("entry", r#"{"name": "e", "log_url": "nowhere"}"#, "log_url"),
        ("side", r#"{"name": "s", "max_running": 0}"#, "max_running"),
        ("side", r#"{"name": "s", "backend": "r", "retention_ms": 10}"#, "retention_ms"),
        ("side", r#"{"name": 3}"#, "name"),
    ] {
        let (ok, error) = check(role, text);
        assert!(!ok && error.contains(field) && error.contains("settings.json"), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
