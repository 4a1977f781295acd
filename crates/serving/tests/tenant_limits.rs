//! Charges and refunds of calls whose tenant has a limit.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use std::rc::Rc;

/// Time at which the bucket of the tenant is full.
const FULL_AT: ClockTime = ClockTime::from_secs(100_000);

/// A host that is alone, and a tenant of it that may make three calls at once and hardly any more.
fn limited_host(targets: Vec<TargetRecord>) -> (TestHost, Rc<TenantRule>) {
    let mut host = TestHost::new(&["m"], targets);
    let rule = TenantRule {
        name: TenantName::new("tenant"),
        priority: 1,
        limit: Some(UsageLimit {
            rate_per_s: 0.001,
            burst: 3.0,
        }),
        plain_cost: 1,
        unit: CostUnit::Calls,
    };
    let mut tenants = TenantTable::default();
    tenants
        .add(rule.clone(), &[KeyDigest::of(b"key")])
        .expect("a valid tenant");
    let mut rules = rules(&["m"]).with_tenants(tenants);
    rules.version += 1;
    host.state
        .reduce(ServingEvent::Rules(Rc::new(rules)), ms(0));
    let own = HostRecord {
        name: HostName::new("h"),
        domain: DomainName::new("a"),
        entry: ([10, 0, 0, 1], 80).into(),
        peer: ([10, 0, 0, 1], 81).into(),
        millicores: 100,
    };
    host.state.limits.set_hosts(&HostTable::new(own), ms(0));
    (host, Rc::new(rule))
}

/// Lets a call of the tenant arrive.
fn arrive(
    host: &mut TestHost,
    number: u64,
    tenant: &Rc<TenantRule>,
    now: ClockTime,
) -> Vec<ServingEffect> {
    let route = route(CallKind::NonIdempotent, 1);
    let call = Rc::new(CallInfo {
        id: format!("r{number}").into(),
        service: service(),
        need: Some(CallNeed {
            model: model("m"),
            adapter: None,
        }),
        prompt: Vec::new(),
        prompt_tokens: 10,
        output_tokens: 10,
        deadline: now + route.timeout,
        start_deadline: now + route.start_timeout,
        digest: CallDigest(number),
        key: Some(KeyDigest::of(b"key")),
        tenant: Some(tenant.clone()),
        cost: 1,
        route,
    });
    let key = RequestKey(number);
    host.state
        .reduce(ServingEvent::CallArrived { key, call }, now)
}

fn is_over_limit(effects: &[ServingEffect]) -> bool {
    refusals(effects)
        .iter()
        .any(|refusal| refusal.reason == RefusalReason::OverLimit)
}

fn end(host: &mut TestHost, number: u64, outcome: AttemptOutcome) {
    let key = RequestKey(number);
    host.state
        .reduce(ServingEvent::AttemptEnded { key, outcome }, FULL_AT);
}

/// Guards against calls over the limit that are sent, and against an end of a call that has run, or
/// may have run, which gives its charge back.
#[test]
fn calls_that_have_run_stay_charged() {
    let (mut host, tenant) = limited_host(vec![record("t", "a", &[("m", &[])])]);
    let outcomes = [
        AttemptOutcome::Answered { status: 200 },
        AttemptOutcome::Lost {
            broken: false,
            started: false,
        },
        AttemptOutcome::Expired,
    ];
    for (number, outcome) in outcomes.into_iter().enumerate() {
        let effects = arrive(&mut host, number as u64, &tenant, FULL_AT);
        assert_eq!(sent_to(&effects), ["t"], "{outcome:?}");
        end(&mut host, number as u64, outcome);
    }
    let effects = arrive(&mut host, 9, &tenant, FULL_AT);
    assert!(is_over_limit(&effects), "{effects:?}");
    assert!(sent_to(&effects).is_empty());
}

/// Guards against charges that stay for calls that have not run: refused by the target, never sent,
/// given up by their callers while they waited, or without a target.
#[test]
fn calls_that_have_not_run_are_refunded() {
    let (mut host, tenant) = limited_host(vec![record("t", "a", &[("m", &[])])]);
    for number in 0..10 {
        let effects = arrive(&mut host, number, &tenant, FULL_AT);
        assert!(!is_over_limit(&effects), "call {number}");
        let outcome = AttemptOutcome::NotRun {
            full: false,
            misplaced: false,
        };
        end(&mut host, number, outcome);
    }
    let (mut host, tenant) = limited_host(Vec::new());
    for number in 0..10 {
        let effects = arrive(&mut host, number, &tenant, FULL_AT);
        assert!(!is_over_limit(&effects), "call {number} without a target");
        let key = RequestKey(number);
        host.state.reduce(ServingEvent::CallerLeft { key }, FULL_AT);
    }
}

/// Guards against callers that are told that their tenant is over its limit by a host that does not
/// know the other hosts.
#[test]
fn host_that_knows_no_others_says_so() {
    let (mut host, tenant) = limited_host(vec![record("t1", "a", &[("m", &[])])]);
    let mut fresh = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    let rules = host.state.rules().expect("rules").clone();
    fresh.state.reduce(ServingEvent::Rules(rules), ms(0));
    let refusals = refusals(&arrive(&mut fresh, 1, &tenant, ms(100)));
    assert_eq!(refusals[0].reason, RefusalReason::HostsUnknown);
    assert!(refusals[0].retry_after > ClockTime::ZERO);
    assert!(sent_to(&arrive(&mut host, 2, &tenant, FULL_AT)).len() == 1);
}
