//! Tests of reading and checking catalogues.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::TypeGenerator;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;

const VALID_YAML: &str = include_str!("common.yaml");

/// Fragments of YAML from which almost valid texts are joined.
const FRAGMENTS: &[&str] = &[
    "- ",
    ": ",
    "\n",
    "  ",
    "[",
    "]",
    "{",
    "}",
    ",",
    "&a ",
    "*a",
    "!!str ",
    "'",
    "\"",
    "|",
    ">",
    "? ",
    "#",
    "---",
    "...",
    "%YAML 1.2",
    "\t",
    "\u{feff}",
    "é",
    "regions",
    "models",
    "name",
    "1",
    "-1",
    "1e400",
    ".inf",
    "~",
    "true",
    "\\x",
    "@",
    "`",
];

/// A text of the valid catalogue, its replacement, and a part of the problem that must follow.
const FAULTS: &[(&str, &str, &str)] = &[
    (
        "name: tiza-13b",
        "name: tiza-7b",
        "models[1].name: `tiza-7b` once",
    ),
    (
        "name: tiza-7b-legal",
        "name: tiza-7b",
        "adapters[0].name: name that no model has",
    ),
    (
        "model: tiza-7b\n    mem",
        "model: tiza-7\n    mem",
        "the nearest is `tiza-7b`",
    ),
    (
        "memory_bytes: 200000000\n",
        "memory_bytes: 30000000000\n",
        "beside the model",
    ),
    (
        "    domain: plaza-mayor\n",
        "",
        "targets[0].domain: required key",
    ),
    (
        "domain: plaza-mayor",
        "domain: plaza-mayo",
        "declared failure domain; `plaza-mayo`",
    ),
    (
        "domains: [plaza-mayor,",
        "domains: [san-lesmes,",
        "once among the failure domains",
    ),
    (
        "kind: engine\n    memory_bytes: 40000000000",
        "kind: engine\n    memory_bytes: 1000",
        "targets[0].memory_bytes: at least the memory of the smallest model, 20000000000",
    ),
    (
        "address: 10.0.1.2:8000",
        "address: 10.0.1.1:8000",
        "targets[0] has the same",
    ),
    (
        "address: 10.0.1.2:8000",
        "address: host:8000",
        "targets[1].address: IP address and port",
    ),
    (
        "    service: permisos\n",
        "",
        "targets[2].service: service that the plain target runs",
    ),
    (
        "service: permisos",
        "service: permiso",
        "declared service; `permiso`",
    ),
    (
        "path: /bookings",
        "path: bookings",
        "services[0].routes[0].path: path that starts",
    ),
    (
        "method: POST",
        "method: post",
        "services[0].routes[0].method: method in capitals",
    ),
    (
        "method: POST\n        path: /bookings",
        "method: '*'\n        path: /",
        "services[0].routes[1]: route that can match",
    ),
    (
        "class: interactive",
        "class: urgent",
        "services[0].routes[0].class: declared class",
    ),
    ("min: 1", "min: 3", "presets[0].copies[0].min: at most 1"),
    (
        "- model: tiza-13b",
        "- model: tiza-7b",
        "presets[0].copies[1].model: `tiza-7b` once",
    ),
    (
        "drained: [asistente-2]",
        "drained: [nobody]",
        "presets[1].drained[0]: declared target",
    ),
    (
        "drained: [asistente-2]",
        "drained: [mostrador-1]",
        "runs service `permisos`",
    ),
    (
        "drained: [asistente-2]",
        "drained: [asistente-1, asistente-2]",
        "presets[1].drained: an engine left that holds model `tiza-7b`",
    ),
    (
        "priority: 0",
        "priority: 256",
        "classes[0].priority: whole number from 0 to 255",
    ),
    (
        "weight: 1\n",
        "wieght: 1\n",
        "tenants[0].wieght: known key; the nearest is `weight`",
    ),
];

/// Returns the problems as lines, after one replacement in the valid catalogue.
fn problems_after(old: &str, new: &str) -> Vec<String> {
    assert!(
        VALID_YAML.contains(old),
        "the valid catalogue does not contain the text to replace: {old}"
    );
    let text = VALID_YAML.replacen(old, new, 1);
    match CatalogSpec::from_yaml(&text) {
        Ok(_) => Vec::new(),
        Err(error) => error.problems.iter().map(ToString::to_string).collect(),
    }
}

/// Guards against checks that refuse a valid catalogue.
#[test]
fn a_valid_catalog_is_accepted() {
    let catalog = CatalogSpec::from_yaml(VALID_YAML).unwrap();
    assert_eq!(catalog.targets.len(), 3);
    assert_eq!(catalog.targets[0].concurrency, 16);
}

/// Guards against a check that no longer reports its problem, or reports it at another key.
#[test]
fn each_fault_is_reported_at_its_key() {
    for (old, new, expected) in FAULTS {
        let problems = problems_after(old, new);
        let found = problems.iter().any(|problem| problem.contains(expected));
        assert!(
            found,
            "no problem contains `{expected}` after {old} -> {new}: {problems:?}"
        );
    }
}

/// Guards against a check that stops at the first problem, so that an operator has to repeat it.
#[test]
fn all_faults_are_reported_at_once_with_their_lines() {
    let text = VALID_YAML
        .replacen("load_ms: 4000", "load_ms: soon", 1)
        .replacen("queue_limit: 500", "queue_limt: 500", 1);
    let error = CatalogSpec::from_yaml(&text).unwrap_err();
    let positions: Vec<(u32, &str)> = error
        .problems
        .iter()
        .map(|problem| (problem.line, problem.path.as_str()))
        .collect();
    assert_eq!(
        positions,
        [(10, "models[0].load_ms"), (59, "classes[0].queue_limt")]
    );
}

/// Guards against references that stay unchecked because an optional key is misspelt elsewhere.
#[test]
fn references_are_checked_beside_unknown_keys() {
    let text = VALID_YAML
        .replacen("keeps_records: true", "keep_records: true", 1)
        .replacen("service: permisos", "service: permiso", 1);
    let error = CatalogSpec::from_yaml(&text).unwrap_err();
    let paths: Vec<&str> = error
        .problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    assert!(
        paths.contains(&"targets[2].keep_records"),
        "the misspelt key is not reported: {paths:?}"
    );
    assert!(
        paths.contains(&"targets[2].service"),
        "the undeclared service is not reported: {paths:?}"
    );
}

/// Guards against a second problem of one key that is hidden by the first.
#[test]
fn two_faults_of_one_key_are_both_reported() {
    let problems = problems_after(
        "drained: [asistente-2]",
        "drained: [asistente-1, asistente-2, mostrador-1]",
    );
    let drained = problems
        .iter()
        .filter(|problem| problem.contains("presets[1].drained: "));
    assert_eq!(drained.count(), 2, "{problems:?}");
}

/// Guards against texts that exhaust memory or the stack, or that parsers read differently.
#[test]
fn aliases_tags_repeats_and_excess_are_refused() {
    let deep = "[".repeat(100_000);
    let wide: String = (0..2000).map(|n| format!("k{n}: 1\n")).collect();
    let texts = [
        "a: &x 1\nb: *x",
        "regions: !!set {}",
        "regions: []\nregions: []",
        &wide,
        &deep,
    ];
    for text in texts {
        let error = CatalogSpec::from_yaml(text).unwrap_err();
        assert_eq!(error.problems.len(), 1, "{error}");
    }
}

/// Guards against panics on arbitrary text.
#[test]
fn reading_never_panics() {
    for_each_seed(5000, |seed| {
        read_and_ignore(&generate::<String>(seed));
    });
}

/// Guards against panics on texts that are almost YAML.
#[test]
fn reading_almost_yaml_never_panics() {
    for_each_seed(20_000, |seed| {
        let choices = generate::<Vec<u8>>(seed);
        let fragments = choices
            .iter()
            .map(|choice| FRAGMENTS[usize::from(*choice) % FRAGMENTS.len()]);
        read_and_ignore(&fragments.collect::<String>());
    });
}

/// Guards against panics on texts that are close to a valid catalogue.
#[test]
fn reading_a_damaged_catalog_never_panics() {
    for_each_seed(2000, |seed| {
        let (start, length, insert) = generate::<(u16, u8, String)>(seed);
        let start = usize::from(start) % VALID_YAML.len();
        let end = (start + usize::from(length)).min(VALID_YAML.len());
        read_and_ignore(&format!(
            "{}{insert}{}",
            &VALID_YAML[..start],
            &VALID_YAML[end..]
        ));
    });
}

/// Generates a value from a seed; the engine of bolero would take its seeds from the system.
fn generate<T: TypeGenerator>(seed: u64) -> T {
    let mut driver = Rng::new(seeded_rng(seed), &Options::default());
    T::generate(&mut driver).expect("the random driver never runs out of bytes")
}

/// Runs a check for many seeds; a panic is reported with its seed.
fn for_each_seed(seeds: u64, check: fn(u64)) {
    for seed in 0..seeds {
        let outcome = std::panic::catch_unwind(|| check(seed));
        assert!(outcome.is_ok(), "reading panicked with seed {seed}");
    }
}

fn read_and_ignore(text: &str) {
    // Both results are fine; only a panic is a failure.
    let _ = CatalogSpec::from_yaml(text);
}
