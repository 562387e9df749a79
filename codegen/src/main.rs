//! Generates the Rust sources in `wire/src/generated` from the schemas in `wire/schema`.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const SCHEMAS: [&str; 4] = ["link.proto", "config.proto", "settings.proto", "peers.proto"];
/// Messages and packages that are also read from and written to JSON files.
const JSON_MESSAGES: [&str; 7] = [
    ".currantlink.config.v1.ConfigFile",
    ".currantlink.config.v1.Workspace",
    ".currantlink.config.v1.Service",
    ".currantlink.config.v1.Adapter",
    ".currantlink.config.v1.Backend",
    ".currantlink.config.v1.Group",
    ".currantlink.settings.v1",
];
const JSON_DERIVES: &str =
    "#[derive(serde::Serialize, serde::Deserialize)] #[serde(default, deny_unknown_fields)]";

/// Generating the sources failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
enum GenerateError {
    /// A schema does not compile.
    #[display("failed to compile the schemas: {_0}")]
    Schema(protox::Error),
    /// A source could not be written.
    #[display("failed to write the generated sources: {_0}")]
    Write(io::Error),
}

fn main() -> ExitCode {
    match generate(&workspace_root()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn generate(root: &Path) -> Result<(), GenerateError> {
    let descriptors = protox::compile(SCHEMAS, [root.join("wire/schema")])?;
    let mut config = prost_build::Config::new();
    config.out_dir(root.join("wire/src/generated"));
    config.bytes(["."]);
    for message in JSON_MESSAGES {
        config.message_attribute(message, JSON_DERIVES);
    }
    config.enum_attribute(".", "#[allow(missing_docs)]");
    config.message_attribute(".", "#[allow(missing_docs)]");
    config.compile_fds(descriptors)?;
    Ok(())
}
