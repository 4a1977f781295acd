//! Schedules of load runs.

use crocusyard_base::prelude::*;
use crocusyard_load::prelude::*;
use std::collections::BTreeMap;

fn plan_of(shape: ArrivalShape) -> LoadPlan {
    let names = |kind: &str| (0..9).map(|rank| format!("{kind}-{rank}")).collect();
    LoadPlan {
        shape,
        rate: 200.0,
        span: ClockTime::from_secs(100),
        seed: 7,
        models: names("model"),
        services: names("service"),
        tenants: names("tenant"),
        ..LoadPlan::default()
    }
}

const SHAPES: [ArrivalShape; 5] = [
    ArrivalShape::Constant,
    ArrivalShape::Poisson,
    ArrivalShape::Bursty,
    ArrivalShape::Day,
    ArrivalShape::Shift,
];

/// Guards against schedules that differ for the same seed or are equal for different seeds.
#[test]
fn a_seed_gives_one_schedule() {
    for shape in SHAPES {
        let plan = plan_of(shape);
        let other = LoadPlan {
            seed: 8,
            ..plan.clone()
        };
        assert_eq!(plan_calls(&plan), plan_calls(&plan), "{shape:?}");
        assert_ne!(plan_calls(&plan), plan_calls(&other), "{shape:?}");
    }
}

/// Guards against a shape that misses its mean rate, and against arrivals out of order.
#[test]
fn shapes_keep_the_mean_rate() {
    for shape in SHAPES {
        let calls = plan_calls(&plan_of(shape));
        let is_sorted = calls.windows(2).all(|pair| pair[0].at <= pair[1].at);
        assert!(is_sorted, "{shape:?}");
        let range = match shape {
            ArrivalShape::Constant => 19_990..=20_010,
            // The burst phases of one seed vary by more than independent arrivals do.
            ArrivalShape::Bursty => 14_000..=26_000,
            ArrivalShape::Shift => 20_000..=60_000,
            _ => 19_000..=21_000,
        };
        assert!(range.contains(&calls.len()), "{shape:?}: {}", calls.len());
    }
}

/// Guards against runs without a bound on the number of calls.
#[test]
fn the_number_of_calls_is_bounded() {
    let plan = LoadPlan {
        max_calls: 50,
        ..plan_of(ArrivalShape::Poisson)
    };
    assert_eq!(plan_calls(&plan).len(), 50);
}

/// Guards against uniform demand when the plan sets a skew.
#[test]
fn popularity_follows_the_rank() {
    let calls = plan_calls(&plan_of(ArrivalShape::Poisson));
    let counts = model_counts(&calls);
    let ratio = f64::from(counts["model-0"]) / f64::from(counts["model-4"]);
    assert!((4.0..6.0).contains(&ratio), "{ratio}");
}

/// Guards against a shift that changes the demand for other models or misses the factor of ten.
#[test]
fn the_shift_raises_one_group_tenfold() {
    let calls = plan_calls(&plan_of(ArrivalShape::Shift));
    let middle = calls.partition_point(|call| call.at < ClockTime::from_secs(50));
    let (before, after) = (
        model_counts(&calls[..middle]),
        model_counts(&calls[middle..]),
    );
    let ratio = |name: &str| f64::from(after[name]) / f64::from(before[name]);
    assert!(
        (0.9..1.1).contains(&ratio("model-0")),
        "{before:?} {after:?}"
    );
    let group = (6..9).map(|rank| ratio(&format!("model-{rank}")));
    for ratio in group {
        assert!((8.0..12.0).contains(&ratio), "{before:?} {after:?}");
    }
}

/// Guards against a day without peaks, or with requests of the same size in both.
#[test]
fn the_evening_brings_larger_requests_than_the_morning() {
    let calls = plan_calls(&plan_of(ArrivalShape::Day));
    let mean = |from: u64, to: u64| {
        let in_period = calls.iter().filter(|call| {
            (ClockTime::from_secs(from)..ClockTime::from_secs(to)).contains(&call.at)
        });
        let tokens: Vec<_> = in_period
            .filter_map(|call| match &call.kind {
                CallKind::Chat { tokens, .. } => Some(*tokens),
                _ => None,
            })
            .collect();
        let sum = tokens.iter().sum::<u32>();
        (tokens.len(), f64::from(sum) / tokens.len() as f64)
    };
    let (night, morning, evening) = (mean(0, 10), mean(33, 43), mean(76, 86));
    assert!(morning.0 > 4 * night.0 && evening.0 > 4 * night.0);
    assert!(evening.1 > 2.5 * morning.1, "{morning:?} {evening:?}");
}

/// Guards against load on other machines.
#[test]
fn addresses_off_loopback_are_refused() {
    let plan = |address: &str| LoadPlan {
        entries: vec![address.parse().expect("the address is valid")],
        ..plan_of(ArrivalShape::Poisson)
    };
    assert!(plan("127.0.0.1:7000").check().is_ok());
    assert!(plan("[::1]:7000").check().is_ok());
    assert!(plan("10.0.0.1:7000").check().is_err());
    let mut plain = plan("127.0.0.1:7000");
    plain.plain_standins = vec!["192.0.2.1:80".parse().expect("the address is valid")];
    assert!(plain.check().is_err());
}

fn model_counts(calls: &[PlannedCall]) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for call in calls {
        if let CallKind::Chat { model, .. } = &call.kind {
            *counts.entry(model.to_string()).or_default() += 1;
        }
    }
    counts
}
