//! Copies of adapters follow the demand of their models.

mod common;

use common::placement::*;
use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::adapters::{next_adapter_step, plan_adapters, AdapterRates, AdapterStep};
use crocusyard_serving::copies::{used_memory_mb, EngineView};
use crocusyard_serving::orders::apply_order;
use crocusyard_serving::prelude::*;
use std::collections::{BTreeSet, HashMap};

fn need(name: &str, adapter: &str) -> CallNeed {
    CallNeed::adapter(&model(name), &AdapterName::new(adapter))
}

/// Demand for adapters, given as model, adapter, requests in progress and arrivals per second.
fn demand(adapters: &[(&str, &str, u32, f64)]) -> Vec<ModelDemand> {
    let demand = |(name, adapter, in_progress, rate): &(&str, &str, u32, f64)| ModelDemand {
        service: service(),
        need: need(name, adapter),
        in_progress: *in_progress,
        waiting: 0,
        rate: *rate,
        run_ms: None,
        work: TokenWork::default(),
    };
    adapters.iter().map(demand).collect()
}

/// Plans again and again, carrying out all orders, until there are none; returns their number.
fn settle(rule: &EngineRule, views: &mut [EngineView], demand: &[ModelDemand]) -> usize {
    let mut forecast: HashMap<ModelName, f64> = HashMap::new();
    for demand in demand {
        let slots = forecast.entry(demand.need.model.clone()).or_default();
        *slots += f64::from(demand.in_progress);
    }
    let mut count = 0;
    for _ in 0..100 {
        let orders = plan_adapters(rule, views, demand, &forecast);
        if orders.is_empty() {
            return count;
        }
        for (name, action) in orders {
            count += 1;
            let view = views.iter_mut().find(|view| view.name == name);
            let view = view.expect("the plan names a known engine");
            apply_order(&mut view.holdings, &action);
            let held: usize = view.holdings.models.values().map(BTreeSet::len).sum();
            assert!(held <= rule.adapter_slots, "{held} adapters on {name}");
            assert!(used_memory_mb(rule, view) <= rule.weights_mb);
        }
    }
    panic!("the plan does not settle: {views:?}");
}

fn copies(views: &[EngineView], name: &str, adapter: &str) -> usize {
    let adapter = AdapterName::new(adapter);
    let held = views
        .iter()
        .filter_map(|view| view.holdings.models.get(&model(name)));
    held.filter(|held| held.contains(&adapter)).count()
}

/// Four engines that hold `m`, the first of them with the adapter `hot`.
fn engines_of_m() -> Vec<EngineView> {
    let mut views: Vec<EngineView> = (0..4)
        .map(|number| engine_view(&format!("t{number}"), &[("m", &[])]))
        .collect();
    views[0].holdings.models = held(&[("m", &["hot"])]);
    views
}

/// Guards against an adapter whose calls all go to one engine while its model has several: the
/// request for a copy is answered by the copy that exists, however full its engine is.
#[test]
fn busy_adapter_gets_as_many_copies_as_its_load_needs() {
    let rule = engine_rule(&["m"]);
    let mut views = engines_of_m();
    let step = next_adapter_step(
        &rule,
        &views,
        &AdapterRates::new(),
        &need("m", "hot"),
        |_| SLOTS,
    );
    assert_eq!(step, AdapterStep::Held(TargetName::new("t0")));
    // 8 slots at 2.4 planned for each copy.
    let count = settle(&rule, &mut views, &demand(&[("m", "hot", 8, 8.0)]));
    assert_eq!((copies(&views, "m", "hot"), count), (4, 3));
}

/// Guards against copies of an adapter by the demand of the whole model.
#[test]
fn adapter_gets_copies_by_its_part_of_the_demand() {
    let rule = engine_rule(&["m"]);
    let mut views = engines_of_m();
    views[1].holdings.models = held(&[("m", &["cold"])]);
    let demand = demand(&[("m", "hot", 7, 7.0), ("m", "cold", 1, 1.0)]);
    settle(&rule, &mut views, &demand);
    assert_eq!(copies(&views, "m", "hot"), 3);
    // One copy more than needed where slots are free.
    assert_eq!(copies(&views, "m", "cold"), 2);
}

/// Guards against further copies of adapters that are hardly used, and of those that no engine
/// holds, which are loaded when a call waits for them.
#[test]
fn rare_and_absent_adapters_get_no_further_copy() {
    let rule = engine_rule(&["m"]);
    let mut views = engines_of_m();
    let demand = demand(&[("m", "hot", 0, 0.2), ("m", "absent", 2, 2.0)]);
    assert_eq!(settle(&rule, &mut views, &demand), 0);
}

/// Guards against a further copy that takes the only one of another adapter in use, and against two
/// adapters that take slots from each other in turn; unused adapters give way.
#[test]
fn only_unused_or_spare_adapters_give_way() {
    let rule = engine_rule(&["m"]);
    let full = |second: &'static str| {
        let mut views: Vec<EngineView> = (0..2)
            .map(|number| engine_view(&format!("t{number}"), &[]))
            .collect();
        views[0].holdings.models = held(&[("m", &["hot", "other"])]);
        views[1].holdings.models = held(&[("m", &["used", second])]);
        views
    };
    let demand = demand(&[
        ("m", "hot", 8, 8.0),
        ("m", "used", 1, 1.0),
        ("m", "used2", 1, 1.0),
        ("m", "other", 1, 1.0),
    ]);
    let mut views = full("used2");
    assert_eq!(settle(&rule, &mut views, &demand), 0, "{views:?}");
    let mut views = full("unused");
    assert_eq!(settle(&rule, &mut views, &demand), 2, "{views:?}");
    assert_eq!(copies(&views, "m", "hot"), 2);
    assert_eq!(copies(&views, "m", "used"), 1);
}

/// Guards against an adapter that takes more memory than an engine has, also where calls wait for
/// it.
#[test]
fn adapter_that_does_not_fit_is_not_loaded() {
    let mut rule = engine_rule(&["m"]);
    rule.weights_mb = 60_020.0;
    let mut views = engines_of_m();
    settle(&rule, &mut views, &demand(&[("m", "hot", 8, 8.0)]));
    assert_eq!(copies(&views, "m", "hot"), 4);
    // 60,000 MB of weights and 12 MB of the first adapter leave room for none.
    let step = next_adapter_step(
        &rule,
        &views,
        &AdapterRates::new(),
        &need("m", "new"),
        |_| 0,
    );
    let unloads = matches!(step, AdapterStep::Order(_, OrderAction::UnloadAdapter(..)));
    assert!(unloads, "{step:?}");
}

/// Guards against orders to engines that cannot take one now, and against more orders in one plan
/// than can be reported to all hosts.
#[test]
fn orders_go_to_free_engines_and_are_few() {
    let rule = engine_rule(&["m"]);
    let mut views = engines_of_m();
    for view in &mut views[1..3] {
        view.accepts_orders = false;
    }
    let busy = demand(&[("m", "hot", 8, 8.0)]);
    let forecast = HashMap::from([(model("m"), 8.0)]);
    let orders = plan_adapters(&rule, &views, &busy, &forecast);
    let load = OrderAction::LoadAdapter(model("m"), AdapterName::new("hot"));
    assert_eq!(orders, [(TargetName::new("t3"), load)]);
    let names: Vec<String> = (0..6).map(|number| format!("m{number}")).collect();
    let rule = engine_rule(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let mut views = Vec::new();
    for name in &names {
        views.push(engine_view(&format!("{name}-a"), &[(name, &["x"])]));
        views.push(engine_view(&format!("{name}-b"), &[(name, &[])]));
    }
    let many: Vec<ModelDemand> = names
        .iter()
        .flat_map(|name| demand(&[(name, "x", 4, 4.0)]))
        .collect();
    let forecast = names.iter().map(|name| (model(name), 4.0)).collect();
    assert_eq!(plan_adapters(&rule, &views, &many, &forecast).len(), 2);
}

/// Guards against further copies of models that serve no calls, since their adapters stay on the
/// first engine: 104 models with three adapters each on 60 engines with room for two models and 8
/// adapters, 520 calls/s by Zipf's law, and one model that becomes ten times as hot within 4 s.
#[test]
fn adapters_come_with_the_copies_of_their_model() {
    const HOT: usize = 30;
    let run = |with_adapter_plan, seed| {
        let shares = zipf(104, 0.7);
        let load = FleetLoad {
            models: 104,
            rate: Box::new(move |index, now| {
                let rise = (now as f64 - 20_000.0).clamp(0.0, 4_000.0) / 4_000.0;
                let factor = if index == HOT { 1.0 + 9.0 * rise } else { 1.0 };
                shares[index] * 520.0 * factor
            }),
            tokens: Box::new(|_| (250, 150)),
            run_ms: 50_000,
            warm_up_ms: 10_000,
            adapters: 3,
            with_adapter_plan,
            with_tokens: true,
            seed,
        };
        let size = FleetSize {
            engines: 60,
            places: 2,
            loads_per_s: 4.0,
        };
        let result = PlacementFleet::new(size, load).run();
        let total = result.total();
        println!(
            "seed {seed}, further copies of adapters {with_adapter_plan}: in time {:.4}, absent {}, \
             full {}, {} adapter orders, loads {:?}; hot model {:.3}",
            total.share_in_time(),
            total.absent,
            total.full,
            result.adapter_orders,
            result.loads,
            result.by_model[&HOT].share_in_time(),
        );
        result
    };
    for seed in 1..=2 {
        let planned = run(true, seed).total();
        let on_request = run(false, seed).total();
        assert!(planned.share_in_time() > on_request.share_in_time() + 0.02);
        assert!(planned.full < on_request.full);
    }
}
