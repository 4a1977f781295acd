//! Tests of the bodies of preset versions.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::planning::check_preset;
use crocusyard_core::prelude::*;

const CATALOG: &str = include_str!("../../testbed/src/sample.yaml");

fn body() -> PresetBody {
    let catalog = CatalogSpec::from_yaml(CATALOG).expect("the sample catalogue is not valid");
    PresetBody::new(PresetName::new("ordinary"), catalog)
}

/// Guards against content that is lost when a body is encoded and decoded.
#[test]
fn body_survives_encoding() {
    assert_eq!(PresetBody::decode(&body().encode()), Some(body()));
}

/// Guards against different digests of equal content, which would look like a change.
#[test]
fn order_of_declarations_does_not_matter() {
    let mut catalog = body().catalog;
    catalog.models.reverse();
    catalog.targets.reverse();
    let other = PresetBody::new(PresetName::new("ordinary"), catalog);
    assert_eq!(other.encode(), body().encode());
}

/// Guards against a truncated or damaged body that is taken as the original one.
#[test]
fn damaged_bodies_are_refused() {
    let whole = body().encode();
    for length in 0..whole.len() {
        assert_eq!(
            PresetBody::decode(&whole[..length]),
            None,
            "a body truncated to {length} bytes must not decode"
        );
    }
    for index in 0..whole.len() {
        let mut damaged = whole.to_vec();
        damaged[index] ^= 0x55;
        // Some damaged bodies decode to other text, but none may decode to the original body.
        assert_ne!(
            PresetBody::decode(&damaged),
            Some(body()),
            "a body with byte {index} changed decodes to the original"
        );
    }
}

/// Guards against accepting a preset whose models fill the memory of the engines, so that no
/// adapter can be loaded.
#[test]
fn preset_without_room_for_an_adapter_is_refused() {
    let mut body = body();
    let catalog = &mut body.catalog;
    let engine = |spec: &TargetSpec| spec.kind == TargetKind::Engine;
    let first_engine = catalog.targets.iter().position(engine);
    let mut target =
        catalog.targets[first_engine.expect("the sample catalogue has no engine")].clone();
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
    let mut without_adapters = body.clone();
    without_adapters.catalog.adapters.clear();
    assert_eq!(check_preset(&without_adapters), Ok(()));
    let refusal = check_preset(&body)
        .expect_err("the preset is accepted although the adapter does not fit into memory");
    assert!(
        refusal.contains("no room"),
        "the refusal does not name the missing room: {refusal}"
    );
}
