//! Calls that end because this host is short of connections or memory.

mod common;

use common::*;
use crocusyard_serving::prelude::*;

fn host() -> TestHost {
    let names = ["t1", "t2"];
    let targets = names.map(|name| record(name, "a", &[("m", &[])]));
    TestHost::new(&["m"], targets.to_vec())
}

fn avoids_any(host: &TestHost) -> bool {
    host.state
        .targets
        .iter()
        .any(|target| target.is_avoided(ms(200)) || target.failure_rate(ms(200)) > 0.0)
}

/// Guards against a host without connections that takes all targets for broken, and whose call goes
/// through all of them.
#[test]
fn host_without_connections_blames_no_target() {
    let mut host = host();
    for _ in 0..5 {
        let (key, effects) = host.stream("m", ms(100));
        assert_eq!(sent_to(&effects).len(), 1);
        let effects = host.end(key, AttemptOutcome::NoSlot, ms(110));
        assert!(sent_to(&effects).is_empty(), "{effects:?}");
        let refusals = refusals(&effects);
        assert_eq!(refusals[0].reason, RefusalReason::NoConnection);
    }
    assert!(!avoids_any(&host));
}

/// Guards against a host without memory that takes targets for broken, that runs a call twice, or
/// that promises that it has not run.
#[test]
fn host_without_memory_blames_no_target() {
    let mut host = host();
    for _ in 0..5 {
        let (key, _) = host.call(route(CallKind::Idempotent, 3), "m", ms(100));
        let effects = host.end(key, AttemptOutcome::Dropped, ms(110));
        let is_failed = effects
            .iter()
            .any(|effect| matches!(effect, ServingEffect::Fail { expired: false, .. }));
        assert!(is_failed, "{effects:?}");
        assert!(sent_to(&effects).is_empty(), "{effects:?}");
    }
    assert!(!avoids_any(&host));
}
