//! Randomised runs of several move reducers against fakes of the table service and of engines.
//!
//! Each seed gives one run. The environment variable `MOVES_SEEDS` sets the number of seeds.

mod support;

use crocusyard_moves::prelude::*;
use rand::Rng;
use std::sync::Arc;
use std::sync::Mutex;
use support::world::{FakeWorld, FaultProfile, WorldCounts};

/// Number of seeds without `MOVES_SEEDS`.
const SEEDS: u64 = 24;

/// Names and bytes of the models.
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

/// Plans at most two copies of each name where memory allows; names without a copy are on demand.
fn random_plan(world: &mut FakeWorld) -> ResidencyPlan {
    let mut plan = ResidencyPlan::default();
    let targets: Vec<_> = world.fleet.targets.keys().cloned().collect();
    let mut free: Vec<u64> = world.engines.iter().map(|engine| engine.capacity).collect();
    for _ in 0..2 {
        for (name, bytes) in ITEMS {
            let index = world.rng.random_range(0..targets.len());
            let names = plan.resident.entry(targets[index].clone()).or_default();
            if free[index] >= bytes && names.insert(Arc::from(name)) {
                free[index] -= bytes;
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

/// Applies one random fault, repair, plan change or request.
fn inject_fault(world: &mut FakeWorld) {
    let engine = world.rng.random_range(0..world.engines.len());
    let host = world.rng.random_range(0..world.hosts.len());
    match world.rng.random_range(0..12) {
        0 => {
            let duration = world.rng.random_range(1_000..40_000);
            world.pause(host, duration);
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
            world.broadcast(&MoveEvent::ModelRequested { name: name.into() });
        }
        8 => {
            // The capacity shrinks or is restored. Loads that were ordered before may exceed it
            // until they have arrived.
            let target = &mut world.engines[engine];
            target.capacity = if target.capacity == 100 { 80 } else { 100 };
            target.overcommit_allowed_until = world.now + 3 * world.faults.max_order_delay_ms;
        }
        9 => {
            let target = &mut world.engines[engine];
            target.overcommit_allowed_until = world.now + 3 * world.faults.max_order_delay_ms;
            let copy = (10, crocusyard_routing::prelude::CopyState::Resident);
            target.copies.insert("stray".into(), copy);
        }
        10 => {
            world.isolated_engine = if world.isolated_engine.is_some() {
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

/// Runs one seed with faults and checks it; returns its counts.
fn run_seed(seed: u64) -> WorldCounts {
    let faults = FaultProfile {
        rate: 0.08,
        max_order_delay_ms: 8_000,
    };
    let fleet = support::fleet(&[100, 100, 100, 100, 100], &ITEMS, &[]);
    let mut world = FakeWorld::new(seed, 3, fleet, faults);
    let initial_plan = random_plan(&mut world);
    world.set_plan(initial_plan);
    for _ in 0..300 {
        let duration = world.rng.random_range(500..8_000);
        world.run(duration);
        inject_fault(&mut world);
    }
    let violations = world.overcommitted() + world.counts.two_holders + world.counts.last_dropped;
    assert_eq!(
        violations,
        0,
        "seed {seed}: no violation expected, but {} loads exceeded the memory; {:?}",
        world.overcommitted(),
        world.counts
    );
    check_convergence(&mut world, seed);
    world.counts
}

/// Checks that the plan is reached once the faults end, because a run without any move would
/// violate nothing.
fn check_convergence(world: &mut FakeWorld, seed: u64) {
    world.outage = false;
    world.isolated_engine = None;
    world.faults.rate = 0.0;
    for engine in &mut world.engines {
        engine.capacity = 100;
    }
    world.run(400_000);
    assert!(
        world.holder().is_some(),
        "seed {seed}: no host holds the lease after the faults ended"
    );
    let open = world.table.count("intents/");
    assert_eq!(
        open, 0,
        "seed {seed}: intents remain after the faults ended"
    );
    let plan = world.plan.clone();
    for (index, (target, _)) in world.fleet.clone().targets.iter().enumerate() {
        for name in plan.resident.get(target).into_iter().flatten() {
            assert!(
                world.resident(index, name) || world.counts.blocked > 0,
                "seed {seed}: {name} is planned on {target} but not resident there"
            );
        }
    }
}

/// Guards against overcommitted memory, two lease holders at once, the unload of a last copy before
/// its replacement is resident, and orders that never end.
#[test]
fn reducers_keep_memory_and_lease_safe() {
    crocusyard_base::invariants::panic_on_violation();
    let seeds = std::env::var("MOVES_SEEDS")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(SEEDS);
    let totals = Mutex::new((0_u64, WorldCounts::default()));
    bolero::check!()
        .exhaustive()
        .with_generator(0..seeds)
        .cloned()
        .for_each(|seed| {
            let counts = run_seed(seed);
            let mut totals = totals
                .lock()
                .expect("no run should panic while it holds the lock");
            totals.0 += 1;
            let sums = &mut totals.1;
            sums.steps += counts.steps;
            sums.takeovers += counts.takeovers;
            sums.orders += counts.orders;
            sums.late += counts.late;
            sums.duplicated += counts.duplicated;
            sums.lost += counts.lost;
            sums.lost_answers += counts.lost_answers;
            sums.after_lapse += counts.after_lapse;
            sums.restarts += counts.restarts;
            sums.blocked += counts.blocked;
        });
    let (runs, counts) = totals
        .into_inner()
        .expect("no run should panic while it holds the lock");
    println!("runs {runs}, violations 0, {counts:?}");
    assert!(runs >= seeds && counts.takeovers > runs && counts.late > runs);
}
