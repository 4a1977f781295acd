//! The target list as one host of a failure domain passes it on.

mod common;

use common::{ms, record};
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use std::net::SocketAddr;

fn follower_at(version: u64, now: ClockTime) -> ListFollower {
    let mut list = ListFollower::default();
    list.start_poll(now);
    list.finish_poll(version, now, true);
    list
}

/// Guards against a host that misses a leaving target because one message was lost.
#[test]
fn lost_message_makes_a_host_poll() {
    let mut list = follower_at(10, ms(0));
    assert!(list.accept_relayed(10, 12, ms(600)));
    assert!(!list.should_poll(false, ms(700)));
    assert!(
        !list.accept_relayed(14, 16, ms(1_200)),
        "the changes up to 14 are missing"
    );
    assert!(list.should_poll(false, ms(1_200)));
    assert_eq!(list.version(), Some(12));
}

/// Guards against a host that hears nothing of a leaving target for 2 s, since its reader died.
#[test]
fn silent_reader_is_replaced_in_time() {
    let list = follower_at(10, ms(0));
    let first = (0..2_000).map(ms).find(|now| list.should_poll(false, *now));
    let first = first.expect("polls at some time");
    assert!(
        first < ms(1_300),
        "{first} plus looks, a poll and a send must stay below 2 s"
    );
}

/// Guards against every host polling the store while one of them reads it.
#[test]
fn only_the_reader_polls() {
    let mut list = follower_at(10, ms(0));
    for step in 1..20 {
        let now = ms(step * 600);
        assert!(list.accept_relayed(9 + step, 10 + step, now));
        assert!(!list.should_poll(false, now + ms(500)));
        assert!(list.should_poll(true, now));
    }
}

/// Guards against an older message that undoes a newer one.
#[test]
fn older_changes_are_ignored() {
    let mut list = follower_at(10, ms(0));
    assert!(!list.accept_relayed(5, 8, ms(100)));
    assert_eq!(list.version(), Some(10));
}

/// Guards against a failure domain without a reader after its first host died.
#[test]
fn next_live_host_becomes_the_reader() {
    let facts = |name: &str| HostRecord {
        name: HostName::new(name),
        domain: DomainName::new("a"),
        entry: SocketAddr::from(([10, 0, 0, 1], 1)),
        peer: SocketAddr::from(([10, 0, 0, 1], 2)),
        millicores: 250,
    };
    let mut hosts = HostTable::new(facts("b"));
    assert!(hosts.is_list_reader(ms(0)));
    hosts.receive_heartbeat(&facts("a"), false, ms(100));
    assert!(!hosts.is_list_reader(ms(200)));
    assert!(hosts.is_list_reader(ms(5_000)), "the first host is silent");
    hosts.receive_heartbeat(&facts("a"), true, ms(5_100));
    assert!(hosts.is_list_reader(ms(5_100)), "the first host is leaving");
}

fn written(name: &str) -> ListEntry {
    ListEntry {
        name: TargetName::new(name),
        record: Some(record(name, "a", &[])),
    }
}

fn removed(name: &str) -> ListEntry {
    ListEntry {
        name: TargetName::new(name),
        record: None,
    }
}

fn names(records: &[TargetRecord]) -> Vec<&str> {
    records.iter().map(|record| record.name.as_str()).collect()
}

/// Guards against a target that is taken back after its removal: a reader that was cut off reads an
/// older write of the target and the removal together, and holds the removal back.
#[test]
fn older_write_of_a_removed_target_is_not_used() {
    let mut reader = ListReader::default();
    let entries = vec![written("gone"), written("lives"), removed("gone")];
    let change = reader.read(entries, true);
    assert_eq!(names(&change.upserts), ["lives"]);
    assert!(change.removed.is_empty());
    let change = reader.read(Vec::new(), false);
    assert_eq!(change.removed, [TargetName::new("gone")]);
}

/// Guards against a removal that a host never learns: its reader passes the version of the list on,
/// holds the removal back and ends.
#[test]
fn list_is_not_passed_on_without_its_removals() {
    let mut reader = ListReader::default();
    let change = reader.read(vec![removed("lapsed")], true);
    assert!(!change.is_complete);
    let change = reader.read(vec![written("other")], true);
    assert!(!change.is_complete, "the removal is still held back");
    let change = reader.read(vec![written("lapsed")], true);
    assert!(change.is_complete, "the target wrote again");
    assert_eq!(names(&change.upserts), ["lapsed"]);
}

/// Guards against a removal that is held back and then forgotten: the reader's messages keep the
/// host from polling, so that a target that is gone stays in use for ever.
#[test]
fn host_that_holds_removals_back_reads_on_itself() {
    let mut list = follower_at(10, ms(0));
    list.start_poll(ms(600));
    list.finish_poll(12, ms(600), false);
    assert!(
        !list.accept_relayed(12, 14, ms(1_000)),
        "its own polls must see 13"
    );
    assert_eq!(list.version(), Some(12));
    assert!(list.should_poll(false, ms(1_200)));
    list.start_poll(ms(1_200));
    list.finish_poll(14, ms(1_200), true);
    assert!(list.accept_relayed(14, 15, ms(1_500)));
    assert!(!list.should_poll(false, ms(1_800)));
}

/// Guards against a target that stays in use after it was removed while the store answered.
#[test]
fn removal_is_used_at_once_while_the_store_answers() {
    let mut reader = ListReader::default();
    let change = reader.read(vec![removed("gone")], false);
    assert_eq!(change.removed, [TargetName::new("gone")]);
    assert!(change.is_complete);
}
