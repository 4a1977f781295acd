//! Reading of host settings.

use crocusyard_base::prelude::*;
use crocusyard_settings::prelude::*;

const SMALLEST: &str = "\
name: entry-1
domain: plaza-mayor
region: castilla-norte
listen:
  callers: 127.0.0.1:7000
  advertised_callers: 127.0.0.1:7000
  gossip: 127.0.0.1:7001
  advertised_gossip: 127.0.0.1:7001
platform:
  table: 127.0.0.1:7100
  objects: 127.0.0.1:7101
  hosts: 127.0.0.1:7102
";

/// Guards against a section or key that has lost its default.
#[test]
fn only_names_addresses_and_platform_are_required() {
    let settings = HostSettings::from_yaml(SMALLEST).unwrap();
    assert_eq!(settings.address.ttl_ms, ClockTime::from_ms(2000));
    assert_eq!(settings.requests, RequestSettings::default());
}

/// Guards against keys that appear in logs or panics.
#[test]
fn a_secret_is_not_printed() {
    let secret = SecretText::new("correct-horse-battery");
    assert!(!format!("{secret:?}").contains("horse"));
}
