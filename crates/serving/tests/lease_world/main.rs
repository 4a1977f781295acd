//! Random histories of a few hosts that share the lease, with the real decisions and no network.
//!
//! The store may carry out a write without an answer, later or not at all. Hosts are added, stopped,
//! killed, frozen and cut off from the store or from each other. At any time at most one host may give
//! orders, and fencing numbers never fall.

#[path = "../common/mod.rs"]
mod common;
mod store;
mod world;

use common::ms;
use crocusyard_base::prelude::*;
use rand::Rng;
use world::World;

/// Seeds of the short run.
const SEEDS: std::ops::Range<u64> = 1..60;
/// Time with faults in each history.
const FAULT_TIME: ClockTime = ClockTime::from_secs(120);
/// Time after the faults in which one host must hold the lease: longer than the term of a holder that
/// the store does not confirm.
const CALM_TIME: ClockTime = ClockTime::from_secs(330);
/// Longest time without orders after one fault of the holder: its last sign, the time until a
/// take-over, and one lost write.
const LONGEST_GAP: ClockTime = ClockTime::from_secs(12);

/// Plays a history; returns the number of its events and how long after the faults a host held the
/// lease at last.
fn play(seed: u64) -> (u64, ClockTime) {
    let mut world = World::new(seed);
    let end = world.now + FAULT_TIME;
    while world.now < end {
        if world.rng.random_bool(0.02) {
            world.inject();
        }
        world.step();
    }
    world.store_cuts.clear();
    world.link_cuts.clear();
    world.answers_lost_until = ClockTime::ZERO;
    let count = world.order_count;
    while world.order_count == count {
        world.step();
        assert!(
            world.now < end + CALM_TIME,
            "seed {seed}: no host holds the lease; {}",
            world.faults.join(", ")
        );
    }
    (world.events, world.now.since(end))
}

/// Guards against two hosts that give orders at once, and against a lease that nobody takes.
#[test]
fn random_histories_have_one_holder_at_a_time() {
    let (mut events, mut late) = (0, 0);
    for seed in SEEDS {
        let (played, wait) = play(seed);
        events += played;
        late += u32::from(wait > ClockTime::from_secs(20));
    }
    println!("{events} events, {late} histories without a holder for over 20 s");
}

/// Plays many histories; by hand, with the first seed and the number of seeds in `LEASE_SEEDS`.
#[test]
#[ignore = "takes minutes"]
fn many_random_histories_have_one_holder_at_a_time() {
    let text = std::env::var("LEASE_SEEDS").unwrap_or_else(|_| "1000 1000".to_owned());
    let numbers: Vec<u64> = text
        .split(' ')
        .filter_map(|word| word.parse().ok())
        .collect();
    let [first, count] = numbers[..] else {
        panic!("LEASE_SEEDS must hold two numbers");
    };
    let (mut events, mut late) = (0, 0);
    let started = std::time::Instant::now();
    for seed in first..first + count {
        let played = std::panic::catch_unwind(|| play(seed));
        let (played, wait) = played.unwrap_or_else(|_| panic!("seed {seed} has failed"));
        events += played;
        late += u32::from(wait > ClockTime::from_secs(20));
    }
    let elapsed = started.elapsed();
    println!("{events} events in {elapsed:?}, {late} of {count} histories without a holder for over 20 s");
}

/// How a host appears that the store does not confirm.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// It is added to the system.
    Added,
    /// It is killed and starts again.
    Restarted,
}

/// What happens to the holder at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderFault {
    /// It cannot reach the store.
    Cut,
    /// It stops, and its release has no answer.
    Stopped,
    /// It stops and cannot reach the store.
    CutAndStopped,
}

/// Plays the fault of the holder while a host appears whose own row is written without an answer, and
/// which `is_alone` cuts off from all others. Returns the longest time without orders.
fn play_arrival(count: usize, arrival: Arrival, fault: HolderFault, is_alone: bool) -> ClockTime {
    let mut world = World::empty(count as u64);
    world.add_hosts(count);
    let start = world.now;
    while world.now < start + ClockTime::from_secs(20) {
        world.step();
    }
    let (holder, _, _) = world.last_order.expect("no host gives orders");
    let now = world.now;
    let fault_end = now + ClockTime::from_secs(20);
    let name = match arrival {
        Arrival::Added => world.known,
        Arrival::Restarted => (holder + 1) % count,
    };
    world.unconfirmed.insert(name);
    match arrival {
        Arrival::Added => world.add_host(),
        Arrival::Restarted => {
            world.processes.remove(&name);
            world.starts.insert(name, now + ms(500));
        }
    }
    if is_alone {
        for other in 0..world.known {
            world.link_cuts.insert((name, other), fault_end);
            world.link_cuts.insert((other, name), fault_end);
        }
    }
    if fault != HolderFault::Stopped {
        world.store_cuts.insert(holder, fault_end);
    }
    if fault != HolderFault::Cut {
        world.unreleased.insert(holder);
        if let Some(process) = world.processes.get_mut(&holder) {
            process.stop(now);
        }
    }
    let (mut longest, mut last) = (ClockTime::ZERO, now);
    while world.now < fault_end + ClockTime::from_secs(5) {
        let orders = world.order_count;
        world.step();
        if world.order_count > orders {
            longest = longest.max(world.now.since(last));
            last = world.now;
        }
    }
    longest.max(world.now.since(last))
}

/// Checks all arrivals and faults of the holder with `count` hosts.
fn check_arrivals(count: usize) {
    let faults = [
        HolderFault::Cut,
        HolderFault::Stopped,
        HolderFault::CutAndStopped,
    ];
    for arrival in [Arrival::Added, Arrival::Restarted] {
        for fault in faults {
            for is_alone in [false, true] {
                let gap = play_arrival(count, arrival, fault, is_alone);
                println!("{count} hosts, {arrival:?}, {fault:?}, alone {is_alone}: {gap}");
                assert!(gap <= LONGEST_GAP, "no orders for {gap}");
            }
        }
    }
}

/// Guards against two holders, and against a long time without one: the holder is cut off from the
/// store or stops while a host appears that neither it nor the store confirms.
#[test]
fn host_without_a_confirmed_row_takes_no_lease_beside_the_holder() {
    for count in [2, 9, 75] {
        check_arrivals(count);
    }
}

/// The same with many hosts.
#[test]
#[ignore = "takes minutes"]
fn host_without_a_confirmed_row_takes_no_lease_beside_the_holder_of_many() {
    for count in [195, 360] {
        check_arrivals(count);
    }
}
