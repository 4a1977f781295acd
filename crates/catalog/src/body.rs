//! The canonical body of a catalogue and its digest.

use crate::check::check_declarations;
use crate::declarations::CatalogSpec;
use crate::keys::CATALOG_KEYS;
use crate::problem::InputProblem;
use crate::read::read_checked;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::sync::Arc;

/// Error for a catalogue that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", join_problems(problems)))]
pub struct CatalogError {
    /// Every problem that was found, ordered by line.
    pub problems: Vec<InputProblem>,
}

/// BLAKE3 hash of a canonical body, as 64 hexadecimal digits.
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
        read_checked(text, CATALOG_KEYS, check_declarations)
            .map_err(|problems| CatalogError { problems })
    }
}

/// Sorts by name those lists of a catalogue whose order has no meaning.
///
/// The routes of a service keep their order, since the first route that matches applies.
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

/// Writes the canonical body: YAML with keys in the order of the struct fields and sorted lists.
///
/// Catalogues that differ only in layout, comments or the order of sorted lists have the same body.
pub fn canonical_body(catalog: &CatalogSpec) -> String {
    let mut sorted = catalog.clone();
    sort_catalog(&mut sorted);
    // This cannot fail: the declarations are plain data with text keys, which YAML can express.
    serde_yaml_ng::to_string(&sorted).unwrap_or_default()
}

/// Returns the BLAKE3 digest of a canonical body.
pub fn digest_of(body: &str) -> CatalogDigest {
    let hash = blake3::hash(body.as_bytes());
    CatalogDigest(Arc::from(hash.to_hex().as_str()))
}

fn join_problems(problems: &[InputProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
