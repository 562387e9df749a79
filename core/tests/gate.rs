//! Admission, fairness, limits and draining of one side.
#![allow(clippy::unwrap_used)]

mod common;

use common::calls::{gate, limits};
use currantlink_core::gate::{Asked, Command, Gate, Known, Limits, LinkId, Offer, Refusal};
use currantlink_core::ids::{CallKey, Incarnation, RequestId, WorkspaceName};
use currantlink_core::ticket::{Minter, Ticket};
use proptest::collection::vec;
use proptest::prelude::*;

const LINK: LinkId = LinkId { entry: 1, generation: 1 };

fn offer(workspace: &str, number: u16) -> Offer {
    let mut id = [0; 16];
    id[..2].copy_from_slice(&number.to_be_bytes());
    let key = CallKey {
        workspace: WorkspaceName::from(workspace),
        request: RequestId::from(id),
        attempt: 0,
    };
    Offer {
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

fn asked(key: &CallKey) -> Asked {
    Asked { key: key.clone(), service: "s".into(), ticket: None }
}

fn started(commands: &[Command]) -> Vec<CallKey> {
    let starts = commands.iter().filter_map(|c| match c {
        Command::Start(key) => Some(key.clone()),
        _ => None,
    });
    starts.collect()
}

fn reason(commands: &[Command]) -> Option<Refusal> {
    commands.iter().find_map(|c| match c {
        Command::Refuse(_, refused) => Some(refused.reason),
        _ => None,
    })
}

fn fill(gate: &mut Gate, workspace: &str, count: u16) {
    for number in 0..count {
        gate.offer(0, offer(workspace, number));
    }
}

#[test]
fn bounded_queue() {
    let mut gate = gate(0, 1);
    fill(&mut gate, "big", 100);
    assert_eq!((gate.running(), gate.queued()), (limits().max_running, limits().max_queued));
}

#[test]
fn quiet_workspace() {
    let mut gate = gate(0, 1);
    fill(&mut gate, "big", 100);
    let quiet = offer("quiet", 500);
    let key = quiet.key.clone();
    let commands = gate.offer(1, quiet);
    assert_eq!(reason(&commands), Some(Refusal::QueueFull));
    assert!(commands.contains(&Command::Hold(key.clone())), "{commands:?}");
    let running = offer("big", 0).key;
    let next = started(&gate.finished(2, &running, 1_000));
    assert_eq!(next, vec![key]);
}

#[test]
fn weighted_shares() {
    let mut gate = gate(0, 1);
    fill(&mut gate, "filler", 4);
    for number in 0..4 {
        gate.offer(0, Offer { weight: 3, ..offer("heavy", 100 + number) });
        gate.offer(0, offer("light", 200 + number));
    }
    let mut order = Vec::new();
    let mut running: Vec<CallKey> = (0..4).map(|n| offer("filler", n).key).collect();
    while let Some(key) = running.pop() {
        let next = started(&gate.finished(1, &key, 1_000));
        order.extend(next.iter().map(|k| k.workspace.to_string()));
        running.extend(next);
    }
    let heavy_first = order.iter().take(4).filter(|w| *w == "heavy").count();
    assert!(heavy_first >= 3, "{order:?}");
}

#[test]
fn urgent_first() {
    let mut gate = gate(0, 1);
    fill(&mut gate, "filler", 4);
    gate.offer(0, Offer { priority: 5, ..offer("a", 100) });
    gate.offer(0, Offer { priority: 0, ..offer("b", 101) });
    let next = started(&gate.finished(1, &offer("filler", 0).key, 1_000));
    assert_eq!(next, vec![offer("b", 101).key]);
}

#[test]
fn old_calls_rise() {
    let mut gate = gate(0, 1);
    fill(&mut gate, "filler", 4);
    let patient = Offer { priority: 2, remaining_ms: 60_000, ..offer("a", 100) };
    gate.offer(0, patient);
    gate.offer(9_000, Offer { priority: 0, ..offer("b", 101) });
    let next = started(&gate.finished(9_001, &offer("filler", 0).key, 1_000));
    assert_eq!(next, vec![offer("a", 100).key]);
}

#[test]
fn workspace_limit() {
    let mut gate = gate(0, 1);
    gate.offer(0, Offer { workspace_limit: 1, ..offer("a", 1) });
    let commands = gate.offer(0, Offer { workspace_limit: 1, ..offer("a", 2) });
    assert_eq!(reason(&commands), Some(Refusal::WorkspaceLimit));
}

#[test]
fn hopeless_deadline() {
    let mut gate = gate(0, 1);
    fill(&mut gate, "a", 8);
    let commands = gate.offer(0, Offer { remaining_ms: 0, ..offer("a", 100) });
    assert_eq!(reason(&commands), Some(Refusal::Deadline));
}

#[test]
fn passed_deadline() {
    let mut gate = gate(0, 1);
    fill(&mut gate, "a", 4);
    let late = Offer { remaining_ms: 50, ..offer("b", 100) };
    let key = late.key.clone();
    gate.offer(0, late);
    let commands = gate.tick(60);
    assert_eq!(reason(&commands), Some(Refusal::Deadline));
    assert_eq!(gate.query(61, asked(&key), LINK), Known::NotRun);
}

#[test]
fn tombstoned_call() {
    let mut gate = gate(0, 1);
    let late = offer("a", 1);
    assert_eq!(gate.query(0, asked(&late.key), LINK), Known::NotRun);
    assert_eq!(reason(&gate.offer(1, late)), Some(Refusal::Tombstoned));
}

#[test]
fn replaced_link() {
    let mut gate = gate(0, 1);
    gate.link_opened(LINK);
    gate.link_opened(LinkId { generation: 2, ..LINK });
    assert_eq!(reason(&gate.offer(0, offer("a", 1))), Some(Refusal::StaleLink));
}

#[test]
fn lost_link() {
    let mut gate = gate(0, 1);
    let call = offer("a", 1);
    gate.offer(0, call.clone());
    gate.link_lost(0, LINK);
    assert_eq!(gate.tick(limits().orphan_ms - 1), vec![]);
    assert_eq!(gate.tick(limits().orphan_ms), vec![Command::Stop(call.key)]);
}

#[test]
fn draining_side() {
    let mut gate = gate(0, 1);
    let workspace = WorkspaceName::from("a");
    let request = RequestId::from([7; 16]);
    let ticket = gate.mint(0, &workspace, "s", request).unwrap().to_bytes();
    let running = offer("a", 1);
    gate.offer(0, running.clone());
    gate.drain(1, true);
    assert_eq!(reason(&gate.offer(2, offer("a", 2))), Some(Refusal::Draining));
    assert_eq!(gate.mint(2, &workspace, "s", request).unwrap_err().reason, Refusal::Draining);
    let key = CallKey { workspace, request, attempt: 0 };
    let ticketed = |ticket: &[u8]| Offer {
        key: key.clone(),
        ticket: Some(Ticket::try_from(ticket).unwrap()),
        ..offer("a", 3)
    };
    assert_eq!(started(&gate.offer(3, ticketed(&ticket))), vec![key.clone()]);
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
    let again = || Offer {
        key: key.clone(),
        ticket: Some(Ticket::try_from(ticket.as_slice()).unwrap()),
        ..offer("a", 3)
    };
    assert_eq!(started(&gate.offer(0, again())), vec![key.clone()]);
    gate.finished(10, &key, 1_000);
    gate.tick(30_000);
    assert_eq!(gate.offer(30_000, again()), vec![Command::Attach(key.clone())]);
}

#[test]
fn late_ticket() {
    let mut gate = gate(0, 1);
    let workspace = WorkspaceName::from("a");
    let request = RequestId::from([7; 16]);
    let ticket = gate.mint(0, &workspace, "s", request).unwrap().to_bytes();
    gate.drain(1, true);
    let key = CallKey { workspace, request, attempt: 0 };
    let ticket = Some(Ticket::try_from(ticket.as_slice()).unwrap());
    let commands = gate.offer(3_001, Offer { key, ticket, ..offer("a", 3) });
    assert_eq!(reason(&commands), Some(Refusal::Draining));
}

#[derive(Clone, Debug)]
enum Event {
    Offer(u16, u8, u64),
    Finish,
    Query(u16),
    Cancel(u16),
    Tick(u64),
    Drain(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u16..40, 0_u8..3, 0_u64..500).prop_map(|(n, w, ms)| Event::Offer(n, w, ms)),
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
                Event::Offer(n, w, ms) => {
                    let made = Offer { remaining_ms: ms, ..offer(workspace(w), n) };
                    gate.offer(now_ms, made)
                }
                Event::Finish => match running.pop() {
                    Some(key) => gate.finished(now_ms, &key, 1_000),
                    None => vec![],
                },
                Event::Query(n) => {
                    gate.query(now_ms, asked(&offer("a", n).key), LINK);
                    vec![]
                }
                Event::Cancel(n) => gate.cancel(now_ms, &offer("a", n).key),
                Event::Tick(ms) => {
                    now_ms += ms;
                    gate.tick(now_ms)
                }
                Event::Drain(drained) => {
                    gate.drain(now_ms, drained);
                    vec![]
                }
            };
            running.extend(started(&commands));
            prop_assert_eq!(gate.running(), running.len());
            prop_assert!(gate.running() <= limits().max_running);
            prop_assert!(gate.queued() <= limits().max_queued);
            prop_assert!(gate.remembered() <= 2 * limits().max_remembered);
        }
    }
}
