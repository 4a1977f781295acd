//! Rows of the table `presets`.

use crate::event::{AcceptId, PresetVersion};
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Key of the pointer row.
pub const CURRENT_KEY: &str = "presets/current";

/// Value of the pointer row and of history rows, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetRow {
    /// Version.
    pub version: u64,
    /// BLAKE3 hash of the body, as 64 hexadecimal digits.
    pub digest: String,
    /// Operator.
    pub author: Arc<str>,
    /// Acceptance that wrote the row.
    pub accept: AcceptId,
    /// Wall clock of the acceptance, milliseconds since 1970.
    pub at_ms: u64,
}

impl PresetRow {
    /// Reads a row's value; `None` if it is not one of ours.
    pub fn parse(row: &TableRow) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// Returns version and digest; `None` if the digest is malformed.
    pub fn preset(&self) -> Option<PresetVersion> {
        let hash = blake3::Hash::from_hex(&self.digest).ok()?;
        Some(PresetVersion {
            version: self.version,
            digest: *hash.as_bytes(),
        })
    }

    /// Writes the row's value.
    pub fn to_json(&self) -> Arc<str> {
        // A struct of numbers and strings always has a JSON form.
        serde_json::to_string(self).unwrap_or_default().into()
    }
}

/// Returns the key of a version's history row.
pub fn history_key(version: u64) -> Arc<str> {
    format!("presets/history/{version}").into()
}

/// Returns the digest of a body.
pub fn digest_of(body: &[u8]) -> [u8; 32] {
    *blake3::hash(body).as_bytes()
}

/// Returns the hexadecimal form of a digest.
pub fn digest_hex(digest: &[u8; 32]) -> String {
    blake3::Hash::from_bytes(*digest).to_hex().to_string()
}
