//! The memory budget under random sequences, and the cases of its decisions.

use crocusyard_base::prelude::*;
use crocusyard_intake::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of seeds; the variable `INTAKE_SEEDS` sets another one.
const SEEDS: u64 = 200;
/// Number of operations per seed.
const STEPS: usize = 400;

const LIMITS: IntakeLimits = IntakeLimits {
    total_bytes: 1_000_000,
    small_reserve_bytes: 250_000,
    small_bytes: 20_000,
    grace: ClockTime::from_secs(2),
    min_rate: 1_000,
    stall_limit: ClockTime::from_secs(5),
    read_buffer_bytes: 10_000,
    chunk_buffer_bytes: 30_000,
};

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// What a run holds at the moment, and the bytes that each holder has charged.
#[derive(Default)]
struct Model {
    guards: Vec<(IntakeGuard, usize)>,
    bodies: Vec<(BodyIntake, Vec<u8>)>,
    finished: Vec<bytes::Bytes>,
}

fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let budget = IntakeBudget::new(LIMITS);
    let mut model = Model::default();
    let mut now = at(0);
    for _ in 0..STEPS {
        now += at(rng.random_range(0..40));
        step(&mut rng, &budget, &mut model, now);
        let counts = budget.counts();
        assert!(counts.held_bytes <= LIMITS.total_bytes, "seed {seed}");
        let guards: usize = model.guards.iter().map(|(_, bytes)| bytes).sum();
        let bodies: usize = model.bodies.iter().map(|(_, sent)| sent.len()).sum();
        let finished: usize = model.finished.iter().map(bytes::Bytes::len).sum();
        assert!(
            counts.held_bytes >= guards + bodies + finished,
            "seed {seed}: bytes are buffered without a charge"
        );
        let holders = model.guards.len() + model.bodies.len() + model.finished.len();
        assert_eq!(counts.guards, holders, "seed {seed}");
    }
    drop(model);
    let counts = budget.counts();
    assert_eq!((counts.held_bytes, counts.guards), (0, 0), "seed {seed}");
}

fn step(rng: &mut StdRng, budget: &IntakeBudget, model: &mut Model, now: ClockTime) {
    let length = if rng.random_bool(0.5) {
        rng.random_range(1..40)
    } else {
        rng.random_range(1..150_000)
    };
    match rng.random_range(0..8) {
        0 => {
            let kind = if rng.random_bool(0.5) {
                IntakeUse::Incoming
            } else {
                IntakeUse::Held
            };
            model.guards.push((budget.open(kind, now), 0));
        }
        1 => {
            let announced = if rng.random_bool(0.5) { length } else { 0 };
            if let Ok(body) = BodyIntake::open(budget, IntakeUse::Incoming, announced, now) {
                model.bodies.push((body, Vec::new()));
            }
        }
        2 if !model.guards.is_empty() => {
            let index = rng.random_range(0..model.guards.len());
            let (guard, charged) = &mut model.guards[index];
            if guard.charge(length, now).is_ok() {
                *charged += length;
            }
            assert_eq!(guard.bytes(), *charged);
        }
        3 if !model.guards.is_empty() => {
            let index = rng.random_range(0..model.guards.len());
            let (guard, charged) = &mut model.guards[index];
            let released = length.min(*charged);
            guard.release(released);
            *charged -= released;
            assert_eq!(guard.bytes(), *charged);
        }
        4 | 5 if !model.bodies.is_empty() => {
            let index = rng.random_range(0..model.bodies.len());
            let data = vec![rng.random::<u8>(); length];
            let (body, sent) = &mut model.bodies[index];
            match body.push(&data, now) {
                Ok(()) => sent.extend_from_slice(&data),
                Err(IntakeRefusal::Full) => {
                    assert_ne!(body.check(now), Err(IntakeRefusal::Evicted));
                }
                Err(_) => drop(model.bodies.swap_remove(index)),
            }
        }
        6 if !model.bodies.is_empty() => {
            let index = rng.random_range(0..model.bodies.len());
            let (body, sent) = model.bodies.swap_remove(index);
            if let Ok(bytes) = body.finish() {
                assert_eq!(bytes, sent, "a body has lost bytes or has some twice");
                model.finished.push(bytes);
            }
        }
        _ => {
            let count = model.finished.len() + model.guards.len();
            if count > 0 {
                let index = rng.random_range(0..count);
                if index < model.finished.len() {
                    model.finished.swap_remove(index);
                } else {
                    let index = index - model.finished.len();
                    model.guards.swap_remove(index);
                }
            }
        }
    }
}

/// Guards against bytes that are lost or counted twice, and against a sum above the limit.
#[test]
fn no_byte_is_lost_or_counted_twice() {
    let seeds = std::env::var("INTAKE_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    bolero::check!()
        .with_generator(0u64..seeds)
        .exhaustive()
        .for_each(|seed| run_seed(*seed));
}

/// Guards against large bodies that keep small calls from being read.
#[test]
fn small_calls_have_a_reserve() {
    let budget = IntakeBudget::new(LIMITS);
    let mut large = budget.open(IntakeUse::Held, at(0));
    assert_eq!(large.charge(750_000, at(0)), Ok(()));
    let mut second = budget.open(IntakeUse::Held, at(0));
    assert_eq!(second.charge(20_001, at(0)), Err(IntakeRefusal::Full));
    let mut small = budget.open(IntakeUse::Incoming, at(0));
    assert_eq!(small.charge(20_000, at(0)), Ok(()));
}

/// Guards against the eviction of a body that is small or makes progress, and of one in use.
#[test]
fn slowest_and_largest_body_is_evicted() {
    let budget = IntakeBudget::new(LIMITS);
    let mut held = budget.open(IntakeUse::Held, at(0));
    assert_eq!(held.charge(300_000, at(0)), Ok(()));
    let mut slow = budget.open(IntakeUse::Incoming, at(0));
    assert_eq!(slow.charge(200_000, at(0)), Ok(()));
    let mut quick = budget.open(IntakeUse::Incoming, at(0));
    assert_eq!(quick.charge(100_000, at(0)), Ok(()));
    assert_eq!(quick.charge(100_000, at(1_000)), Ok(()));
    let mut next = budget.open(IntakeUse::Incoming, at(1_000));
    assert_eq!(next.charge(100_000, at(1_000)), Err(IntakeRefusal::Full));
    assert_eq!(slow.check(at(1_000)), Err(IntakeRefusal::Evicted));
    assert_eq!(quick.check(at(1_000)), Ok(()));
    // No further body is evicted while the first one is about to be released.
    assert_eq!(next.charge(100_000, at(1_001)), Err(IntakeRefusal::Full));
    assert_eq!(budget.counts().evicted, 1);
    drop(slow);
    assert_eq!(next.charge(100_000, at(1_002)), Ok(()));
}

/// Guards against bodies that arrive byte by byte for ever, and against the loss of slow callers
/// above the minimum rate.
#[test]
fn too_slow_bodies_are_refused_after_the_grace_period() {
    let budget = IntakeBudget::new(LIMITS);
    let mut slow = budget.open(IntakeUse::Incoming, at(0));
    let mut sound = budget.open(IntakeUse::Incoming, at(0));
    for second in 0..8 {
        let now = at(second * 1_000);
        assert_eq!(sound.charge(1_100, now), Ok(()));
        if second < 4 {
            let expected = if second < 3 {
                Ok(())
            } else {
                Err(IntakeRefusal::TooSlow)
            };
            assert_eq!(slow.charge(10, now), expected);
        }
    }
    assert_eq!(sound.check(at(12_100)), Err(IntakeRefusal::TooSlow));
}

/// Guards against stalled bodies that keep an announced one from being read, and against the
/// eviction of bodies that still arrive.
#[test]
fn stalled_body_gives_way_to_an_announced_one() {
    let budget = IntakeBudget::new(LIMITS);
    let open = |announced, now| BodyIntake::open(&budget, IntakeUse::Incoming, announced, now);
    let mut body = open(0, at(0)).expect("the budget is empty");
    assert_eq!(body.push(&[0; 500_000], at(0)), Ok(()));
    assert!(open(400_000, at(900)).is_err());
    assert_eq!(body.check(at(900)), Ok(()), "the body still arrives");
    assert!(open(400_000, at(1_100)).is_err());
    assert_eq!(body.check(at(1_100)), Err(IntakeRefusal::Evicted));
    drop(body);
    assert!(open(400_000, at(1_200)).is_ok());
}

/// Guards against the loss of a body whose bytes arrive after the process was suspended.
#[test]
fn pause_before_arriving_bytes_is_no_reason_to_refuse() {
    let budget = IntakeBudget::new(LIMITS);
    let mut body = budget.open(IntakeUse::Incoming, at(0));
    assert_eq!(body.charge(5_000, at(0)), Ok(()));
    assert_eq!(body.charge(1, at(6_500)), Ok(()));
    assert_eq!(body.check(at(6_500)), Ok(()));
}

/// Guards against a charge that outlives its bytes, or ends before their last copy.
#[test]
fn charge_lasts_as_long_as_the_bytes() {
    let budget = IntakeBudget::new(LIMITS);
    let mut body =
        BodyIntake::open(&budget, IntakeUse::Incoming, 5, at(0)).expect("the budget is empty");
    assert_eq!(body.push(b"bytes", at(0)), Ok(()));
    let bytes = body.finish().expect("nothing was evicted");
    let copy = bytes.slice(1..2);
    drop(bytes);
    assert!(budget.counts().held_bytes >= 5);
    drop(copy);
    assert_eq!(budget.counts().held_bytes, 0);
}
