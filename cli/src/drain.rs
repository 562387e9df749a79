//! `drain`

use serde_json::Value;

use crate::args::Drain;
use crate::client::{Ask, Client};
use crate::error::CliError;
use crate::output;

impl Drain {
    /// Takes a backend out of service or back into it.
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(&self.remote)?;
        let order = serde_json::json!({ "drained": !self.undo });
        let path = format!("/v1/backends/{}/drain", self.backend);
        let accepted: Value = client.operate(Ask::post(path, &order)?).await?;
        let state = if self.undo { "takes work again" } else { "is draining" };
        match self.json {
            true => output::json(&accepted),
            false => output::line(format!("{} {state}", self.backend)),
        }
    }
}
