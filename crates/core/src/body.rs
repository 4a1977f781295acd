//! The body of one preset version: the whole catalogue and the name of the preset in force.
//!
//! Bodies are compressed, since every host fetches every body. At 2,000 changes a day and the
//! planned size of the catalogue, plain JSON would use up the whole bandwidth that a host may spend
//! on control traffic.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::sync::Arc;

/// Largest body after decompression, bytes. It bounds the memory that a hostile body can take.
const PLAIN_MAX: u64 = 64 << 20;

/// Content of one preset version, as it is stored and sent between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PresetBody {
    /// Name of the preset in force.
    pub in_force: PresetName,
    /// Whole catalogue; its lists are sorted.
    pub catalog: CatalogSpec,
}

impl PresetBody {
    /// Creates a body. Sorts the catalogue's lists, so that equal content has an equal digest.
    pub fn new(in_force: PresetName, mut catalog: CatalogSpec) -> Self {
        sort_catalog(&mut catalog);
        Self { in_force, catalog }
    }

    /// Encodes the body as compressed JSON.
    pub fn encode(&self) -> Arc<[u8]> {
        // Neither step can fail: the struct can be written as JSON, and a vector accepts all bytes.
        let json = serde_json::to_vec(self).unwrap_or_default();
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
        let written = encoder.write_all(&json).and_then(|()| encoder.finish());
        written.unwrap_or_default().into()
    }

    /// Decodes a body; returns `None` if it is malformed or too large.
    pub fn decode(body: &[u8]) -> Option<Self> {
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(body).take(PLAIN_MAX);
        decoder.read_to_end(&mut json).ok()?;
        serde_json::from_slice(&json).ok()
    }

    /// Returns the preset in force; `None` if the catalogue does not declare it.
    pub fn preset(&self) -> Option<&PresetSpec> {
        self.catalog
            .presets
            .iter()
            .find(|preset| preset.name == self.in_force)
    }
}
