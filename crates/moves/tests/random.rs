//! Randomised runs of several move reducers against fakes of the table service and of engines.
//!
//! Each seed is one run; `MOVES_SEEDS` sets their number for long runs by hand.

mod support;

use crocusyard_moves::prelude::*;
use rand::Rng;
use std::sync::Arc;
use std::sync::Mutex;
use support::world::{FakeWorld, Weather, WorldCounts};

const SEEDS: u64 = 24;

const ITEMS: [(&str, u64); 10] = [
    ("m0", 40),
    ("m1", 40),
    ("m2", 30),
    ("m3", 30),
    ("m4", 30),
    ("m5", 20),
    ("m6", 20),
    ("m7", 50),
    ("m8", 20),
    ("m9", 20),
];

fn random_plan(world: &mut FakeWorld) -> ResidencyPlan {
    let mut plan = ResidencyPlan::default();
    let targets: Vec<_> = world.fleet.targets.keys().cloned().collect();
    let mut room: Vec<u64> = world.engines.iter().map(|engine| engine.capacity).collect();
    for _ in 0..2 {
        for (name, bytes) in ITEMS {
            let index = world.rng.random_range(0..targets.len());
            let names = plan.resident.entry(targets[index].clone()).or_default();
            if room[index] >= bytes && names.insert(Arc::from(name)) {
                room[index] -= bytes;
            }
        }
    }
    for (name, _) in ITEMS {
        if !plan.resident.values().any(|names| names.contains(name)) {
            plan.on_demand.insert(Arc::from(name));
        }
    }
    plan
}

fn disturb(world: &mut FakeWorld) {
    let engine = world.rng.random_range(0..world.engines.len());
    let host = world.rng.random_range(0..world.hosts.len());
    match world.rng.random_range(0..12) {
        0 => {
            let span = world.rng.random_range(1_000..40_000);
            world.pause(host, span);
        }
        1 => world.restart(engine),
        2 => world.outage = true,
        3..=5 => world.outage = false,
        6 => {
            let plan = random_plan(world);
            world.set_plan(plan);
        }
        7 => {
            let name = ITEMS[world.rng.random_range(0..ITEMS.len())].0;
            world.tell_all(&MoveEvent::ModelRequested { name: name.into() });
        }
        8 => {
            // The capacity shrinks or returns; what was ordered before may exceed it for a while.
            let target = &mut world.engines[engine];
            target.capacity = if target.capacity == 100 { 80 } else { 100 };
            target.excused_until = world.now + 3 * world.weather.lateness;
        }
        9 => {
            let target = &mut world.engines[engine];
            target.excused_until = world.now + 3 * world.weather.lateness;
            let copy = (10, crocusyard_routing::prelude::CopyState::Resident);
            target.copies.insert("stray".into(), copy);
        }
        10 => {
            world.cut = if world.cut.is_some() {
                None
            } else {
                Some(engine)
            }
        }
        _ => {
            if let Some(host) = world.holder() {
                world.pause(host, 25_000);
            }
        }
    }
}

fn run_seed(seed: u64) -> WorldCounts {
    let weather = Weather {
        faults: 0.08,
        lateness: 8_000,
    };
    let fleet = support::fleet(&[100, 100, 100, 100, 100], &ITEMS, &[]);
    let mut world = FakeWorld::new(seed, 3, fleet, weather);
    let first = random_plan(&mut world);
    world.set_plan(first);
    for _ in 0..300 {
        let span = world.rng.random_range(500..8_000);
        world.run(span);
        disturb(&mut world);
    }
    let violations = world.overcommitted() + world.counts.two_holders + world.counts.last_dropped;
    assert_eq!(
        violations,
        0,
        "seed {seed}: overcommitted {}, {:?}",
        world.overcommitted(),
        world.counts
    );
    settle(&mut world, seed);
    world.counts
}

/// After the faults end, the plan has to be reached: a run in which nothing moves proves nothing.
fn settle(world: &mut FakeWorld, seed: u64) {
    world.outage = false;
    world.cut = None;
    world.weather.faults = 0.0;
    for engine in &mut world.engines {
        engine.capacity = 100;
    }
    world.run(400_000);
    assert!(world.holder().is_some(), "seed {seed}: no holder");
    let open = world.table.count("intents/");
    assert_eq!(open, 0, "seed {seed}: intents remain");
    let plan = world.plan.clone();
    for (index, (target, _)) in world.fleet.clone().targets.iter().enumerate() {
        for name in plan.resident.get(target).into_iter().flatten() {
            assert!(
                world.resident(index, name) || world.counts.blocked > 0,
                "seed {seed}: {name} is missing on {target}"
            );
        }
    }
}

/// Guards against overcommitted memory, two holders at once, a last copy dropped first, and orders
/// that are never driven to an end.
#[test]
fn reducers_keep_memory_and_lease_safe() {
    crocusyard_base::invariants::panic_on_violation();
    let seeds = std::env::var("MOVES_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS);
    let total = Mutex::new((0_u64, WorldCounts::default()));
    bolero::check!()
        .exhaustive()
        .with_generator(0..seeds)
        .cloned()
        .for_each(|seed| {
            let counts = run_seed(seed);
            let mut total = total.lock().expect("no run panics");
            total.0 += 1;
            let sum = &mut total.1;
            sum.steps += counts.steps;
            sum.takeovers += counts.takeovers;
            sum.orders += counts.orders;
            sum.late += counts.late;
            sum.duplicated += counts.duplicated;
            sum.lost += counts.lost;
            sum.lost_answers += counts.lost_answers;
            sum.after_lapse += counts.after_lapse;
            sum.restarts += counts.restarts;
            sum.blocked += counts.blocked;
        });
    let (runs, counts) = total.into_inner().expect("no run panics");
    println!("runs {runs}, violations 0, {counts:?}");
    assert!(runs >= seeds && counts.takeovers > runs && counts.late > runs);
}
