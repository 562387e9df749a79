//! The `config pull` subcommand.

use crate::args::Pull;
use crate::client::Client;
use crate::error::CliError;
use crate::folder::Folder;
use crate::{output, show};

impl Pull {
    /// Writes the configuration files in force, and their revisions, to a folder.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or a file cannot be written.
    pub async fn run(&self) -> Result<(), CliError> {
        let files = show::fetch_files(&Client::new(&self.remote)?).await?;
        let mut folder = Folder::new(&self.folder);
        for file in files {
            folder.revisions.insert(file.name.clone(), file.revision);
            folder.files.insert(file.name, file.content);
        }
        folder.save()?;
        output::line(format!("{} files written to {}", folder.files.len(), self.folder.display()))
    }
}
