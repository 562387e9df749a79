//! Entries of another writer in the list of backends and in the topics of the processes: they name no
//! backend and no process, and the others hold.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_platform::names;
use currantlink_standins::backends::Backend;
use currantlink_standins::deployment::{
    self, ClientRequest, Deployment, IDEMPOTENT, Shape, wait_until,
};
use currantlink_wire::peers::{Peer, Role};
use prost::Message;

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

/// An entry of another writer that names the address of a sound backend or its id.
#[derive(Clone, Copy, Debug)]
struct Claim {
    has_own_id: bool,
    has_own_address: bool,
    service: &'static str,
    born_ms: u64,
    state: &'static str,
}

const CLAIMS: [Claim; 9] = {
    let of_address = Claim {
        has_own_id: false,
        has_own_address: true,
        service: "host-metrics",
        born_ms: LATER_MS,
        state: "ready",
    };
    let of_id = Claim { has_own_id: true, ..of_address };
    [
        of_address,
        Claim { service: "model", ..of_address },
        Claim { service: "plain", ..of_address },
        Claim { service: "plain", born_ms: 0, ..of_address },
        Claim { service: "plain", state: "draining", ..of_address },
        of_id,
        Claim { born_ms: BORN_MS, state: "draining", ..of_id },
        Claim { service: "plain", has_own_address: false, ..of_id },
        Claim {
            service: "plain",
            has_own_address: false,
            born_ms: BORN_MS,
            state: "draining",
            ..of_id
        },
    ]
};
/// Start time of the sound backends in their records.
const BORN_MS: u64 = 1;
const LATER_MS: u64 = 1_000;

impl Claim {
    /// Returns whether the entry names no backend and is not under the id of one.
    fn is_harmless(self) -> bool {
        !self.has_own_id && !["plain", "model"].contains(&self.service)
    }

    fn put(self, deployment: &Deployment, number: usize) {
        let Claim { has_own_id, has_own_address, service, born_ms, state } = self;
        let id = if has_own_id { format!("plain-{number}") } else { format!("other-{number}") };
        let address = match has_own_address {
            true => deployment.plain_addresses[number].to_string(),
            false => "127.0.0.1:9".to_owned(),
        };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"a","state":"{state}","slots":4,
                 "born":{born_ms}}}"#
        );
        deployment.records.put(names::BACKENDS_TOPIC, &id, entry.as_bytes());
    }
}

/// Waits until each gateway sends requests to each of the backends.
async fn reaches_all(deployment: &Deployment) {
    for gateway in &deployment.gateways {
        for backend in &deployment.plain_backends {
            let reached = || async {
                let before = backend.arrivals();
                let request = ClientRequest::new("GET", IDEMPOTENT, "r-1");
                deployment::send_request(gateway.callers, &request).await.code() == 200
                    && backend.arrivals() > before
            };
            wait_until(reached).await;
        }
    }
}

/// Writes the records of the backends again, as they do at intervals.
fn write_again(deployment: &Deployment) {
    for (number, &address) in deployment.plain_addresses.iter().enumerate() {
        deployment.register(&format!("plain-{number}"), "plain", address, "ready");
    }
}

/// Guards against entries of another writer that take sound backends from the gateways for good.
#[tokio::test]
async fn claimed_backends() {
    for claim in CLAIMS {
        println!("{claim:?}");
        let shape = Shape { gateways: 2, plain_backends: 2, ..Shape::default() };
        let (mut deployment, _directory) = harness::start_serving(shape).await;
        (0..2).for_each(|number| claim.put(&deployment, number));
        // The entries have been followed once a later one is.
        let (spare, _) = harness::add_spare(&deployment).await;
        reaches(&deployment, &spare).await;
        deployment.unregister("spare");
        if !claim.is_harmless() {
            write_again(&deployment);
        }
        reaches_all(&deployment).await;
        let process = &mut deployment.gateways[0].process;
        process.kill();
        process.start().unwrap();
        deployment.wait_until_ready().await;
        if !claim.is_harmless() {
            write_again(&deployment);
        }
        reaches_all(&deployment).await;
    }
}

/// Guards against a backend that stays lost after another writer has removed or overwritten its entry.
#[tokio::test]
async fn overwritten_entries() {
    let shape = Shape { gateways: 2, plain_backends: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    for value in [b"".as_slice(), b"\xff\xfe", b"{}", br#"{"state":"asleep"}"#] {
        for id in ["plain-0", "plain-1"] {
            deployment.records.put(names::BACKENDS_TOPIC, id, value);
        }
        let (spare, _) = harness::add_spare(&deployment).await;
        reaches(&deployment, &spare).await;
        deployment.unregister("spare");
        write_again(&deployment);
        reaches_all(&deployment).await;
    }
}

/// Guards against records of another writer in the processes' own topics that keep processes which start
/// later from serving.
#[tokio::test]
async fn odd_peers() {
    let shape = Shape { gateways: 2, ranks: 2, plain_backends: 1, ..Shape::default() };
    let (mut deployment, _directory) = harness::start_streaming(shape).await;
    let peer = |name: &str, role: Role| Peer {
        name: name.into(),
        role: role.into(),
        incarnation: 1,
        address: "127.0.0.1:9".into(),
        failure_domain: "a".into(),
        backend_address: deployment.plain_addresses[0].to_string(),
    };
    let others = [
        ("agent-0", peer("agent-0", Role::Agent).encode_to_vec()),
        ("gateway-1", peer("gateway-1", Role::Gateway).encode_to_vec()),
        ("stranger", peer("stranger", Role::Gateway).encode_to_vec()),
        ("agent-1", b"\xff\xfe".to_vec()),
        ("", b"{}".to_vec()),
    ];
    for (key, value) in &others {
        deployment.records.put(names::PEERS_TOPIC, key, value);
    }
    deployment.records.put(names::LEADERS_TOPIC, "stranger", b"{}");
    for index in 0..2 {
        for process in [&mut deployment.gateways[index].process, &mut deployment.agents[index]] {
            process.kill();
            process.start().unwrap();
        }
        deployment.wait_until_ready().await;
        harness::wait_until_streaming(&deployment).await;
        reaches_all(&deployment).await;
    }
}
