//! Tests of the address answer.

use bolero::generator::bolero_generator::{driver, TypeGenerator};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_routing::prelude::*;
use std::collections::BTreeSet;

const NOW: ClockTime = ClockTime::from_secs(10);

/// Generates cases from a fixed seed; the seeds of `check!` come from the operating system.
fn cases<T: TypeGenerator>(seed: u64, count: u64) -> impl Iterator<Item = T> {
    (seed..seed + count).filter_map(|number| {
        let options = driver::Options::default();
        let mut driver = driver::Rng::new(seeded_rng(number), &options);
        T::generate(&mut driver)
    })
}

fn host(index: usize) -> EntryHost {
    EntryHost {
        name: HostName::new(&format!("host-{index}")),
        address: ([127, 0, 0, 1], 8_000 + index as u16).into(),
        domain: DomainName::new(&format!("domain-{}", index % 3)),
        load: 0.1,
        leaving: false,
    }
}

fn ring(hosts: usize) -> EntryDirectory {
    let mut ring = EntryDirectory::new(AddressTuning::builder().host_rate(4.0).build());
    for index in 0..hosts {
        ring.upsert_host(NOW, host(index));
    }
    ring
}

fn query(key: &str, caller_hash: u64) -> AddressQuery<'_> {
    AddressQuery {
        now: NOW,
        key,
        caller_hash,
        last_address: None,
    }
}

fn names(answer: &AddressAnswer) -> Vec<HostName> {
    answer
        .addresses
        .iter()
        .map(|entry| entry.host.clone())
        .collect()
}

/// Guards against an answer that a single failure domain can take away.
#[test]
fn first_addresses_span_failure_domains() {
    let ring = ring(9);
    for number in 0..50 {
        let answer = ring.answer(&query(&format!("model-{number}"), 1));
        let domains: BTreeSet<DomainName> = names(&answer)
            .iter()
            .filter_map(|name| (0..9).map(host).find(|host| host.name == *name))
            .map(|host| host.domain)
            .collect();
        assert_eq!(answer.addresses.len(), 3);
        assert_eq!(domains.len(), 3);
    }
}

/// Guards against one host for a model with much demand, and against many for one with little.
#[test]
fn width_grows_with_demand() {
    let mut ring = ring(9);
    let firsts = |ring: &EntryDirectory| {
        (0..200)
            .map(|caller| names(&ring.answer(&query("model", caller)))[0].clone())
            .collect::<BTreeSet<HostName>>()
            .len()
    };
    assert_eq!(firsts(&ring), 1);
    ring.set_demand("model", 16.0);
    assert_eq!(firsts(&ring), 4);
    ring.set_demand("model", 1_000.0);
    assert_eq!(firsts(&ring), 9);
}

/// Guards against naming leaving, overloaded and silent hosts while others can serve.
#[test]
fn unusable_hosts_are_left_out() {
    let mut ring = ring(5);
    ring.set_leaving(&host(0).name, true);
    let mut full = host(1);
    full.load = 0.95;
    ring.upsert_host(NOW, full);
    let later = NOW + ClockTime::from_secs(3);
    ring.record_seen(later, &host(1).name);
    ring.record_seen(later, &host(3).name);
    let mut question = query("model", 1);
    question.now = later;
    assert_eq!(names(&ring.answer(&question)), vec![host(3).name]);
    ring.set_leaving(&host(3).name, true);
    assert_eq!(names(&ring.answer(&question)), vec![host(1).name]);
}

/// Guards against keys that stay on a host at its limit while its neighbours idle.
#[test]
fn loaded_hosts_lose_keys_to_idle_ones() {
    let mut ring = ring(9);
    let keys: Vec<String> = (0..300).map(|number| format!("model-{number}")).collect();
    let held = |ring: &EntryDirectory| {
        keys.iter()
            .filter(|key| names(&ring.answer(&query(key, 1)))[0] == host(2).name)
            .count()
    };
    let before = held(&ring);
    ring.set_load(&host(2).name, 0.8);
    assert!(
        held(&ring) * 2 < before,
        "{} of {before} keys stay",
        held(&ring)
    );
}

/// Guards against callers that lose a good connection at each new answer.
#[test]
fn last_address_is_kept_first() {
    let mut ring = ring(9);
    ring.set_demand("model", 12.0);
    let wide = ring.answer(&query("model", 1));
    for entry in &wide.addresses[..3] {
        let mut question = query("model", 1);
        question.last_address = Some(entry.address);
        assert_eq!(ring.answer(&question).addresses[0].address, entry.address);
    }
}

/// Guards against keys that move although the host that left did not hold them.
#[test]
fn only_the_keys_of_a_leaving_host_move() {
    let mut ring = ring(9);
    let keys: Vec<String> = (0..300).map(|number| format!("model-{number}")).collect();
    let first = |ring: &EntryDirectory, key: &str| names(&ring.answer(&query(key, 1)))[0].clone();
    let before: Vec<HostName> = keys.iter().map(|key| first(&ring, key)).collect();
    ring.set_leaving(&host(4).name, true);
    for (key, old) in keys.iter().zip(&before) {
        if *old != host(4).name {
            assert_eq!(first(&ring, key), *old);
        }
    }
}

/// Guards against empty or repeated answers and leaving hosts after any changes of the host list.
#[test]
fn any_host_list_gives_a_sound_answer() {
    for changes in cases::<Vec<(u8, u8)>>(20_260_101, 3_000) {
        let mut ring = EntryDirectory::new(AddressTuning::default());
        let mut staying = BTreeSet::new();
        for (kind, index) in changes {
            let mut changed = host(usize::from(index) % 8);
            changed.load = f64::from(kind) / 128.0;
            changed.leaving = kind % 4 == 0;
            if kind % 5 == 0 {
                ring.remove_host(&changed.name);
                staying.remove(&changed.name);
            } else if changed.leaving {
                staying.remove(&changed.name);
                ring.upsert_host(NOW, changed);
            } else {
                staying.insert(changed.name.clone());
                ring.upsert_host(NOW, changed);
            }
            let answer = ring.answer(&query("model", u64::from(index)));
            let distinct: BTreeSet<HostName> = names(&answer).into_iter().collect();
            assert_eq!(answer.addresses.is_empty(), staying.is_empty());
            assert_eq!(distinct.len(), answer.addresses.len());
            assert!(distinct.is_subset(&staying));
        }
    }
}
