//! Identifiers shared by all modules.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error, From, Into};
use xxhash_rust::xxh3::Xxh3;

/// Length of a request id in bytes.
pub const REQUEST_ID_LEN: usize = 16;

/// Identifies a request across entries and sides; displayed in hexadecimal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From)]
#[display("{}", hex::encode(_0))]
pub struct RequestId([u8; REQUEST_ID_LEN]);

impl RequestId {
    /// Returns the bytes of the id.
    pub fn as_bytes(&self) -> &[u8; REQUEST_ID_LEN] {
        &self.0
    }
}

/// The bytes or text are not a request id.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("request id must be 16 bytes, written as 32 hexadecimal digits")]
pub struct RequestIdError;

impl TryFrom<&[u8]> for RequestId {
    type Error = RequestIdError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        let bytes = bytes.try_into().map_err(|_| RequestIdError)?;
        Ok(Self(bytes))
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = hex::decode(text).map_err(|_| RequestIdError)?;
        Self::try_from(bytes.as_slice())
    }
}

/// Identifies one run of a side process. A restarted process has a new incarnation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Index of a workspace in its configuration's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceKey(pub u32);

/// Index of a service in its configuration's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

/// Index of a backend in its configuration's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(pub u32);

/// Name of a workspace, cheap to clone.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceName(Arc<str>);

impl From<&str> for WorkspaceName {
    fn from(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl WorkspaceName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Identifies one attempt of a request of a workspace.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{workspace}/{request}#{attempt}")]
pub struct CallKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
}

/// Part of a prompt, which several requests may share.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
#[display("{_0:x}")]
pub struct PromptPart(pub u64);

/// The text is not the id of a part of a prompt.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("id of a prompt part must have 1 to 16 hexadecimal digits")]
pub struct PromptPartError;

impl FromStr for PromptPart {
    type Err = PromptPartError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| PromptPartError)
    }
}

/// Hash of a request's content. Equal requests of a workspace have the same fingerprint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request with these fields.
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest())
    }
}
