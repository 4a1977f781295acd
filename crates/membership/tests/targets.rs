//! Word of leaving targets, each test with the failure it guards against.

mod support;

use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_membership::updates::{clear_leaving, leave_sequence, DUPLICATE_WINDOW};
use crocusyard_wire::prelude::*;
use support::{FakeNetwork, NetworkSpec};

/// Targets that leave at the same time.
const LEAVING: usize = 12;

fn name() -> TargetName {
    TargetName::new("asesor-3")
}

fn word(sequence: u64, leaving: bool) -> TargetNotice {
    TargetNotice {
        target: name(),
        incarnation: 2,
        sequence,
        leaving,
    }
}

fn started(hosts: usize, domains: usize) -> FakeNetwork {
    let mut network = FakeNetwork::new(NetworkSpec::new(hosts, domains, 1), 1);
    network.run(ClockTime::from_secs(10));
    network.log.clear();
    network
}

/// Gives a host the packet of a peer with word of a target.
fn receive(network: &mut FakeNetwork, to: usize, from: usize, notice: TargetNotice) {
    let peer = &network.hosts[from].state;
    let event = MembershipEvent::PacketReceived {
        from: peer.settings.address,
        packet: Packet {
            sender: peer.settings.host.clone(),
            incarnation: peer.incarnation,
            sequence: 1,
            busy: 0,
            messages: vec![WireMessage::Targets(vec![notice])],
        },
    };
    network.give(to, event);
}

/// Returns the hosts that changed a target's state, in order.
fn changed(network: &FakeNetwork) -> Vec<usize> {
    let changes = network.log.iter().filter(|(_, _, effect)| {
        matches!(effect, MembershipEffect::TargetChanged(notice) if notice.target == name())
    });
    let mut hosts: Vec<_> = changes.map(|(_, host, _)| *host).collect();
    hosts.sort_unstable();
    hosts
}

fn known(network: &FakeNetwork, host: usize) -> TargetNotice {
    network.hosts[host].state.targets[&name()].notice.clone()
}

/// Guards against a later leave of a process that stops at hosts that still hold the first (M6).
#[test]
fn second_leave_reaches_hosts_that_hold_or_dropped_the_first() {
    let mut network = started(36, 3);
    network.give(0, MembershipEvent::TargetUpdated(word(10, true)));
    network.run(ClockTime::from_secs(20));
    assert_eq!(changed(&network), (1..36).collect::<Vec<_>>());
    // One host in six has dropped the first word.
    for host in (0..36).step_by(6) {
        clear_leaving(&mut network.hosts[host].state, &name(), 2);
    }
    network.log.clear();
    network.give(6, MembershipEvent::TargetUpdated(word(50, true)));
    network.run(ClockTime::from_secs(3));
    let others: Vec<_> = (0..36).filter(|host| *host != 6).collect();
    assert_eq!(changed(&network), others);
}

/// Guards against as many floods as there are hosts that read of the same leave.
#[test]
fn word_of_one_leave_from_all_hosts_is_spread_once() {
    let mut network = started(36, 3);
    for host in 0..36 {
        let sequence = 10 + host as u64;
        network.give(host, MembershipEvent::TargetUpdated(word(sequence, true)));
        network.run(ClockTime::from_ms(100));
    }
    let changes = changed(&network);
    let mut once = changes.clone();
    once.dedup();
    assert_eq!(changes, once, "a host takes the leave as news once");
    for host in 0..36 {
        assert!(known(&network, host).leaving);
    }
    network.run(ClockTime::from_secs(20));
    let spreading = network.hosts.iter().filter(|host| {
        let key = crocusyard_membership::update_queue::UpdateKey::Target(name());
        host.state.updates.keys_by_priority().contains(&key)
    });
    assert_eq!(spreading.count(), 0, "the word is no longer repeated");
}

/// Guards against an unbounded flood of later words: a repetition is passed on only when the last
/// spreading is over.
#[test]
fn repetition_is_spread_after_a_while() {
    let mut network = started(9, 3);
    receive(&mut network, 0, 1, word(10, true));
    for sequence in 11..20 {
        receive(&mut network, 0, 2, word(sequence, true));
    }
    let news = |network: &FakeNetwork| changed(network).iter().filter(|host| **host == 0).count();
    assert_eq!(news(&network), 1);
    assert_eq!(known(&network, 0).sequence, 19, "the newest word is kept");
    network.run(DUPLICATE_WINDOW);
    receive(&mut network, 0, 1, word(15, true));
    assert_eq!(news(&network), 1, "older word is no repetition");
    receive(&mut network, 0, 1, word(30, true));
    assert_eq!(news(&network), 2);
}

/// Guards against late or repeated packets that undo newer word.
#[test]
fn older_word_does_not_undo_newer() {
    let mut network = started(9, 3);
    receive(&mut network, 0, 1, word(10, true));
    receive(&mut network, 0, 1, word(20, false));
    for late in [word(10, true), word(19, true)] {
        receive(&mut network, 0, 2, late);
        assert_eq!(known(&network, 0), word(20, false));
    }
    receive(&mut network, 0, 2, word(30, true));
    receive(&mut network, 0, 1, word(20, false));
    receive(&mut network, 0, 1, word(30, false));
    assert_eq!(known(&network, 0), word(30, true));
    receive(&mut network, 0, 1, word(40, false));
    receive(&mut network, 0, 1, word(40, true));
    assert_eq!(known(&network, 0), word(40, true), "leaving holds");
    let mut earlier = word(90, true);
    earlier.incarnation = 1;
    receive(&mut network, 0, 1, earlier);
    assert_eq!(known(&network, 0), word(40, true));
}

/// Guards against a dropped leave that hosts that drop it later revive, and against a later leave
/// that is no news because no report was read in between.
#[test]
fn dropped_word_is_not_revived() {
    let mut network = started(9, 3);
    receive(&mut network, 0, 1, word(10, true));
    let state = &mut network.hosts[0].state;
    clear_leaving(state, &name(), 2);
    clear_leaving(state, &name(), 2);
    assert!(!state.targets[&name()].notice.leaving);
    let later = leave_sequence(state, &name(), 2, 10);
    receive(&mut network, 0, 1, word(10, true));
    assert!(!known(&network, 0).leaving);
    receive(&mut network, 0, 1, word(later, true));
    clear_leaving(&mut network.hosts[0].state, &name(), 1);
    assert_eq!(known(&network, 0), word(later, true), "of another process");
}

/// Guards against a host that starts after word of many leaves was spread and misses some (M6).
#[test]
fn restarted_host_hears_of_all_leaving_targets() {
    let mut network = started(36, 3);
    for target in 0..LEAVING {
        let mut notice = word(10, true);
        notice.target = TargetName::new(&format!("asesor-{target}"));
        network.give(target, MembershipEvent::TargetUpdated(notice));
    }
    network.run(ClockTime::from_secs(20));
    for host in 20..26 {
        network.restart(host);
        network.run(ClockTime::from_secs(3));
        let known = network.hosts[host].state.targets.values();
        let heard = known.filter(|known| known.notice.leaving).count();
        assert_eq!(heard, LEAVING, "host {host}");
    }
}
