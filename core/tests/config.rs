//! Compiling configuration files reports all problems with their locations.
#![allow(clippy::unwrap_used)]

mod common;

use currantlink_core::config::{Reason, TokenHash, compile};
use proptest::collection::vec;
use proptest::prelude::*;

const SERVICES: &str = r#"{"services": [{"name": "llm", "kind": "model"}]}"#;

fn problems(files: &[(&str, &str)]) -> Vec<(String, String)> {
    let compiled = compile(files.iter().map(|(name, text)| (*name, text.as_bytes())));
    compiled.problems.into_iter().map(|p| (p.file, p.path)).collect()
}

#[test]
fn merged_files() {
    let backends = r#"{"backends": [
        {"name": "r1", "service": "llm", "failure_domain": "a", "side_address": "127.0.0.1:1"}]}"#;
    let compiled = compile([("10", SERVICES.as_bytes()), ("20", backends.as_bytes())]);
    assert!(compiled.problems.is_empty(), "{:?}", compiled.problems);
    let (_, service) = compiled.config.service_by_name("llm").unwrap();
    assert_eq!(service.backends.len(), 1);
}

#[test]
fn all_problems() {
    let wrong = r#"{
        "workspaces": [{"name": "a", "weight": 0}, {"name": "b c"}],
        "services": [{"name": "llm", "kind": "plain"}, {"name": "x", "kind": "other"}],
        "adapters": [{"name": "s", "service": "llm", "workspace": "nobody"}],
        "backends": [{"name": "r", "service": "llm", "side_address": "here"},
                    {"name": "q", "service": "none", "side_address": "127.0.0.1:1"}]}"#;
    let found = problems(&[("10", SERVICES), ("20", wrong)]);
    let paths: Vec<&str> = found.iter().map(|(_, path)| path.as_str()).collect();
    let expected = [
        "workspaces[0].weight",
        "workspaces[1].name",
        "services[0].name",
        "services[1].kind",
        "adapters[0].workspace",
        "backends[0].side_address",
        "backends[1].service",
    ];
    assert_eq!(paths, expected);
    assert!(found.iter().all(|(file, _)| file == "20"));
}

#[test]
fn unknown_field() {
    let found = problems(&[("10", r#"{"services": [{"name": "a", "colour": 1}]}"#)]);
    assert_eq!(found, [(String::from("10"), String::from("services[0].colour"))]);
}

#[test]
fn shared_token() {
    let hash = hex::encode([7; 32]);
    let text = format!(
        r#"{{"workspaces": [{{"name": "a", "token_sha256": ["{hash}"]}},
                            {{"name": "b", "token_sha256": ["{hash}"]}}]}}"#
    );
    assert_eq!(problems(&[("10", &text)]).len(), 1);
}

#[test]
fn token_owner() {
    let hash = "9834876dcfb05cb167a5c24953eba58c4ac89b1adf57f28f2f9d09af107ee8f0";
    let text = format!(r#"{{"workspaces": [{{"name": "a", "token_sha256": ["{hash}"]}}]}}"#);
    let compiled = compile([("10", text.as_bytes())]);
    assert!(TokenHash::of("aaa").matches(&TokenHash::try_from(hash).unwrap()));
    assert!(compiled.config.workspace_by_token("aaa").is_some());
    assert!(compiled.config.workspace_by_token("aab").is_none());
    assert!(matches!(TokenHash::try_from("xyz"), Err(Reason::Value { .. })));
}

proptest! {
    #![proptest_config(common::proptest_config(500))]

    #[test]
    fn random_bytes(text in vec(any::<u8>(), 0..200)) {
        let compiled = compile([("10", text.as_slice())]);
        prop_assert_eq!(compiled.config.backends().count(), 0);
    }
}
