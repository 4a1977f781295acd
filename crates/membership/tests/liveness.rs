//! Tests of suspicion, death, refutation and leaving; each names the failure that it guards
//! against.

mod support;

use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_wire::prelude::*;
use support::{liveness, FakeNetwork, NetworkSpec};

/// Returns a network that has run for 10 s, so that all hosts know each other.
fn started_network(hosts: usize, domains: usize, regions: usize) -> FakeNetwork {
    let mut network = FakeNetwork::new(NetworkSpec::new(hosts, domains, regions), 1);
    network.run_for(ClockTime::from_secs(10));
    network.effects.clear();
    network
}

/// Counts the effects that declare a host dead, on all hosts.
fn count_deaths(network: &FakeNetwork) -> usize {
    let dead = |effect: &MembershipEffect| matches!(effect, MembershipEffect::HostChanged(view) if view.state == LivenessState::Dead);
    network.effects.iter().filter(|(_, _, e)| dead(e)).count()
}

/// Guards against a crashed host that stays in address answers.
#[test]
fn crashed_host_is_declared_dead_everywhere() {
    let mut network = started_network(9, 3, 1);
    network.crash(4);
    network.run_for(ClockTime::from_secs(10));
    for observer in (0..9).filter(|index| *index != 4) {
        assert_eq!(liveness(&network, observer, 4), Some(LivenessState::Dead));
    }
    assert_eq!(
        count_deaths(&network),
        8,
        "each of the 8 other hosts must declare the crashed host dead, and no other host"
    );
}

/// Guards against hosts on one side of a cut that declare those on the other side dead, and against
/// suspicions that remain after the cut.
#[test]
fn cut_domain_is_suspected_but_not_dead() {
    let mut network = started_network(9, 3, 1);
    network.cuts = vec![(0, 1), (0, 2)];
    network.run_for(ClockTime::from_secs(180));
    assert_eq!(liveness(&network, 0, 1), Some(LivenessState::Suspect));
    assert_eq!(liveness(&network, 1, 0), Some(LivenessState::Suspect));
    assert_eq!(count_deaths(&network), 0);
    network.cuts.clear();
    network.run_for(ClockTime::from_secs(20));
    for (observer, other) in [(0, 1), (1, 0), (2, 3), (3, 8)] {
        assert_eq!(
            liveness(&network, observer, other),
            Some(LivenessState::Alive)
        );
    }
}

/// Guards against a process that takes its own pause for silence of all other hosts and suspects
/// them.
#[test]
fn paused_host_suspects_nobody() {
    // Acks between regions take so long that some pauses begin while an ack is pending.
    let mut network = started_network(9, 3, 3);
    network.spec.socket_buffer = 0;
    for pause in 0..20 {
        network.freeze(0, ClockTime::from_ms(3000));
        network.run_for(ClockTime::from_ms(10_000 + 37 * pause));
    }
    let suspicions = network.effects.iter().filter(|(_, index, effect)| {
        let suspect = matches!(effect, MembershipEffect::HostChanged(view) if view.state != LivenessState::Alive);
        *index == 0 && suspect
    });
    assert_eq!(suspicions.count(), 0);
    for observer in 1..9 {
        assert_eq!(
            liveness(&network, observer, 0),
            Some(LivenessState::Alive),
            "host {observer} must take host 0 for alive after the refutation"
        );
    }
}

/// Guards against a host that is declared dead because a single other host cannot reach it.
#[test]
fn one_observer_cannot_declare_death() {
    let mut network = started_network(9, 3, 1);
    let suspect = NameId::of(network.hosts[4].name.as_str());
    let observer = network.hosts[1].state.id;
    let incarnation = network.hosts[4].state.incarnation;
    network.crash(4);
    let update = MemberUpdate {
        host: suspect,
        incarnation,
        state: LivenessState::Suspect,
        leaving: false,
        observer: Some(observer),
    };
    let state = &mut network.hosts[2].state;
    let mut out = Vec::new();
    let now = ClockTime::from_secs(50_000);
    crocusyard_membership::members::merge_update(state, now, update, &mut out);
    let later = now + ClockTime::from_secs(3600);
    crocusyard_membership::members::declare_deaths(state, later, &mut out);
    assert_eq!(state.members[&suspect].state, LivenessState::Suspect);
}

/// Guards against a death at the end of a cut, when a host receives the suspicions of both sides at
/// once and the suspect had no time to refute.
#[test]
fn late_observer_gives_time_to_refute() {
    let mut network = started_network(9, 3, 1);
    let suspect = NameId::of(network.hosts[4].name.as_str());
    let (inside, outside) = (network.hosts[1].state.id, network.hosts[0].state.id);
    let state = &mut network.hosts[2].state;
    let mut out = Vec::new();
    let outside_at = ClockTime::from_secs(50_000);
    crocusyard_membership::members::add_observer(state, outside_at, suspect, outside, &mut out);
    let inside_at = outside_at + ClockTime::from_secs(60);
    crocusyard_membership::members::add_observer(state, inside_at, suspect, inside, &mut out);
    crocusyard_membership::members::declare_deaths(state, inside_at, &mut out);
    assert_eq!(state.members[&suspect].state, LivenessState::Suspect);
    let later = inside_at + state.settings.suspicion_timeout;
    crocusyard_membership::members::declare_deaths(state, later, &mut out);
    assert_eq!(state.members[&suspect].state, LivenessState::Dead);
}

/// Guards against slow dissemination of leaving hosts and targets; the limit is 3 s.
#[test]
fn leaving_reaches_all_hosts_in_time() {
    let mut network = started_network(90, 9, 3);
    let update = TargetUpdate {
        target: TargetName::new("asistente-tiza-07"),
        incarnation: 3,
        sequence: 1,
        leaving: true,
    };
    network.handle(5, MembershipEvent::TargetUpdated(update.clone()));
    network.handle(7, MembershipEvent::OwnLeaving);
    network.run_for(ClockTime::from_secs(3));
    let count = |matches: &dyn Fn(&MembershipEffect) -> bool| {
        network
            .effects
            .iter()
            .filter(|(_, _, e)| matches(e))
            .count()
    };
    assert_eq!(
        count(&|e| *e == MembershipEffect::TargetChanged(update.clone())),
        89
    );
    let leaving_host = &network.hosts[7].name;
    let left = |e: &MembershipEffect| matches!(e, MembershipEffect::HostChanged(view) if view.leaving && view.host == *leaving_host);
    assert_eq!(count(&left), 89);
}

/// Guards against a restarted host that stays dead, because its new incarnation is not higher.
#[test]
fn restarted_host_is_alive_again() {
    let mut network = started_network(9, 3, 1);
    network.crash(4);
    network.run_for(ClockTime::from_secs(10));
    assert_eq!(liveness(&network, 0, 4), Some(LivenessState::Dead));
    network.restart(4);
    network.run_for(ClockTime::from_secs(5));
    for observer in (0..9).filter(|index| *index != 4) {
        assert_eq!(liveness(&network, observer, 4), Some(LivenessState::Alive));
    }
}

/// Guards against a new host that knows only a seed host while the host list cannot be read, and
/// that does not learn of the other hosts.
#[test]
fn new_host_learns_all_from_one_seed() {
    let mut network = started_network(36, 3, 1);
    network.crash(35);
    network.run_for(ClockTime::from_secs(10));
    network.restart(35);
    let seed = network.hosts[0].state.settings.clone();
    let state = &mut network.hosts[35].state;
    *state = MembershipState::new(state.settings.clone());
    let hosts = vec![ListedHost {
        host: seed.host,
        address: seed.address,
        caller_address: None,
        domain: seed.domain,
        region: seed.region,
        leaving: false,
    }];
    network.handle(35, MembershipEvent::HostList { hosts });
    network.run_for(ClockTime::from_secs(15));
    assert_eq!(network.hosts[35].state.members.len(), 35);
}
