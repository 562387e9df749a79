//! The `config history` subcommand.

use serde::{Deserialize, Serialize};

use crate::args::History;
use crate::client::{ApiRequest, Client};
use crate::error::CliError;
use crate::output;

#[derive(Serialize, Deserialize)]
struct HistoryEntry {
    offset: u64,
    record_id: String,
    author: String,
    files: Vec<String>,
    verdict: String,
    conflicts: Vec<String>,
}

impl History {
    /// Prints accepted and refused changes, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the request.
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(&self.remote)?;
        let changes: Vec<HistoryEntry> =
            client.send_json(ApiRequest::get("/v1/config/history")).await?;
        if self.json {
            return output::json(&changes);
        }
        for change in &changes {
            let HistoryEntry { offset, verdict, author, .. } = change;
            let files = change.files.join(" ");
            output::line(format!("{offset} {verdict} {author} {files}"))?;
            change.conflicts.iter().try_for_each(|c| output::line(format!("    {c}")))?;
        }
        Ok(())
    }
}
