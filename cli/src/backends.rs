//! The `backends` subcommand.

use serde::{Deserialize, Serialize};

use crate::args::Backends;
use crate::client::{ApiRequest, Client};
use crate::error::CliError;
use crate::output;

#[derive(Serialize, Deserialize)]
struct Backend {
    name: String,
    service: String,
    failure_domain: String,
    connected: bool,
    taking_work: bool,
    leaving: bool,
    draining: bool,
    incarnation: String,
    queued: u32,
    running: u32,
    capacity: u32,
    config_offset: u64,
    map_version: u64,
    adapters: Vec<String>,
}

impl Backends {
    /// Prints the backends that one entry has links to.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the request.
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(&self.remote)?;
        let backends: Vec<Backend> = client.send_json(ApiRequest::get("/v1/backends")).await?;
        if self.json {
            return output::json(&backends);
        }
        output::line(format!(
            "{:<20} {:<16} {:<12} {:<10} {:>7} {:>7} {:>7} {:>7}",
            "BACKEND", "SERVICE", "PLACE", "STATE", "RUNNING", "QUEUED", "CONFIG", "MAP"
        ))?;
        backends.iter().try_for_each(|backend| output::line(row(backend)))
    }
}

fn row(backend: &Backend) -> String {
    let Backend {
        name, service, failure_domain, running, queued, config_offset, map_version, ..
    } = backend;
    let state = match backend {
        Backend { connected: false, .. } => "down",
        Backend { leaving: true, .. } | Backend { draining: true, .. } => "draining",
        _ => "up",
    };
    format!(
        "{name:<20} {service:<16} {failure_domain:<12} {state:<10} {running:>7} {queued:>7} \
         {config_offset:>7} {map_version:>7}"
    )
}
