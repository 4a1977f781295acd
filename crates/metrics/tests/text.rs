//! Tests of the encoded metrics.

use crocusyard_base::prelude::*;
use crocusyard_metrics::labels::{CLASSES_MAX, OTHER_LABEL, TENANTS_MAX};
use crocusyard_metrics::prelude::*;

const PAGE: &str = include_str!("../../../docs/operators.md");

/// Returns a set with a record in every family.
fn filled_set() -> MetricSet {
    let set = MetricSet::new();
    let (tenant, class) = ("city".into(), "interactive".into());
    set.declare_names([&tenant], [&class]);
    let labels = set.labels_of(&tenant, &class);
    set.record_first_token(&labels, ClockTime::from_ms(1700));
    set.record_token_gap(&labels, ClockTime::from_ms(46));
    set.record_queue_time(&labels, ClockTime::from_ms(3));
    set.record_end(&labels, OutcomeLabel::NotRun, ClockTime::from_ms(2000));
    set.record_attempt();
    set.record_retry();
    set.record_refusal("queue_full");
    set.record_move(MoveAction::Load, MoveResult::Done);
    let violations = [("memory_fits", 2)].into();
    set.record_violations(&violations);
    set.record_violations(&violations);
    set.record_traffic(TrafficDirection::Sent, 1200);
    set.set_in_progress(&class, 4);
    set.set_queued(&class, 5);
    set.set_preset_version(7);
    set.set_members(MemberState::Alive, 9);
    set
}

/// Guards against families that are renamed, not registered or recorded under other labels.
#[test]
fn every_family_is_written() {
    let text = filled_set().encode_text();
    let labels = "tenant=\"city\",class=\"interactive\"";
    let expected = [
        format!("crocusyard_first_token_seconds_bucket{{le=\"1.7\",{labels}}} 1"),
        format!("crocusyard_first_token_seconds_bucket{{le=\"1.2\",{labels}}} 0"),
        format!("crocusyard_token_gap_seconds_bucket{{le=\"0.046\",{labels}}} 1"),
        format!("crocusyard_queue_time_seconds_count{{{labels}}} 1"),
        format!("crocusyard_request_time_seconds_sum{{{labels}}} 2.0"),
        format!("crocusyard_requests_total{{{labels},outcome=\"not_run\"}} 1"),
        "crocusyard_attempts_total 2".to_owned(),
        "crocusyard_retries_total 1".to_owned(),
        "crocusyard_refusals_total{code=\"queue_full\"} 1".to_owned(),
        "crocusyard_moves_total{action=\"load\",result=\"done\"} 1".to_owned(),
        "crocusyard_invariant_violations_total{invariant=\"memory_fits\"} 2".to_owned(),
        "crocusyard_control_traffic_bytes_total{direction=\"sent\"} 1200".to_owned(),
        "crocusyard_requests_in_progress{class=\"interactive\"} 4".to_owned(),
        "crocusyard_requests_queued{class=\"interactive\"} 5".to_owned(),
        "crocusyard_preset_version 7".to_owned(),
        "crocusyard_members{state=\"alive\"} 9".to_owned(),
        "# EOF".to_owned(),
    ];
    for line in expected {
        assert!(
            text.lines().any(|found| found == line),
            "the line\n{line}\nis missing in\n{text}"
        );
    }
}

/// Guards against a metric family that the operators' page does not list.
#[test]
fn every_family_is_on_the_operators_page() {
    let text = filled_set().encode_text();
    let families = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = families.filter_map(|line| line.split(' ').next()).collect();
    assert_eq!(names.len(), 15);
    for name in names {
        assert!(
            PAGE.contains(&format!("| `{name}` |")),
            "docs/operators.md has no row for {name}"
        );
    }
}

/// Guards against an unbounded number of series when tenants are many or undeclared.
#[test]
fn names_beyond_the_limit_share_one_series() {
    let set = MetricSet::new();
    let tenants: Vec<TenantName> = (0..1000)
        .map(|n| TenantName::new(&format!("t{n}")))
        .collect();
    let classes: Vec<ClassName> = (0..100).map(|n| ClassName::new(&format!("c{n}"))).collect();
    set.declare_names(&tenants, &classes);
    for tenant in &tenants {
        for class in &classes {
            let labels = set.labels_of(tenant, class);
            set.record_first_token(&labels, ClockTime::from_ms(1));
        }
    }
    let labels = set.labels_of(&"undeclared".into(), &"undeclared".into());
    assert_eq!(
        (&*labels.tenant, &*labels.class),
        (OTHER_LABEL, OTHER_LABEL)
    );
    let text = set.encode_text();
    let series = text
        .lines()
        .filter(|line| line.starts_with("crocusyard_first_token_seconds_count"))
        .count();
    assert_eq!(series, (TENANTS_MAX + 1) * (CLASSES_MAX + 1));
}
