//! How often the hosts of a failure domain poll the target list, at every size and while the reader
//! or the store fails.

mod common;

use common::ms;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_serving::prelude::*;
use crocusyard_serving::relay::RELAY_REPEAT_DELAY;
use rand::Rng;

/// Hosts of one failure domain: of the small, grown and large sites, and twice the planned size.
const SIZES: [usize; 4] = [3, 25, 39, 72];
/// Fraction of the relayed messages that are lost.
const LOSS: f64 = 0.1;
/// Time for an answer of the store, and for a relayed message after it.
const ANSWER_TIME: ClockTime = ClockTime::from_ms(5);
/// Length of a simulation.
const TIME_SPAN: ClockTime = ClockTime::from_ms(20_000);

/// What the hosts of a failure domain did in a simulation.
struct DomainRun {
    /// Polls of all hosts.
    polls: usize,
    /// Reads of the configuration that the polls led to.
    configuration_reads: usize,
    /// Highest age of the list at any host that can reach the store.
    oldest: ClockTime,
}

/// Lets hosts follow the target list. `reaches_store` tells whether a host gets answers at a time,
/// and `is_live` which hosts take part.
fn run_domain(
    size: usize,
    is_live: impl Fn(usize) -> bool,
    reaches_store: impl Fn(usize, ClockTime) -> bool,
) -> DomainRun {
    let mut rng = seeded_rng(size as u64);
    let mut lists = vec![ListFollower::default(); size];
    let mut read_at = vec![ms(0); size];
    for list in &mut lists {
        list.start_poll(ms(0));
        list.finish_poll(10, ms(0), true);
    }
    let mut next_check: Vec<ClockTime> = (0..size).map(|_| ms(rng.random_range(0..100))).collect();
    let mut version = 10;
    let (mut polls, mut configuration_reads, mut oldest) = (0, 0, ms(0));
    // Relayed changes on their way: arrival, sender, versions and the time of the poll.
    let mut relays: Vec<(ClockTime, usize, u64, u64, ClockTime)> = Vec::new();
    for step in 0..TIME_SPAN.as_ms() {
        let now = ms(step);
        let (due, later) = relays.into_iter().partition(|relay| relay.0 <= now);
        relays = later;
        for (_, sender, after, reached, sent) in due {
            for host in (0..size).filter(|host| *host != sender && is_live(*host)) {
                let lost = rng.random::<f64>() < LOSS;
                if !lost && lists[host].accept_relayed(after, reached, sent) {
                    read_at[host] = read_at[host].max(sent);
                    next_check[host] = now + lists[host].check_pause(ReaderRank(host), now);
                }
            }
        }
        for host in (0..size).filter(|host| is_live(*host)) {
            let rank = ReaderRank((0..host).filter(|other| is_live(*other)).count());
            if now < next_check[host] {
                continue;
            }
            if lists[host].should_poll(rank, now) {
                polls += 1;
                lists[host].start_poll(now);
                if rank.reads_configuration(reaches_store(host, now)) {
                    configuration_reads += 1;
                }
                if reaches_store(host, now) {
                    let after = lists[host].version().unwrap_or(0);
                    version += 1;
                    lists[host].finish_poll(version, now, true);
                    read_at[host] = now;
                    let arrival = now + ANSWER_TIME;
                    relays.push((arrival, host, after, version, now));
                    relays.push((arrival + RELAY_REPEAT_DELAY, host, after, version, now));
                } else {
                    lists[host].fail_poll();
                }
            }
            next_check[host] = now + lists[host].check_pause(rank, now);
        }
        for host in (0..size).filter(|host| is_live(*host) && reaches_store(*host, now)) {
            oldest = oldest.max(now.since(read_at[host]));
        }
    }
    DomainRun {
        polls,
        configuration_reads,
        oldest,
    }
}

/// Guards against polls whose number grows with the hosts of a failure domain. The reader polls
/// 33 times; with lost messages, others poll now and then.
#[test]
fn polls_of_a_domain_hardly_grow_with_its_hosts() {
    for size in SIZES {
        let run = run_domain(size, |_| true, |_, _| true);
        assert!(
            run.polls <= 33 + size,
            "{} polls by {size} hosts",
            run.polls
        );
        assert!(run.oldest <= ms(1_100), "{} at {size} hosts", run.oldest);
    }
}

/// Guards against a failure domain in which all hosts poll because those that are first in line are
/// dead, and against one in which none does.
#[test]
fn next_in_line_reads_for_the_domain() {
    for size in SIZES {
        // The dead hosts are still believed to be live, so that all others keep their ranks.
        let dead = 2;
        let run = run_domain(size, |_| true, |host, _| host >= dead);
        assert!(
            run.polls <= 33 * (dead + 2) + 2 * size,
            "{} polls by {size} hosts",
            run.polls
        );
        assert!(run.oldest <= ms(1_300), "{} at {size} hosts", run.oldest);
    }
}

/// Guards against a storm of polls from all hosts in an outage of the store, and against hosts that
/// learn too late that it is over.
#[test]
fn outage_of_the_store_causes_no_storm() {
    const OUTAGE: (u64, u64) = (4_000, 12_000);
    for size in SIZES {
        let is_up = |_: usize, now: ClockTime| now < ms(OUTAGE.0) || now >= ms(OUTAGE.1);
        let run = run_domain(size, |_| true, is_up);
        // Four hosts poll every 600 ms, the others every 2.4 s.
        let limit = 33 + 4 * 14 + size * 6;
        assert!(run.polls <= limit, "{} polls by {size} hosts", run.polls);
        // After the outage each host may have missed a new configuration.
        let reads = run.configuration_reads;
        assert!(
            reads <= 2 * size,
            "{reads} reads of the configuration by {size} hosts"
        );
    }
}

/// Guards against a failure domain that hears of no changes of the hosts while its reader holds the
/// lease, and against reads by every host.
#[test]
fn holder_reads_the_hosts_for_its_domain_if_it_is_the_reader() {
    let (short, usual) = (ms(3_000), ms(15_000));
    assert_eq!(HostsRead::next(short, true, true), Some(HostsRead::Domain));
    assert_eq!(HostsRead::next(short, false, true), Some(HostsRead::Own));
    assert_eq!(HostsRead::next(short, true, false), None);
    assert_eq!(HostsRead::next(usual, true, false), Some(HostsRead::Domain));
    assert_eq!(HostsRead::next(usual, false, false), None);
    let long = HostsRead::next(ms(120_000), false, false);
    assert_eq!(long, Some(HostsRead::Own));
}
