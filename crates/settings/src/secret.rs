//! Secret keys, which are read from a file or an environment variable and never printed.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::fmt;

/// Smallest length of a key, bytes; shorter keys can be guessed.
pub const KEY_MIN_BYTES: usize = 16;

/// Where a key is read from; exactly one of the two is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySource {
    /// File that holds the key.
    #[serde(default)]
    pub file: Option<String>,
    /// Environment variable that holds the key.
    #[serde(default)]
    pub env: Option<String>,
}

/// Text that must not be printed or logged.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a secret text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text, for use in a hash or a header.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(hidden)")
    }
}

/// Error for a key that cannot be read.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The source names neither a file nor a variable, or names both.
    #[snafu(display("the source of a key must be exactly one of file and env"))]
    AmbiguousSource,
    /// The file cannot be read.
    #[snafu(display("key file {path} cannot be read: {source}"))]
    UnreadableFile {
        /// Path of the file.
        path: String,
        /// Why reading failed.
        source: std::io::Error,
    },
    /// The environment variable is not set, or does not hold text.
    #[snafu(display(
        "environment variable {name}, which should hold a key, is not set or is not text"
    ))]
    UnsetVariable {
        /// Name of the variable.
        name: String,
    },
    /// The key is shorter than [`KEY_MIN_BYTES`].
    #[snafu(display("the key from {origin} is shorter than {KEY_MIN_BYTES} bytes"))]
    ShortKey {
        /// Path of the file, or name of the variable.
        origin: String,
    },
}

/// Reads a key from its source and removes whitespace around it.
///
/// # Errors
///
/// Fails if the source cannot be read or holds fewer than [`KEY_MIN_BYTES`] bytes.
pub fn read_secret(source: &KeySource) -> Result<SecretText, SecretError> {
    let (text, origin) = match (&source.file, &source.env) {
        (Some(path), None) => {
            let text = std::fs::read_to_string(path).context(UnreadableFileSnafu { path })?;
            (text, path)
        }
        (None, Some(name)) => {
            let text = std::env::var(name)
                .ok()
                .ok_or_else(|| SecretError::UnsetVariable { name: name.clone() })?;
            (text, name)
        }
        _ => return AmbiguousSourceSnafu.fail(),
    };
    let key = text.trim();
    if key.len() < KEY_MIN_BYTES {
        return ShortKeySnafu { origin }.fail();
    }
    Ok(SecretText::new(key))
}
