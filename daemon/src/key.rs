//! Shared key of all processes of a system, and message authentication codes (MACs) under this key.

use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of an HMAC-SHA256 code; shorter keys reduce its strength.
const MIN_KEY_BYTES: usize = 32;

/// Key shared by all processes of a system. Its debug output omits the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(Vec<u8>);

impl std::fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LinkKey(..)")
    }
}

/// The key has fewer than 32 bytes.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("a link key has at least {MIN_KEY_BYTES} bytes")]
pub struct KeyLengthError;

impl TryFrom<&[u8]> for LinkKey {
    type Error = KeyLengthError;

    fn try_from(bytes: &[u8]) -> Result<Self, KeyLengthError> {
        if bytes.len() < MIN_KEY_BYTES { Err(KeyLengthError) } else { Ok(Self(bytes.to_vec())) }
    }
}

impl LinkKey {
    /// Computes HMAC-SHA256 over the concatenation of `parts`. The caller adds further input or
    /// finalizes the code.
    #[allow(clippy::expect_used)]
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        parts.iter().for_each(|part| mac.update(part));
        mac
    }
}
