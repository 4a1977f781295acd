//! Hosts with different processor time in one system: how many callers each gets, and which host
//! does the work for others.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Largest number of addresses in an answer, as limited by the protocol.
const MAX_ADDRESSES: usize = 64;
/// Number of answers in a sample.
const ANSWERS: u64 = 2_000;

fn host_record(number: u16, millicores: u32) -> HostRecord {
    HostRecord {
        name: HostName::new(&format!("h{number:03}")),
        domain: DomainName::new("a"),
        entry: SocketAddr::from(([10, 0, 0, 1], number)),
        peer: SocketAddr::from(([10, 0, 0, 2], number)),
        millicores,
    }
}

/// Host table of the first of several live hosts; `sizes` is their processor time, thousandths of a
/// core.
fn table(sizes: &[u32]) -> HostTable {
    let mut records = (1..)
        .zip(sizes)
        .map(|(number, size)| host_record(number, *size));
    let mut table = HostTable::new(records.next().expect("the table has at least one host"));
    for other in records {
        table.receive_heartbeat(&other, false, ms(0));
    }
    table
}

/// Probability of each port to be chosen by a caller that takes a random address of an answer.
fn probabilities(table: &HostTable) -> HashMap<u16, f64> {
    let mut probabilities: HashMap<u16, f64> = HashMap::new();
    for salt in 0..ANSWERS {
        let answer = table.entry_addresses(MAX_ADDRESSES, salt, ms(100));
        for address in &answer {
            *probabilities.entry(address.port()).or_default() += 1.0 / answer.len() as f64;
        }
    }
    for probability in probabilities.values_mut() {
        *probability /= ANSWERS as f64;
    }
    probabilities
}

/// Guards against small hosts that get as many callers as large ones: they have no processor time
/// left while the large hosts are idle.
#[test]
fn callers_go_where_processor_time_is() {
    let mut sizes = vec![500; 8];
    sizes.extend([120; 63]);
    let probabilities = probabilities(&table(&sizes));
    let large: f64 = (1..=8).map(|port| probabilities[&port]).sum();
    let expected = 8.0 * 500.0 / (8.0 * 500.0 + 63.0 * 120.0);
    assert!(
        (large - expected).abs() < 0.03,
        "large hosts get {large} of the callers, {expected} expected"
    );
    let small: Vec<f64> = (9..=71).map(|port| probabilities[&port]).collect();
    let even = (1.0 - large) / 63.0;
    assert!(small
        .iter()
        .all(|probability| (probability / even - 1.0).abs() < 0.3));
}

/// Guards against hosts that never get a caller because an answer has room for only 64 addresses.
#[test]
fn all_of_many_equal_hosts_get_callers() {
    let probabilities = probabilities(&table(&[250; 71]));
    assert_eq!(probabilities.len(), 71);
    assert!(probabilities
        .values()
        .all(|probability| (probability * 71.0 - 1.0).abs() < 0.1));
}

/// Guards against ignoring a host because an older version wrote its row.
#[test]
fn row_without_processor_time_is_read() {
    let row = r#"{"name":"h","domain":"a","entry":"10.0.0.1:1","peer":"10.0.0.1:2"}"#;
    let record: HostRecord = serde_json::from_str(row).expect("a row without millicores is valid");
    assert_eq!(record.millicores, 0);
}

/// Guards against callers that know only one address and have no other when it fails.
#[test]
fn answers_have_several_addresses() {
    let mut sizes = vec![4_000];
    sizes.extend([40; 20]);
    let table = table(&sizes);
    for salt in 0..ANSWERS {
        assert!(table.entry_addresses(MAX_ADDRESSES, salt, ms(100)).len() >= 8);
    }
    let two = self::table(&[4_000, 40]);
    assert!((0..ANSWERS).all(|salt| two.entry_addresses(MAX_ADDRESSES, salt, ms(100)).len() == 2));
}

/// A host with this fraction of the callers, among 71 hosts that have all reported their requests
/// in progress.
fn host_with(fraction: f64) -> TestHost {
    let names = ["t1", "t2", "t3"];
    let plain_targets = names.iter().map(|name| record(name, "a", &[])).collect();
    let mut host = TestHost::new(&["m"], plain_targets);
    let share = HostShare {
        hosts: 71,
        fraction,
        known_fraction: fraction,
    };
    host.state.reduce(ServingEvent::Hosts(share), ms(2_000));
    for number in 1..71 {
        // The other hosts use all slots of the plain service.
        let target = ["t1", "t2", "t3"][number % 3];
        host.report_load(&format!("peer-{number}"), &[(target, 1)], ms(2_000));
    }
    host
}

/// Guards against a large host whose calls to a plain service wait because it keeps to the slots of
/// an average host while it gets several times the callers.
#[test]
fn slots_of_a_plain_service_follow_the_callers() {
    let sent = |fraction| {
        let mut host = host_with(fraction);
        let plain_route = route(CallKind::NonIdempotent, 1);
        let calls = (0..20).map(|_| host.plain_call(plain_route.clone(), ms(2_000)).1);
        calls.filter(|effects| !sent_to(effects).is_empty()).count()
    };
    // A quarter of 24 slots and the usual variation; some of the calls queue at the targets.
    assert!(
        (6..=10).contains(&sent(0.25)),
        "6 to 10 calls expected, {} sent",
        sent(0.25)
    );
    // Calls arrive at random: where 1.9 calls run on average, three often run at once.
    assert_eq!(sent(0.065), 3);
    assert_eq!(sent(0.01), 1);
}

/// Guards against retries that a large host may not make while small hosts do not use theirs.
#[test]
fn retries_follow_the_callers() {
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

/// Guards against a host that takes the retries of hosts which are leaving, and which may have just used
/// them.
#[test]
fn leaving_hosts_keep_their_part_of_the_retries() {
    let mut hosts = table(&[500, 500, 500]);
    for number in [2, 3] {
        hosts.receive_heartbeat(&host_record(number, 500), true, ms(200));
    }
    let share = hosts.share(ms(300));
    assert_eq!(share.hosts, 1);
    assert!((share.known_fraction - 1.0 / 3.0).abs() < 1e-9, "{share:?}");
}

/// Guards against hosts whose fractions of the callers add up to more than all callers.
#[test]
fn fractions_of_all_hosts_add_up_to_one() {
    let sizes = [500, 500, 120, 120, 120];
    let fractions = (0..sizes.len()).map(|own| {
        let mut sizes = sizes;
        sizes.swap(0, own);
        table(&sizes).share(ms(100)).fraction
    });
    let sum: f64 = fractions.sum();
    assert!((sum - 1.0).abs() < 1e-9, "sum of the fractions: {sum}");
}

/// Guards against a small host that does the work for its failure domain although a larger one is
/// live.
#[test]
fn strongest_host_reads_for_its_domain() {
    let mut small = table(&[120, 500]);
    assert!(!small.is_list_reader(ms(100)));
    assert!(small.has_stronger(ms(100)));
    small.receive_heartbeat(&host_record(2, 500), true, ms(200));
    assert!(
        small.is_list_reader(ms(300)),
        "the small host does not read although the larger one is leaving"
    );
    assert!(!small.has_stronger(ms(300)));
    let large = table(&[500, 120]);
    assert!(large.is_list_reader(ms(100)));
    assert!(!large.has_stronger(ms(100)));
}
