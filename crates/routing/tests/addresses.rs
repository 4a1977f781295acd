//! Tests of the entry directory.

use bolero::generator::bolero_generator::{driver, TypeGenerator};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_routing::prelude::*;
use std::collections::BTreeSet;

const NOW: ClockTime = ClockTime::from_secs(10);

/// Generates cases from fixed seeds, because `check!` takes its seeds from the operating system.
fn cases<T: TypeGenerator>(seed: u64, count: u64) -> impl Iterator<Item = T> {
    (seed..seed + count).filter_map(|number| {
        let options = driver::Options::default();
        let mut driver = driver::Rng::new(seeded_rng(number), &options);
        T::generate(&mut driver)
    })
}

/// Returns a lightly loaded host in one of three failure domains.
fn host(index: usize) -> EntryHost {
    EntryHost {
        name: HostName::new(&format!("host-{index}")),
        address: ([127, 0, 0, 1], 8_000 + index as u16).into(),
        domain: DomainName::new(&format!("domain-{}", index % 3)),
        load: 0.1,
        leaving: false,
    }
}

/// Creates a directory with hosts in three failure domains.
fn directory(hosts: usize) -> EntryDirectory {
    let mut directory = EntryDirectory::new(AddressTuning::builder().host_rate(4.0).build());
    for index in 0..hosts {
        directory.upsert_host(NOW, host(index));
    }
    directory
}

fn query(key: &str, caller_hash: u64) -> AddressQuery<'_> {
    AddressQuery {
        now: NOW,
        key,
        caller_hash,
        last_address: None,
    }
}

/// Returns the hosts of an answer in order.
fn names(answer: &AddressAnswer) -> Vec<HostName> {
    answer
        .addresses
        .iter()
        .map(|entry| entry.host.clone())
        .collect()
}

/// Guards against an answer whose hosts all fail with one failure domain.
#[test]
fn first_addresses_span_failure_domains() {
    let directory = directory(9);
    for number in 0..50 {
        let answer = directory.answer(&query(&format!("model-{number}"), 1));
        let domains: BTreeSet<DomainName> = names(&answer)
            .iter()
            .filter_map(|name| (0..9).map(host).find(|host| host.name == *name))
            .map(|host| host.domain)
            .collect();
        assert_eq!(answer.addresses.len(), 3);
        assert_eq!(domains.len(), 3);
    }
}

/// Guards against too few primary hosts for a model with high demand and too many for low demand.
#[test]
fn primary_hosts_grow_with_demand() {
    let mut directory = directory(9);
    let primary_count = |directory: &EntryDirectory| {
        (0..200)
            .map(|caller| names(&directory.answer(&query("model", caller)))[0].clone())
            .collect::<BTreeSet<HostName>>()
            .len()
    };
    assert_eq!(primary_count(&directory), 1);
    directory.set_demand("model", 16.0);
    assert_eq!(primary_count(&directory), 4);
    directory.set_demand("model", 1_000.0);
    assert_eq!(primary_count(&directory), 9);
}

/// Guards against answers with leaving, overloaded or unresponsive hosts while others can serve.
#[test]
fn unusable_hosts_are_left_out() {
    let mut directory = directory(5);
    directory.set_leaving(&host(0).name, true);
    let mut overloaded = host(1);
    overloaded.load = 0.95;
    directory.upsert_host(NOW, overloaded);
    let later = NOW + ClockTime::from_secs(3);
    directory.record_seen(later, &host(1).name);
    directory.record_seen(later, &host(3).name);
    let mut address_query = query("model", 1);
    address_query.now = later;
    assert_eq!(names(&directory.answer(&address_query)), vec![host(3).name]);
    directory.set_leaving(&host(3).name, true);
    assert_eq!(names(&directory.answer(&address_query)), vec![host(1).name]);
}

/// Guards against keys that stay on a loaded host while other hosts are idle.
#[test]
fn loaded_hosts_lose_keys_to_idle_ones() {
    let mut directory = directory(9);
    let keys: Vec<String> = (0..300).map(|number| format!("model-{number}")).collect();
    let held_keys = |directory: &EntryDirectory| {
        keys.iter()
            .filter(|key| names(&directory.answer(&query(key, 1)))[0] == host(2).name)
            .count()
    };
    let before = held_keys(&directory);
    directory.set_load(&host(2).name, 0.8);
    assert!(
        held_keys(&directory) * 2 < before,
        "expected fewer than half of {before} keys on the loaded host, got {}",
        held_keys(&directory)
    );
}

/// Guards against callers that must give up a working connection with each new answer.
#[test]
fn last_address_is_kept_first() {
    let mut directory = directory(9);
    directory.set_demand("model", 12.0);
    let answer = directory.answer(&query("model", 1));
    for entry in &answer.addresses[..3] {
        let mut address_query = query("model", 1);
        address_query.last_address = Some(entry.address);
        assert_eq!(
            directory.answer(&address_query).addresses[0].address,
            entry.address
        );
    }
}

/// Guards against a leaving host that moves keys of other hosts.
#[test]
fn only_the_keys_of_a_leaving_host_move() {
    let mut directory = directory(9);
    let keys: Vec<String> = (0..300).map(|number| format!("model-{number}")).collect();
    let first_host =
        |directory: &EntryDirectory, key: &str| names(&directory.answer(&query(key, 1)))[0].clone();
    let before: Vec<HostName> = keys.iter().map(|key| first_host(&directory, key)).collect();
    directory.set_leaving(&host(4).name, true);
    for (key, old) in keys.iter().zip(&before) {
        if *old != host(4).name {
            assert_eq!(first_host(&directory, key), *old);
        }
    }
}

/// Guards against empty answers, repeated hosts and leaving hosts after any changes of the host
/// list.
#[test]
fn any_host_list_gives_a_valid_answer() {
    for changes in cases::<Vec<(u8, u8)>>(20_260_101, 3_000) {
        let mut directory = EntryDirectory::new(AddressTuning::default());
        let mut staying = BTreeSet::new();
        for (kind, index) in changes {
            let mut changed = host(usize::from(index) % 8);
            changed.load = f64::from(kind) / 128.0;
            changed.leaving = kind % 4 == 0;
            if kind % 5 == 0 {
                directory.remove_host(&changed.name);
                staying.remove(&changed.name);
            } else if changed.leaving {
                staying.remove(&changed.name);
                directory.upsert_host(NOW, changed);
            } else {
                staying.insert(changed.name.clone());
                directory.upsert_host(NOW, changed);
            }
            let answer = directory.answer(&query("model", u64::from(index)));
            let distinct: BTreeSet<HostName> = names(&answer).into_iter().collect();
            assert_eq!(answer.addresses.is_empty(), staying.is_empty());
            assert_eq!(distinct.len(), answer.addresses.len());
            assert!(distinct.is_subset(&staying));
        }
    }
}
