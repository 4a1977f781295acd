//! Runs of the real reducers with sealed packets under random faults.

mod support;

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_membership::prelude::*;
use crocusyard_wire::prelude::*;
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};
use support::{liveness, FakeNetwork, NetworkSpec};

/// Events that hosts handled in all runs.
static EVENTS: AtomicU64 = AtomicU64::new(0);

/// Time after a fault of a host in which the host may still be declared dead.
const DEATH_ALLOWANCE: ClockTime = ClockTime::from_secs(10);

/// Guards against deaths of hosts that were running, against views that still differ after all
/// faults are over, and against preset versions or fencing numbers that fall or that no host
/// announced.
///
/// Bolero enumerates the seeds, since its random mode draws new ones in every run. The environment
/// variable `MEMBERSHIP_SEEDS` sets the number of seeds, 30 by default.
#[test]
fn hosts_agree_after_random_faults() {
    let seeds = std::env::var("MEMBERSHIP_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(30);
    bolero::check!()
        .with_generator(0u32..seeds)
        .exhaustive()
        .for_each(|seed| run_seed(u64::from(*seed)));
    println!("{seeds} seeds, {} events", EVENTS.load(Ordering::Relaxed));
}

/// Runs random faults for a seed, and checks deaths during the run and agreement after it.
fn run_seed(seed: u64) {
    let mut rng = seeded_rng(seed);
    let domains = rng.random_range(1..=4);
    let hosts = rng.random_range(domains.max(2)..=14);
    let mut spec = NetworkSpec::new(hosts, domains, rng.random_range(1..=domains));
    spec.loss = rng.random_range(0.0..0.05);
    spec.duplicate = rng.random_range(0.0..0.1);
    let mut network = FakeNetwork::new(spec, seed);
    network.run_for(ClockTime::from_secs(10));
    let mut last_faults = vec![ClockTime::ZERO; hosts];
    let (mut version, mut fencing) = (0, 0);
    for _ in 0..40 {
        let host = rng.random_range(0..hosts);
        let running = network.hosts[host].running;
        match rng.random_range(0..10) {
            0 => network.crash(host),
            1 | 2 if !running => network.restart(host),
            3 => network.freeze(host, ClockTime::from_ms(rng.random_range(100..8000))),
            4 => network.cuts = vec![(rng.random_range(0..domains), rng.random_range(0..domains))],
            5 => network.cuts.clear(),
            6 if running => {
                version += 1;
                let digest = [version as u8; 32];
                let report = PresetReport { version, digest };
                network.handle(host, MembershipEvent::PresetInForce(report));
            }
            7 if running => {
                fencing += 1;
                let lease = LeaseUpdate {
                    region: RegionName::new("region-0"),
                    holder: network.hosts[host].name.clone(),
                    fencing: FencingNumber(fencing),
                };
                network.handle(host, MembershipEvent::LeaseUpdated(lease));
            }
            8 if running => {
                let crash = CrashReport {
                    digest: rng.random(),
                    target: Some(TargetName::new("asesor-3")),
                };
                network.handle(host, MembershipEvent::CrashReported(crash));
            }
            _ => {}
        }
        let span = ClockTime::from_ms(rng.random_range(0..4000));
        let start = network.now;
        network.run_for(span);
        for (index, last_fault) in last_faults.iter_mut().enumerate() {
            let host = &network.hosts[index];
            let frozen = host.frozen_until > start;
            // Within a failure domain whose hosts cannot reach each other, two observers may
            // rightly declare a death. Cuts between failure domains must never lead to one.
            let isolated = network.cuts.contains(&(host.domain, host.domain));
            if !host.running || frozen || isolated {
                *last_fault = network.now.max(host.frozen_until);
            }
        }
        check_deaths(&mut network, &last_faults);
    }
    network.cuts.clear();
    (0..hosts)
        .filter(|index| !network.hosts[*index].running)
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|index| network.restart(index));
    network.run_for(ClockTime::from_secs(60));
    check_agreement(&network, version, fencing);
    EVENTS.fetch_add(network.events, Ordering::Relaxed);
}

/// Checks that only hosts with a recent fault were declared dead since the last check.
fn check_deaths(network: &mut FakeNetwork, last_faults: &[ClockTime]) {
    for (at, observer, effect) in network.effects.drain(..) {
        let MembershipEffect::HostChanged(view) = effect else {
            continue;
        };
        if view.state != LivenessState::Dead {
            continue;
        }
        let index = network.hosts.iter().position(|host| host.name == view.host);
        let last_fault = index.map_or(ClockTime::ZERO, |index| last_faults[index]);
        let allowed = last_fault > ClockTime::ZERO && at < last_fault + DEATH_ALLOWANCE;
        assert!(
            allowed,
            "host {observer} declared {} dead at {at}, although its last fault was at {last_fault}",
            view.host
        );
    }
}

/// Checks that all hosts are alive in all views, and that all hosts agree on preset and leases.
fn check_agreement(network: &FakeNetwork, version: u64, fencing: u64) {
    let count = network.hosts.len();
    let frozen = network
        .hosts
        .iter()
        .any(|host| host.frozen_until > network.now);
    assert!(!frozen);
    for observer in 0..count {
        for other in (0..count).filter(|other| *other != observer) {
            let liveness = liveness(network, observer, other);
            assert_eq!(
                liveness,
                Some(LivenessState::Alive),
                "liveness of host {other} on host {observer}"
            );
        }
        // A version or lease may be lost if all hosts that knew of it crashed before they sent it.
        let state = &network.hosts[observer].state;
        let first = &network.hosts[0].state;
        assert_eq!(state.preset, first.preset);
        assert!(state.preset.map_or(0, |preset| preset.version) <= version);
        assert_eq!(state.leases, first.leases);
        assert!(state
            .leases
            .values()
            .all(|lease| lease.fencing.0 <= fencing));
    }
}
