//! Protobuf messages, configuration and settings of currantlink.
//!
//! The modules contain code generated from `schema/`. Run `cargo run -p currantlink-codegen` after
//! changing a schema.

/// Messages on the links between entries and sides.
#[allow(missing_docs, clippy::all)]
pub mod link {
    include!("generated/currantlink.link.v1.rs");
}

/// Configuration files and log records.
#[allow(missing_docs, clippy::all)]
pub mod config {
    include!("generated/currantlink.config.v1.rs");
}

/// Settings files of the daemon.
#[allow(missing_docs, clippy::all)]
pub mod settings {
    include!("generated/currantlink.settings.v1.rs");
}

/// Datagrams between gateways and agents.
#[allow(missing_docs, clippy::all)]
pub mod peers {
    include!("generated/currantlink.peers.v1.rs");
}
