//! Entries of another writer in the list of backends: they name no backend, and the others hold.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_platform::names;
use currantlink_standins::backends::Backend;
use currantlink_standins::deployment::{Deployment, IDEMPOTENT, Shape, wait_until};

fn put_odd_entries(deployment: &Deployment) {
    let deep = format!("{}1{}", "[".repeat(50_000), "]".repeat(50_000));
    let entry = |address: &str, slots: &str, born: &str, other: &str| {
        format!(
            r#"{{"service":"plain","address":"{address}","zone":"a","state":"ready","slots":{slots},
                 "born":{born},"other":{other}}}"#
        )
    };
    let entries = [
        deep.clone(),
        entry("127.0.0.1:9", "4", "1", &deep),
        entry("127.0.0.1:65536", "4", "1", "0"),
        entry("127.0.0.1:0", "4", "1", "0"),
        entry("127.0.0.1:9", "4294967295", "1", "0"),
        entry("127.0.0.1:9", "1e999", "1", "0"),
        entry("127.0.0.1:9", "4", "18446744073709551615", "1e999"),
        entry("127.0.0.1:9", "4", "-99999999999999999999999", "0"),
        "\u{0}".to_owned(),
    ];
    for (index, entry) in entries.iter().enumerate() {
        deployment.records.put(names::BACKENDS_TOPIC, &format!("odd-{index}"), entry.as_bytes());
    }
    deployment.records.put(names::BACKENDS_TOPIC, &"k".repeat(255), b"\xff\xfe");
    deployment.records.put(names::BACKENDS_TOPIC, "", deep.as_bytes());
}

async fn reaches(deployment: &Deployment, backend: &Backend) {
    let reached = || async {
        let before = backend.arrivals();
        deployment.send_request("GET", IDEMPOTENT, "r-1").await.code() == 200
            && backend.arrivals() > before
    };
    wait_until(reached).await;
}

#[tokio::test]
async fn other_entries_hold() {
    let shape = Shape { plain_backends: 2, ..Shape::default() };
    let (mut deployment, _directory) = harness::start_serving(shape).await;
    put_odd_entries(&deployment);
    // The changes after the odd ones are followed.
    let (spare, _) = harness::add_spare(&deployment).await;
    reaches(&deployment, &spare).await;
    for index in 0..40 {
        let response = deployment.send_request("GET", IDEMPOTENT, &format!("r-{index}")).await;
        assert_eq!(response.code(), 200);
    }
    let process = &mut deployment.gateways[0].process;
    assert!(process.is_running().unwrap(), "the gateway has ended");
    // A new process lists all entries, odd ones included.
    process.kill();
    process.start().unwrap();
    deployment.wait_until_ready().await;
    reaches(&deployment, &spare).await;
}
