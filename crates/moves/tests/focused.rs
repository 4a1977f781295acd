//! One test per failure that the move reducer is designed to prevent.

mod support;

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_moves::intent::{IntentEntry, OrderPhase};
use crocusyard_moves::lease::{earliest_takeover, holder_deadline};
use crocusyard_moves::prelude::*;
use crocusyard_routing::prelude::CopyState;
use std::sync::Arc;
use support::world::{FakeWorld, FaultProfile};
use support::{fleet, ms, plan, settings};

/// Names and bytes of the models.
const MODELS: [(&str, u64); 4] = [("a", 60), ("b", 60), ("c", 30), ("d", 30)];

/// Returns a simulated cluster without random faults.
fn world_without_faults(hosts: usize, capacities: &[u64]) -> FakeWorld {
    let faults = FaultProfile {
        rate: 0.0,
        max_order_delay_ms: 8_000,
    };
    FakeWorld::new(1, hosts, fleet(capacities, &MODELS, &[]), faults)
}

/// Runs until a condition holds and returns the time; fails after `limit` milliseconds.
fn run_until(
    world: &mut FakeWorld,
    limit: u64,
    goal: &str,
    is_reached: impl Fn(&FakeWorld) -> bool,
) -> u64 {
    let end = world.now + limit;
    while !is_reached(world) {
        assert!(world.now < end, "not reached within {limit} ms: {goal}");
        world.run(50);
    }
    world.now
}

/// Guards against two holders when the clocks of the holder and of the next holder drift apart as
/// far as allowed.
#[test]
fn lease_ends_before_a_takeover_under_drift() {
    let drift = 0.01;
    let row = LeaseRow {
        holder: "h".into(),
        instance: 1,
        write: 1,
        sent: ClockTime::ZERO,
        fencing: FencingNumber(1),
        length: ms(10_000),
    };
    let slow_holder = holder_deadline(&row, drift).as_ms() as f64 / (1.0 - drift);
    let fast_takeover =
        earliest_takeover(&row, ClockTime::ZERO, drift).as_ms() as f64 / (1.0 + drift);
    assert!(
        slow_holder < fast_takeover,
        "the holder stops at {slow_holder} ms, the next one starts at {fast_takeover} ms"
    );
}

/// Guards against a second acquisition, or a wait for the own lease, after the answer to an
/// acquisition was lost.
#[test]
fn lost_answer_to_an_acquisition_is_read_back() {
    let mut state = MoveState::new(settings("h"));
    let mut rng = seeded_rng(1);
    let mut table = support::table::FakeTable::default();
    let mut events = vec![MoveEvent::FleetChanged(Arc::new(fleet(
        &[100],
        &MODELS,
        &[],
    )))];
    let mut lost_answers = 0;
    let mut acquired = None;
    for step in 0..60 {
        events.push(MoveEvent::Tick);
        for event in std::mem::take(&mut events) {
            let mut out = Vec::new();
            let mut context = MoveContext {
                now: ms(step * 200),
                rng: &mut rng,
            };
            reduce(&mut state, &mut context, event, &mut out);
            for effect in out {
                match effect {
                    MoveEffect::CallTable { call, request } => {
                        let write = matches!(request, TableCall::Transact { .. });
                        let mut answer = table.perform(&request);
                        if write && lost_answers == 0 {
                            lost_answers += 1;
                            answer = TableAnswer::Unknown;
                        }
                        events.push(MoveEvent::TableAnswered { call, answer });
                    }
                    MoveEffect::Log(MoveLog::LeaseAcquired { fencing }) => {
                        acquired.get_or_insert((fencing, step));
                    }
                    _ => {}
                }
            }
        }
    }
    let (fencing, step) = acquired.expect("the lease should be acquired");
    assert_eq!((lost_answers, fencing), (1, FencingNumber(1)));
    assert!(
        step < 30,
        "the lease should be acquired before step 30, not at step {step}"
    );
}

/// Guards against a holder that orders moves after a pause longer than its lease.
#[test]
fn paused_holder_sends_nothing() {
    let mut world = world_without_faults(1, &[100, 100]);
    run_until(&mut world, 30_000, "a host holds the lease", |world| {
        world.holder().is_some()
    });
    world.run(3_000);
    world.isolated_engine = Some(0);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    world.run(3_000);
    assert!(world.hosts[0].state.intents().count() > 0);
    let effects = world.reduce_ahead(0, 11_000, MoveEvent::Tick);
    assert!(effects.contains(&MoveEffect::Log(MoveLog::LeaseLost)));
    let is_sent = |effect: &MoveEffect| {
        matches!(
            effect,
            MoveEffect::SendOrder { .. } | MoveEffect::RaiseFencing { .. }
        )
    };
    assert!(
        !effects.iter().any(is_sent),
        "a paused holder should send nothing, but had the effects {effects:?}"
    );
}

/// Leaves an order unresolved at an engine that is isolated, pauses its holder for good, and lets
/// another host take over the lease.
fn take_over_with_open_order(engine: usize) -> FakeWorld {
    let mut world = world_without_faults(2, &[100, 100]);
    run_until(&mut world, 30_000, "a host holds the lease", |world| {
        world.holder().is_some()
    });
    world.run(3_000);
    world.isolated_engine = Some(engine);
    let target = format!("t{engine}");
    world.set_plan(plan(&[(target.as_str(), &["a"])], &[]));
    let intent_is_stored = |world: &FakeWorld| world.table.count("intents/") == 1;
    run_until(&mut world, 10_000, "an intent is stored", intent_is_stored);
    let first = world.holder().expect("a host should hold the lease");
    world.pause(first, 10_000_000);
    let has_other_holder =
        move |world: &FakeWorld| world.holder().is_some_and(|holder| holder != first);
    run_until(
        &mut world,
        60_000,
        "another host holds the lease",
        has_other_holder,
    );
    world
}

/// Guards against treating an unresolved load as lost at an engine that ignores fencing numbers:
/// the new holder has to repeat the same order id until the order ends.
#[test]
fn unresolved_load_is_repeated_until_it_ends() {
    let mut world = take_over_with_open_order(1);
    let holder = world.holder().expect("a host should hold the lease");
    let usage = world.hosts[holder].state.ledger().usage(&"t1".into());
    assert_eq!(
        usage.0, 60,
        "the unresolved intent should reserve its memory"
    );
    world.run(20_000);
    assert_eq!(
        world.table.count("intents/"),
        1,
        "the intent should stay while the engine is silent"
    );
    world.isolated_engine = None;
    run_until(&mut world, 60_000, "the load ends", |world| {
        world.resident(1, "a")
    });
    assert_eq!(
        world.engines[1].orders.len(),
        1,
        "the load should keep its order id"
    );
    run_until(&mut world, 60_000, "no intent is stored", |world| {
        world.table.count("intents/") == 0
    });
}

/// Guards against old intents that reserve memory for ever, and against removing them before the
/// engine confirmed the new fencing number.
#[test]
fn old_intents_are_removed_only_after_the_fence_is_confirmed() {
    let mut world = take_over_with_open_order(0);
    world.isolated_engine_reports = true;
    world.run(20_000);
    assert_eq!(
        world.table.count("intents/"),
        1,
        "the intent should stay until the fence is confirmed"
    );
    world.isolated_engine = None;
    run_until(&mut world, 60_000, "the load ends", |world| {
        world.resident(0, "a")
    });
    assert!(world.engines[0].fence >= FencingNumber(2));
    run_until(&mut world, 10_000, "no intent is stored", |world| {
        world.table.count("intents/") == 0
    });
}

/// Guards against an answer that releases memory before a report newer than the end of the order
/// shows the copy.
#[test]
fn answer_releases_no_memory_before_a_newer_report() {
    let mut world = world_without_faults(1, &[100, 100]);
    run_until(&mut world, 30_000, "a host holds the lease", |world| {
        world.holder().is_some()
    });
    world.run(3_000);
    world.isolated_engine = Some(0);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    run_until(&mut world, 10_000, "an order is sent", |world| {
        world.counts.orders > 0
    });
    let order = world.hosts[0]
        .state
        .intents()
        .next()
        .expect("an intent should exist")
        .id;
    let answer = OrderAnswer::Ended(OrderResult::Done);
    world.reduce_ahead(0, 0, MoveEvent::OrderAnswered { order, answer });
    let (mut report, _) = world.engines[0].report();
    report.sequence = 1_000;
    report.age = ms(400);
    let event = MoveEvent::ReportReceived {
        report: Arc::new(report),
        finished: Vec::new(),
    };
    world.reduce_ahead(0, 100, event);
    world.run(3_000);
    let usage = world.hosts[0].state.ledger().usage(&"t0".into());
    assert_eq!(
        usage.0, 60,
        "the copy should count although no report shows it yet"
    );
    let is_kept = world.hosts[0]
        .state
        .intents()
        .any(|entry| entry.id == order);
    assert!(is_kept, "the first order should still reserve the memory");
}

/// Guards against a load right after an engine restarted: a late repetition of an earlier order,
/// whose id the engine has forgotten, could still take the memory.
#[test]
fn restarted_engine_gets_no_load_until_late_orders_are_over() {
    let mut world = world_without_faults(1, &[100, 100]);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    run_until(&mut world, 60_000, "a loaded", |w| w.resident(0, "a"));
    world.run(5_000);
    world.restart(0);
    let restarted_at = world.now;
    let again = |world: &FakeWorld| !world.engines[0].copies.is_empty();
    let loaded_at = run_until(&mut world, 60_000, "a is loaded again", again);
    assert!(
        loaded_at - restarted_at >= 8_000,
        "the load should start at least 8 s after the restart, not after {} ms",
        loaded_at - restarted_at
    );
}

/// Guards against reusing memory at an engine that ignores fencing numbers while a late order could
/// still take it, and against the same wait at an engine that checks them.
#[test]
fn freed_memory_stays_reserved_only_where_fencing_is_ignored() {
    for (engine, other, reserved) in [(1, 0, true), (0, 1, false)] {
        let mut world = world_without_faults(1, &[60, 60]);
        let (here, there) = (format!("t{engine}"), format!("t{other}"));
        world.set_plan(plan(&[(here.as_str(), &["a"])], &[]));
        run_until(&mut world, 60_000, "a loaded", |w| w.resident(engine, "a"));
        world.run(20_000);
        world.set_plan(plan(
            &[(here.as_str(), &["b"]), (there.as_str(), &["a"])],
            &[],
        ));
        let gone = |world: &FakeWorld| !world.engines[engine].copies.contains_key("a");
        let freed_at = run_until(&mut world, 60_000, "the unload ends", gone);
        assert!(
            world.resident(other, "a"),
            "the other copy should be resident before the unload"
        );
        let loading = |world: &FakeWorld| world.engines[engine].copies.contains_key("b");
        let loaded_at = run_until(&mut world, 60_000, "the next load starts", loading);
        assert_eq!(
            loaded_at - freed_at >= 8_000,
            reserved,
            "the memory of engine {engine} was reused after {} ms",
            loaded_at - freed_at
        );
    }
}

/// Guards against a swap between full accelerators that drops a last copy or never ends.
#[test]
fn full_accelerators_swap_through_a_third_target() {
    let mut world = world_without_faults(2, &[60, 60, 60]);
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["b"])], &[]));
    let placed = |world: &FakeWorld| world.resident(0, "a") && world.resident(1, "b");
    run_until(&mut world, 90_000, "the first plan is reached", placed);
    world.set_plan(plan(&[("t0", &["b"]), ("t1", &["a"])], &[]));
    for _ in 0..4_000 {
        world.run(50);
        for name in ["a", "b"] {
            let copies = (0..3)
                .filter(|engine| world.resident(*engine, name))
                .count();
            assert!(copies > 0, "{name} lost its last copy during the swap");
        }
    }
    assert!(world.resident(0, "b") && world.resident(1, "a"));
    assert_eq!(world.overcommitted(), 0);
}

/// Guards against a name that is never loaded again: the answer to its unload was lost, and the
/// last other copy disappeared before the unload was repeated.
#[test]
fn lost_answer_to_an_unload_does_not_block_the_name() {
    let mut world = world_without_faults(1, &[100, 100]);
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["a"])], &[]));
    let resident = |world: &FakeWorld, engine: usize| {
        matches!(
            world.engines[engine].copies.get("a"),
            Some((_, CopyState::Resident))
        )
    };
    run_until(&mut world, 60_000, "two copies are resident", |world| {
        resident(world, 0) && resident(world, 1)
    });
    world.isolated_engine = Some(0);
    world.isolated_engine_reports = true;
    world.set_plan(plan(&[("t1", &["a"]), ("t0", &["b"])], &[]));
    let is_sent = |entry: &IntentEntry| {
        entry.row.action == OrderAction::Unload && matches!(entry.phase, OrderPhase::Sent { .. })
    };
    run_until(&mut world, 60_000, "an unload is sent", |world| {
        world.hosts[0].state.intents().any(is_sent)
    });
    // The engine ran the order; only its answer was lost.
    world.engines[0].copies.remove("a");
    world.restart(1);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    world.run(1_000);
    world.isolated_engine = None;
    run_until(&mut world, 60_000, "the name is loaded again", |world| {
        resident(world, 0)
    });
}

/// Guards against an intent that stays open for ever: its unload was lost and must not be repeated,
/// because a restart of the other engine made the copy the last one.
#[test]
fn lost_unload_ends_after_its_copy_became_the_last() {
    let mut world = world_without_faults(1, &[100, 100]);
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["a"])], &["b"]));
    run_until(&mut world, 60_000, "both copies are resident", |world| {
        world.resident(0, "a") && world.resident(1, "a")
    });
    world.isolated_engine = Some(1);
    world.isolated_engine_reports = true;
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["b"])], &[]));
    run_until(&mut world, 60_000, "the unload is sent", |world| {
        let mut intents = world.hosts[0].state.intents();
        intents.any(|entry| matches!(entry.phase, OrderPhase::Sent { .. }))
    });
    world.restart(0);
    // The restarted engine has too little memory for the copy that it lost.
    world.engines[0].capacity = 50;
    world.set_plan(plan(&[("t1", &["a"])], &["b"]));
    world.run(1_000);
    world.isolated_engine = None;
    run_until(&mut world, 120_000, "no intent is open", |world| {
        world.table.count("intents/") == 0
    });
    assert!(world.resident(1, "a"));
}

/// Guards against a model that is never loaded on demand because the copies in its way have
/// adapters, which have to be unloaded first.
#[test]
fn load_on_demand_evicts_a_model_with_its_adapters() {
    let faults = FaultProfile {
        rate: 0.0,
        max_order_delay_ms: 8_000,
    };
    let fleet = fleet(&[100], &MODELS, &[("a-x", "a", 5)]);
    let mut world = FakeWorld::new(1, 1, fleet, faults);
    let has = |world: &FakeWorld, name: &str| world.engines[0].copies.contains_key(name);
    world.set_plan(plan(&[("t0", &["a", "a-x"])], &["b"]));
    run_until(&mut world, 60_000, "an adapter", |world| has(world, "a-x"));
    world.set_plan(plan(&[], &["a", "a-x", "b"]));
    world.broadcast(&MoveEvent::ModelRequested {
        name: Arc::from("b"),
    });
    run_until(&mut world, 60_000, "the requested model", |world| {
        has(world, "b")
    });
}

/// Guards against loads that fill an engine completely, so that it has no room for any adapter of
/// its models and refuses the requests for them.
#[test]
fn loads_leave_room_for_adapters_of_resident_models() {
    let faults = FaultProfile {
        rate: 0.0,
        max_order_delay_ms: 8_000,
    };
    let fleet = fleet(&[160, 100], &MODELS, &[("a-x", "a", 20), ("a-y", "a", 15)]);
    let mut world = FakeWorld::new(1, 1, fleet, faults);
    world.set_plan(plan(&[], &["a", "a-x", "a-y", "b", "c", "d"]));
    for name in ["a", "b", "c"] {
        let name = Arc::from(name);
        world.broadcast(&MoveEvent::ModelRequested { name });
    }
    let all_loaded = |world: &FakeWorld| {
        ["a", "b", "c"]
            .iter()
            .all(|name| (0..2).any(|engine| world.resident(engine, name)))
    };
    run_until(&mut world, 60_000, "all requested models", all_loaded);
    for engine in &world.engines {
        let free = engine.capacity - engine.used();
        let lacks_room = engine.copies.contains_key("a") && free < 20;
        assert!(
            !lacks_room,
            "{} has {free} bytes free and no room for the adapters of a",
            engine.name
        );
    }
}

/// Guards against a requested model that is not loaded because a drained target, which gets no
/// requests, has a copy.
#[test]
fn copy_on_a_drained_target_does_not_serve_demand() {
    let mut world = world_without_faults(1, &[100, 100]);
    let has = |world: &FakeWorld, engine: usize| world.engines[engine].copies.contains_key("a");
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    run_until(&mut world, 60_000, "a copy on t0", |world| has(world, 0));
    let mut drained = plan(&[], &["a"]);
    drained.drained.insert(TargetName::new("t0"));
    world.set_plan(drained);
    world.broadcast(&MoveEvent::ModelRequested {
        name: Arc::from("a"),
    });
    run_until(&mut world, 15_000, "a copy on t1", |world| has(world, 1));
}

/// Guards against new orders while the table is down for an hour, against a burst or lost work
/// afterwards, and against exceeding the limits of model loads and adapter loads.
#[test]
fn table_outage_of_an_hour_keeps_the_load_limits() {
    let names: Vec<String> = (0..24).map(|index| format!("m{index}")).collect();
    let adapters: Vec<String> = (0..24).map(|index| format!("x{index}")).collect();
    let items: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 10)).collect();
    let pairs = adapters.iter().zip(&names);
    let adapter_items: Vec<(&str, &str, u64)> = pairs
        .map(|(adapter, name)| (adapter.as_str(), name.as_str(), 1))
        .collect();
    let faults = FaultProfile {
        rate: 0.0,
        max_order_delay_ms: 8_000,
    };
    let mut world = FakeWorld::new(3, 3, fleet(&[200; 4], &items, &adapter_items), faults);
    run_until(&mut world, 30_000, "a host holds the lease", |world| {
        world.holder().is_some()
    });
    world.outage = true;
    world.run(12_000);
    let mut full_plan = ResidencyPlan::default();
    for (index, (adapter, name)) in adapters.iter().zip(&names).enumerate() {
        let target = TargetName::new(&format!("t{}", index % 4));
        let resident = full_plan.resident.entry(target).or_default();
        resident.extend([Arc::from(name.as_str()), Arc::from(adapter.as_str())]);
    }
    world.set_plan(full_plan);
    world.broadcast(&MoveEvent::ModelRequested { name: "m7".into() });
    world.run(3_600_000);
    assert_eq!(
        world.counts.orders, 0,
        "no order should be sent while the table fails"
    );
    world.outage = false;
    world.broadcast(&MoveEvent::ModelRequested { name: "x23".into() });
    let mut first = None;
    for _ in 0..4_000 {
        world.run(50);
        assert!(
            world.loading(false) <= 6,
            "more model loads in progress than allowed"
        );
        assert!(
            world.loading(true) <= 8,
            "more adapter loads in progress than allowed"
        );
        if first.is_none() && world.engines.iter().any(|engine| !engine.copies.is_empty()) {
            first = world
                .engines
                .iter()
                .find_map(|engine| engine.copies.keys().next().cloned());
        }
    }
    assert_eq!(
        first.as_deref(),
        Some("m23"),
        "the base model of the requested adapter should load first"
    );
    for (index, (adapter, name)) in adapters.iter().zip(&names).enumerate() {
        let placed = world.resident(index % 4, name) && world.resident(index % 4, adapter);
        assert!(placed, "{name} and {adapter} should be resident in the end");
    }
    assert_eq!(world.overcommitted(), 0);
}

/// Guards against an unbounded read of the intents, and against orders before all intents are read.
#[test]
fn intents_are_scanned_in_pages() {
    let mut world = world_without_faults(1, &[100, 100]);
    let mut row = IntentRow {
        order: "".into(),
        target: "t1".into(),
        action: OrderAction::Load,
        name: "c".into(),
        bytes: 30,
        fencing: FencingNumber(0),
        stage: IntentStage::Reserved,
    };
    let changes = (0..250_u128).map(|index| {
        row.order = OrderId(index).to_string().into();
        let value = serde_json::to_string(&row).expect("a row should serialise");
        RowChange {
            key: format!("intents/r/{}", OrderId(index)).into(),
            expect: RowExpect::Any,
            value: Some(value.into()),
        }
    });
    let changes = changes.collect();
    world.table.perform(&TableCall::Transact { changes });
    run_until(&mut world, 30_000, "a host holds the lease", |world| {
        world.holder().is_some()
    });
    assert_eq!(world.hosts[0].state.intents().count(), 250);
    assert_eq!(world.table.largest_scan, 100);
}

/// Guards against a ledger that counts a repeated load twice, ignores a reduced capacity, or
/// accepts an order that does not fit.
#[test]
fn ledger_refuses_reservations_that_do_not_fit() {
    let (target, name): (TargetName, Arc<str>) = ("t".into(), "a".into());
    let mut ledger = MemoryLedger::default();
    ledger.set_declared_capacity(&target, 100);
    assert!(ledger.reserve(&target, OrderId(1), &name, 60));
    assert!(!ledger.reserve(&target, OrderId(2), &"b".into(), 41));
    ledger.apply_report(&target, 100, [(name.clone(), 60)].into());
    assert_eq!(ledger.usage(&target), (60, 100));
    ledger.apply_report(&target, 50, [(name, 60)].into());
    assert!(!ledger.reserve(&target, OrderId(3), &"b".into(), 1));
    ledger.release(&target, OrderId(1));
    assert_eq!(ledger.usage(&target), (60, 50));
}
