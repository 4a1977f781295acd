//! Tests of models and adapters that a target reported but does not hold, and of model load times.

mod common;

use common::{at, copy, model_work, query, report, table_with, target, MODEL};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;

fn table(targets: usize) -> RouteTable {
    table_with(targets, RouteTuning::default())
}

/// Returns the distinct targets of 50 choices.
fn chosen_targets(table: &RouteTable, now: ClockTime, work: &WorkKind) -> Vec<TargetName> {
    let mut rng = seeded_rng(1);
    let mut names: Vec<TargetName> = (0..50)
        .filter_map(|_| match table.choose(now, &query(work, &[]), &mut rng) {
            RouteChoice::Target { target, .. } => Some(target),
            _ => None,
        })
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// Guards against choosing an engine repeatedly for a model that it refused as not found.
#[test]
fn absent_model_is_not_chosen_until_a_newer_report() {
    let mut table = table(2);
    let work = model_work();
    table.record_absent(at(100), &target(0), &work);
    assert_eq!(chosen_targets(&table, at(101), &work), [target(1)]);
    table.apply_report(at(200), report(0, 2));
    assert_eq!(
        chosen_targets(&table, at(201), &work),
        [target(0), target(1)]
    );
}

/// Guards against treating an overloaded engine as one that does not hold the model.
#[test]
fn only_status_404_marks_a_model_absent() {
    let mut table = table(1);
    let work = model_work();
    table.record_refused(at(100), &target(0), 503, Some(&work));
    assert_eq!(chosen_targets(&table, at(101), &work), [target(0)]);
    table.record_refused(at(100), &target(0), 404, Some(&work));
    let choice = table.choose(at(101), &query(&work, &[]), &mut seeded_rng(1));
    assert_eq!(choice, RouteChoice::NotResident);
}

/// Guards against a report that was measured before the refusal and lists the missing model again.
#[test]
fn report_measured_before_the_refusal_keeps_the_model_absent() {
    let mut table = table(2);
    let work = model_work();
    table.record_absent(at(100), &target(0), &work);
    let mut outdated = report(0, 2);
    outdated.age = at(60);
    table.apply_report(at(150), outdated);
    assert_eq!(chosen_targets(&table, at(151), &work), [target(1)]);
    let mut newer = report(0, 3);
    newer.age = at(60);
    table.apply_report(at(250), newer);
    assert_eq!(
        chosen_targets(&table, at(251), &work),
        [target(0), target(1)]
    );
}

/// Guards against sending a request to a copy that does not exist instead of loading the model.
#[test]
fn model_without_another_copy_is_not_resident() {
    let mut table = table(1);
    let work = model_work();
    table.record_absent(at(100), &target(0), &work);
    let choice = table.choose(at(101), &query(&work, &[]), &mut seeded_rng(1));
    assert_eq!(choice, RouteChoice::NotResident);
}

/// Guards against no longer using the base model of an engine that lacks only the adapter, and
/// against retrying at an engine that holds the adapter but lacks the base model.
#[test]
fn adapter_counts_as_absent_before_its_base_model() {
    let mut table = table(3);
    let plain = model_work();
    let work = WorkKind::Model {
        model: MODEL.into(),
        adapter: Some("adapter".into()),
    };
    let mut with_adapter = report(0, 2);
    with_adapter.copies.push(copy("adapter"));
    table.apply_report(at(1), with_adapter.clone());
    table.record_absent(at(100), &target(0), &work);
    assert!(chosen_targets(&table, at(101), &plain).contains(&target(0)));
    table.record_absent(at(100), &target(0), &work);
    assert!(!chosen_targets(&table, at(101), &plain).contains(&target(0)));

    with_adapter.sequence = 3;
    table.apply_report(at(200), with_adapter);
    table.record_absent(at(300), &target(0), &plain);
    let tried = [target(1)];
    let retry = RouteQuery {
        tried: &tried,
        ..query(&work, &[])
    };
    let choice = table.choose(at(301), &retry, &mut seeded_rng(1));
    assert!(matches!(choice, RouteChoice::Target { target: name, .. } if name == target(2)));
}

/// Guards against changes of the table by a refusal of an unknown target or of a service call.
#[test]
fn unknown_targets_and_services_are_ignored() {
    let mut table = table(2);
    let work = model_work();
    table.record_absent(at(100), &target(9), &work);
    let service = WorkKind::Service {
        service: "service".into(),
    };
    table.record_absent(at(100), &target(0), &service);
    assert_eq!(
        chosen_targets(&table, at(101), &work),
        [target(0), target(1)]
    );
}

/// Guards against refusing a request because of a load that has already started, and against
/// treating a load as instant.
#[test]
fn load_time_is_the_declared_time_until_loading_starts() {
    let mut table = table_with(2, RouteTuning::default());
    let work = model_work();
    assert_eq!(table.model_load_time(&work), ClockTime::ZERO);
    table.set_models(&[ModelSpec {
        name: MODEL.into(),
        memory_bytes: 1,
        load_ms: 1_400,
    }]);
    table.record_absent(at(1), &target(0), &work);
    assert_eq!(table.model_load_time(&work), at(1_400));
    let mut loading = report(0, 2);
    loading.copies = vec![CopyReport {
        state: CopyState::Loading,
        ..copy(MODEL)
    }];
    table.apply_report(at(2), loading);
    assert_eq!(table.model_load_time(&work), ClockTime::ZERO);
}
