//! All sequences of attempts: at most once, truthful refusals, no more backends than allowed.

use currantlink_core::relay::{Next, Outcome, Relay};
use currantlink_core::routes::Repeat;

const OUTCOMES: [Outcome; 5] = [
    Outcome::NotConnected,
    Outcome::NotRun,
    Outcome::Misdirected,
    Outcome::Unknown,
    Outcome::Failed,
];

/// Calls `check` with every sequence of outcomes of a request, and how it ended.
fn sequences(repeat: Repeat, attempts: u32, check: &mut impl FnMut(&[Outcome], Next)) {
    fn go(relay: &Relay, seen: &mut Vec<Outcome>, check: &mut impl FnMut(&[Outcome], Next)) {
        const LONGEST: usize = 5;
        for outcome in OUTCOMES {
            let mut relay = relay.clone();
            if outcome != Outcome::NotConnected {
                relay.sending();
            }
            seen.push(outcome);
            match relay.ended(outcome, || true) {
                Next::Again if seen.len() < LONGEST => go(&relay, seen, check),
                Next::Again => {}
                next => check(seen, next),
            }
            seen.pop();
        }
    }
    go(&Relay::new(repeat, attempts), &mut Vec::new(), check);
}

fn may_have_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Unknown | Outcome::Failed)
}

#[test]
fn runs_once() {
    for repeat in [Repeat::AtMostOnce, Repeat::Stream { gap_target_ms: 100 }] {
        sequences(repeat, 3, &mut |seen, _| {
            let first = seen.iter().position(may_have_run).unwrap_or(seen.len());
            assert!(first + 1 >= seen.len(), "sent again after it may have run: {seen:?}");
        });
    }
}

#[test]
fn truthful_refusal() {
    for repeat in [Repeat::Idempotent, Repeat::AtMostOnce] {
        sequences(repeat, 3, &mut |seen, next| {
            let ran = seen.iter().any(may_have_run);
            assert_eq!(next == Next::Refuse, !ran, "{seen:?} ended {next:?}");
        });
    }
}

#[test]
fn bounded_backends() {
    let counts = |o: &&Outcome| !matches!(o, Outcome::NotConnected | Outcome::Misdirected);
    sequences(Repeat::Idempotent, 2, &mut |seen, _| {
        assert!(seen.iter().filter(counts).count() <= 2, "{seen:?}");
    });
}

#[test]
fn failure_passed_on() {
    let mut relay = Relay::new(Repeat::AtMostOnce, 2);
    relay.sending();
    assert_eq!(relay.ended(Outcome::Failed, || true), Next::PassOn);
}

#[test]
fn budget_used_up() {
    let mut relay = Relay::new(Repeat::Idempotent, 3);
    relay.sending();
    assert_eq!(relay.ended(Outcome::NotRun, || false), Next::Refuse);
    let mut relay = Relay::new(Repeat::Idempotent, 3);
    assert_eq!(relay.ended(Outcome::NotConnected, || false), Next::Again, "nothing arrived");
}
