//! Trials are granted one at a time, and again once one has ended or its gateway has stopped.

use currantlink_core::trials::{Applicant, Granter, TrialEnd, TrialId};

const ID: TrialId = TrialId(7);

#[test]
fn one_at_a_time() {
    let mut granter = Granter::default();
    assert!(granter.ask(ID, 1, 0));
    assert!(!granter.ask(ID, 2, 10), "another gateway has it");
    assert!(granter.ask(TrialId(8), 2, 10), "another key");
    granter.end(ID, 1, TrialEnd::Over, 20);
    assert!(granter.ask(ID, 2, 30));
    granter.end(ID, 2, TrialEnd::Crashed, 40);
    assert!(!granter.ask(ID, 1, 50), "all gateways are told of the crash first");
    assert!(granter.ask(ID, 1, 5_000));
    assert!(granter.ask(ID, 2, 10_000), "the first gateway has stopped");
}

#[test]
fn unneeded_grant() {
    let mut applicant = Applicant::default();
    assert!(!applicant.try_begin(ID, 0));
    assert_eq!(applicant.due(0).asked, [ID]);
    assert!(applicant.record_grant(ID));
    assert_eq!(applicant.due(1_000).returned, [ID], "no request waits any more");
    assert!(!applicant.record_grant(ID));
}
