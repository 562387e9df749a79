//! The `config show` subcommand.

use serde::{Deserialize, Serialize};

use crate::args::Show;
use crate::client::{ApiRequest, Client};
use crate::error::CliError;
use crate::output;

/// A configuration file in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct ActiveFile {
    /// File name.
    pub name: String,
    /// Log offset of the change that last wrote the file.
    pub revision: u64,
    /// Author of that change.
    pub author: String,
    /// Text of the file.
    pub content: String,
}

impl Show {
    /// Prints the configuration files in force.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the request.
    pub async fn run(&self) -> Result<(), CliError> {
        let files = fetch_files(&Client::new(&self.remote)?).await?;
        if self.json {
            return output::json(&files);
        }
        for file in &files {
            output::line(format!("# {} revision {} by {}", file.name, file.revision, file.author))?;
            output::line(file.content.trim_end())?;
        }
        Ok(())
    }
}

/// Fetches the configuration files in force from an entry.
///
/// # Errors
///
/// Fails if the entry cannot be reached or refuses the request.
pub async fn fetch_files(client: &Client) -> Result<Vec<ActiveFile>, CliError> {
    client.send_json(ApiRequest::get("/v1/config")).await
}
