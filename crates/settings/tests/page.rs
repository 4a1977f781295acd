//! Compares the key tables with the structs and with `docs/settings.md`.

use crocusyard_catalog::keys::CATALOG_KEYS;
use crocusyard_catalog::prelude::*;
use crocusyard_catalog::shape::{KeyPresence, KeySpec, ValueShape};
use crocusyard_settings::keys::HOST_KEYS;
use crocusyard_settings::page::render_keys;
use crocusyard_settings::prelude::*;
use serde_yaml_ng::Value;

const PAGE: &str = include_str!("../../../docs/settings.md");
const SMALLEST_YAML: &str = include_str!("smallest.yaml");
const CATALOG_YAML: &str = include_str!("../../catalog/tests/common.yaml");

/// Guards against a settings page whose tables differ from the keys that the code accepts.
#[test]
fn the_page_has_the_tables_of_the_code() {
    for keys in [HOST_KEYS, CATALOG_KEYS] {
        let table = render_keys(keys);
        assert!(
            PAGE.contains(&table),
            "docs/settings.md lacks the output of \
             `cargo run -p crocusyard_settings --example settings_page`"
        );
    }
}

/// Guards against an example on the settings page that the code refuses.
#[test]
fn the_examples_of_the_page_are_accepted() {
    let examples: Vec<&str> = PAGE
        .split("```yaml\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .collect();
    assert_eq!(examples.len(), 2);
    HostSettings::from_yaml(examples[0]).unwrap();
    CatalogSpec::from_yaml(examples[1]).unwrap();
}

/// Guards against keys and defaults that differ between the tables and the structs.
#[test]
fn the_tables_agree_with_the_structs() {
    let settings = HostSettings::from_yaml(SMALLEST_YAML).unwrap();
    compare_keys(HOST_KEYS, &serde_yaml_ng::to_value(settings).unwrap(), true);
    let mut catalog = CatalogSpec::from_yaml(CATALOG_YAML).unwrap();
    // Only the first entry of a list is compared: the last target leaves out the most keys, so it
    // is moved to the front.
    catalog.targets.rotate_left(2);
    compare_keys(
        CATALOG_KEYS,
        &serde_yaml_ng::to_value(catalog).unwrap(),
        false,
    );
}

/// Compares the key names, and with `defaults` also the values of keys that have a default.
///
/// Defaults can be compared only if the document gives none of these keys.
fn compare_keys(keys: &[KeySpec], value: &Value, defaults: bool) {
    let mut declared: Vec<&str> = keys.iter().map(|key| key.name).collect();
    let mut written: Vec<&str> = value
        .as_mapping()
        .into_iter()
        .flat_map(|pairs| pairs.keys().filter_map(Value::as_str))
        .collect();
    declared.sort_unstable();
    written.sort_unstable();
    assert_eq!(declared, written);
    for key in keys {
        let found = &value[key.name];
        match (key.shape, key.presence) {
            (ValueShape::Struct(inner), _) => compare_keys(inner, found, defaults),
            (ValueShape::List(ValueShape::Struct(inner)), _) => {
                compare_keys(inner, &found[0], defaults);
            }
            (_, KeyPresence::Default(text)) if defaults => {
                let found = serde_yaml_ng::to_string(found).unwrap();
                assert_eq!(found.trim(), text, "default of {}", key.name);
            }
            _ => {}
        }
    }
}

/// Guards against defaults of a target or route that differ from the table.
#[test]
fn the_defaults_of_a_catalog_are_as_in_the_table() {
    let catalog = CatalogSpec::from_yaml(CATALOG_YAML).unwrap();
    let target = serde_yaml_ng::to_value(&catalog.targets[1]).unwrap();
    let route = serde_yaml_ng::to_value(&catalog.services[0].routes[0]).unwrap();
    let tables = [("targets", target), ("services", route)];
    for (list, value) in tables {
        let list = CATALOG_KEYS.iter().find(|key| key.name == list).unwrap();
        for key in default_keys(list.shape) {
            // The engine of the example declares its own memory.
            if key.name == "memory_bytes" {
                continue;
            }
            let KeyPresence::Default(text) = key.presence else {
                continue;
            };
            let found = serde_yaml_ng::to_string(&value[key.name]).unwrap();
            assert_eq!(found.trim(), text, "default of {}", key.name);
        }
    }
}

/// Returns the keys with defaults in a list of tables, at any depth.
fn default_keys(shape: ValueShape) -> Vec<KeySpec> {
    let ValueShape::List(ValueShape::Struct(keys)) = shape else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for key in *keys {
        found.extend(default_keys(key.shape));
        if matches!(key.presence, KeyPresence::Default(_)) {
            found.push(*key);
        }
    }
    found
}
