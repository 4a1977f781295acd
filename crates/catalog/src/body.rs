//! The canonical body of a catalogue and its digest.

use crate::check::check_parts;
use crate::declarations::CatalogSpec;
use crate::keys::CATALOG_KEYS;
use crate::problem::InputProblem;
use crate::read::read_checked;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::sync::Arc;

/// A catalogue was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", list_problems(problems)))]
pub struct CatalogError {
    /// Every fault that was found, in the order of the lines.
    pub problems: Vec<InputProblem>,
}

/// BLAKE3 hash of a body, as 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CatalogDigest(pub Arc<str>);

impl fmt::Display for CatalogDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl CatalogSpec {
    /// Reads a catalogue from YAML and checks it.
    ///
    /// # Errors
    ///
    /// Fails with every problem that was found in the text.
    pub fn from_yaml(text: &str) -> Result<Self, CatalogError> {
        read_checked(text, CATALOG_KEYS, check_parts).map_err(|problems| CatalogError { problems })
    }
}

/// Orders the lists of a catalogue by name, where their order has no meaning.
///
/// The order of a service's routes stays, since the first route that matches applies.
pub fn sort_catalog(catalog: &mut CatalogSpec) {
    catalog.regions.sort_by(|a, b| a.name.cmp(&b.name));
    for region in &mut catalog.regions {
        region.domains.sort();
    }
    catalog.models.sort_by(|a, b| a.name.cmp(&b.name));
    catalog.adapters.sort_by(|a, b| a.name.cmp(&b.name));
    catalog.targets.sort_by(|a, b| a.name.cmp(&b.name));
    catalog.services.sort_by(|a, b| a.name.cmp(&b.name));
    catalog.tenants.sort_by(|a, b| a.name.cmp(&b.name));
    catalog.classes.sort_by(|a, b| a.name.cmp(&b.name));
    catalog.presets.sort_by(|a, b| a.name.cmp(&b.name));
    for preset in &mut catalog.presets {
        preset.copies.sort_by(|a, b| a.model.cmp(&b.model));
        preset.drained.sort();
    }
}

/// Writes the canonical body: YAML in the order of the declarations, with lists by name.
///
/// Catalogues that mean the same have the same body, whatever their layout and comments.
pub fn canonical_body(catalog: &CatalogSpec) -> String {
    let mut sorted = catalog.clone();
    sort_catalog(&mut sorted);
    // The declarations are plain data with text keys, which YAML always holds.
    serde_yaml_ng::to_string(&sorted).unwrap_or_default()
}

/// Returns the digest of a body.
pub fn digest_of(body: &str) -> CatalogDigest {
    let hash = blake3::hash(body.as_bytes());
    CatalogDigest(Arc::from(hash.to_hex().as_str()))
}

fn list_problems(problems: &[InputProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
