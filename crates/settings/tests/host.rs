//! Tests of reading and checking host settings.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::TypeGenerator;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_settings::prelude::*;

const SMALLEST_YAML: &str = include_str!("smallest.yaml");

/// Returns the problems as lines after text is appended to the smallest valid file.
fn problems_with(addition: &str) -> Vec<String> {
    match HostSettings::from_yaml(&format!("{SMALLEST_YAML}{addition}")) {
        Ok(_) => Vec::new(),
        Err(error) => error.problems.iter().map(ToString::to_string).collect(),
    }
}

/// Guards against a section or key that has lost its default.
#[test]
fn only_names_addresses_and_platform_are_required() {
    let settings = HostSettings::from_yaml(SMALLEST_YAML).unwrap();
    assert_eq!(settings.address.ttl_ms, ClockTime::from_ms(2000));
    assert_eq!(settings.requests, RequestSettings::default());
    let error = HostSettings::from_yaml("").unwrap_err();
    let paths: Vec<&str> = error
        .problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    assert_eq!(paths, ["name", "domain", "region", "listen", "platform"]);
}

/// Guards against checks that no longer report a problem, or report it at the wrong key.
#[test]
fn each_fault_is_reported_at_its_key() {
    let cases = [
        (
            "adress: {}",
            "13: adress: known key; the nearest is `address`",
        ),
        (
            "address:\n  ttl_ms: 5000",
            "14: address.ttl_ms: whole number from 100 to 2800",
        ),
        ("lease:\n  renew_ms: 9000", "lease.renew_ms: at most 7900"),
        (
            "membership:\n  ping_timeout_ms: 1400",
            "membership.suspicion_ms: at least 2800",
        ),
        (
            "membership:\n  suspicion_ms: 100",
            "membership.suspicion_ms: at least 1000",
        ),
        (
            "address:\n  stale_ms: 2000",
            "address.stale_ms: at least 10000",
        ),
        (
            "requests:\n  probe_timeout_ms: 6000",
            "requests.probe_timeout_ms: at most 5000",
        ),
        (
            "requests:\n  retry_budget: 0.5",
            "requests.retry_budget: number from 0 to 0.1",
        ),
        (
            "limits:\n  body_bytes: 2048",
            "limits.body_bytes: at least 32768",
        ),
        (
            "log:\n  modules: {actix: loud}",
            "log.modules.actix: one of `off`",
        ),
        (
            "keys:\n  gossip: {}",
            "keys.gossip: exactly one of `file` and `env`",
        ),
        (
            "keys:\n  gossip: {file: a, env: B}",
            "keys.gossip: exactly one of",
        ),
        (
            "keys:\n  gossip: {env: CROCUSYARD_OPERATOR_KEY}",
            "keys.gossip: another source",
        ),
    ];
    for (addition, expected) in cases {
        let problems = problems_with(addition);
        let found = problems.iter().any(|problem| problem.contains(expected));
        assert!(
            found,
            "no problem contains `{expected}` after adding {addition}: {problems:?}"
        );
    }
}

/// Guards against an advertised address that other hosts cannot connect to.
#[test]
fn an_unspecified_address_is_not_advertised() {
    let text = SMALLEST_YAML.replace("advertised_gossip: 127.0.0.1", "advertised_gossip: 0.0.0.0");
    let error = HostSettings::from_yaml(&text).unwrap_err();
    assert_eq!(error.problems[0].path, "listen.advertised_gossip");
    assert_eq!(error.problems[0].line, 8);
}

/// Guards against a check that stops at the first problem, so that an operator has to repeat it.
#[test]
fn all_faults_are_reported_at_once() {
    let problems = problems_with("lease:\n  drift: 2\n  lenght_ms: 1\nlog: {level: loud}\n");
    assert_eq!(problems.len(), 3, "{problems:?}");
}

/// Guards against keys that appear in logs, panics or messages about the file.
#[test]
fn a_secret_is_not_printed() {
    let secret = SecretText::new("correct-horse-battery");
    assert!(!format!("{secret:?}").contains("horse"));
    let additions = [
        "keys: {operator: correct-horse-battery}",
        "keys: {operator: {env: correct-horse-battery}}",
        "keys: {operator: [correct-horse-battery]}",
        "keys: {operator: {env: {file: correct-horse-battery}}}",
    ];
    for addition in additions {
        let problems = problems_with(addition);
        assert!(!problems.is_empty());
        assert!(!format!("{problems:?}").contains("horse"), "{problems:?}");
    }
}

/// Guards against a host that starts with an empty or guessable key.
#[test]
fn a_key_must_be_present_and_long_enough() {
    let from = |name: &str| KeySource {
        file: None,
        env: Some(name.to_owned()),
    };
    std::env::set_var("SETTINGS_TEST_SHORT", "horse");
    std::env::set_var("SETTINGS_TEST_LONG", " correct-horse-battery\n");
    let missing = read_secret(&from("SETTINGS_TEST_MISSING")).unwrap_err();
    assert!(matches!(missing, SecretError::UnsetVariable { .. }));
    let short = read_secret(&from("SETTINGS_TEST_SHORT")).unwrap_err();
    assert!(!short.to_string().contains("horse"));
    let key = read_secret(&from("SETTINGS_TEST_LONG")).unwrap();
    assert_eq!(key.reveal(), "correct-horse-battery");
    let neither = read_secret(&KeySource::default()).unwrap_err();
    assert!(matches!(neither, SecretError::AmbiguousSource));
}

/// Guards against panics on arbitrary text and on files that are close to valid ones.
#[test]
fn reading_never_panics() {
    for seed in 0..5000 {
        let outcome = std::panic::catch_unwind(|| {
            let mut driver = Rng::new(seeded_rng(seed), &Options::default());
            let (start, text) = <(u16, String)>::generate(&mut driver).unwrap();
            let start = usize::from(start) % SMALLEST_YAML.len();
            let _ = HostSettings::from_yaml(&text);
            let _ = HostSettings::from_yaml(&format!("{}{text}", &SMALLEST_YAML[..start]));
        });
        assert!(outcome.is_ok(), "reading panicked with seed {seed}");
    }
}
