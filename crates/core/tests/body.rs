//! Bodies of preset versions.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;

const CATALOG: &str = include_str!("../../testbed/src/sample.yaml");

fn body() -> PresetBody {
    let catalog = CatalogSpec::from_yaml(CATALOG).expect("sample is valid");
    PresetBody::new(PresetName::new("ordinary"), catalog)
}

/// Guards against content that is lost on the way between hosts.
#[test]
fn body_survives_encoding() {
    assert_eq!(PresetBody::decode(&body().encode()), Some(body()));
}

/// Guards against two digests for one content, which would look like a change.
#[test]
fn order_of_declarations_does_not_matter() {
    let mut catalog = body().catalog;
    catalog.models.reverse();
    catalog.targets.reverse();
    let other = PresetBody::new(PresetName::new("ordinary"), catalog);
    assert_eq!(other.encode(), body().encode());
}

/// Guards a host against a body that is cut or damaged at any place.
#[test]
fn damaged_bodies_are_refused() {
    let whole = body().encode();
    for length in 0..whole.len() {
        assert_eq!(
            PresetBody::decode(&whole[..length]),
            None,
            "cut at {length}"
        );
    }
    for index in 0..whole.len() {
        let mut damaged = whole.to_vec();
        damaged[index] ^= 0x55;
        // Some damage decompresses to other text; it must not be taken for the same body.
        assert_ne!(
            PresetBody::decode(&damaged),
            Some(body()),
            "damage at {index}"
        );
    }
}
