//! Small stand-ins for the platform and the backends, for tests, benchmarks and the demo only.

pub mod backends;
pub mod deployment;
pub mod endless;
pub mod engine;
pub mod list;
pub mod lockstep;
pub mod log;
pub mod plain;
pub mod ports;
pub mod rank;
pub mod records;
pub mod relay;
pub mod server;
pub mod store;
pub mod tally;
