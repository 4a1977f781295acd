//! One test per failure that the design names.

mod support;

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_moves::intent::{IntentEntry, OrderPhase};
use crocusyard_moves::lease::{earliest_takeover, holder_deadline};
use crocusyard_moves::prelude::*;
use crocusyard_routing::prelude::CopyState;
use std::sync::Arc;
use support::world::{FakeWorld, Weather};
use support::{fleet, ms, plan, settings};

const MODELS: [(&str, u64); 4] = [("a", 60), ("b", 60), ("c", 30), ("d", 30)];

fn calm(hosts: usize, capacities: &[u64]) -> FakeWorld {
    let weather = Weather {
        faults: 0.0,
        lateness: 8_000,
    };
    FakeWorld::new(1, hosts, fleet(capacities, &MODELS, &[]), weather)
}

/// Runs until a condition holds and returns the time, or fails after `limit` milliseconds.
fn until(world: &mut FakeWorld, limit: u64, what: &str, holds: impl Fn(&FakeWorld) -> bool) -> u64 {
    let end = world.now + limit;
    while !holds(world) {
        assert!(world.now < end, "not reached: {what}");
        world.run(50);
    }
    world.now
}

/// Guards against two holders when the clocks of holder and taker drift apart as far as allowed.
#[test]
fn lease_ends_before_a_taker_starts_under_drift() {
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
    let fast_taker = earliest_takeover(&row, ClockTime::ZERO, drift).as_ms() as f64 / (1.0 + drift);
    assert!(slow_holder < fast_taker, "{slow_holder} {fast_taker}");
}

/// Guards against a second take, or a wait for the own lease, after the answer to a take is lost.
#[test]
fn lost_answer_to_a_take_is_read_back() {
    let mut state = MoveState::new(settings("h"));
    let mut rng = seeded_rng(1);
    let mut table = support::table::FakeTable::default();
    let mut events = vec![MoveEvent::FleetChanged(Arc::new(fleet(
        &[100],
        &MODELS,
        &[],
    )))];
    let mut lost = 0;
    let mut taken = None;
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
                        if write && lost == 0 {
                            lost += 1;
                            answer = TableAnswer::Unknown;
                        }
                        events.push(MoveEvent::TableAnswered { call, answer });
                    }
                    MoveEffect::Log(MoveLog::LeaseAcquired { fencing }) => {
                        taken.get_or_insert((fencing, step));
                    }
                    _ => {}
                }
            }
        }
    }
    let (fencing, step) = taken.expect("the lease was taken");
    assert_eq!((lost, fencing), (1, FencingNumber(1)));
    assert!(step < 30, "taken only at step {step}");
}

/// Guards against a holder that orders after a pause longer than its lease.
#[test]
fn paused_holder_sends_nothing() {
    let mut world = calm(1, &[100, 100]);
    until(&mut world, 30_000, "a holder", |world| {
        world.holder().is_some()
    });
    world.run(3_000);
    world.cut = Some(0);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    world.run(3_000);
    assert!(world.hosts[0].state.intents().count() > 0);
    let effects = world.poke(0, 11_000, MoveEvent::Tick);
    assert!(effects.contains(&MoveEffect::Log(MoveLog::LeaseLost)));
    let sent = |effect: &MoveEffect| {
        matches!(
            effect,
            MoveEffect::SendOrder { .. } | MoveEffect::RaiseFencing { .. }
        )
    };
    assert!(!effects.iter().any(sent), "{effects:?}");
}

/// Leaves an order unresolved at an engine, stops its holder for good, and lets another host take
/// over. The order of the first holder arrives at the engine only if `arrives`.
fn take_over(engine: usize) -> FakeWorld {
    let mut world = calm(2, &[100, 100]);
    until(&mut world, 30_000, "a holder", |world| {
        world.holder().is_some()
    });
    world.run(3_000);
    world.cut = Some(engine);
    let target = format!("t{engine}");
    world.set_plan(plan(&[(target.as_str(), &["a"])], &[]));
    let written = |world: &FakeWorld| world.table.count("intents/") == 1;
    until(&mut world, 10_000, "an intent", written);
    let first = world.holder().expect("a holder");
    world.pause(first, 10_000_000);
    let other = move |world: &FakeWorld| world.holder().is_some_and(|holder| holder != first);
    until(&mut world, 60_000, "another holder", other);
    world
}

/// Guards against a load that is assumed lost at an engine that ignores fencing numbers: the new
/// holder has to drive the same order id to its end.
#[test]
fn unresolved_load_is_driven_to_its_end() {
    let mut world = take_over(1);
    let held = world.holder().expect("a holder");
    let usage = world.hosts[held].state.ledger().usage(&"t1".into());
    assert_eq!(usage.0, 60, "memory of the unresolved intent is counted");
    world.run(20_000);
    assert_eq!(
        world.table.count("intents/"),
        1,
        "a silent engine proves nothing"
    );
    world.cut = None;
    until(&mut world, 60_000, "the load", |world| {
        world.resident(1, "a")
    });
    assert_eq!(world.engines[1].orders.len(), 1, "one order id");
    until(&mut world, 60_000, "no intents", |world| {
        world.table.count("intents/") == 0
    });
}

/// Guards against old intents that block memory for ever, and against voiding them before the
/// engine confirmed the new fencing number.
#[test]
fn old_intents_are_void_only_after_the_fence_is_confirmed() {
    let mut world = take_over(0);
    world.reports_pass = true;
    world.run(20_000);
    assert_eq!(world.table.count("intents/"), 1, "not confirmed yet");
    world.cut = None;
    until(&mut world, 60_000, "the load", |world| {
        world.resident(0, "a")
    });
    assert!(world.engines[0].fence >= FencingNumber(2));
    until(&mut world, 10_000, "no intents", |world| {
        world.table.count("intents/") == 0
    });
}

/// Guards against memory that is released by an answer before a report that is newer than the end
/// of the order shows the copy.
#[test]
fn answer_releases_no_memory_before_a_newer_report() {
    let mut world = calm(1, &[100, 100]);
    until(&mut world, 30_000, "a holder", |world| {
        world.holder().is_some()
    });
    world.run(3_000);
    world.cut = Some(0);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    until(&mut world, 10_000, "an order", |world| {
        world.counts.orders > 0
    });
    let order = world.hosts[0].state.intents().next().expect("an intent").id;
    let answer = OrderAnswer::Ended(OrderResult::Done);
    world.poke(0, 0, MoveEvent::OrderAnswered { order, answer });
    let (mut report, _) = world.engines[0].report();
    report.sequence = 1_000;
    report.age = ms(400);
    let event = MoveEvent::ReportReceived {
        report: Arc::new(report),
        finished: Vec::new(),
    };
    world.poke(0, 100, event);
    world.run(3_000);
    let usage = world.hosts[0].state.ledger().usage(&"t0".into());
    assert_eq!(
        usage.0, 60,
        "the copy exists, though no report shows it yet"
    );
    let kept = world.hosts[0]
        .state
        .intents()
        .any(|entry| entry.id == order);
    assert!(kept, "and it is the first order that holds its memory");
}

/// Guards against a load right after an engine restarted, while a late repetition of an earlier
/// order, whose id the engine has forgotten, could still take the memory.
#[test]
fn restarted_engine_gets_no_load_until_late_orders_are_over() {
    let mut world = calm(1, &[100, 100]);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    until(&mut world, 60_000, "a", |world| world.resident(0, "a"));
    world.run(5_000);
    world.restart(0);
    let start = world.now;
    let again = |world: &FakeWorld| !world.engines[0].copies.is_empty();
    let loaded = until(&mut world, 60_000, "a again", again);
    assert!(loaded - start >= 8_000, "after {} ms", loaded - start);
}

/// Guards against reusing memory at an engine that ignores fencing numbers while a late order could
/// still take it, and against the same wait at an engine that checks them.
#[test]
fn freed_memory_stays_reserved_only_where_numbers_are_ignored() {
    for (engine, other, reserved) in [(1, 0, true), (0, 1, false)] {
        let mut world = calm(1, &[60, 60]);
        let (here, there) = (format!("t{engine}"), format!("t{other}"));
        world.set_plan(plan(&[(here.as_str(), &["a"])], &[]));
        until(&mut world, 60_000, "a", |world| world.resident(engine, "a"));
        world.run(20_000);
        world.set_plan(plan(
            &[(here.as_str(), &["b"]), (there.as_str(), &["a"])],
            &[],
        ));
        let gone = |world: &FakeWorld| !world.engines[engine].copies.contains_key("a");
        let freed = until(&mut world, 60_000, "the unload", gone);
        assert!(world.resident(other, "a"), "replacement first");
        let loading = |world: &FakeWorld| world.engines[engine].copies.contains_key("b");
        let used = until(&mut world, 60_000, "the next load", loading);
        assert_eq!(used - freed >= 8_000, reserved, "after {} ms", used - freed);
    }
}

/// Guards against a swap of full accelerators that drops a last copy or waits for ever.
#[test]
fn full_accelerators_swap_through_a_third_place() {
    let mut world = calm(2, &[60, 60, 60]);
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["b"])], &[]));
    let placed = |world: &FakeWorld| world.resident(0, "a") && world.resident(1, "b");
    until(&mut world, 90_000, "the first plan", placed);
    world.set_plan(plan(&[("t0", &["b"]), ("t1", &["a"])], &[]));
    for _ in 0..4_000 {
        world.run(50);
        for name in ["a", "b"] {
            let copies = (0..3)
                .filter(|engine| world.resident(*engine, name))
                .count();
            assert!(copies > 0, "{name} lost its last copy");
        }
    }
    assert!(world.resident(0, "b") && world.resident(1, "a"));
    assert_eq!(world.overcommitted(), 0);
}

/// Guards against a name that is never loaded again because the answer to its unload was lost and
/// the last other copy went away before the unload was repeated.
#[test]
fn lost_answer_to_an_unload_does_not_block_the_name() {
    let mut world = calm(1, &[100, 100]);
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["a"])], &[]));
    let resident = |world: &FakeWorld, engine: usize| {
        matches!(
            world.engines[engine].copies.get("a"),
            Some((_, CopyState::Resident))
        )
    };
    until(&mut world, 60_000, "two copies", |world| {
        resident(world, 0) && resident(world, 1)
    });
    world.cut = Some(0);
    world.reports_pass = true;
    world.set_plan(plan(&[("t1", &["a"]), ("t0", &["b"])], &[]));
    let sent = |entry: &IntentEntry| {
        entry.row.action == OrderAction::Unload && matches!(entry.phase, OrderPhase::Sent { .. })
    };
    until(&mut world, 60_000, "an unload", |world| {
        world.hosts[0].state.intents().any(sent)
    });
    // The engine ran the order, and only its answer was lost.
    world.engines[0].copies.remove("a");
    world.restart(1);
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    world.run(1_000);
    world.cut = None;
    until(&mut world, 60_000, "the name again", |world| {
        resident(world, 0)
    });
}

/// Guards against an intent that stays open for ever because its unload was lost and must not be
/// repeated: a restart of the other engine made the copy the last one.
#[test]
fn lost_unload_of_what_became_the_last_copy_ends() {
    let mut world = calm(1, &[100, 100]);
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["a"])], &["b"]));
    until(&mut world, 60_000, "both copies", |world| {
        world.resident(0, "a") && world.resident(1, "a")
    });
    world.cut = Some(1);
    world.reports_pass = true;
    world.set_plan(plan(&[("t0", &["a"]), ("t1", &["b"])], &[]));
    until(&mut world, 60_000, "the unload is sent", |world| {
        let mut intents = world.hosts[0].state.intents();
        intents.any(|entry| matches!(entry.phase, OrderPhase::Sent { .. }))
    });
    world.restart(0);
    // The other engine comes back with too little memory for the copy that it lost.
    world.engines[0].capacity = 50;
    world.set_plan(plan(&[("t1", &["a"])], &["b"]));
    world.run(1_000);
    world.cut = None;
    until(&mut world, 120_000, "no intent is open", |world| {
        world.table.count("intents/") == 0
    });
    assert!(world.resident(1, "a"));
}

/// Guards against a model that is never loaded on demand because the copies in its way have
/// adapters, which have to go first.
#[test]
fn room_on_demand_takes_a_model_with_its_adapters() {
    let weather = Weather {
        faults: 0.0,
        lateness: 8_000,
    };
    let fleet = fleet(&[100], &MODELS, &[("a-x", "a", 5)]);
    let mut world = FakeWorld::new(1, 1, fleet, weather);
    let has = |world: &FakeWorld, name: &str| world.engines[0].copies.contains_key(name);
    world.set_plan(plan(&[("t0", &["a", "a-x"])], &["b"]));
    until(&mut world, 60_000, "the adapter", |world| has(world, "a-x"));
    world.set_plan(plan(&[], &["a", "a-x", "b"]));
    world.tell_all(&MoveEvent::ModelRequested {
        name: Arc::from("b"),
    });
    until(&mut world, 60_000, "the wanted model", |world| {
        has(world, "b")
    });
}

/// Guards against loads that fill an engine up to the last byte, so that it has no room for any
/// adapter of its models and refuses the requests for them.
#[test]
fn loads_leave_room_for_adapters_of_resident_models() {
    let weather = Weather {
        faults: 0.0,
        lateness: 8_000,
    };
    let fleet = fleet(&[160, 100], &MODELS, &[("a-x", "a", 20), ("a-y", "a", 15)]);
    let mut world = FakeWorld::new(1, 1, fleet, weather);
    world.set_plan(plan(&[], &["a", "a-x", "a-y", "b", "c", "d"]));
    for name in ["a", "b", "c"] {
        let name = Arc::from(name);
        world.tell_all(&MoveEvent::ModelRequested { name });
    }
    let loaded = |world: &FakeWorld| {
        ["a", "b", "c"]
            .iter()
            .all(|name| (0..2).any(|engine| world.resident(engine, name)))
    };
    until(&mut world, 60_000, "all wanted models", loaded);
    for engine in &world.engines {
        let free = engine.capacity - engine.used();
        let full = engine.copies.contains_key("a") && free < 20;
        assert!(!full, "{} has {free} bytes left", engine.name);
    }
}

/// Guards against a wanted model that is not loaded because a drained target, which gets no
/// requests, has a copy.
#[test]
fn copy_on_a_drained_target_does_not_serve_a_want() {
    let mut world = calm(1, &[100, 100]);
    let has = |world: &FakeWorld, engine: usize| world.engines[engine].copies.contains_key("a");
    world.set_plan(plan(&[("t0", &["a"])], &[]));
    until(&mut world, 60_000, "the copy", |world| has(world, 0));
    let mut drained = plan(&[], &["a"]);
    drained.drained.insert(TargetName::new("t0"));
    world.set_plan(drained);
    world.tell_all(&MoveEvent::ModelRequested {
        name: Arc::from("a"),
    });
    until(&mut world, 15_000, "another copy", |world| has(world, 1));
}

/// Guards against new orders while the table is down for an hour, and against a burst or lost work
/// afterwards; also against exceeding the weight store's and the adapters' limits.
#[test]
fn hour_without_the_table_is_survived_within_the_limits() {
    let names: Vec<String> = (0..24).map(|index| format!("m{index}")).collect();
    let adapters: Vec<String> = (0..24).map(|index| format!("x{index}")).collect();
    let items: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 10)).collect();
    let pairs = adapters.iter().zip(&names);
    let extra: Vec<(&str, &str, u64)> = pairs
        .map(|(adapter, name)| (adapter.as_str(), name.as_str(), 1))
        .collect();
    let weather = Weather {
        faults: 0.0,
        lateness: 8_000,
    };
    let mut world = FakeWorld::new(3, 3, fleet(&[200; 4], &items, &extra), weather);
    until(&mut world, 30_000, "a holder", |world| {
        world.holder().is_some()
    });
    world.outage = true;
    world.run(12_000);
    let mut wanted = ResidencyPlan::default();
    for (index, (adapter, name)) in adapters.iter().zip(&names).enumerate() {
        let target = TargetName::new(&format!("t{}", index % 4));
        let resident = wanted.resident.entry(target).or_default();
        resident.extend([Arc::from(name.as_str()), Arc::from(adapter.as_str())]);
    }
    world.set_plan(wanted);
    world.tell_all(&MoveEvent::ModelRequested { name: "m7".into() });
    world.run(3_600_000);
    assert_eq!(world.counts.orders, 0, "no intent can be written");
    world.outage = false;
    world.tell_all(&MoveEvent::ModelRequested { name: "x23".into() });
    let mut first = None;
    for _ in 0..4_000 {
        world.run(50);
        assert!(world.loading(false) <= 6, "models at once");
        assert!(world.loading(true) <= 8, "adapters at once");
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
        "the base of the wanted adapter loads first"
    );
    for (index, (adapter, name)) in adapters.iter().zip(&names).enumerate() {
        let placed = world.resident(index % 4, name) && world.resident(index % 4, adapter);
        assert!(placed, "{name} and {adapter} are loaded in the end");
    }
    assert_eq!(world.overcommitted(), 0);
}

/// Guards against an unbounded read of the intents, and against ordering before all are read.
#[test]
fn intents_are_scanned_in_pages() {
    let mut world = calm(1, &[100, 100]);
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
        let value = serde_json::to_string(&row).expect("a row");
        RowChange {
            key: format!("intents/r/{}", OrderId(index)).into(),
            expect: RowExpect::Any,
            value: Some(value.into()),
        }
    });
    let changes = changes.collect();
    world.table.perform(&TableCall::Transact { changes });
    until(&mut world, 30_000, "a holder", |world| {
        world.holder().is_some()
    });
    assert_eq!(world.hosts[0].state.intents().count(), 250);
    assert_eq!(world.table.largest_scan, 100);
}

/// Guards against a ledger that counts a repeated load twice, ignores a shrunken capacity, or lets
/// an order through that does not fit.
#[test]
fn ledger_refuses_what_does_not_fit() {
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
