//! Limits that are removed and set again.

use crocusyard_base::prelude::*;
use crocusyard_quota::prelude::*;

const LIMIT: UsageLimit = UsageLimit {
    rate_per_s: 10_000.0,
    burst: 10_000.0,
};

fn ms(value: u64) -> ClockTime {
    ClockTime::from_ms(value)
}

/// A host among two, after 10 s in which it has heard the other one.
fn host(name: &str, other: &str) -> QuotaState {
    let config = QuotaConfig {
        host: HostId::of(name),
        process: 1,
        seed: 1,
    };
    let mut state = QuotaState::new(config, ms(0));
    let hosts = [name, other].map(|name| QuotaHost {
        id: HostId::of(name),
        weight: 1.0,
    });
    state.set_hosts(&hosts, ms(0));
    state.set_limits([(TenantKey::of("tenant"), LIMIT)], ms(0));
    for step in 1..=40 {
        state.hear(HostId::of(other), ms(step * 250));
    }
    state
}

/// Guards against usage that does not count at another host after the limit was removed and set again
/// in versions of which that host knows the first and the last one only.
#[test]
fn counters_go_on_when_a_limit_comes_back() {
    let tenant = TenantKey::of("tenant");
    let (mut a, mut b) = (host("a", "b"), host("b", "a"));
    let charge = |state: &mut QuotaState, cost, now| {
        let decision = state.charge(tenant, cost, now);
        assert_eq!(decision, QuotaDecision::Admit);
    };
    charge(&mut a, 2_000, ms(10_000));
    let report = a.report(ms(10_100)).expect("the usage is reported");
    b.receive(&report, ms(10_100));
    a.set_limits([], ms(10_200));
    a.set_limits([(tenant, LIMIT)], ms(10_300));
    for step in 1..=20 {
        a.hear(HostId::of("b"), ms(10_300 + step * 250));
    }
    charge(&mut a, 1_000, ms(15_300));
    let report = a.report(ms(15_400)).expect("the usage is reported");
    b.receive(&report, ms(15_400));
    let usage = b.usage(tenant, ms(15_400)).expect("the tenant has a limit");
    assert_eq!(usage.total, 3_000);
}
