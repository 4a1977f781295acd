//! Bodies of preset versions.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::planning::check_preset;
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

/// Guards against a preset whose models fill the engines to the last byte, so that no adapter could
/// be loaded.
#[test]
fn preset_without_room_for_an_adapter_is_refused() {
    let mut body = body();
    let catalog = &mut body.catalog;
    let engine = |spec: &TargetSpec| spec.kind == TargetKind::Engine;
    let first = catalog.targets.iter().position(engine);
    let mut target = catalog.targets[first.expect("sample has an engine")].clone();
    target.memory_bytes = 10;
    catalog.targets = vec![target];
    catalog.models.truncate(2);
    for model in &mut catalog.models {
        model.memory_bytes = 5;
        model.load_ms = 60_000;
    }
    catalog.adapters.truncate(1);
    catalog.adapters[0].model = catalog.models[0].name.clone();
    catalog.adapters[0].memory_bytes = 1;
    for preset in &mut catalog.presets {
        preset.copies.clear();
        preset.drained.clear();
    }
    let mut without = body.clone();
    without.catalog.adapters.clear();
    assert_eq!(check_preset(&without), Ok(()));
    let refusal = check_preset(&body).expect_err("the adapter has no room");
    assert!(refusal.contains("no room"), "{refusal}");
}
