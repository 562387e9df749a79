//! Compares the committed OpenAPI document with the served one.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use currantlink_daemon::operators::openapi_document;

#[test]
fn committed_document() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/openapi.json");
    let served = serde_json::to_string_pretty(&openapi_document().unwrap()).unwrap() + "\n";
    if std::env::var_os("UPDATE_OPENAPI").is_some() {
        std::fs::write(&path, &served).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), served);
}
