//! Hosts of different size in one system: who gets callers, and who does the work for all.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Most addresses of an answer; the protocol's limit.
const LIMIT: usize = 64;
/// Answers of a sample.
const ANSWERS: u64 = 2_000;

fn facts(number: u16, millicores: u32) -> HostRecord {
    HostRecord {
        name: HostName::new(&format!("h{number:03}")),
        domain: DomainName::new("a"),
        entry: SocketAddr::from(([10, 0, 0, 1], number)),
        peer: SocketAddr::from(([10, 0, 0, 2], number)),
        millicores,
    }
}

/// Book of the first of hosts with these sizes.
fn book(sizes: &[u32]) -> HostTable {
    let mut facts = (1..).zip(sizes).map(|(number, size)| facts(number, *size));
    let mut book = HostTable::new(facts.next().expect("a host"));
    for other in facts {
        book.receive_heartbeat(&other, false, ms(0));
    }
    book
}

/// Chance of each port to be chosen by a caller that takes an address of an answer at random.
fn chances(book: &HostTable) -> HashMap<u16, f64> {
    let mut chances: HashMap<u16, f64> = HashMap::new();
    for salt in 0..ANSWERS {
        let answer = book.entry_addresses(LIMIT, salt, ms(100));
        for address in &answer {
            *chances.entry(address.port()).or_default() += 1.0 / answer.len() as f64;
        }
    }
    for chance in chances.values_mut() {
        *chance /= ANSWERS as f64;
    }
    chances
}

/// Guards against small hosts that get as many callers as large ones: their processor time is used
/// up while that of the others is idle.
#[test]
fn callers_go_where_processor_time_is() {
    let mut sizes = vec![500; 8];
    sizes.extend([120; 63]);
    let chances = chances(&book(&sizes));
    let large: f64 = (1..=8).map(|port| chances[&port]).sum();
    let expected = 8.0 * 500.0 / (8.0 * 500.0 + 63.0 * 120.0);
    assert!((large - expected).abs() < 0.03, "{large} of {expected}");
    let small: Vec<f64> = (9..=71).map(|port| chances[&port]).collect();
    let even = (1.0 - large) / 63.0;
    assert!(small.iter().all(|chance| (chance / even - 1.0).abs() < 0.3));
}

/// Guards against hosts that never get a caller, since an answer has room for 64 addresses.
#[test]
fn all_of_many_equal_hosts_get_callers() {
    let chances = chances(&book(&[250; 71]));
    assert_eq!(chances.len(), 71);
    assert!(chances
        .values()
        .all(|chance| (chance * 71.0 - 1.0).abs() < 0.1));
}

/// Guards against a host that is not known because an older version wrote its row.
#[test]
fn row_without_processor_time_is_read() {
    let row = r#"{"name":"h","domain":"a","entry":"10.0.0.1:1","peer":"10.0.0.1:2"}"#;
    let facts: HostRecord = serde_json::from_str(row).expect("readable");
    assert_eq!(facts.millicores, 0);
}

/// Guards against callers that know one address only, and have none to turn to when it fails.
#[test]
fn answers_have_several_addresses() {
    let mut sizes = vec![4_000];
    sizes.extend([40; 20]);
    let book = book(&sizes);
    for salt in 0..ANSWERS {
        assert!(book.entry_addresses(LIMIT, salt, ms(100)).len() >= 8);
    }
    let two = self::book(&[4_000, 40]);
    assert!((0..ANSWERS).all(|salt| two.entry_addresses(LIMIT, salt, ms(100)).len() == 2));
}

/// A host with this part of the callers, among 71 that have all told what they have in progress.
fn host_with(fraction: f64) -> TestHost {
    let names = ["t1", "t2", "t3"];
    let desk = names.iter().map(|name| record(name, "a", &[])).collect();
    let mut host = TestHost::new(&["m"], desk);
    let share = HostShare {
        hosts: 71,
        fraction,
    };
    host.state.reduce(ServingEvent::Hosts(share), ms(2_000));
    for number in 1..71 {
        // The other hosts use all places of the plain service.
        let target = ["t1", "t2", "t3"][number % 3];
        host.hear_load(&format!("peer-{number}"), &[(target, 1)], ms(2_000));
    }
    host
}

/// Guards against a large host whose calls to a plain service wait, because it keeps to the places
/// of a host of average size while it gets several times the callers.
#[test]
fn places_of_a_plain_service_follow_the_callers() {
    let sent = |fraction| {
        let mut host = host_with(fraction);
        let plain = route(CallKind::NonIdempotent, 1);
        let calls = (0..20).map(|_| host.plain(plain.clone(), ms(2_000)).1);
        calls.filter(|effects| !sent_to(effects).is_empty()).count()
    };
    // A quarter of 24 places with the usual variation, of which some queue at the targets.
    assert!((6..=10).contains(&sent(0.25)), "{}", sent(0.25));
    // Calls at random: where 1.9 of them run on average, there often are three.
    assert_eq!(sent(0.065), 3);
    assert_eq!(sent(0.01), 1);
}

/// Guards against repeated sends that are refused at a large host while small ones leave theirs.
#[test]
fn repeats_follow_the_callers() {
    let limits = RetryLimits {
        ratio: 0.0,
        slack: 100.0,
        window: ms(10_000),
    };
    let taken = |fraction| {
        let mut budget = RetryBudget::new(limits);
        let service = ServiceName::new("s");
        (0..100)
            .filter(|_| budget.try_take(&service, fraction, ms(1_000)))
            .count()
    };
    assert_eq!(taken(0.25), 20);
    assert_eq!(taken(0.05), 4);
}

/// Guards against parts of hosts that add up to more than all.
#[test]
fn parts_of_all_hosts_add_up_to_one() {
    let sizes = [500, 500, 120, 120, 120];
    let parts = (0..sizes.len()).map(|own| {
        let mut sizes = sizes;
        sizes.swap(0, own);
        book(&sizes).share(ms(100)).fraction
    });
    let sum: f64 = parts.sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
}

/// Guards against a small host that does the work for its failure domain beside a larger one.
#[test]
fn strongest_host_reads_for_its_domain() {
    let mut small = book(&[120, 500]);
    assert!(!small.is_list_reader(ms(100)));
    assert!(small.has_stronger(ms(100)));
    small.receive_heartbeat(&facts(2, 500), true, ms(200));
    assert!(small.is_list_reader(ms(300)), "the larger one is leaving");
    assert!(!small.has_stronger(ms(300)));
    let large = book(&[500, 120]);
    assert!(large.is_list_reader(ms(100)));
    assert!(!large.has_stronger(ms(100)));
}
