//! The `config check` subcommand.

use currantlink_core::config::{Problem, compile};

use crate::args::Check;
use crate::error::CliError;
use crate::folder::Folder;
use crate::output;

impl Check {
    /// Prints all problems of a configuration folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or has problems.
    pub fn run(&self) -> Result<(), CliError> {
        let folder = Folder::load(&self.folder)?;
        let problems = problems(&folder);
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        if self.json {
            output::json(&lines)?;
        } else {
            lines.iter().try_for_each(output::line)?;
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(CliError::Problems { folder: self.folder.clone(), count: problems.len() })
    }
}

/// Compiles the files of a folder and returns all problems.
pub fn problems(folder: &Folder) -> Vec<Problem> {
    let texts = folder.files.iter().map(|(name, text)| (name.as_str(), text.as_bytes()));
    compile(texts).problems
}
