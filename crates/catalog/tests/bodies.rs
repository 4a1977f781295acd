//! Canonical bodies, their digests and the differences between catalogues.

use crocusyard_catalog::prelude::*;

const VALID_YAML: &str = include_str!("common.yaml");

fn valid_catalog() -> CatalogSpec {
    CatalogSpec::from_yaml(VALID_YAML).unwrap()
}

/// Guards against different digests for catalogues that differ only in order and comments.
#[test]
fn order_and_comments_do_not_change_the_digest() {
    let catalog = CatalogSpec::from_yaml(&format!("# comment\n{VALID_YAML}")).unwrap();
    let mut reversed = catalog.clone();
    reversed.models.reverse();
    reversed.targets.reverse();
    reversed.presets.reverse();
    let digest = digest_of(&canonical_body(&catalog));
    assert_eq!(digest, digest_of(&canonical_body(&reversed)));
    assert!(diff_catalogs(&catalog, &reversed).is_empty());
}

/// Guards against a canonical body that a host cannot read back.
#[test]
fn a_body_reads_back_as_the_same_catalog() {
    let mut catalog = valid_catalog();
    catalog.tenants[0].name = "0x10".into();
    catalog.classes[0].aging_ms = 1;
    let mut read = CatalogSpec::from_yaml(&canonical_body(&catalog)).unwrap();
    sort_catalog(&mut catalog);
    sort_catalog(&mut read);
    assert_eq!(read, catalog);
}

/// Guards against a canonical body that sorts routes: the first route that matches applies.
#[test]
fn the_order_of_routes_changes_the_digest() {
    let catalog = valid_catalog();
    let mut swapped = catalog.clone();
    swapped.services[0].routes.reverse();
    assert_ne!(canonical_body(&catalog), canonical_body(&swapped));
    assert!(!diff_catalogs(&catalog, &swapped).is_empty());
}

/// Guards against differences that are missed or shown in the wrong direction.
#[test]
fn a_diff_names_what_was_added_removed_and_changed() {
    let old = valid_catalog();
    let mut new = old.clone();
    new.models[0].load_ms = 5000;
    new.adapters.clear();
    new.presets[1].drained.push("asistente-9".into());
    let lines = diff_catalogs(&old, &new).lines();
    assert_eq!(
        lines,
        [
            "~ models[tiza-7b].load_ms: 4000 -> 5000",
            "- adapters[tiza-7b-legal]: \
             {name tiza-7b-legal, model tiza-7b, memory_bytes 200000000}",
            "+ presets[maintenance].drained[asistente-9]: asistente-9",
        ]
    );
}
