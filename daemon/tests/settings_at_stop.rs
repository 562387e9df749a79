//! A gateway is stopped after its settings have changed.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::deployment::{IDEMPOTENT, Shape};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const GRACE: Duration = Duration::from_millis(100);

/// The file may change without a signal; the platform ends the process after the new grace period.
#[tokio::test]
async fn unsignalled_grace() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    let process = &deployment.gateways[0].process;
    let text = std::fs::read_to_string(&process.settings).unwrap();
    let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
    settings["grace_s"] = GRACE.as_secs_f64().into();
    std::fs::write(&process.settings, settings.to_string()).unwrap();
    kill(Pid::from_raw(process.id().unwrap() as i32), Signal::SIGTERM).unwrap();
    tokio::time::sleep(GRACE * 3).await;
    let reply = deployment.send_request("GET", IDEMPOTENT, "late").await;
    assert_ne!(reply.code(), 200, "taken after the grace period in the settings file");
}
