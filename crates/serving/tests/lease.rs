//! The lease of the moves: one host gives orders at a time.

mod common;

use common::ms;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

const LEASE: ClockTime = ClockTime::from_ms(3_000);
/// Time for which hosts that start together wait before one writes the first row.
const FIRST_WAIT: ClockTime = ClockTime::from_ms(1_000);

fn host(name: &str) -> HostName {
    HostName::new(name)
}

fn holder_at(now: ClockTime) -> LeaseState {
    let mut lease = LeaseState::new(LEASE, now);
    lease.receive_row(None, now.since(FIRST_WAIT));
    assert_eq!(lease.step(now), LeaseStep::Write { expected: 0 });
    lease.write_succeeded(&host("a"), 10, now, now);
    lease
}

/// Guards against orders of a holder that was frozen or cut off for longer than its renewals last.
#[test]
fn holder_without_confirmation_gives_no_orders() {
    let lease = holder_at(ms(1_000));
    assert!(lease.order_fence(&[host("b")], ms(2_000)).is_some());
    assert!(lease.order_fence(&[host("b")], ms(2_600)).is_none());
}

/// Guards against two holders within the lease time: the next one waits until the last order of the
/// former one is older than that.
#[test]
fn next_holder_waits_for_the_last_order_of_the_former() {
    let former = holder_at(ms(1_000));
    let mut next = LeaseState::new(LEASE, ms(1_000));
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
                let row = LeaseRow {
                    holder: host("a"),
                    released: false,
                };
                next.receive_row(Some((row, 10)), now);
            }
            LeaseStep::Wait => {}
        }
    }
    assert!(taken.since(last_order) >= LEASE, "{last_order} to {taken}");
    assert!(taken < ms(8_000), "orders pause for seconds only: {taken}");
}

/// Guards against a pause of all orders while the store is away and every host hears the holder.
#[test]
fn holder_goes_on_without_the_store_while_all_hear_it() {
    let mut lease = holder_at(ms(1_000));
    let others = [host("b"), host("c")];
    let heard = |stamp| LeaseReport::Acknowledged { version: 10, stamp };
    lease.receive_report(&host("b"), &heard(ms(8_900)), ms(9_000));
    lease.receive_report(&host("c"), &heard(ms(8_800)), ms(9_000));
    assert!(lease.order_fence(&others, ms(9_100)).is_some());
    lease.write_failed(&others, ms(9_100));
    assert!(lease.is_holder());
    // One host that has not heard the holder could take the lease over.
    assert!(lease.order_fence(&others, ms(10_350)).is_none());
    lease.receive_report(&host("b"), &heard(ms(10_400)), ms(10_400));
    assert!(lease.order_fence(&others, ms(10_400)).is_none());
}

/// Guards against a holder that trusts hosts which heard it long ago or heard another version.
#[test]
fn old_words_do_not_confirm_the_holder() {
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
fn host_that_hears_the_holder_does_not_take_over() {
    let mut lease = LeaseState::new(LEASE, ms(0));
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
        assert_eq!(lease.step(now), LeaseStep::Wait, "at {now}");
    }
}

/// Guards against a long pause of orders when the holder is stopped as planned.
#[test]
fn released_lease_is_taken_after_the_lease_time() {
    let mut lease = LeaseState::new(LEASE, ms(0));
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

/// Time of the first write of a host that reads the row whenever it wants to, from `up` on.
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
                let row = row.map(|holder| LeaseRow {
                    holder: host(holder),
                    released: false,
                });
                lease.receive_row(row.map(|row| (row, version)), now);
            }
            LeaseStep::Write { .. } => lease.write_failed(&[], now),
            LeaseStep::Read | LeaseStep::Wait => {}
        }
    }
    panic!("never written");
}

/// Guards against a lease that goes to whichever host of a new system reads the empty table first:
/// the smallest one could have to plan for all engines.
#[test]
fn stronger_host_takes_the_first_lease() {
    let first = |yields| {
        let mut lease = LeaseState::new(LEASE, ms(0));
        lease.yield_to_stronger(yields);
        first_write(&mut lease, None, 0, ms(0))
    };
    assert!(first(false) >= FIRST_WAIT && first(false) <= FIRST_WAIT + ms(200));
    assert!(
        first(true) >= first(false) + ms(800),
        "a lost write of the stronger"
    );
    assert!(first(true) <= first(false) + ms(2_500), "it may be gone");
}

/// Guards against a small host that takes the lease over before a stronger one does, also when the
/// store was away for longer than the take-over takes.
#[test]
fn stronger_host_takes_the_lease_over() {
    for up in [ms(0), ms(12_000)] {
        let take_over = |yields| {
            let mut lease = LeaseState::new(LEASE, ms(0));
            let report = LeaseReport::Holds {
                version: 10,
                stamp: ms(0),
            };
            lease.receive_report(&host("a"), &report, ms(0));
            lease.yield_to_stronger(yields);
            first_write(&mut lease, Some("a"), 10, up)
        };
        assert!(take_over(false) <= up.max(ms(4_800)) + ms(800));
        assert!(take_over(true) >= take_over(false) + ms(800), "up at {up}");
        assert!(
            take_over(true) <= take_over(false) + ms(2_500),
            "up at {up}"
        );
    }
}

/// Guards against a pause of all orders in an outage of the store because there are many hosts: the
/// words in their beats are older than the holder may trust them.
#[test]
fn holder_of_many_hosts_goes_on_without_the_store() {
    let names: Vec<HostName> = (0..65).map(|number| host(&format!("h{number}"))).collect();
    let mut holder = holder_at(ms(1_000));
    let mut others: Vec<LeaseState> = names
        .iter()
        .map(|_| LeaseState::new(LEASE, ms(1_000)))
        .collect();
    for step in 0..40 {
        let now = ms(1_000 + step * 250);
        assert!(holder.order_fence(&names, now).is_some(), "at {now}");
        if let Some(report) = holder.confirmation_request(&names, now) {
            for (number, other) in others.iter_mut().enumerate() {
                // Each host misses every fourth question.
                if (number as u64 + step) % 4 == 0 {
                    continue;
                }
                other.receive_report(&host("a"), &report, now + ms(2));
                let answer = other.report(&[], now + ms(2)).expect("it heard the holder");
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
        "the store confirms it"
    );
}

/// Guards against a holder that does not notice that it was replaced.
#[test]
fn conflict_ends_the_lease() {
    let mut lease = holder_at(ms(1_000));
    let row = LeaseRow {
        holder: host("b"),
        released: false,
    };
    lease.receive_row(Some((row, 12)), ms(1_700));
    assert!(!lease.is_holder());
    assert!(lease.order_fence(&[], ms(1_700)).is_none());
}

/// Guards against a lower fencing number after a higher one, when orders of one holder overtake each
/// other on their way.
#[test]
fn renewals_keep_the_fencing_number() {
    let mut lease = holder_at(ms(1_000));
    let first = lease.order_fence(&[], ms(1_000));
    lease.write_succeeded(&host("a"), 25, ms(1_700), ms(1_710));
    assert_eq!(lease.order_fence(&[], ms(1_710)), first);
    assert_eq!(first, Some(FencingNumber(10)));
    // Taken again after another holder, it is higher than that one's.
    let row = LeaseRow {
        holder: host("b"),
        released: false,
    };
    lease.receive_row(Some((row, 30)), ms(2_000));
    lease.write_succeeded(&host("a"), 40, ms(9_000), ms(9_010));
    assert_eq!(lease.order_fence(&[], ms(9_010)), Some(FencingNumber(40)));
}

/// Guards against a holder that was frozen and then reads beats which came in meanwhile: they were
/// written early in the freeze and say that everyone has just heard it.
#[test]
fn words_read_after_a_freeze_do_not_confirm_the_holder() {
    let mut holder = holder_at(ms(1_000));
    let mut other = LeaseState::new(LEASE, ms(1_000));
    let report = holder
        .report(&[host("b")], ms(1_000))
        .expect("it holds the lease");
    other.receive_report(&host("a"), &report, ms(1_001));
    let answer = other
        .report(&[host("a")], ms(1_250))
        .expect("it heard the holder");
    // The holder is frozen from here on and reads the answer when it wakes.
    holder.receive_report(&host("b"), &answer, ms(8_000));
    assert!(holder.order_fence(&[host("b")], ms(8_000)).is_none());
    assert_eq!(
        holder.report(&[host("b")], ms(8_000)),
        None,
        "it keeps silent"
    );
}
