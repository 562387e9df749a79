//! Grace periods that no clock can represent.

#![allow(clippy::unwrap_used)]

mod harness;

use std::process::Command;

use currantlink_standins::deployment::{Deployment, IDEMPOTENT, Shape, wait_until};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

fn write_grace(deployment: &Deployment, grace_s: f64) {
    let path = &deployment.gateways[0].process.settings;
    let mut settings: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    settings["grace_s"] = grace_s.into();
    std::fs::write(path, settings.to_string()).unwrap();
}

#[tokio::test]
async fn endless_grace() {
    let (mut deployment, _directory) = harness::start(Shape::default()).await;
    write_grace(&deployment, 1e300);
    let output = Command::new(env!("CARGO_BIN_EXE_currantlinkd"))
        .args(["gateway", "--check", "--settings"])
        .arg(&deployment.gateways[0].process.settings)
        .output()
        .unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    let process = &deployment.gateways[0].process;
    let id = Pid::from_raw(process.id().unwrap() as i32);
    let log = process.log_path();
    kill(id, Signal::SIGHUP).unwrap();
    let is_read = || async { std::fs::read_to_string(&log).unwrap().contains("\"settings re") };
    wait_until(is_read).await;
    assert_eq!(deployment.send_request("GET", IDEMPOTENT, "first").await.code(), 200);
    kill(id, Signal::SIGTERM).unwrap();
    assert!(deployment.gateways[0].process.wait().unwrap(), "the stop ends with a failure");
    assert!(!output.status.success() && error.contains("grace_s"), "{error:?}");
}
