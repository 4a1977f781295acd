//! Load pattern: calls wait for a full engine while the configuration withdraws keys.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use std::rc::Rc;

const KEYS: [&str; 2] = ["key-of-a", "key-of-b"];

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn tenant(name: &str) -> TenantRule {
    TenantRule {
        name: TenantName::new(name),
        priority: 1,
        limit: None,
        plain_cost: 1,
        unit: CostUnit::Calls,
    }
}

/// Returns rules in which tenants have these keys.
fn rules_with(version: u64, tenants: &[(&str, &[&str])]) -> ServingEvent {
    let mut table = TenantTable::default();
    for (name, keys) in tenants {
        let keys: Vec<KeyDigest> = keys.iter().map(|key| digest(key)).collect();
        table.add(tenant(name), &keys).expect("the tenant is valid");
    }
    let mut rules = rules(&["m"]).with_tenants(table);
    rules.version = version;
    ServingEvent::Rules(Rc::new(rules))
}

/// A host that knows two tenants, each with one key.
fn host() -> TestHost {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    let both = rules_with(2, &[("a", &KEYS[..1]), ("b", &KEYS[1..])]);
    host.state.reduce(both, ms(0));
    host
}

fn anonymous_route() -> RouteRule {
    RouteRule {
        anonymous: true,
        ..route(CallKind::NonIdempotent, 1)
    }
}

/// Lets a call with a key arrive on a route.
fn call(
    host: &mut TestHost,
    route: RouteRule,
    key: Option<(&str, &str)>,
) -> (RequestKey, Vec<ServingEffect>) {
    let identity = key.map(|(key, name)| (digest(key), Rc::new(tenant(name))));
    host.call_of(identity, route, "m", ms(10))
}

/// Fills the engine, so that further calls wait.
fn fill(host: &mut TestHost) -> Vec<RequestKey> {
    (0..SLOTS)
        .map(|_| {
            let (key, effects) = call(host, anonymous_route(), None);
            assert_eq!(sent_to(&effects).len(), 1);
            key
        })
        .collect()
}

/// Returns the refused requests with the reasons.
fn refusals(effects: &[ServingEffect]) -> Vec<(RequestKey, RefusalReason)> {
    let refusal = |effect: &ServingEffect| match effect {
        ServingEffect::Refuse(refusal) => Some((refusal.key, refusal.reason)),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}

/// Guards against a waiting call that runs although its key was revoked, and against one that is
/// refused although its key was not.
#[test]
fn waiting_call_with_a_revoked_key_is_refused() {
    let mut host = host();
    let running = fill(&mut host);
    let plain = || route(CallKind::NonIdempotent, 1);
    let (revoked, _) = call(&mut host, plain(), Some((KEYS[0], "a")));
    let (kept, _) = call(&mut host, plain(), Some((KEYS[1], "b")));
    let (open, _) = call(&mut host, anonymous_route(), None);
    assert_eq!(host.state.waiting_count(), 3);
    let effects = host
        .state
        .reduce(rules_with(3, &[("b", &KEYS[1..])]), ms(20));
    assert_eq!(refusals(&effects), [(revoked, RefusalReason::KeyRevoked)]);
    // An older version does not bring the key back.
    let both = rules_with(2, &[("a", &KEYS[..1]), ("b", &KEYS[1..])]);
    host.state.reduce(both, ms(30));
    let (late, effects) = call(&mut host, plain(), Some((KEYS[0], "a")));
    assert_eq!(refusals(&effects), [(late, RefusalReason::KeyRevoked)]);
    for (ended, next) in running.into_iter().zip([kept, open]) {
        let outcome = AttemptOutcome::Answered { status: 200 };
        let event = ServingEvent::AttemptEnded {
            key: ended,
            outcome,
        };
        let effects = host.state.reduce(event, ms(40));
        assert!(
            effects
                .iter()
                .any(|effect| matches!(effect, ServingEffect::Send(plan) if plan.key == next)),
            "{effects:?}"
        );
    }
}

/// Guards against a target that gets the name of the tenant that a key belonged to before, and
/// against a call without a key that runs after keys have become necessary.
#[test]
fn waiting_call_is_sent_again_when_its_tenant_changes() {
    let mut host = host();
    fill(&mut host);
    let plain = || route(CallKind::NonIdempotent, 1);
    let (moved, _) = call(&mut host, plain(), Some((KEYS[0], "a")));
    let rules = rules_with(3, &[("b", &KEYS)]);
    let effects = host.state.reduce(rules, ms(20));
    assert_eq!(refusals(&effects), [(moved, RefusalReason::AccessChanged)]);

    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    fill(&mut host);
    let (keyless, _) = call(&mut host, plain(), None);
    let effects = host.state.reduce(rules_with(2, &[("a", &KEYS)]), ms(20));
    assert_eq!(
        refusals(&effects),
        [(keyless, RefusalReason::AccessChanged)]
    );
}

/// Guards against a refusal, which promises that a call has not run, of a call that may have run when
/// its key is revoked.
#[test]
fn call_that_may_have_run_is_not_refused_for_its_key() {
    let mut host = host();
    let resumable = route(CallKind::Stream { resumable: true }, 2);
    let (key, effects) = call(&mut host, resumable, Some((KEYS[0], "a")));
    assert_eq!(sent_to(&effects).len(), 1);
    let revoking = rules_with(3, &[("b", &KEYS[1..])]);
    assert_eq!(refusals(&host.state.reduce(revoking, ms(20))), []);
    let outcome = AttemptOutcome::Lost {
        broken: true,
        started: true,
    };
    let event = ServingEvent::AttemptEnded { key, outcome };
    let effects = host.state.reduce(event, ms(30));
    assert_eq!(refusals(&effects), []);
}
