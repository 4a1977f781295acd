//! Orders to engines: lost answers, late reports and unloads.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use std::collections::BTreeMap;

fn t1() -> TargetName {
    TargetName::new("t1")
}

/// A tracker with one engine that has accepted 4 orders and holds `models`.
fn tracker(models: &[(&str, &[&str])]) -> OrderTracker {
    let mut orders = OrderTracker::default();
    orders.sync_engines(&BTreeMap::from([(t1(), 1)]));
    assert!(
        !orders.accepts_orders(&t1(), ms(0)),
        "an engine without a known report accepts orders"
    );
    assert_eq!(orders.reports_due(ms(0)), [t1()]);
    orders.receive_report(&t1(), &engine_report(4, models, false), ms(0));
    orders
}

/// Guards against carrying out both a lost order and its repetition: they must expect the same
/// number of accepted orders, so that the engine refuses one of the two.
#[test]
fn lost_order_is_repeated_with_the_same_expectation() {
    let mut orders = tracker(&[]);
    let load = OrderAction::LoadModel(model("m"));
    let expected = orders.begin(&service(), &t1(), &load, ms(0));
    assert_eq!(expected, Some(4));
    orders.receive_answer(&t1(), &load, OrderAnswer::Unknown, LOAD_TIME, ms(300));
    assert!(!orders.accepts_orders(&t1(), ms(300)));
    assert_eq!(orders.loading_model(&t1()), Some(&model("m")));
    assert_eq!(orders.take_retries(ms(500)), [(t1(), load, 4)]);
}

/// Guards against a second order to an engine before the first one is answered. Both expect the
/// same number of accepted orders and the engine accepts a repeated load twice, so that the count
/// of its adapters stays wrong until one adapter too many crashes the engine.
#[test]
fn engine_with_an_unanswered_order_gets_no_second_one() {
    let mut orders = tracker(&[("m", &[])]);
    let load = |adapter| OrderAction::LoadAdapter(model("m"), AdapterName::new(adapter));
    let begin =
        |orders: &mut OrderTracker, name, now| orders.begin(&service(), &t1(), &load(name), now);
    assert_eq!(begin(&mut orders, "a1", ms(0)), Some(4));
    assert_eq!(begin(&mut orders, "a1", ms(1)), None);
    assert_eq!(begin(&mut orders, "a2", ms(1)), None);
    let answer = OrderAnswer::Accepted;
    orders.receive_answer(&t1(), &load("a1"), answer, ms(0), ms(5));
    // A second answer to the same order changes nothing.
    orders.receive_answer(&t1(), &load("a1"), answer, ms(0), ms(6));
    assert_eq!(begin(&mut orders, "a2", ms(10)), Some(5));
}

/// Guards against hosts that send calls to an engine while it unloads their model.
#[test]
fn report_during_an_unload_does_not_list_the_model() {
    let mut orders = tracker(&[("m", &[]), ("n", &[])]);
    let unload = OrderAction::UnloadModel(model("m"));
    orders.begin(&service(), &t1(), &unload, ms(0));
    orders.receive_answer(&t1(), &unload, OrderAnswer::Accepted, ms(0), ms(5));
    let reported = orders.receive_report(
        &t1(),
        &engine_report(5, &[("m", &[]), ("n", &[])], true),
        ms(10),
    );
    let models = reported.expect("the report is not outdated").models;
    assert!(
        !models.contains_key(&model("m")),
        "the model is still listed: {models:?}"
    );
    assert!(models.contains_key(&model("n")));
}

/// Guards against a report from before the last order that undoes the order's effect in the
/// tracker.
#[test]
fn older_report_is_ignored() {
    let mut orders = tracker(&[("m", &[])]);
    let load = OrderAction::LoadAdapter(model("m"), AdapterName::new("a1"));
    orders.begin(&service(), &t1(), &load, ms(0));
    orders.receive_answer(&t1(), &load, OrderAnswer::Accepted, ms(0), ms(5));
    assert!(orders
        .receive_report(&t1(), &engine_report(4, &[("m", &[])], false), ms(20))
        .is_none());
    let held = &orders
        .holdings(&t1())
        .expect("the holdings of the engine are known")
        .models[&model("m")];
    assert!(held.contains(&AdapterName::new("a1")));
}

/// Guards against more loads in the window than the weight store allows.
#[test]
fn loads_are_counted_in_a_sliding_window() {
    let mut orders = OrderTracker::default();
    let rule = engine_rule(&["m"]);
    let names: Vec<TargetName> = (0..60).map(|n| TargetName::new(&format!("t{n}"))).collect();
    orders.sync_engines(&names.iter().map(|name| (name.clone(), 1)).collect());
    for name in &names {
        orders.receive_report(name, &engine_report(0, &[], false), ms(0));
    }
    let mut begun = Vec::new();
    for step in 0..200 {
        let now = ms(step * 50);
        if orders.loads_left(&service(), &rule, now) > 0 {
            let load = OrderAction::LoadModel(model("m"));
            let expected = orders.begin(&service(), &names[begun.len()], &load, now);
            assert_eq!(
                expected,
                Some(0),
                "an engine without an order was not given one"
            );
            begun.push(now);
        }
    }
    for at in &begun {
        let window = begun
            .iter()
            .filter(|other| **other >= *at && other.since(*at) < ms(5_000));
        // 2 loads per second over 5 s, and what the platform tolerates beyond that.
        assert!(window.count() as f64 <= 2.0 * 5.0 * 1.1 + 3.0);
    }
    assert!(begun.len() >= 18, "only {} loads in 10 s", begun.len());
}

/// Guards against loading one adapter on several engines for one call.
#[test]
fn adapter_under_way_is_not_ordered_again() {
    use crocusyard_serving::adapters::{next_adapter_step, AdapterRates, AdapterStep};
    use crocusyard_serving::copies::EngineView;
    let need = CallNeed {
        model: model("m"),
        adapter: Some(AdapterName::new("a1")),
    };
    let mut views: Vec<EngineView> = ["t1", "t2"]
        .iter()
        .map(|name| engine_view(name, &[("m", &["a8", "a9"])]))
        .collect();
    let rule = engine_rule(&["m"]);
    let step = next_adapter_step(&rule, &views, &AdapterRates::new(), &need, |_| 0);
    assert!(matches!(
        step,
        AdapterStep::Order(_, OrderAction::UnloadAdapter(..))
    ));
    // Adapters that have just been loaded are not unloaded.
    for view in &mut views {
        for name in ["a8", "a9"] {
            view.recent_adapters.insert(CallNeed {
                model: model("m"),
                adapter: Some(AdapterName::new(name)),
            });
        }
    }
    assert_eq!(
        next_adapter_step(&rule, &views, &AdapterRates::new(), &need, |_| 0),
        AdapterStep::Wait
    );
    views[0].holdings.models = held(&[("m", &[])]);
    views[1].loading_adapter = Some(need.clone());
    views[1].accepts_orders = false;
    assert_eq!(
        next_adapter_step(&rule, &views, &AdapterRates::new(), &need, |_| 0),
        AdapterStep::Wait
    );
}

/// Guards against more loads in the window than the weight store allows when the lease changes
/// hands: the former holder may have begun as many loads as allowed just before its last order.
#[test]
fn new_holder_counts_the_loads_of_the_former() {
    let rule = engine_rule(&["m"]);
    let mut orders = OrderTracker::default();
    let taken = ms(10_000);
    let last_order_of_former = ms(7_000);
    orders.start_term(Some(last_order_of_former));
    assert_eq!(orders.loads_left(&service(), &rule, taken), 0);
    assert_eq!(orders.loads_left(&service(), &rule, ms(11_900)), 0);
    assert!(orders.loads_left(&service(), &rule, ms(12_100)) > 0);
}

/// Guards against a pause of all loads in a system that has just started, where no holder came
/// before.
#[test]
fn first_holder_begins_loads_at_once() {
    let rule = engine_rule(&["m"]);
    let mut orders = OrderTracker::default();
    orders.start_term(None);
    assert!(orders.loads_left(&service(), &rule, ms(1_000)) > 0);
}
