//! Usage of tenants that decays with time.

use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;

const HALF_LIFE: ClockTime = ClockTime::from_secs(4);

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn tenant(name: &str) -> TenantName {
    TenantName::new(name)
}

/// Guards against a tenant that is held to a load that has ended, also across the change of scale
/// that a long time brings, and after a time in which the process was suspended.
#[test]
fn usage_falls_by_half_in_each_half_life() {
    let mut table = UsageTable::with_half_life(HALF_LIFE, at(1_000));
    let (a, b) = (tenant("a"), tenant("b"));
    table.record(&a, 8_000, at(1_000));
    assert_eq!(table.start(&a, at(1_000)), 8_000);
    assert_eq!(table.start(&a, at(5_000)), 4_000);
    assert_eq!(table.start(&a, at(13_000)), 1_000);
    assert_eq!(table.start(&b, at(13_000)), 0);
    // Usage of 1,000 at 13 s and 3,000 more at 17 s.
    table.record(&a, 3_000, at(17_000));
    assert_eq!(table.start(&a, at(17_000)), 3_500);
    for number in 0..200 {
        table.record(&b, 1_000, at(17_000 + number * 1_000));
    }
    // Each half-life adds four charges, so that the usage tends to one charge of 1,000 divided by
    // the fall in a second.
    let steady = 1_000.0 / (1.0 - (-0.25_f64).exp2());
    let usage = table.start(&b, at(216_000)) as f64;
    assert!((usage - steady).abs() < 20.0, "{usage} instead of {steady}");
    assert_eq!(table.start(&a, at(216_000)), 0);
    table.record(&b, 1_000, at(90_000_000));
    assert_eq!(table.start(&b, at(90_000_000)), 1_000);
}

/// Guards against a refund that leaves part of a charge, or takes away that of another call.
#[test]
fn refund_takes_back_what_is_left_of_the_charge() {
    let mut table = UsageTable::with_half_life(HALF_LIFE, at(0));
    let a = tenant("a");
    table.record(&a, 4_000, at(0));
    table.record(&a, 1_000, at(4_000));
    table.refund(&a, 4_000, at(0));
    assert_eq!(table.start(&a, at(4_000)), 1_000);
    // More than 20 half-lives later, the scale has changed, and nothing is left to be refunded.
    table.record(&a, 1_000, at(200_000));
    table.refund(&a, 1_000, at(4_000));
    assert_eq!(table.start(&a, at(200_000)), 1_000);
    table.refund(&a, 5_000, at(200_000));
    assert_eq!(table.start(&a, at(200_000)), 0);
    table.refund(&tenant("unknown"), 1, at(200_000));
}

/// Guards against an order in which a tenant with many requests goes first with all of them.
#[test]
fn start_tags_interleave_tenants() {
    let mut tags = StartTags::default();
    let first: Vec<u64> = (0..3).map(|_| tags.take(1, || 100, 50)).collect();
    let second: Vec<u64> = (0..3).map(|_| tags.take(2, || 120, 10)).collect();
    assert_eq!(first, [100, 150, 200]);
    assert_eq!(second, [120, 130, 140]);
}
