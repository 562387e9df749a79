//! The `status` subcommand.

use serde_json::{Map, Value};

use crate::args::Status;
use crate::client::{ApiRequest, Client};
use crate::error::CliError;
use crate::output;

impl Status {
    /// Prints the status of one entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the request.
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(&self.remote)?;
        let status: Map<String, Value> = client.send_json(ApiRequest::get("/v1/status")).await?;
        if self.json {
            return output::json(&status);
        }
        status.iter().try_for_each(|(name, value)| output::line(format!("{name}: {value}")))
    }
}
