//! The `config apply` subcommand.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use similar::TextDiff;

use crate::args::Apply;
use crate::client::{ApiRequest, Client};
use crate::error::CliError;
use crate::folder::Folder;
use crate::show::ActiveFile;
use crate::{check, output, show};

const RECORD_ID_BYTES: usize = 16;
const MAX_ATTEMPTS: usize = 5;

#[derive(Serialize)]
struct Change {
    record_id: String,
    author: String,
    edits: Vec<Edit>,
}

#[derive(Serialize)]
struct Edit {
    name: String,
    base_revision: u64,
    content: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct AcceptedChange {
    offset: u64,
    record_id: String,
    files: Vec<String>,
}

impl Apply {
    /// Prints the difference from the configuration in force and publishes the edits.
    ///
    /// # Errors
    ///
    /// Fails if the folder has problems, the entry cannot be reached, or the change is refused or
    /// conflicts with another one.
    pub async fn run(&self) -> Result<(), CliError> {
        let mut folder = Folder::load(&self.folder)?;
        self.reject_problems(&folder)?;
        let client = Client::new(&self.remote)?;
        let active_files = show::fetch_files(&client).await?;
        let active_files: IndexMap<String, ActiveFile> =
            active_files.into_iter().map(|f| (f.name.clone(), f)).collect();
        let edits = diff_edits(&folder, &active_files);
        if !self.json {
            edits.iter().try_for_each(|edit| print_diff(edit, &active_files))?;
        }
        if edits.is_empty() || self.dry_run {
            return self.print_edit_count(edits.len());
        }
        let accepted = self.publish(&client, edits).await?;
        self.update_revisions(&mut folder, &active_files, &accepted)?;
        match self.json {
            true => output::json(&accepted),
            false => output::line(format!("accepted at offset {}", accepted.offset)),
        }
    }

    fn reject_problems(&self, folder: &Folder) -> Result<(), CliError> {
        let problems = check::problems(folder);
        for problem in &problems {
            eprintln!("{problem}");
        }
        match problems.len() {
            0 => Ok(()),
            count => Err(CliError::Problems { folder: self.folder.clone(), count }),
        }
    }

    fn print_edit_count(&self, edits: usize) -> Result<(), CliError> {
        match self.json {
            true => output::json(&serde_json::json!({ "edits": edits })),
            false if edits == 0 => output::line("nothing to change"),
            false => output::line(format!("{edits} files would change")),
        }
    }

    /// Publishes the edits and retries while the outcome is unknown.
    ///
    /// All attempts carry the same record id, so the change takes effect at most once.
    async fn publish(&self, client: &Client, edits: Vec<Edit>) -> Result<AcceptedChange, CliError> {
        let record_id = rand::random::<[u8; RECORD_ID_BYTES]>();
        let record_id = record_id.iter().map(|byte| format!("{byte:02x}")).collect();
        let change = Change { record_id, author: self.author.clone(), edits };
        let mut attempts = 1;
        loop {
            let request = ApiRequest::post("/v1/config/changes", &change)?;
            match client.send_json(request).await {
                Err(CliError::RequestFailed { outcome, .. })
                    if outcome == "unknown" && attempts < MAX_ATTEMPTS =>
                {
                    attempts += 1;
                }
                other => return other,
            }
        }
    }

    fn update_revisions(
        &self,
        folder: &mut Folder,
        active_files: &IndexMap<String, ActiveFile>,
        accepted: &AcceptedChange,
    ) -> Result<(), CliError> {
        folder.revisions.retain(|name, _| folder.files.contains_key(name));
        for name in folder.files.keys() {
            let changed = accepted.files.contains(name);
            let before = active_files.get(name).map_or(0, |f| f.revision);
            let revision = if changed { accepted.offset } else { before };
            folder.revisions.insert(name.clone(), revision);
        }
        folder.save_revisions()
    }
}

/// Returns the edits that change the files in force into those of the folder.
///
/// Each edit carries the revision that the folder's file is based on.
fn diff_edits(folder: &Folder, active_files: &IndexMap<String, ActiveFile>) -> Vec<Edit> {
    let base = |name: &str| folder.revisions.get(name).copied().unwrap_or(0);
    let written = folder
        .files
        .iter()
        .filter(|(name, text)| active_files.get(*name).is_none_or(|f| f.content != **text))
        .map(|(name, text)| Edit {
            name: name.clone(),
            base_revision: base(name),
            content: Some(text.clone()),
        });
    let removed = folder
        .revisions
        .keys()
        .filter(|name| !folder.files.contains_key(*name) && active_files.contains_key(*name))
        .map(|name| Edit { name: name.clone(), base_revision: base(name), content: None });
    written.chain(removed).collect()
}

fn print_diff(edit: &Edit, active_files: &IndexMap<String, ActiveFile>) -> Result<(), CliError> {
    let old = active_files.get(&edit.name).map_or("", |f| f.content.as_str());
    let new = edit.content.as_deref().unwrap_or("");
    let diff = TextDiff::from_lines(old, new);
    let text = diff.unified_diff().header(&edit.name, &edit.name).to_string();
    output::raw(text.as_bytes())
}
