//! The body of one preset version: the whole catalogue and the name of the preset in force.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

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

    /// Encodes the body as JSON.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a body; `None` if it is malformed.
    pub fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Returns the preset in force.
    pub fn preset(&self) -> Option<&PresetSpec> {
        self.catalog
            .presets
            .iter()
            .find(|preset| preset.name == self.in_force)
    }
}
