//! Rows of the table `presets`: the pointer to the version in force, and the history of versions.

use crate::event::{AcceptId, PresetVersion};
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Key of the pointer row, which holds the newest committed version.
pub const CURRENT_KEY: &str = "presets/current";

/// Value of the pointer row and of history rows, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetRow {
    /// Number of the version.
    pub version: u64,
    /// BLAKE3 hash of the body, as 64 hexadecimal digits.
    pub digest: String,
    /// Operator who requested the version.
    pub author: Arc<str>,
    /// Identifier of the acceptance that wrote the row.
    pub accept: AcceptId,
    /// Wall-clock time of the request, milliseconds since 1970.
    pub at_ms: u64,
}

impl PresetRow {
    /// Parses the value of a table row; `None` if the value is not a preset row.
    pub fn parse(row: &TableRow) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// Returns the version with its digest; `None` if the digest is not 64 hexadecimal digits.
    pub fn preset(&self) -> Option<PresetVersion> {
        let hash = blake3::Hash::from_hex(&self.digest).ok()?;
        Some(PresetVersion {
            version: self.version,
            digest: *hash.as_bytes(),
        })
    }

    /// Returns the value of the table row.
    pub fn to_json(&self) -> Arc<str> {
        // Serialisation cannot fail, since the struct has only numbers and strings.
        serde_json::to_string(self).unwrap_or_default().into()
    }
}

/// Returns the key of the history row of a version.
pub fn history_key(version: u64) -> Arc<str> {
    format!("presets/history/{version}").into()
}

/// Returns the BLAKE3 hash of a body.
pub fn digest_of(body: &[u8]) -> [u8; 32] {
    *blake3::hash(body).as_bytes()
}

/// Returns a digest as 64 hexadecimal digits.
pub fn digest_hex(digest: &[u8; 32]) -> String {
    blake3::Hash::from_bytes(*digest).to_hex().to_string()
}
