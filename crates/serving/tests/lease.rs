//! The lease, which lets only one host at a time give orders to engines.

mod common;

use common::ms;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Shortest time between the orders of two holders.
const LEASE_TIME: ClockTime = ClockTime::from_ms(3_000);
/// Time for which a host finds no row before it writes the first one.
const FIRST_WRITE_DELAY: ClockTime = ClockTime::from_ms(1_000);

fn host(name: &str) -> HostName {
    HostName::new(name)
}

/// A host that has read the rows of the hosts up to version 5, and has had one of its own since
/// version 4.
fn lease_of(name: &str, now: ClockTime) -> LeaseState {
    let owner = LeaseOwner {
        host: host(name),
        process: 1,
    };
    let mut lease = LeaseState::new(owner, LEASE_TIME, now);
    lease.record_hosts_read(5);
    lease.record_listed(4);
    lease
}

/// A row as earlier versions write it.
fn old_row(holder: &str, released: bool) -> LeaseRow {
    LeaseRow {
        holder: host(holder),
        released,
        process: None,
        hosts_version: None,
    }
}

/// A host that has taken the lease with version 10 at `now`.
fn holder_at(now: ClockTime) -> LeaseState {
    let mut lease = lease_of("a", now);
    lease.receive_row(None, now.since(FIRST_WRITE_DELAY));
    assert_eq!(lease.step(now), LeaseStep::Write { expected: 0 });
    lease.write_succeeded(10, now, now);
    lease
}

/// Guards against orders of a holder that was frozen or cut off after its last renewal expired.
#[test]
fn holder_without_confirmation_gives_no_orders() {
    let lease = holder_at(ms(1_000));
    assert!(lease.order_fence(&[host("b")], ms(2_000)).is_some());
    assert!(lease.order_fence(&[host("b")], ms(2_600)).is_none());
}

/// Guards against orders of two holders within the lease time: the next holder waits until the last
/// order of the former one is older than the lease time.
#[test]
fn next_holder_waits_for_the_last_order_of_the_former() {
    let former = holder_at(ms(1_000));
    let mut next = lease_of("own", ms(1_000));
    next.receive_report(
        &host("a"),
        &LeaseReport::Holds {
            version: 10,
            stamp: ms(0),
        },
        ms(1_000),
    );
    let mut last_order = ms(0);
    let mut taken = ms(0);
    for step in 10..200 {
        let now = ms(step * 100);
        if former.order_fence(&[host("b")], now).is_some() {
            last_order = now;
        }
        match next.step(now) {
            LeaseStep::Write { expected } => {
                assert_eq!(expected, 10);
                taken = now;
                break;
            }
            LeaseStep::Read => {
                let row = old_row("a", false);
                next.receive_row(Some((row, 10)), now);
            }
            LeaseStep::Wait => {}
        }
    }
    assert!(
        taken.since(last_order) >= LEASE_TIME,
        "last order at {last_order}, lease taken at {taken}"
    );
    assert!(
        taken < ms(8_000),
        "lease taken only at {taken}, expected within 8 s"
    );
}

/// Guards against a pause of all orders while the store is unavailable although every host receives
/// the heartbeats of the holder.
#[test]
fn holder_goes_on_without_the_store_while_all_acknowledge_it() {
    let mut lease = holder_at(ms(1_000));
    let others = [host("b"), host("c")];
    let acknowledged = |stamp| LeaseReport::Acknowledged { version: 10, stamp };
    lease.receive_report(&host("b"), &acknowledged(ms(8_900)), ms(9_000));
    lease.receive_report(&host("c"), &acknowledged(ms(8_800)), ms(9_000));
    assert!(lease.order_fence(&others, ms(9_100)).is_some());
    lease.write_failed(&others, ms(9_100));
    assert!(lease.is_holder());
    // A host without a recent heartbeat of the holder could take the lease over.
    assert!(lease.order_fence(&others, ms(10_350)).is_none());
    lease.receive_report(&host("b"), &acknowledged(ms(10_400)), ms(10_400));
    assert!(lease.order_fence(&others, ms(10_400)).is_none());
}

/// Guards against a holder that relies on acknowledgements that are old or belong to another
/// version.
#[test]
fn old_acknowledgements_do_not_confirm_the_holder() {
    let mut lease = holder_at(ms(1_000));
    let others = [host("b")];
    let report = LeaseReport::Acknowledged {
        version: 10,
        stamp: ms(7_000),
    };
    lease.receive_report(&host("b"), &report, ms(9_000));
    assert!(lease.order_fence(&others, ms(9_000)).is_none());
    let report = LeaseReport::Acknowledged {
        version: 9,
        stamp: ms(9_000),
    };
    lease.receive_report(&host("b"), &report, ms(9_000));
    assert!(lease.order_fence(&others, ms(9_000)).is_none());
}

/// Guards against a take-over while the holder still gives orders without the store.
#[test]
fn host_that_receives_heartbeats_does_not_take_over() {
    let mut lease = lease_of("own", ms(0));
    for step in 0..100 {
        let now = ms(step * 250);
        lease.receive_report(
            &host("a"),
            &LeaseReport::Holds {
                version: 10,
                stamp: ms(0),
            },
            now,
        );
        assert_eq!(
            lease.step(now),
            LeaseStep::Wait,
            "the host does not wait at {now}"
        );
    }
}

/// Guards against a long pause of orders when the holder stops as planned and releases the lease.
#[test]
fn released_lease_is_taken_after_the_lease_time() {
    let mut lease = lease_of("own", ms(0));
    lease.receive_report(
        &host("a"),
        &LeaseReport::Holds {
            version: 10,
            stamp: ms(0),
        },
        ms(1_000),
    );
    lease.receive_report(
        &host("a"),
        &LeaseReport::Released { version: 11 },
        ms(1_100),
    );
    assert!(matches!(
        lease.step(ms(3_900)),
        LeaseStep::Wait | LeaseStep::Read
    ));
    assert_eq!(lease.step(ms(4_500)), LeaseStep::Write { expected: 11 });
}

/// Time of the first write of a host that reads the row at each read step; the store answers from
/// `up` on.
fn first_write(
    lease: &mut LeaseState,
    row: Option<&str>,
    version: u64,
    up: ClockTime,
) -> ClockTime {
    for step in 0..300 {
        let now = ms(step * 100);
        match lease.step(now) {
            LeaseStep::Write { expected } if now >= up => {
                assert_eq!(expected, version);
                return now;
            }
            LeaseStep::Read if now >= up => {
                let row = row.map(|holder| old_row(holder, false));
                lease.receive_row(row.map(|row| (row, version)), now);
            }
            LeaseStep::Write { .. } => lease.write_failed(&[], now),
            LeaseStep::Read | LeaseStep::Wait => {}
        }
    }
    panic!("the host did not write the row within 30 s");
}

/// Guards against a new system in which the first host that reads the empty table takes the lease:
/// the smallest host could then have to plan for all engines.
#[test]
fn stronger_host_takes_the_first_lease() {
    let first_write_at = |yields| {
        let mut lease = lease_of("own", ms(0));
        lease.yield_to_stronger(yields);
        first_write(&mut lease, None, 0, ms(0))
    };
    assert!(
        first_write_at(false) >= FIRST_WRITE_DELAY
            && first_write_at(false) <= FIRST_WRITE_DELAY + ms(200)
    );
    assert!(
        first_write_at(true) >= first_write_at(false) + ms(800),
        "the stronger host must have time to repeat a lost write"
    );
    assert!(
        first_write_at(true) <= first_write_at(false) + ms(2_500),
        "the stronger host may be gone"
    );
}

/// Guards against a small host that takes the lease over before a stronger one does, also after an
/// outage of the store that is longer than a take-over.
#[test]
fn stronger_host_takes_the_lease_over() {
    for up in [ms(0), ms(12_000)] {
        let take_over = |yields| {
            let mut lease = lease_of("own", ms(0));
            let report = LeaseReport::Holds {
                version: 10,
                stamp: ms(0),
            };
            lease.receive_report(&host("a"), &report, ms(0));
            lease.yield_to_stronger(yields);
            first_write(&mut lease, Some("a"), 10, up)
        };
        assert!(take_over(false) <= up.max(ms(4_800)) + ms(800));
        assert!(
            take_over(true) >= take_over(false) + ms(800),
            "too early, store up at {up}"
        );
        assert!(
            take_over(true) <= take_over(false) + ms(2_500),
            "too late, store up at {up}"
        );
    }
}

/// Guards against a pause of all orders in an outage of the store with many hosts: the
/// acknowledgements in their heartbeats are older than the holder may rely on.
#[test]
fn holder_of_many_hosts_goes_on_without_the_store() {
    let names: Vec<HostName> = (0..65).map(|number| host(&format!("h{number}"))).collect();
    let mut holder = holder_at(ms(1_000));
    let mut others: Vec<LeaseState> = names.iter().map(|_| lease_of("own", ms(1_000))).collect();
    for step in 0..40 {
        let now = ms(1_000 + step * 250);
        assert!(
            holder.order_fence(&names, now).is_some(),
            "no orders allowed at {now}"
        );
        if let Some(report) = holder.confirmation_request(&names, now) {
            for (number, other) in others.iter_mut().enumerate() {
                // Each host misses every fourth request.
                if (number as u64 + step) % 4 == 0 {
                    continue;
                }
                other.receive_report(&host("a"), &report, now + ms(2));
                let answer = other
                    .report(&[], now + ms(2))
                    .expect("the host acknowledges the holder's report");
                holder.receive_report(&names[number], &answer, now + ms(4));
            }
        }
        if step % 4 == 0 {
            holder.write_failed(&names, now + ms(10));
        }
    }
    assert_eq!(
        holder_at(ms(1_000)).confirmation_request(&names, ms(1_700)),
        None,
        "confirmation requested although the store has just confirmed the holder"
    );
}

/// Guards against a holder that goes on after another host has taken the lease.
#[test]
fn conflict_ends_the_lease() {
    let mut lease = holder_at(ms(1_000));
    let row = old_row("b", false);
    lease.receive_row(Some((row, 12)), ms(1_700));
    assert!(!lease.is_holder());
    assert!(lease.order_fence(&[], ms(1_700)).is_none());
}

/// Guards against a lower fencing number after a higher one when orders of one holder overtake each
/// other.
#[test]
fn renewals_keep_the_fencing_number() {
    let mut lease = holder_at(ms(1_000));
    let fence = lease.order_fence(&[], ms(1_000));
    lease.write_succeeded(25, ms(1_700), ms(1_710));
    assert_eq!(lease.order_fence(&[], ms(1_710)), fence);
    assert_eq!(fence, Some(FencingNumber(10)));
    // When this host takes the lease again, its number is higher than that of the holder in
    // between.
    let row = old_row("b", false);
    lease.receive_row(Some((row, 30)), ms(2_000));
    lease.write_succeeded(40, ms(9_000), ms(9_010));
    assert_eq!(lease.order_fence(&[], ms(9_010)), Some(FencingNumber(40)));
}

/// Guards against a holder that was frozen and then reads heartbeats that arrived in the meantime.
/// They were sent early in the freeze and acknowledge what was then the newest heartbeat of the
/// holder.
#[test]
fn acknowledgements_read_after_a_freeze_do_not_confirm_the_holder() {
    let mut holder = holder_at(ms(1_000));
    let mut other = lease_of("own", ms(1_000));
    let report = holder
        .report(&[host("b")], ms(1_000))
        .expect("the holder reports that it holds the lease");
    other.receive_report(&host("a"), &report, ms(1_001));
    let answer = other
        .report(&[host("a")], ms(1_250))
        .expect("the host acknowledges the holder's report");
    // The holder is frozen from here on and reads the answer when it wakes.
    holder.receive_report(&host("b"), &answer, ms(8_000));
    assert!(holder.order_fence(&[host("b")], ms(8_000)).is_none());
    assert_eq!(
        holder.report(&[host("b")], ms(8_000)),
        None,
        "a holder that may not give orders must report nothing"
    );
}

/// Guards against a read that is answered late and puts an older row in place of the one that the
/// holder has reported: the host would acknowledge the wrong version and report to the wrong host.
#[test]
fn late_read_of_an_older_row_is_ignored() {
    let mut lease = lease_of("own", ms(0));
    let report = LeaseReport::Holds {
        version: 12,
        stamp: ms(900),
    };
    lease.receive_report(&host("b"), &report, ms(1_000));
    let row = |holder: &str| old_row(holder, true);
    lease.receive_row(Some((row("a"), 10)), ms(1_100));
    assert_eq!(lease.holder(), Some(&host("b")));
    assert_eq!(lease.version(), Some(12));
    let acknowledged = LeaseReport::Acknowledged {
        version: 12,
        stamp: ms(900),
    };
    assert_eq!(lease.report(&[], ms(1_200)), Some(acknowledged));
    lease.receive_row(Some((row("c"), 13)), ms(1_300));
    assert_eq!(lease.holder(), Some(&host("c")));
}

/// Guards against a dead holder that is kept alive by reports which other hosts pass on to each
/// other, and against a live one that is only heard of through others.
#[test]
fn only_newer_news_of_the_holder_count() {
    let mut lease = lease_of("own", ms(0));
    let news = |version, stamp| HolderNews {
        holder: host("a"),
        version,
        stamp: ms(stamp),
    };
    for step in 0..20 {
        lease.receive_holder_news(&news(10, 1_000 + step * 700), ms(step * 700));
        assert_eq!(lease.step(ms(step * 700)), LeaseStep::Wait, "step {step}");
    }
    assert_eq!(lease.holder(), Some(&host("a")));
    let heard = lease.holder_news(&[], ms(13_400));
    assert_eq!(heard, Some(news(10, 14_300)));
    let taken = (134..250).map(|step| ms(step * 100)).find(|now| {
        lease.receive_holder_news(&news(10, 14_300), *now);
        match lease.step(*now) {
            LeaseStep::Write { .. } => true,
            LeaseStep::Read => {
                let row = old_row("a", false);
                lease.receive_row(Some((row, 10)), *now);
                false
            }
            LeaseStep::Wait => false,
        }
    });
    let taken = taken.expect("old news kept the holder alive");
    assert!(taken >= ms(13_300) + LEASE_TIME, "taken at {taken}");
    assert_eq!(lease.holder_news(&[], taken), None);
}

/// Guards against a new holder whose reports are taken for old ones, because its clock is behind
/// that of the former holder.
#[test]
fn stamps_of_two_holders_are_not_compared() {
    let mut lease = lease_of("own", ms(0));
    let news = |holder: &str, version, stamp| HolderNews {
        holder: host(holder),
        version,
        stamp: ms(stamp),
    };
    lease.receive_holder_news(&news("a", 10, 900_000), ms(0));
    let row = old_row("b", false);
    lease.receive_row(Some((row, 20)), ms(5_000));
    lease.receive_holder_news(&news("b", 20, 1_000), ms(5_500));
    lease.receive_holder_news(&news("b", 20, 2_000), ms(6_500));
    let report = lease.report(&[], ms(6_500));
    let expected = LeaseReport::Acknowledged {
        version: 20,
        stamp: ms(2_000),
    };
    assert_eq!(report, Some(expected));
}

/// Guards against reads of the lease row whose number grows with the hosts: where hosts are many,
/// heartbeats of the holder are up to 2 s apart.
#[test]
fn hosts_that_hear_of_the_holder_do_not_read_the_row() {
    for yields in [false, true] {
        let mut lease = lease_of("own", ms(0));
        lease.yield_to_stronger(yields);
        let report = |stamp| LeaseReport::Holds { version: 10, stamp };
        lease.receive_report(&host("a"), &report(ms(0)), ms(100));
        for step in 1..300 {
            let now = ms(100 + step * 100);
            if step % 21 == 0 {
                lease.receive_report(&host("a"), &report(now), now);
            }
            assert_eq!(lease.step(now), LeaseStep::Wait, "at {now}");
        }
    }
}

/// Reads of a host that saw the holder last at 1 s, while the store is away from `outage.0` to
/// `outage.1`, and when the host takes the lease.
fn take_over_after_outage(yields: bool, outage: (u64, u64)) -> (usize, ClockTime) {
    let mut lease = lease_of("own", ms(0));
    lease.yield_to_stronger(yields);
    let report = LeaseReport::Holds {
        version: 10,
        stamp: ms(0),
    };
    lease.receive_report(&host("a"), &report, ms(1_000));
    let mut failed_reads = 0;
    for step in 10..300 {
        let now = ms(step * 100);
        let is_up = now < ms(outage.0) || now >= ms(outage.1);
        match lease.step(now) {
            LeaseStep::Read if is_up => {
                let row = old_row("a", false);
                lease.receive_row(Some((row, 10)), now);
            }
            LeaseStep::Read => {
                lease.read_failed();
                failed_reads += 1;
            }
            LeaseStep::Write { .. } if is_up => return (failed_reads, now),
            LeaseStep::Write { .. } => lease.write_failed(&[host("a")], now),
            LeaseStep::Wait => {}
        }
    }
    panic!("the lease was not taken");
}

/// Guards against reads of the row by each of many hosts at a short interval while the store is
/// away, and against a lease that is taken late after it.
#[test]
fn outage_of_the_store_causes_few_reads_of_weaker_hosts() {
    let (reads, taken) = take_over_after_outage(true, (2_000, 16_000));
    assert!(reads <= 6, "{reads} reads in 14 s");
    assert!(taken <= ms(21_000), "lease taken at {taken}");
    let (_, taken) = take_over_after_outage(false, (2_000, 16_000));
    assert!(taken <= ms(17_000), "lease taken at {taken}");
}

/// Record of another host in the same failure domain.
fn record(name: &str, port: u16) -> HostRecord {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    HostRecord {
        name: host(name),
        domain: DomainName::new("d"),
        entry: address,
        peer: address,
        millicores: 250,
    }
}

/// Guards against two holders at a time: a holder that is cut off from the store and from a host
/// that restarts must not take the host's last notice, that it leaves, for a lasting
/// acknowledgement. The next process of that host may take the lease.
#[test]
fn holder_does_not_outlive_the_acknowledgement_of_a_leaving_host() {
    let mut hosts = HostTable::new(record("a", 7_001));
    hosts.receive_heartbeat(&record("b", 7_002), false, ms(1_000));
    let mut holder = holder_at(ms(1_000));
    // The last heartbeat of the stopping process; the link is cut after it.
    let acknowledged = LeaseReport::Acknowledged {
        version: 10,
        stamp: ms(2_000),
    };
    hosts.receive_heartbeat(&record("b", 7_002), true, ms(2_000));
    holder.receive_report(&host("b"), &acknowledged, ms(2_000));
    // A host that the holder still reaches goes on acknowledging.
    let reachable = record("c", 7_003);
    hosts.receive_heartbeat(&reachable, false, ms(3_300));
    let acknowledged = LeaseReport::Acknowledged {
        version: 10,
        stamp: ms(3_300),
    };
    holder.receive_report(&reachable.name, &acknowledged, ms(3_300));
    let can_order = |at| holder.order_fence(&hosts.other_names(), at).is_some();
    assert!(can_order(ms(3_400)));
    // A process that starts at 2,000 may take the lease at 6,800, and the lease time is 3,000.
    assert!(
        !can_order(ms(3_800)),
        "the holder orders although the next process of b may soon hold the lease"
    );
}

/// A row that a process of `holder` has written, which had read the hosts' rows up to a version.
fn row_of(holder: &str, process: u64, hosts_version: u64) -> LeaseRow {
    LeaseRow {
        holder: host(holder),
        released: false,
        process: Some(process),
        hosts_version: Some(hosts_version),
    }
}

/// When a host takes the lease that reads a row with version 10 at each read step, the first one at
/// 0; `None` if it does not within `limit`.
fn take_over_of(lease: &mut LeaseState, row: &LeaseRow, limit: ClockTime) -> Option<ClockTime> {
    (0..limit.as_ms() / 100)
        .map(|step| ms(step * 100))
        .find(|now| match lease.step(*now) {
            LeaseStep::Write { .. } => true,
            LeaseStep::Read => {
                lease.receive_row(Some((row.clone(), 10)), *now);
                false
            }
            LeaseStep::Wait => false,
        })
}

/// Guards against two holders at a time: a holder that the store does not confirm asks the hosts that
/// it knows, and a host that was added meanwhile and that cannot reach them must not take the lease.
#[test]
fn host_unknown_to_the_holder_waits_for_the_end_of_its_term() {
    let wait = ms(4_800);
    let limit = ClockTime::from_secs(400);
    let take_over = |row: &LeaseRow| take_over_of(&mut lease_of("own", ms(0)), row, limit);
    let late = take_over(&row_of("a", 7, 3)).expect("the lease is never taken");
    assert!(late >= ClockTime::from_secs(300) + LEASE_TIME, "{late}");
    let known = take_over(&row_of("a", 7, 4)).expect("the lease is never taken");
    assert!(known >= wait && known <= wait + ms(800), "{known}");
    // The process that held the lease under the own name has ended.
    let own = take_over(&row_of("own", 7, 3)).expect("the lease is never taken");
    assert!(own >= wait && own <= wait + ms(800), "{own}");
    // A released lease has no holder that could rely on others.
    let mut row = row_of("a", 7, 3);
    row.released = true;
    let released = take_over(&row).expect("the lease is never taken");
    assert!(released >= LEASE_TIME && released <= wait, "{released}");
}

/// Guards against a host that takes the lease before it has read which hosts there are: it would
/// state that it knows none, so that none could take the lease over soon.
#[test]
fn host_takes_no_lease_before_it_has_read_the_hosts() {
    let owner = LeaseOwner {
        host: host("own"),
        process: 1,
    };
    let mut lease = LeaseState::new(owner, LEASE_TIME, ms(0));
    let row = old_row("a", false);
    let limit = ClockTime::from_secs(20);
    assert_eq!(take_over_of(&mut lease, &row, limit), None);
    lease.record_hosts_read(5);
    assert_eq!(lease.step(limit), LeaseStep::Write { expected: 10 });
    assert_eq!(lease.own_row(false).hosts_version, Some(5));
}

/// Guards against a holder that goes on without the store for longer than a host waits that it does
/// not know.
#[test]
fn term_without_the_store_ends_though_all_acknowledge_it() {
    let mut lease = holder_at(ms(1_000));
    let others = [host("b")];
    let mut can_order_at = |at: ClockTime| {
        let report = LeaseReport::Acknowledged {
            version: 10,
            stamp: at,
        };
        lease.receive_report(&host("b"), &report, at);
        lease.order_fence(&others, at).is_some()
    };
    assert!(can_order_at(ms(1_000) + ClockTime::from_secs(299)));
    assert!(!can_order_at(ms(1_000) + ClockTime::from_secs(300)));
}

/// Guards against orders beside those of the next holder: a release may be carried out although it
/// has no answer.
#[test]
fn no_orders_follow_a_release_that_was_sent() {
    let mut lease = holder_at(ms(1_000));
    let others = [host("b")];
    lease.begin_release();
    assert_eq!(lease.release_expected(), Some(10));
    let report = LeaseReport::Acknowledged {
        version: 10,
        stamp: ms(1_100),
    };
    lease.receive_report(&host("b"), &report, ms(1_100));
    assert_eq!(lease.order_fence(&others, ms(1_200)), None);
    assert_eq!(lease.report(&others, ms(1_200)), None);
    // The repeated release finds that the first one was carried out.
    let mut row = lease.own_row(true);
    row.hosts_version = None;
    lease.receive_row(Some((row, 11)), ms(1_500));
    assert_eq!(
        lease.report(&others, ms(1_500)),
        Some(LeaseReport::Released { version: 11 })
    );
    assert_eq!(lease.release_expected(), None);
}

/// Guards against orders of a process that stops while its write to take the lease has no answer yet.
#[test]
fn stopping_host_that_takes_the_lease_gives_no_orders() {
    let mut lease = lease_of("own", ms(0));
    lease.receive_row(Some((old_row("a", true), 10)), ms(0));
    assert_eq!(lease.step(ms(4_000)), LeaseStep::Write { expected: 10 });
    lease.begin_release();
    assert_eq!(lease.release_expected(), None);
    lease.write_succeeded(11, ms(4_000), ms(4_300));
    assert_eq!(lease.order_fence(&[], ms(4_300)), None);
    assert_eq!(lease.release_expected(), Some(11));
}

/// Guards against a holder without the store that does not heed the reports of the next one.
#[test]
fn holder_that_hears_of_a_newer_one_loses_the_lease() {
    let mut lease = holder_at(ms(1_000));
    let report = |version| LeaseReport::Holds {
        version,
        stamp: ms(500),
    };
    lease.receive_report(&host("b"), &report(9), ms(1_100));
    assert!(lease.is_holder(), "the report of a former holder counts");
    lease.receive_report(&host("b"), &report(12), ms(1_200));
    assert!(!lease.is_holder());
    assert_eq!(lease.order_fence(&[host("b")], ms(1_200)), None);
    assert_eq!(lease.holder(), Some(&host("b")));
}

/// Guards against a pause of all orders after a renewal that was carried out without an answer: the
/// next one found another version and took it for that of another holder.
#[test]
fn renewal_without_an_answer_does_not_end_the_lease() {
    let mut lease = holder_at(ms(1_000));
    let fence = lease.order_fence(&[], ms(1_000));
    assert_eq!(lease.step(ms(1_700)), LeaseStep::Write { expected: 10 });
    lease.write_failed(&[], ms(1_750));
    assert_eq!(lease.step(ms(2_400)), LeaseStep::Write { expected: 10 });
    lease.receive_row(Some((lease.own_row(false), 11)), ms(2_410));
    assert_eq!(lease.order_fence(&[], ms(2_410)), fence);
    assert_eq!(lease.step(ms(2_420)), LeaseStep::Write { expected: 11 });
    // Only a renewal confirms the holder: for the others, the time until a take-over counts from the
    // first one.
    assert_eq!(lease.order_fence(&[], ms(2_500)), None);
    lease.write_succeeded(12, ms(2_420), ms(2_500));
    assert_eq!(lease.order_fence(&[], ms(2_500)), fence);
}

/// Guards against a second wait before a take-over whose write was carried out without an answer, and
/// against one that is continued although the former holder was heard meanwhile.
#[test]
fn take_over_without_an_answer_is_continued() {
    let report = |version| LeaseReport::Holds {
        version,
        stamp: ms(9),
    };
    for is_heard in [false, true] {
        let mut lease = lease_of("own", ms(0));
        lease.receive_row(Some((old_row("a", false), 10)), ms(0));
        assert_eq!(lease.step(ms(5_000)), LeaseStep::Write { expected: 10 });
        lease.write_failed(&[host("a")], ms(5_800));
        if is_heard {
            lease.receive_report(&host("a"), &report(10), ms(5_900));
        }
        lease.receive_row(Some((lease.own_row(false), 11)), ms(6_000));
        assert!(!lease.is_holder());
        let step = lease.step(ms(6_100));
        if is_heard {
            assert_eq!(step, LeaseStep::Wait);
        } else {
            assert_eq!(step, LeaseStep::Write { expected: 11 });
            lease.write_succeeded(12, ms(6_100), ms(6_110));
            assert_eq!(lease.order_fence(&[], ms(6_110)), Some(FencingNumber(12)));
        }
    }
}

/// Guards against a process that takes the row of the one before it for its own.
#[test]
fn row_of_a_former_process_is_not_continued() {
    let mut lease = lease_of("own", ms(0));
    lease.receive_row(Some((old_row("a", false), 10)), ms(0));
    assert_eq!(lease.step(ms(5_000)), LeaseStep::Write { expected: 10 });
    lease.receive_row(Some((row_of("own", 7, 5), 11)), ms(5_010));
    assert!(!matches!(lease.step(ms(5_800)), LeaseStep::Write { .. }));
}
