//! The `drain` subcommand.

use serde_json::Value;

use crate::args::Drain;
use crate::client::{ApiRequest, Client};
use crate::error::CliError;
use crate::output;

impl Drain {
    /// Drains a backend or ends its draining.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the request.
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(&self.remote)?;
        let body = serde_json::json!({ "drained": !self.undo });
        let path = format!("/v1/backends/{}/drain", self.backend);
        let accepted: Value = client.send_json(ApiRequest::post(path, &body)?).await?;
        let state = if self.undo { "takes work again" } else { "is draining" };
        match self.json {
            true => output::json(&accepted),
            false => output::line(format!("{} {state}", self.backend)),
        }
    }
}
