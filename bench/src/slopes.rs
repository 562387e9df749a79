//! Measures the marginal cost of items such as workspaces, records and requests.
//!
//! Each item is measured in several numbers, which shows whether the total cost grows linearly.

use std::time::Instant;

use bytes::Bytes;
use currantlink_core::config::compile;
use currantlink_core::experts::{Costs, Policy, Weights};
use currantlink_core::fold::{Fold, RULE_VERSION};
use currantlink_core::gate::{Gate, Limits, LinkId, Submission};
use currantlink_core::ids::{BackendKey, CallKey, Incarnation, RequestId, WorkspaceName};
use currantlink_core::map::LayerMap;
use currantlink_core::router::{Candidate, choose};
use currantlink_core::ticket::Minter;
use currantlink_wire::config::{Change, FileEdit, Record, State, record};
use currantlink_wire::link::{
    CallRef, End, Frame, Head, Header, LayerBody, MapBody, Ping, Pong, SideStatus, Submit, ToEntry,
    ToSide, frame, to_entry, to_side,
};
use prost::Message;
use serde::Serialize;

use crate::args::Slopes;
use crate::error::BenchError;
use crate::output;

const KIB: u64 = 1_024;
const PAGE_BYTES: u64 = 4 * KIB;
const TOKENS_PER_EXPERT: f64 = 100.0;

/// Cost per item at one number of items.
#[derive(Clone, Debug, Serialize)]
struct MarginalCost {
    what: &'static str,
    size: usize,
    /// Bytes per item on the wire or in the stored state.
    bytes_each: f64,
    /// Resident memory per item.
    memory_bytes_each: f64,
    cpu_us_each: f64,
}

/// Measures all items at all sizes and prints one line for each.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn run(options: &Slopes) -> Result<(), BenchError> {
    // Runs first, because later measurements reuse freed memory and would hide the growth.
    for size in [20_000, 60_000, 180_000] {
        print(&remembered_calls(size), options.json)?;
    }
    for size in [1_000, 2_000, 4_400] {
        print(&workspaces(size), options.json)?;
    }
    for size in [1_000, 4_000, 13_000] {
        print(&config_records(size), options.json)?;
    }
    for size in [10_000, 20_000, 40_000] {
        print(&link_requests(size), options.json)?;
    }
    for size in [10_000, 100_000, 400_000] {
        print(&token_frames(size), options.json)?;
    }
    for size in [4, 16, 64] {
        print(&routing_choices(size), options.json)?;
    }
    for size in [1_000, 10_000, 100_000] {
        print(&heartbeats(size), options.json)?;
    }
    for size in [64, 128, 256] {
        print(&group_maps(size), options.json)?;
        print(&group_decisions(size), options.json)?;
    }
    Ok(())
}

/// Runs `work` and returns the time, memory and bytes per item.
fn measure<T>(
    what: &'static str,
    size: usize,
    work: impl FnOnce() -> T,
    bytes: impl FnOnce(&T) -> usize,
) -> MarginalCost {
    let before = resident_bytes();
    let began = Instant::now();
    let result = work();
    let cpu_us = began.elapsed().as_secs_f64() * 1e6;
    let grown = resident_bytes().saturating_sub(before);
    let each = size as f64;
    MarginalCost {
        what,
        size,
        bytes_each: bytes(&result) as f64 / each,
        memory_bytes_each: grown as f64 / each,
        cpu_us_each: cpu_us / each,
    }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn workspace_file(from: usize, count: usize) -> String {
    let items = (from..from + count).map(|n| {
        format!(r#"{{"name": "workspace-{n}", "token_sha256": ["{n:064x}"], "weight": 2}}"#)
    });
    format!(r#"{{"workspaces": [{}]}}"#, items.collect::<Vec<_>>().join(","))
}

fn workspaces(size: usize) -> MarginalCost {
    let files: Vec<(String, String)> =
        (0..size / 100).map(|n| (format!("{n:04}.json"), workspace_file(n * 100, 100))).collect();
    let bytes: usize = files.iter().map(|(_, text)| text.len()).sum();
    let texts = || files.iter().map(|(name, text)| (name.as_str(), text.as_bytes()));
    measure("workspace, compiled configuration", size, || compile(texts()), |_| bytes)
}

fn config_records(size: usize) -> MarginalCost {
    let records: Vec<Vec<u8>> = (0..size)
        .map(|n| {
            let edit = FileEdit {
                name: String::from("workspaces.json"),
                base_revision: n as u64,
                content: Some(Bytes::from(workspace_file(0, 3))),
            };
            let change = Change { author: String::from("operator"), edits: vec![edit] };
            let body = Some(record::Body::Change(change));
            Record { record_id: Bytes::from(vec![1; 16]), rule: RULE_VERSION, body }.encode_to_vec()
        })
        .collect();
    let bytes: usize = records.iter().map(Vec::len).sum();
    let fold = || {
        let mut fold = Fold::default();
        for (index, record) in records.iter().enumerate() {
            // All records are well-formed, so the result is not checked.
            let _ = fold.apply(index as u64 + 1, record);
        }
        State::from(&fold).encoded_len()
    };
    measure("configuration record, folded", size, fold, |_| bytes)
}

fn call_ref(number: usize) -> CallRef {
    let mut id = vec![0; 16];
    id[..8].copy_from_slice(&(number as u64).to_be_bytes());
    let (request_id, workspace) = (Bytes::from(id), String::from("workspace-1"));
    CallRef { request_id, workspace, attempt: 0, stream: number as u64 }
}

fn submit(number: usize) -> ToSide {
    let header = |name: &str, value: &'static str| Header {
        name: name.to_owned(),
        value: Bytes::from_static(value.as_bytes()),
    };
    let submit = Submit {
        call: Some(call_ref(number)),
        service: String::from("llm"),
        method: String::from("POST"),
        path: String::from("/v1/completions"),
        headers: vec![header("content-type", "application/json"), header("accept", "*/*")],
        body: Bytes::from(vec![b'x'; KIB as usize]),
        remaining_ms: 20_000,
        priority: 1,
        idempotent: true,
        ticket: Bytes::new(),
        work_tokens: 300,
        adapter: String::new(),
    };
    ToSide { incarnation: 1, body: Some(to_side::Body::Submit(submit)) }
}

fn to_frame(number: usize, seq: u64, body: frame::Body) -> ToEntry {
    let frame = Frame { call: Some(call_ref(number)), seq, body: Some(body) };
    ToEntry { body: Some(to_entry::Body::Frame(frame)) }
}

fn link_requests(size: usize) -> MarginalCost {
    let exchange = |number: usize| {
        let head = Head { status: 200, headers: Vec::new() };
        let end = End { frames: 2, bytes: KIB };
        let up = submit(number).encode_to_vec();
        let down = [
            to_frame(number, 0, frame::Body::Head(head)).encode_to_vec(),
            to_frame(number, 2, frame::Body::End(end)).encode_to_vec(),
        ];
        let is_decoded = ToSide::decode(up.as_slice()).is_ok();
        let decoded_count = down.iter().filter(|d| ToEntry::decode(d.as_slice()).is_ok()).count();
        up.len() + down.iter().map(Vec::len).sum::<usize>() + usize::from(!is_decoded) + 2
            - decoded_count
    };
    let all = || (0..size).map(exchange).sum::<usize>();
    measure("request with 1 KiB prompt, link messages", size, all, |bytes| *bytes)
}

fn token_frames(size: usize) -> MarginalCost {
    let token = Bytes::from_static(b"data: {\"token\":\"t1234\"}\n\n");
    let frames = || {
        let sent = (0..size).map(|n| {
            let frame = to_frame(1, n as u64, frame::Body::Data(token.clone())).encode_to_vec();
            let is_decoded = ToEntry::decode(frame.as_slice()).is_ok();
            frame.len() + usize::from(!is_decoded)
        });
        sent.sum::<usize>()
    };
    measure("token frame, link message", size, frames, |bytes| *bytes)
}

fn remembered_calls(size: usize) -> MarginalCost {
    let incarnation = Incarnation(1);
    let minter = Minter::new(incarnation, "backend", [1; 32], 60_000);
    let limits = Limits {
        max_running: size,
        max_queued: size,
        max_retained: size,
        retention_ms: 60_000,
        orphan_ms: 5_000,
        us_per_token: 200,
    };
    let fill = || {
        let mut gate = Gate::new(incarnation, minter, limits);
        for number in 0..size {
            let key = call_key(number);
            gate.submit(0, submission(key.clone()));
            gate.finished(1, &key, 1_000);
        }
        gate
    };
    measure("remembered call, gate", size, fill, |_| 0)
}

fn call_key(number: usize) -> CallKey {
    let mut id = [0; 16];
    id[..8].copy_from_slice(&(number as u64).to_be_bytes());
    let workspace = WorkspaceName::from("workspace-1");
    CallKey { workspace, request: RequestId::from(id), attempt: 0 }
}

fn submission(key: CallKey) -> Submission {
    Submission {
        key,
        link: LinkId { entry: 1, generation: 1 },
        service: String::from("llm"),
        remaining_ms: 20_000,
        priority: 1,
        weight: 1,
        workspace_limit: usize::MAX,
        work_tokens: 300,
        ticket: None,
    }
}

fn routing_choices(size: usize) -> MarginalCost {
    const ROUNDS: usize = 10_000;
    let candidates: Vec<Candidate> = (0..size)
        .map(|n| Candidate {
            backend: BackendKey(n as u32),
            reported_tokens: n as u64 * 37 % 1_000,
            report_age_ms: 20,
            sent_tokens: 0,
            capacity: 64,
            us_per_token: 200,
            one_way_us: 50,
            adapter_load_us: 0,
            cached_tokens: 0,
            draining: false,
            ejected: false,
        })
        .collect();
    let choose_all = || {
        let chosen = (0..ROUNDS as u64).filter(|&draw| {
            let draw = draw.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            choose(&candidates, &[], 300, 20_000, draw).is_ok()
        });
        chosen.count()
    };
    let mut cost = measure("backend considered, 10000 choices", size, choose_all, |_| 0);
    cost.cpu_us_each /= ROUNDS as f64;
    cost.memory_bytes_each = 0.0;
    cost
}

fn heartbeats(size: usize) -> MarginalCost {
    let exchange = || {
        let status = SideStatus {
            backend: String::from("clear-llm-123"),
            incarnation: u64::MAX,
            queued: 10,
            running: 60,
            capacity: 64,
            work_tokens: 20_000,
            config_offset: 1_000_000,
            map_version: 1_000,
            us_per_token: 200,
            ..SideStatus::default()
        };
        let ping = to_side::Body::Ping(Ping { nonce: 1 });
        let ping = ToSide { incarnation: u64::MAX, body: Some(ping) }.encode_to_vec();
        let pong = Pong { nonce: 1, status: Some(status), received_tokens: 1_000_000 };
        let pong = ToEntry { body: Some(to_entry::Body::Pong(pong)) }.encode_to_vec();
        let is_decoded =
            ToSide::decode(ping.as_slice()).is_ok() && ToEntry::decode(pong.as_slice()).is_ok();
        ping.len() + pong.len() + usize::from(!is_decoded)
    };
    let all = || (0..size).map(|_| exchange()).sum::<usize>();
    measure("heartbeat of a link, ping and pong", size, all, |bytes| *bytes)
}

fn group_maps(ranks: usize) -> MarginalCost {
    let body = || {
        let layer = LayerBody { slots_per_rank: 2, experts: (0..ranks as u32 * 2).collect() };
        MapBody { layers: vec![layer] }.encode_to_vec()
    };
    measure("rank, map of one layer with 2 slots", ranks, body, Vec::len)
}

fn group_decisions(ranks: usize) -> MarginalCost {
    const STEPS: u64 = 200;
    let decide = || {
        let Ok(map) = LayerMap::round_robin(ranks, ranks, 2) else {
            return 0;
        };
        let weights = Weights { skew: 4.0, moves: 1.0 };
        let costs = Costs { switch_steps: 1.0, transfers_per_step: 64.0 };
        let mut policy = Policy::new(weights, costs, [map]);
        for step in 0..STEPS {
            let tokens: Vec<f64> = (0..ranks)
                .map(|e| TOKENS_PER_EXPERT * (1.0 + ((e as u64 * 7 + step) % 11) as f64 / 10.0))
                .collect();
            policy.observe(0, &tokens);
            policy.end_step();
            // Only the time of the decision is measured.
            let _ = policy.decide();
        }
        0
    };
    let mut cost = measure("rank, observe and decide one step", ranks, decide, |_| 0);
    cost.cpu_us_each /= STEPS as f64;
    cost
}

fn print(cost: &MarginalCost, json: bool) -> Result<(), BenchError> {
    let MarginalCost { what, size, bytes_each, memory_bytes_each, cpu_us_each } = cost;
    output::report(cost, json, || {
        format!(
            "{what:<42} size={size:<7} bytes={bytes_each:<9.1} memory={memory_bytes_each:<9.0} \
         cpu_us={cpu_us_each:.3}"
        )
    })
}
