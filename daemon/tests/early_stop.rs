//! SIGTERM as soon as a process accepts connections.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::TcpStream;

use common::{Daemon, System, Topology};
use serde_json::Value;

/// Restarts a process, stops it once it accepts a connection and returns whether it ended with
/// success.
fn stop_at_start(daemon: &mut Daemon, address_field: &str) -> bool {
    let text = std::fs::read(daemon.settings_path()).unwrap();
    let settings: Value = serde_json::from_slice(&text).unwrap();
    let address = settings[address_field].as_str().unwrap();
    daemon.kill();
    daemon.start();
    while TcpStream::connect(address).is_err() {
        std::hint::spin_loop();
    }
    daemon.stop()
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_at_start() {
    let mut system = System::start(Topology::default()).await;
    assert!(stop_at_start(&mut system.entries[0], "http_address"));
}

#[tokio::test(flavor = "multi_thread")]
async fn side_at_start() {
    let mut system = System::start(Topology::default()).await;
    assert!(stop_at_start(&mut system.sides[0], "link_address"));
}
