//! Admission control of one side: fairness, priorities, limits, tombstones and draining.
#![allow(clippy::unwrap_used)]

mod common;

use common::calls::{gate, limits};
use currantlink_core::gate::{
    CallQuery, CallStatus, Command, Gate, Limits, LinkId, Refusal, Submission,
};
use currantlink_core::ids::{CallKey, Incarnation, RequestId, WorkspaceName};
use currantlink_core::ticket::{Minter, Ticket};
use proptest::collection::vec;
use proptest::prelude::*;

const LINK: LinkId = LinkId { entry: 1, generation: 1 };

fn submission(workspace: &str, number: u16) -> Submission {
    let mut id = [0; 16];
    id[..2].copy_from_slice(&number.to_be_bytes());
    let key = CallKey {
        workspace: WorkspaceName::from(workspace),
        request: RequestId::from(id),
        attempt: 0,
    };
    Submission {
        key,
        link: LINK,
        service: "s".into(),
        remaining_ms: 10_000,
        priority: 1,
        weight: 1,
        workspace_limit: usize::MAX,
        work_tokens: 10,
        ticket: None,
    }
}

fn query(key: &CallKey) -> CallQuery {
    CallQuery { key: key.clone(), service: "s".into(), ticket: None }
}

fn started_calls(commands: &[Command]) -> Vec<CallKey> {
    let starts = commands.iter().filter_map(|c| match c {
        Command::Start(key) => Some(key.clone()),
        _ => None,
    });
    starts.collect()
}

fn refusal_reason(commands: &[Command]) -> Option<Refusal> {
    commands.iter().find_map(|c| match c {
        Command::Refuse(_, refused) => Some(refused.reason),
        _ => None,
    })
}

fn submit_many(gate: &mut Gate, workspace: &str, count: u16) {
    for number in 0..count {
        gate.submit(0, submission(workspace, number));
    }
}

#[test]
fn bounded_queue() {
    let mut gate = gate(0, 1);
    submit_many(&mut gate, "busy", 100);
    assert_eq!((gate.running(), gate.queued()), (limits().max_running, limits().max_queued));
}

#[test]
fn quiet_workspace() {
    let mut gate = gate(0, 1);
    submit_many(&mut gate, "busy", 100);
    let light = submission("light", 500);
    let key = light.key.clone();
    let commands = gate.submit(1, light);
    assert_eq!(refusal_reason(&commands), Some(Refusal::QueueFull));
    assert!(commands.contains(&Command::Enqueue(key.clone())), "{commands:?}");
    let running = submission("busy", 0).key;
    let next = started_calls(&gate.finished(2, &running, 1_000));
    assert_eq!(next, vec![key]);
}

#[test]
fn weighted_shares() {
    let mut gate = gate(0, 1);
    submit_many(&mut gate, "filler", 4);
    for number in 0..4 {
        gate.submit(0, Submission { weight: 3, ..submission("heavy", 100 + number) });
        gate.submit(0, submission("light", 200 + number));
    }
    let mut order = Vec::new();
    let mut running: Vec<CallKey> = (0..4).map(|n| submission("filler", n).key).collect();
    while let Some(key) = running.pop() {
        let next = started_calls(&gate.finished(1, &key, 1_000));
        order.extend(next.iter().map(|k| k.workspace.to_string()));
        running.extend(next);
    }
    let heavy_first = order.iter().take(4).filter(|w| *w == "heavy").count();
    assert!(heavy_first >= 3, "{order:?}");
}

#[test]
fn urgent_first() {
    let mut gate = gate(0, 1);
    submit_many(&mut gate, "filler", 4);
    gate.submit(0, Submission { priority: 5, ..submission("a", 100) });
    gate.submit(0, Submission { priority: 0, ..submission("b", 101) });
    let next = started_calls(&gate.finished(1, &submission("filler", 0).key, 1_000));
    assert_eq!(next, vec![submission("b", 101).key]);
}

#[test]
fn aged_calls_first() {
    let mut gate = gate(0, 1);
    submit_many(&mut gate, "filler", 4);
    let aged = Submission { priority: 2, remaining_ms: 60_000, ..submission("a", 100) };
    gate.submit(0, aged);
    gate.submit(9_000, Submission { priority: 0, ..submission("b", 101) });
    let next = started_calls(&gate.finished(9_001, &submission("filler", 0).key, 1_000));
    assert_eq!(next, vec![submission("a", 100).key]);
}

#[test]
fn workspace_limit() {
    let mut gate = gate(0, 1);
    gate.submit(0, Submission { workspace_limit: 1, ..submission("a", 1) });
    let commands = gate.submit(0, Submission { workspace_limit: 1, ..submission("a", 2) });
    assert_eq!(refusal_reason(&commands), Some(Refusal::WorkspaceLimit));
}

#[test]
fn unreachable_deadline() {
    let mut gate = gate(0, 1);
    submit_many(&mut gate, "a", 8);
    let commands = gate.submit(0, Submission { remaining_ms: 0, ..submission("a", 100) });
    assert_eq!(refusal_reason(&commands), Some(Refusal::Deadline));
}

#[test]
fn passed_deadline() {
    let mut gate = gate(0, 1);
    submit_many(&mut gate, "a", 4);
    let late = Submission { remaining_ms: 50, ..submission("b", 100) };
    let key = late.key.clone();
    gate.submit(0, late);
    let commands = gate.tick(60);
    assert_eq!(refusal_reason(&commands), Some(Refusal::Deadline));
    assert_eq!(gate.query(61, query(&key), LINK), CallStatus::NotRun);
}

#[test]
fn tombstoned_call() {
    let mut gate = gate(0, 1);
    let late = submission("a", 1);
    assert_eq!(gate.query(0, query(&late.key), LINK), CallStatus::NotRun);
    assert_eq!(refusal_reason(&gate.submit(1, late)), Some(Refusal::Tombstoned));
}

#[test]
fn replaced_link() {
    let mut gate = gate(0, 1);
    gate.link_opened(LINK);
    gate.link_opened(LinkId { generation: 2, ..LINK });
    assert_eq!(refusal_reason(&gate.submit(0, submission("a", 1))), Some(Refusal::StaleLink));
}

#[test]
fn lost_link() {
    let mut gate = gate(0, 1);
    let call = submission("a", 1);
    gate.submit(0, call.clone());
    gate.link_lost(0, LINK);
    assert_eq!(gate.tick(limits().orphan_ms - 1), vec![]);
    assert_eq!(gate.tick(limits().orphan_ms), vec![Command::Cancel(call.key)]);
}

#[test]
fn draining_side() {
    let mut gate = gate(0, 1);
    let workspace = WorkspaceName::from("a");
    let request = RequestId::from([7; 16]);
    let ticket = gate.mint(0, &workspace, "s", request).unwrap().to_bytes();
    let running = submission("a", 1);
    gate.submit(0, running.clone());
    gate.set_draining(1, true);
    assert_eq!(refusal_reason(&gate.submit(2, submission("a", 2))), Some(Refusal::Draining));
    assert_eq!(gate.mint(2, &workspace, "s", request).unwrap_err().reason, Refusal::Draining);
    let key = CallKey { workspace, request, attempt: 0 };
    let ticketed = |ticket: &[u8]| Submission {
        key: key.clone(),
        ticket: Some(Ticket::try_from(ticket).unwrap()),
        ..submission("a", 3)
    };
    assert_eq!(started_calls(&gate.submit(3, ticketed(&ticket))), vec![key.clone()]);
    assert!(!gate.can_stop(5_000));
    gate.finished(5_000, &key, 1_000);
    gate.finished(5_000, &running.key, 1_000);
    assert!(gate.can_stop(5_001));
}

#[test]
fn remembered_ticket() {
    let incarnation = Incarnation(1);
    let minter = Minter::new(incarnation, "backend", [1; 32], 60_000);
    let mut gate = Gate::new(incarnation, minter, Limits { retention_ms: 1_000, ..limits() });
    let workspace = WorkspaceName::from("a");
    let request = RequestId::from([7; 16]);
    let ticket = gate.mint(0, &workspace, "s", request).unwrap().to_bytes();
    let key = CallKey { workspace, request, attempt: 0 };
    let resubmission = || Submission {
        key: key.clone(),
        ticket: Some(Ticket::try_from(ticket.as_slice()).unwrap()),
        ..submission("a", 3)
    };
    assert_eq!(started_calls(&gate.submit(0, resubmission())), vec![key.clone()]);
    gate.finished(10, &key, 1_000);
    gate.tick(30_000);
    assert_eq!(gate.submit(30_000, resubmission()), vec![Command::Attach(key.clone())]);
}

#[test]
fn late_ticket() {
    let mut gate = gate(0, 1);
    let workspace = WorkspaceName::from("a");
    let request = RequestId::from([7; 16]);
    let ticket = gate.mint(0, &workspace, "s", request).unwrap().to_bytes();
    gate.set_draining(1, true);
    let key = CallKey { workspace, request, attempt: 0 };
    let ticket = Some(Ticket::try_from(ticket.as_slice()).unwrap());
    let commands = gate.submit(3_001, Submission { key, ticket, ..submission("a", 3) });
    assert_eq!(refusal_reason(&commands), Some(Refusal::Draining));
}

#[derive(Clone, Debug)]
enum Event {
    Submit(u16, u8, u64),
    Finish,
    Query(u16),
    Cancel(u16),
    Tick(u64),
    Drain(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u16..40, 0_u8..3, 0_u64..500).prop_map(|(n, w, ms)| Event::Submit(n, w, ms)),
        3 => Just(Event::Finish),
        1 => (0_u16..40).prop_map(Event::Query),
        1 => (0_u16..40).prop_map(Event::Cancel),
        1 => (0_u64..30_000).prop_map(Event::Tick),
        1 => any::<bool>().prop_map(Event::Drain),
    ]
}

proptest! {
    #![proptest_config(common::proptest_config(1_000))]

    #[test]
    fn bounds_hold(events in vec(event(), 1..200)) {
        let mut gate = gate(0, 1);
        let mut now_ms = 0;
        let mut running: Vec<CallKey> = Vec::new();
        for event in events {
            let workspace = |w: u8| ["a", "b", "c"][w as usize];
            let commands = match event {
                Event::Submit(n, w, ms) => {
                    let call = Submission { remaining_ms: ms, ..submission(workspace(w), n) };
                    gate.submit(now_ms, call)
                }
                Event::Finish => match running.pop() {
                    Some(key) => gate.finished(now_ms, &key, 1_000),
                    None => vec![],
                },
                Event::Query(n) => {
                    gate.query(now_ms, query(&submission("a", n).key), LINK);
                    vec![]
                }
                Event::Cancel(n) => gate.cancel(now_ms, &submission("a", n).key),
                Event::Tick(ms) => {
                    now_ms += ms;
                    gate.tick(now_ms)
                }
                Event::Drain(draining) => {
                    gate.set_draining(now_ms, draining);
                    vec![]
                }
            };
            running.extend(started_calls(&commands));
            prop_assert_eq!(gate.running(), running.len());
            prop_assert!(gate.running() <= limits().max_running);
            prop_assert!(gate.queued() <= limits().max_queued);
            prop_assert!(gate.retained() <= 2 * limits().max_retained);
        }
    }
}
