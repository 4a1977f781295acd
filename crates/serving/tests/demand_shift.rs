//! Load pattern: demand moves to another model within seconds.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::copies::EngineView;
use crocusyard_serving::prelude::*;
use std::collections::HashMap;

/// Demand for a model without an adapter.
fn demand(name: &str, in_progress: u32, rate: f64) -> ModelDemand {
    ModelDemand {
        service: service(),
        need: CallNeed {
            model: model(name),
            adapter: None,
        },
        in_progress,
        waiting: 0,
        rate,
        run_ms: None,
        work: TokenWork::default(),
    }
}

/// Guards against filling the only engine of a model in rising demand far beyond its slots because
/// each host counts only its own requests there.
#[test]
fn requests_of_other_hosts_keep_a_rising_model_waiting() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    host.report_load("other", &[("t1", SLOTS as u16)], ms(1_900));
    let (_, effects) = host.stream("m", ms(2_000));
    assert!(
        sent_to(&effects).is_empty(),
        "a call was sent to a full engine: {effects:?}"
    );
    assert_eq!(host.state.waiting_count(), 1);
}

/// Guards against slots that stay taken by the requests of a dead host.
#[test]
fn requests_of_a_silent_host_are_dropped() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    host.report_load("other", &[("t1", SLOTS as u16)], ms(1_000));
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(1)), ms(3_100));
    let (_, effects) = host.stream("m", ms(3_100));
    assert_eq!(sent_to(&effects), ["t1"]);
}

/// Guards against sending further calls for a model to an engine that refuses them because it is
/// about to unload the model, and against keeping calls for its other models away.
#[test]
fn refusal_with_free_slots_keeps_only_that_model_away() {
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

/// Guards against planning only for the present demand, since a load ends seconds later.
#[test]
fn rising_model_is_expected_to_rise_on() {
    let mut trend = DemandTrend::default();
    for step in 0..10 {
        let now = ms(step * 100);
        let rate = 4.0 + step as f64;
        trend.update(&[demand("m", 4 + step as u32, rate)], now);
    }
    let expected = trend.forecast(&service(), &model("m"), ms(900));
    assert!(
        expected > 20.0,
        "{expected} requests expected, 13 in progress now"
    );
}

/// Guards against planning copies by the rate of a model alone. A small model answers ten times as
/// fast as a large one; its copies took most of the memory of the engines although it needed little
/// of their time.
#[test]
fn fast_model_is_expected_to_need_few_slots() {
    let mut trend = DemandTrend::default();
    let with_run_time = |name, in_progress, run_ms| ModelDemand {
        run_ms: Some(run_ms),
        ..demand(name, in_progress, 100.0)
    };
    let demands = [
        with_run_time("fast", 20, 200),
        with_run_time("slow", 180, 1_800),
    ];
    for step in 0..10 {
        trend.update(&demands, ms(step * 100));
    }
    let expected = |name| trend.forecast(&service(), &model(name), ms(900));
    assert!(
        (expected("fast") - 20.0).abs() < 1.0,
        "20 requests expected for the fast model, not {}",
        expected("fast")
    );
    assert!(
        (expected("slow") - 180.0).abs() < 1.0,
        "180 requests expected for the slow model, not {}",
        expected("slow")
    );
}

/// Guards against run times that get lost between the hosts and the lease holder's plan.
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
    let mut totals = DemandTotals::default();
    let other = ModelDemand {
        run_ms: Some(450),
        rate: own[0].rate,
        ..own[0].clone()
    };
    totals.update(&HostName::new("a"), own, ms(12_000));
    totals.update(&HostName::new("b"), vec![other], ms(12_000));
    let sum = totals.total(ms(12_000))[0].run_ms;
    assert!(
        sum.is_some_and(|run| (290..320).contains(&run)),
        "mean run time of 150 ms and 450 ms: {sum:?}"
    );
}

/// Guards against unloading the copies of a model in a short gap in its demand.
#[test]
fn model_that_was_busy_keeps_its_copies_for_a_while() {
    let mut trend = DemandTrend::default();
    trend.update(&[demand("m", 40, 40.0)], ms(0));
    trend.update(&[], ms(1_000));
    let kept = trend.forecast(&service(), &model("m"), ms(1_000));
    assert!(kept > 20.0, "only {kept} requests expected 1 s after 40");
    trend.update(&[], ms(30_000));
    let kept = trend.forecast(&service(), &model("m"), ms(30_000));
    assert!(
        kept < 1.0,
        "still {kept} requests expected 30 s after the last"
    );
}

/// Orders planned for `engines` if the models in `expected` will have that many requests in
/// progress.
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
        idle: HashMap::new(),
        missed_for: HashMap::new(),
        loads_left,
    };
    plan_orders(&input)
}

/// Guards against a single copy for a model to which the demand moves.
#[test]
fn copies_follow_expected_demand() {
    let rule = engine_rule(&["m", "n"]);
    let views = vec![
        engine_view("t1", &[("m", &[])]),
        engine_view("t2", &[("n", &[])]),
        engine_view("t3", &[]),
    ];
    let orders = plan(views, &rule, &[("m", 6.0)], 10);
    let loads = orders
        .iter()
        .filter(|(_, action)| *action == OrderAction::LoadModel(model("m")))
        .count();
    assert_eq!(loads, 2, "two loads of the model expected: {orders:?}");
}

/// Guards against planning more loads than the weight store allows.
#[test]
fn plan_keeps_to_the_loads_that_are_left() {
    let rule = engine_rule(&["m", "n"]);
    let views = vec![
        engine_view("t1", &[("n", &[])]),
        engine_view("t2", &[]),
        engine_view("t3", &[]),
    ];
    let orders = plan(views, &rule, &[("m", 20.0)], 1);
    assert_eq!(orders.len(), 1, "one load expected: {orders:?}");
}

/// Guards against unloading the last copy of a model, however little it is used.
#[test]
fn last_copy_is_never_unloaded() {
    let rule = engine_rule(&["a", "b", "c", "d", "e", "f"]);
    let views = vec![
        engine_view("t1", &[("a", &[]), ("b", &[]), ("c", &[])]),
        engine_view("t2", &[("d", &[]), ("e", &[]), ("f", &[])]),
    ];
    let orders = plan(views, &rule, &[("a", 50.0)], 10);
    assert!(orders.is_empty(), "no order expected: {orders:?}");
}

/// Guards against ordering a load that exceeds the memory of an engine.
#[test]
fn load_that_does_not_fit_is_not_ordered() {
    let rule = engine_rule(&["a", "b", "c", "d"]);
    let full = engine_view("t1", &[("a", &[]), ("b", &[]), ("c", &[])]);
    let orders = plan(vec![full], &rule, &[("d", 5.0)], 10);
    let loads = orders
        .iter()
        .any(|(_, action)| matches!(action, OrderAction::LoadModel(_)));
    assert!(
        !loads,
        "three models of 60 GB leave no room in 200 GB: {orders:?}"
    );
}
