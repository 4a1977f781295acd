//! Load pattern: demand moves to another model within seconds.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::copies::EngineView;
use crocusyard_serving::prelude::*;
use std::collections::HashMap;

fn demand(name: &str, in_progress: u32, rate: f64) -> ModelDemand {
    ModelDemand {
        service: engines(),
        need: CallNeed {
            model: model(name),
            adapter: None,
        },
        in_progress,
        waiting: 0,
        rate,
        run_ms: None,
    }
}

/// Guards against filling the only engine of a rising model far beyond its slots, because each host
/// sees only its own requests there.
#[test]
fn requests_of_other_hosts_keep_a_rising_model_waiting() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    host.hear_load("other", &[("t1", SLOTS as u16)], ms(1_900));
    let (_, effects) = host.stream("m", ms(2_000));
    assert!(
        sent_to(&effects).is_empty(),
        "sent to a full engine: {effects:?}"
    );
    assert_eq!(host.state.waiting_count(), 1);
}

/// Guards against places that stay taken by a host that has died.
#[test]
fn requests_of_a_silent_host_are_dropped() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    host.hear_load("other", &[("t1", SLOTS as u16)], ms(1_000));
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(1)), ms(3_100));
    let (_, effects) = host.stream("m", ms(3_100));
    assert_eq!(sent_to(&effects), ["t1"]);
}

/// Guards against sending on to an engine that refuses a model because it is about to unload it,
/// while it has places for others.
#[test]
fn refusal_with_places_left_keeps_only_that_model_away() {
    let targets = vec![record("t1", "a", &[("m", &[]), ("n", &[])])];
    let mut host = TestHost::new(&["m", "n"], targets);
    let (key, effects) = host.stream("m", ms(2_000));
    assert_eq!(sent_to(&effects), ["t1"]);
    let full = AttemptOutcome::NotRun {
        full: true,
        misplaced: false,
    };
    host.end(key, full, ms(2_010));
    let (_, effects) = host.stream("m", ms(2_020));
    assert!(sent_to(&effects).is_empty());
    let (_, effects) = host.stream("n", ms(2_020));
    assert_eq!(sent_to(&effects), ["t1"]);
}

/// Guards against planning for the present demand only: a load ends seconds later.
#[test]
fn rising_model_is_expected_to_rise_on() {
    let mut trend = DemandTrend::default();
    for step in 0..10 {
        let now = ms(step * 100);
        let rate = 4.0 + step as f64;
        trend.update(&[demand("m", 4 + step as u32, rate)], now);
    }
    let expected = trend.forecast(&engines(), &model("m"), ms(900));
    assert!(expected > 20.0, "expected {expected}, now 13");
}

/// Guards against copies for the rate of a model alone: a small model answers ten times as fast as a
/// large one, and took most of the memory of the engines although it needed little of their time.
#[test]
fn fast_model_is_expected_to_need_few_places() {
    let mut trend = DemandTrend::default();
    let with_run = |name, in_progress, run_ms| ModelDemand {
        run_ms: Some(run_ms),
        ..demand(name, in_progress, 100.0)
    };
    let demands = [with_run("fast", 20, 200), with_run("slow", 180, 1_800)];
    for step in 0..10 {
        trend.update(&demands, ms(step * 100));
    }
    let expected = |name| trend.forecast(&engines(), &model(name), ms(900));
    assert!(
        (expected("fast") - 20.0).abs() < 1.0,
        "{}",
        expected("fast")
    );
    assert!(
        (expected("slow") - 180.0).abs() < 1.0,
        "{}",
        expected("slow")
    );
}

/// Guards against run times that are lost between the hosts and the plan.
#[test]
fn run_times_reach_the_plan() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    for number in 0..50 {
        let now = ms(2_000 + number * 200);
        let (key, _) = host.stream("m", now);
        host.end(key, AttemptOutcome::Answered { status: 200 }, now + ms(150));
    }
    let own = host.state.demand_report(ms(12_000));
    assert!(own[0].run_ms.is_some_and(|run| (140..170).contains(&run)));
    let mut book = DemandTotals::default();
    let other = ModelDemand {
        run_ms: Some(450),
        rate: own[0].rate,
        ..own[0].clone()
    };
    book.update(&HostName::new("a"), own, ms(12_000));
    book.update(&HostName::new("b"), vec![other], ms(12_000));
    let sum = book.total(ms(12_000))[0].run_ms;
    assert!(sum.is_some_and(|run| (290..320).contains(&run)), "{sum:?}");
}

/// Guards against unloading copies of a model between two moments of its demand.
#[test]
fn model_that_was_busy_keeps_its_copies_for_a_while() {
    let mut trend = DemandTrend::default();
    trend.update(&[demand("m", 40, 40.0)], ms(0));
    trend.update(&[], ms(1_000));
    let kept = trend.forecast(&engines(), &model("m"), ms(1_000));
    assert!(kept > 20.0, "kept {kept}");
    trend.update(&[], ms(30_000));
    let kept = trend.forecast(&engines(), &model("m"), ms(30_000));
    assert!(kept < 1.0, "still kept {kept}");
}

fn plan(
    engines: Vec<EngineView>,
    rule: &EngineRule,
    expected: &[(&str, f64)],
    loads_left: usize,
) -> Vec<(TargetName, OrderAction)> {
    let input = PlanInput {
        rule,
        engines,
        demand: &[],
        forecast: expected
            .iter()
            .map(|(name, in_progress)| (model(name), *in_progress))
            .collect::<HashMap<_, _>>(),
        loads_left,
    };
    plan_orders(&input)
}

/// Guards against leaving a model that demand moves to on its single copy.
#[test]
fn copies_follow_expected_demand() {
    let rule = engine_rule(&["m", "n"]);
    let views = vec![
        view("t1", &[("m", &[])]),
        view("t2", &[("n", &[])]),
        view("t3", &[]),
    ];
    let orders = plan(views, &rule, &[("m", 6.0)], 10);
    let loads = orders
        .iter()
        .filter(|(_, action)| *action == OrderAction::LoadModel(model("m")))
        .count();
    assert_eq!(loads, 2, "{orders:?}");
}

/// Guards against more loads than the weight store allows.
#[test]
fn plan_keeps_to_the_loads_that_are_left() {
    let rule = engine_rule(&["m", "n"]);
    let views = vec![view("t1", &[("n", &[])]), view("t2", &[]), view("t3", &[])];
    let orders = plan(views, &rule, &[("m", 20.0)], 1);
    assert_eq!(orders.len(), 1, "{orders:?}");
}

/// Guards against unloading the last copy of a model, however little it is used.
#[test]
fn last_copy_is_never_unloaded() {
    let rule = engine_rule(&["a", "b", "c", "d", "e", "f"]);
    let views = vec![
        view("t1", &[("a", &[]), ("b", &[]), ("c", &[])]),
        view("t2", &[("d", &[]), ("e", &[]), ("f", &[])]),
    ];
    let orders = plan(views, &rule, &[("a", 50.0)], 10);
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against orders beyond an engine's memory.
#[test]
fn load_that_does_not_fit_is_not_ordered() {
    let rule = engine_rule(&["a", "b", "c", "d"]);
    let full = view("t1", &[("a", &[]), ("b", &[]), ("c", &[])]);
    let orders = plan(vec![full], &rule, &[("d", 5.0)], 10);
    let loads = orders
        .iter()
        .any(|(_, action)| matches!(action, OrderAction::LoadModel(_)));
    assert!(!loads, "three models of 60 GB fill 200 GB: {orders:?}");
}
