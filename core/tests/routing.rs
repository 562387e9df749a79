//! Backend selection, outlier ejection, subsets, retries and prefix hints of the entry.
#![allow(clippy::unwrap_used)]

use currantlink_core::attempt::{AttemptEnd, Attempts, NextAction, Outcome, RunPolicy};
use currantlink_core::budget::RetryBudget;
use currantlink_core::gate::Refusal;
use currantlink_core::health::Health;
use currantlink_core::ids::{BackendKey, WorkspaceKey};
use currantlink_core::prefix::{BLOCK_BYTES, PrefixHashes, PrefixTable};
use currantlink_core::router::{Candidate, ChoiceReason, ChooseError, choose};
use currantlink_core::subset::{LinkCandidate, pick};

const WORK_TOKENS: u32 = 100;
const REMAINING_MS: u64 = 60_000;

fn candidate(backend: u32) -> Candidate {
    Candidate {
        backend: BackendKey(backend),
        reported_tokens: 0,
        report_age_ms: 0,
        sent_tokens: 0,
        capacity: 4,
        us_per_token: 100,
        one_way_us: 50,
        adapter_load_us: 0,
        cached_tokens: 0,
        draining: false,
        ejected: false,
    }
}

fn chosen(candidates: &[Candidate], draw: u64) -> (u32, ChoiceReason) {
    let choice = choose(candidates, &[], WORK_TOKENS, REMAINING_MS, draw).unwrap();
    (choice.backend.0, choice.reason)
}

#[test]
fn cheaper_of_two() {
    let busy = Candidate { reported_tokens: 1_000, ..candidate(0) };
    for draw in 0..50 {
        assert_eq!(chosen(&[busy, candidate(1)], draw).0, 1);
    }
}

#[test]
fn own_sends() {
    let sent = Candidate { sent_tokens: 1_000, ..candidate(0) };
    assert_eq!(chosen(&[sent, candidate(1)], 7).0, 1);
}

#[test]
fn draining_backend() {
    let leaving = Candidate { draining: true, ..candidate(0) };
    for draw in 0..50 {
        assert_eq!(chosen(&[leaving, candidate(1)], draw), (1, ChoiceReason::Only));
    }
    let none = choose(&[leaving], &[], WORK_TOKENS, REMAINING_MS, 0);
    assert_eq!(none.unwrap_err(), ChooseError::NoBackend);
}

#[test]
fn ejected_backend() {
    let ejected = Candidate { ejected: true, ..candidate(0) };
    assert_eq!(chosen(&[ejected, candidate(1)], 3).0, 1);
    assert_eq!(chosen(&[ejected], 3).0, 0);
}

#[test]
fn cached_prefix() {
    let mut candidates: Vec<Candidate> = (0..8).map(candidate).collect();
    candidates[5].cached_tokens = 90;
    for draw in 0..50 {
        assert_eq!(chosen(&candidates, draw).0, 5);
    }
    candidates[5].reported_tokens = 10_000;
    assert_ne!(chosen(&candidates, 1).0, 5);
}

#[test]
fn loaded_adapter() {
    let absent = Candidate { adapter_load_us: 500_000, ..candidate(0) };
    let candidates = [absent, Candidate { backend: BackendKey(1), ..absent }, candidate(2)];
    for draw in 0..50 {
        assert_eq!(chosen(&candidates, draw).0, 2);
    }
}

#[test]
fn missed_deadline() {
    let late = choose(&[candidate(0)], &[], WORK_TOKENS, 1, 0);
    assert!(matches!(late, Err(ChooseError::Deadline { late_ms: 10 })), "{late:?}");
}

#[test]
fn tried_backend() {
    let both = [candidate(0), candidate(1)];
    let choice = choose(&both, &[BackendKey(0)], WORK_TOKENS, REMAINING_MS, 5).unwrap();
    assert_eq!(choice.backend, BackendKey(1));
}

#[test]
fn slow_backend() {
    let mut health = Health::default();
    for round in 0..20 {
        for backend in 0..4 {
            let us_per_token = if backend == 0 { 1_000.0 } else { 100.0 };
            health.record_success(round, BackendKey(backend), us_per_token);
        }
    }
    assert!(health.is_ejected(20, BackendKey(0)));
    assert!(!health.is_ejected(20, BackendKey(1)));
    assert!(!health.is_ejected(200_000, BackendKey(0)));
}

#[test]
fn bounded_ejection() {
    let mut health = Health::default();
    for backend in 0..6 {
        for _ in 0..3 {
            health.record_failure(0, BackendKey(backend));
        }
    }
    let ejected = (0..6).filter(|&key| health.is_ejected(1, BackendKey(key))).count();
    assert!(ejected <= 2, "{ejected}");
}

#[test]
fn retry_budget() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
        retries += u32::from(budget.withdraw());
    }
    assert!(retries <= 110, "{retries}");
}

#[test]
fn reported_outcomes() {
    let refused = AttemptEnd::Refused { reason: Refusal::QueueFull, retry_after_ms: 70 };
    let end = |repeat, endings: &[AttemptEnd]| {
        let mut attempts = Attempts::new(repeat, 1_000);
        let mut last = NextAction::Retry;
        for &ending in endings {
            last = attempts.attempt_ended(0, ending, false, || true);
        }
        last
    };
    let outcome = |next| match next {
        NextAction::GiveUp { outcome, .. } => Some(outcome),
        NextAction::Retry => None,
    };
    use RunPolicy::{Idempotent, Ticketed};
    assert_eq!(outcome(end(Idempotent, &[AttemptEnd::NoBackend])), Some(Outcome::NotRun));
    let lost_then_none = [AttemptEnd::IncarnationLost, AttemptEnd::NoBackend];
    assert_eq!(outcome(end(Idempotent, &lost_then_none)), Some(Outcome::Unknown));
    assert_eq!(outcome(end(Ticketed, &[refused])), Some(Outcome::NotRun));
    assert_eq!(outcome(end(Ticketed, &[AttemptEnd::NotSent])), Some(Outcome::Unknown));
    assert_eq!(outcome(end(Ticketed, &[AttemptEnd::IncarnationLost])), Some(Outcome::Unknown));
    assert_eq!(end(Idempotent, &[refused]), NextAction::Retry);
}

#[test]
fn small_subset() {
    let names: Vec<String> = (0..100).map(|n| format!("backend-{n}")).collect();
    let options: Vec<LinkCandidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(n, name)| LinkCandidate { backend: BackendKey(n as u32), name, local: n % 2 == 0 })
        .collect();
    let picked = pick("entry-1", &options, 16);
    assert_eq!(picked.len(), 16);
    let local = picked.iter().filter(|key| key.0 % 2 == 0).count();
    assert_eq!(local, 12);
    let fewer = pick("entry-1", &options[1..], 16);
    assert!(fewer.intersection(&picked).count() >= 14);
    assert_ne!(pick("entry-2", &options, 16), picked);
    assert_eq!(pick("entry-1", &options[..5], 16).len(), 5);
}

#[test]
fn prefix_hints() {
    let prompt = vec![b'x'; BLOCK_BYTES * 3];
    let own = PrefixHashes::of(WorkspaceKey(1), &prompt);
    let mut table = PrefixTable::default();
    table.record(0, BackendKey(4), &own);
    let longer = [prompt.as_slice(), &[b'y'; BLOCK_BYTES]].concat();
    let found = table.holders(0, &PrefixHashes::of(WorkspaceKey(1), &longer));
    assert_eq!(found, [(BackendKey(4), 192)]);
    assert_eq!(table.holders(0, &PrefixHashes::of(WorkspaceKey(2), &prompt)), []);
    assert_eq!(table.holders(20_000, &own), [(BackendKey(4), 96)]);
    table.record(20_000, BackendKey(5), &own);
    assert_eq!(table.holders(20_000, &own), [(BackendKey(4), 96), (BackendKey(5), 192)]);
    table.remove_backend(BackendKey(5));
    assert_eq!(table.holders(20_000, &own), [(BackendKey(4), 96)]);
}
