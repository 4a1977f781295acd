//! Tests of the dissemination of leaving targets; each names the failure that it guards against.

mod support;

use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_membership::updates::{clear_leaving, leave_sequence, DUPLICATE_WINDOW};
use crocusyard_wire::prelude::*;
use support::{FakeNetwork, NetworkSpec};

/// Number of targets that leave at the same time.
const LEAVING_TARGETS: usize = 12;

/// Returns the target that most tests are about.
fn target_name() -> TargetName {
    TargetName::new("asesor-3")
}

/// Returns an update about incarnation 2 of the target.
fn update(sequence: u64, leaving: bool) -> TargetUpdate {
    TargetUpdate {
        target: target_name(),
        incarnation: 2,
        sequence,
        leaving,
    }
}

/// Returns a network that has run for 10 s, so that all hosts know each other.
fn started_network(hosts: usize, domains: usize) -> FakeNetwork {
    let mut network = FakeNetwork::new(NetworkSpec::new(hosts, domains, 1), 1);
    network.run_for(ClockTime::from_secs(10));
    network.effects.clear();
    network
}

/// Passes a packet with an update to host `to`, sent by host `from`.
fn receive(network: &mut FakeNetwork, to: usize, from: usize, update: TargetUpdate) {
    let peer = &network.hosts[from].state;
    let event = MembershipEvent::PacketReceived {
        from: peer.settings.address,
        packet: Packet {
            sender: peer.settings.host.clone(),
            incarnation: peer.incarnation,
            sequence: 1,
            utilisation: 0,
            messages: vec![WireMessage::Targets(vec![update])],
        },
    };
    network.handle(to, event);
}

/// Returns the hosts that emitted a change of the target, in order of their indices.
fn changed_hosts(network: &FakeNetwork) -> Vec<usize> {
    let changes = network.effects.iter().filter(|(_, _, effect)| {
        matches!(effect, MembershipEffect::TargetChanged(update) if update.target == target_name())
    });
    let mut hosts: Vec<_> = changes.map(|(_, host, _)| *host).collect();
    hosts.sort_unstable();
    hosts
}

/// Returns the update that a host has of the target.
fn known_update(network: &FakeNetwork, host: usize) -> TargetUpdate {
    network.hosts[host].state.targets[&target_name()]
        .update
        .clone()
}

/// Guards against a second leave of a process that does not spread past hosts on which the first
/// one still applies.
#[test]
fn second_leave_reaches_hosts_that_kept_or_cleared_the_first() {
    let mut network = started_network(36, 3);
    network.handle(0, MembershipEvent::TargetUpdated(update(10, true)));
    network.run_for(ClockTime::from_secs(20));
    assert_eq!(changed_hosts(&network), (1..36).collect::<Vec<_>>());
    // Every sixth host has cleared the first leave.
    for host in (0..36).step_by(6) {
        clear_leaving(&mut network.hosts[host].state, &target_name(), 2);
    }
    network.effects.clear();
    network.handle(6, MembershipEvent::TargetUpdated(update(50, true)));
    network.run_for(ClockTime::from_secs(3));
    let others: Vec<_> = (0..36).filter(|host| *host != 6).collect();
    assert_eq!(changed_hosts(&network), others);
}

/// Guards against a separate flood of updates for each host that reads of the same leave.
#[test]
fn one_leave_read_by_all_hosts_is_disseminated_once() {
    let mut network = started_network(36, 3);
    for host in 0..36 {
        let sequence = 10 + host as u64;
        network.handle(host, MembershipEvent::TargetUpdated(update(sequence, true)));
        network.run_for(ClockTime::from_ms(100));
    }
    let changes = changed_hosts(&network);
    let mut once = changes.clone();
    once.dedup();
    assert_eq!(changes, once, "a host reported the leave more than once");
    for host in 0..36 {
        assert!(known_update(&network, host).leaving);
    }
    network.run_for(ClockTime::from_secs(20));
    let disseminating = network.hosts.iter().filter(|host| {
        let key = crocusyard_membership::update_queue::UpdateKey::Target(target_name());
        host.state.updates.keys_by_priority().contains(&key)
    });
    assert_eq!(
        disseminating.count(),
        0,
        "number of hosts that still have the leave in their update queues"
    );
}

/// Guards against an unbounded flood of updates about one leave: a repeated update is disseminated
/// again only after `DUPLICATE_WINDOW`.
#[test]
fn repeated_update_is_disseminated_after_the_duplicate_window() {
    let mut network = started_network(9, 3);
    receive(&mut network, 0, 1, update(10, true));
    for sequence in 11..20 {
        receive(&mut network, 0, 2, update(sequence, true));
    }
    let changes = |net: &FakeNetwork| changed_hosts(net).iter().filter(|host| **host == 0).count();
    assert_eq!(changes(&network), 1);
    assert_eq!(
        known_update(&network, 0).sequence,
        19,
        "the update with the highest sequence must be kept"
    );
    network.run_for(DUPLICATE_WINDOW);
    receive(&mut network, 0, 1, update(15, true));
    assert_eq!(
        changes(&network),
        1,
        "an update with a lower sequence must be ignored"
    );
    receive(&mut network, 0, 1, update(30, true));
    assert_eq!(changes(&network), 2);
}

/// Guards against late or duplicated packets that replace a newer update.
#[test]
fn older_update_does_not_replace_newer() {
    let mut network = started_network(9, 3);
    receive(&mut network, 0, 1, update(10, true));
    receive(&mut network, 0, 1, update(20, false));
    for late in [update(10, true), update(19, true)] {
        receive(&mut network, 0, 2, late);
        assert_eq!(known_update(&network, 0), update(20, false));
    }
    receive(&mut network, 0, 2, update(30, true));
    receive(&mut network, 0, 1, update(20, false));
    receive(&mut network, 0, 1, update(30, false));
    assert_eq!(known_update(&network, 0), update(30, true));
    receive(&mut network, 0, 1, update(40, false));
    receive(&mut network, 0, 1, update(40, true));
    assert_eq!(
        known_update(&network, 0),
        update(40, true),
        "at equal sequences, leaving must take precedence"
    );
    let mut earlier_process = update(90, true);
    earlier_process.incarnation = 1;
    receive(&mut network, 0, 1, earlier_process);
    assert_eq!(known_update(&network, 0), update(40, true));
}

/// Guards against a cleared leave that returns with the update of a host that clears it later, and
/// against a later leave that is ignored because no report was read in between.
#[test]
fn cleared_leave_does_not_return() {
    let mut network = started_network(9, 3);
    receive(&mut network, 0, 1, update(10, true));
    let state = &mut network.hosts[0].state;
    clear_leaving(state, &target_name(), 2);
    clear_leaving(state, &target_name(), 2);
    assert!(!state.targets[&target_name()].update.leaving);
    let later = leave_sequence(state, &target_name(), 2, 10);
    receive(&mut network, 0, 1, update(10, true));
    assert!(!known_update(&network, 0).leaving);
    receive(&mut network, 0, 1, update(later, true));
    clear_leaving(&mut network.hosts[0].state, &target_name(), 1);
    assert_eq!(
        known_update(&network, 0),
        update(later, true),
        "clearing an earlier incarnation must not change the update"
    );
}

/// Guards against a host that starts after the dissemination of many leaves and lacks some.
#[test]
fn restarted_host_receives_all_leaving_targets() {
    let mut network = started_network(36, 3);
    for target in 0..LEAVING_TARGETS {
        let mut update = update(10, true);
        update.target = TargetName::new(&format!("asesor-{target}"));
        network.handle(target, MembershipEvent::TargetUpdated(update));
    }
    network.run_for(ClockTime::from_secs(20));
    for host in 20..26 {
        network.restart(host);
        network.run_for(ClockTime::from_secs(3));
        let known = network.hosts[host].state.targets.values();
        let leaving = known.filter(|known| known.update.leaving).count();
        assert_eq!(leaving, LEAVING_TARGETS, "leaving targets on host {host}");
    }
}

/// Guards against a request that crashes one target after another while hosts are replaced: a host that
/// joins later has to hear of earlier crashes.
#[test]
fn host_that_joins_hears_of_earlier_crashes() {
    let mut network = started_network(9, 3);
    let report = CrashReport {
        digest: [7; 16],
        target: Some(target_name()),
    };
    network.handle(0, MembershipEvent::CrashReported(report.clone()));
    network.run_for(ClockTime::from_secs(5));
    assert!(network.hosts[4].state.crashes.contains_key(&report));
    network.crash(4);
    network.run_for(ClockTime::from_secs(1));
    network.restart(4);
    network.run_for(ClockTime::from_secs(10));
    assert!(
        network.hosts[4].state.crashes.contains_key(&report),
        "the new process knows of no crash"
    );
}
