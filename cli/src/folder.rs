//! Folder of configuration files and the revisions that they are based on.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::error::CliError;

const REVISIONS_FILE: &str = ".currantlink-revisions";
const FILE_EXTENSION: &str = "json";

/// Configuration files and the revision that each is based on.
#[derive(Debug, Default)]
pub struct Folder {
    path: PathBuf,
    /// Text of each file by name, sorted by name.
    pub files: IndexMap<String, String>,
    /// Revision of each file by name; a file that was never published has none.
    pub revisions: IndexMap<String, u64>,
}

#[derive(Default, Serialize, Deserialize)]
struct Revisions {
    revisions: IndexMap<String, u64>,
}

impl Folder {
    /// Reads the JSON files of a folder and its revisions file, if there is one.
    ///
    /// # Errors
    ///
    /// Fails with the path that cannot be read.
    pub fn load(path: &Path) -> Result<Self, CliError> {
        let mut files = IndexMap::new();
        for entry in fs::read_dir(path).map_err(io_error("read", path))? {
            let file = entry.map_err(io_error("read", path))?.path();
            if file.extension().is_none_or(|e| e != FILE_EXTENSION) {
                continue;
            }
            let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let text = fs::read_to_string(&file).map_err(io_error("read", &file))?;
            files.insert(name, text);
        }
        files.sort_keys();
        let revisions = load_revisions(&path.join(REVISIONS_FILE))?;
        Ok(Self { path: path.to_owned(), files, revisions })
    }

    /// Creates an empty folder in memory for a path.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), ..Self::default() }
    }

    /// Writes all files and the revisions file. Each file is replaced atomically.
    ///
    /// # Errors
    ///
    /// Fails with the path that cannot be written.
    pub fn save(&self) -> Result<(), CliError> {
        fs::create_dir_all(&self.path).map_err(io_error("create", &self.path))?;
        for (name, text) in &self.files {
            replace_file(&self.path.join(name), text)?;
        }
        self.save_revisions()
    }

    /// Writes only the revisions file.
    ///
    /// # Errors
    ///
    /// Fails with the path that cannot be written.
    pub fn save_revisions(&self) -> Result<(), CliError> {
        let revisions = Revisions { revisions: self.revisions.clone() };
        let text = serde_json::to_string_pretty(&revisions)?;
        replace_file(&self.path.join(REVISIONS_FILE), &text)
    }
}

fn load_revisions(path: &Path) -> Result<IndexMap<String, u64>, CliError> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(serde_json::from_str::<Revisions>(&text)?.revisions),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(IndexMap::new()),
        Err(error) => Err(io_error("read", path)(error)),
    }
}

fn replace_file(path: &Path, text: &str) -> Result<(), CliError> {
    let temporary = path.with_extension("new");
    fs::write(&temporary, text).map_err(io_error("write", &temporary))?;
    fs::rename(&temporary, path).map_err(io_error("replace", path))
}

fn io_error(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> CliError {
    let path = path.to_owned();
    move |source| CliError::File { action, path, source }
}
