//! The body of one preset version: the whole catalogue and the name of the preset in force.
//!
//! Every host fetches every body, so the bytes count: 2,000 changes a day of a catalogue at the
//! planned size would cost a host its whole allowance for control if bodies were sent as plain JSON.
//! They are compressed.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::sync::Arc;

/// Largest body after decompression, bytes; bounds the memory that a hostile body can take.
const PLAIN_MAX: u64 = 64 << 20;

/// Body of one preset version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PresetBody {
    /// Name of the preset in force.
    pub in_force: PresetName,
    /// Catalogue, with sorted lists.
    pub catalog: CatalogSpec,
}

impl PresetBody {
    /// Makes a body; the catalogue's lists are sorted, so that equal content has an equal digest.
    pub fn new(in_force: PresetName, mut catalog: CatalogSpec) -> Self {
        sort_catalog(&mut catalog);
        Self { in_force, catalog }
    }

    /// Encodes the body as compressed JSON.
    pub fn encode(&self) -> Arc<[u8]> {
        // Neither step can fail: the struct has a JSON form, and a vector takes all bytes.
        let json = serde_json::to_vec(self).unwrap_or_default();
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
        let written = encoder.write_all(&json).and_then(|()| encoder.finish());
        written.unwrap_or_default().into()
    }

    /// Decodes a body; `None` if it is malformed or too large.
    pub fn decode(body: &[u8]) -> Option<Self> {
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(body).take(PLAIN_MAX);
        decoder.read_to_end(&mut json).ok()?;
        serde_json::from_slice(&json).ok()
    }

    /// Returns the preset in force.
    pub fn preset(&self) -> Option<&PresetSpec> {
        self.catalog
            .presets
            .iter()
            .find(|preset| preset.name == self.in_force)
    }
}
