//! Checks all sequences of attempt outcomes: a request runs at most once, refusals are correct, and
//! the number of backends is bounded.

use currantlink_core::retry::{NextAction, Outcome, RetryState};
use currantlink_core::routes::Repeat;

const OUTCOMES: [Outcome; 8] = [
    Outcome::NotConnected,
    Outcome::NotRun,
    Outcome::Misdirected,
    Outcome::Unknown,
    Outcome::Silent,
    Outcome::NoEvent,
    Outcome::Crashed,
    Outcome::Failed,
];

/// Calls `check` with every sequence of attempt outcomes of a request and its final action.
fn sequences(repeat: Repeat, attempts: u32, check: &mut impl FnMut(&[Outcome], NextAction)) {
    fn explore(
        state: &RetryState,
        seen: &mut Vec<Outcome>,
        check: &mut impl FnMut(&[Outcome], NextAction),
    ) {
        const MAX_ATTEMPTS: usize = 5;
        for outcome in OUTCOMES {
            let mut state = state.clone();
            if outcome != Outcome::NotConnected {
                state.record_dispatch();
            }
            seen.push(outcome);
            match state.attempt_ended(outcome, || true) {
                NextAction::Retry if seen.len() < MAX_ATTEMPTS => explore(&state, seen, check),
                NextAction::Retry => {}
                next => check(seen, next),
            }
            seen.pop();
        }
    }
    explore(&RetryState::new(repeat, attempts), &mut Vec::new(), check);
}

fn may_have_run(outcome: &Outcome) -> bool {
    use Outcome::{Crashed, Failed, NoEvent, Silent, Unknown};
    matches!(outcome, Unknown | Silent | NoEvent | Crashed | Failed)
}

#[test]
fn runs_once() {
    for repeat in [Repeat::AtMostOnce, Repeat::Stream { gap_target_ms: 100 }] {
        sequences(repeat, 3, &mut |seen, _| {
            let first = seen.iter().position(may_have_run).unwrap_or(seen.len());
            assert!(first + 1 >= seen.len(), "retried after it may have run: {seen:?}");
        });
    }
}

#[test]
fn truthful_refusal() {
    for repeat in [Repeat::Idempotent, Repeat::AtMostOnce] {
        sequences(repeat, 3, &mut |seen, next| {
            let ran = seen.iter().any(may_have_run);
            assert_eq!(next == NextAction::Refuse, !ran, "{seen:?} ended {next:?}");
        });
    }
}

#[test]
fn bounded_backends() {
    let reached_backend = |o: &&Outcome| !matches!(o, Outcome::NotConnected | Outcome::Misdirected);
    sequences(Repeat::Idempotent, 2, &mut |seen, _| {
        assert!(seen.iter().filter(reached_backend).count() <= 2, "{seen:?}");
    });
}

#[test]
fn failure_passed_on() {
    let mut state = RetryState::new(Repeat::AtMostOnce, 2);
    state.record_dispatch();
    assert_eq!(state.attempt_ended(Outcome::Failed, || true), NextAction::ForwardFailure);
}

#[test]
fn delayed_request() {
    for outcome in OUTCOMES {
        let mut state = RetryState::new(Repeat::Idempotent, 3);
        state.record_dispatch();
        state.attempt_ended(outcome, || true);
        assert_eq!(state.is_delayed(), outcome == Outcome::Silent, "{outcome}");
    }
}

#[test]
fn exhausted_budget() {
    let mut state = RetryState::new(Repeat::Idempotent, 3);
    state.record_dispatch();
    assert_eq!(state.attempt_ended(Outcome::NotRun, || false), NextAction::Refuse);
    let mut state = RetryState::new(Repeat::Idempotent, 3);
    assert_eq!(
        state.attempt_ended(Outcome::NotConnected, || false),
        NextAction::Retry,
        "attempts without a connection are exempt"
    );
}

#[test]
fn crashed_backends() {
    for repeat in [Repeat::Idempotent, Repeat::ResumableStream { gap_target_ms: 100 }] {
        sequences(repeat, 5, &mut |seen, _| {
            let crashes = seen.iter().filter(|&&outcome| outcome == Outcome::Crashed).count();
            assert!(crashes <= 2, "one request crashed too many backends: {seen:?}");
        });
    }
}

#[test]
fn ended_without_event() {
    for repeat in [Repeat::Idempotent, Repeat::ResumableStream { gap_target_ms: 100 }] {
        let mut state = RetryState::new(repeat, 3);
        state.record_dispatch();
        let has_budget = || unreachable!("the retry budget is for requests that are sent again");
        assert_eq!(state.attempt_ended(Outcome::NoEvent, has_budget), NextAction::GiveUp);
    }
}
