//! Address experiment: compares the policies by which callers choose an entry host. A caller keeps
//! its choice for the time to live of the answer.

use crate::table::{format_spread, print_table, run_jobs, spread_of, SeedSpread};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_routing::prelude::*;
use rand::Rng;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Simulated time of a run, milliseconds.
const RUN_MS: u64 = 120_000;
/// Time at which host 0 leaves, milliseconds.
const LEAVE_MS: u64 = 60_000;
/// Longest time to live of an answer, milliseconds; the shortest is half of it.
const TTL_MS: u64 = 10_000;
/// Lag after which the load of a host is known, milliseconds.
const LOAD_LAG_MS: u64 = 1_000;
/// Weight of the newest second in the smoothed load that the entry directory is given.
const LOAD_SMOOTHING: f64 = 0.2;
/// Capacity of a host, relative to the mean load of a host.
const HOST_CAPACITY: f64 = 2.0;
/// Points of a host on the consistent hashing ring.
const RING_POINTS: u64 = 100;
/// Mean rate of requests of one caller, requests a second.
const CALLER_RATE: f64 = 1.0;
/// Longest time after an earlier request for the same key at the same host that counts as affinity,
/// milliseconds.
const AFFINITY_MS: u64 = 10_000;

/// Size of a deployment, as far as callers are concerned.
#[derive(Clone, Copy, Debug)]
struct AddressSize {
    /// Name, as it is printed in reports.
    name: &'static str,
    /// Number of entry hosts.
    hosts: usize,
    /// Number of different keys in address queries.
    keys: usize,
    /// Number of callers, each of which uses one key.
    callers: usize,
    /// Number of failure domains.
    domains: usize,
}

/// Compared deployments: the two present ones and the planned one.
const SIZES: [AddressSize; 3] = [
    AddressSize {
        name: "burgos",
        hosts: 9,
        keys: 140,
        callers: 150,
        domains: 3,
    },
    AddressSize {
        name: "moldes",
        hosts: 9,
        keys: 90,
        callers: 100,
        domains: 3,
    },
    AddressSize {
        name: "planned",
        hosts: 360,
        keys: 1_900,
        callers: 2_400,
        domains: 10,
    },
];

/// A policy for the host that a caller is sent to.
#[derive(Clone, Debug)]
pub enum AddressPolicy {
    /// A random live host.
    Random,
    /// The host that follows the key on a consistent hashing ring.
    Ring,
    /// The host with the least load, as it is known one second late.
    LeastLoaded,
    /// The entry directory with this tuning, which ranks hosts by rendezvous hashing.
    Rendezvous(AddressTuning),
}

/// Results of one run; see [`AddressSummary`].
#[derive(Clone, Copy, Debug, Serialize)]
struct AddressFigures {
    affinity: f64,
    busiest: f64,
    burst: f64,
    moved: f64,
}

/// Results of one policy in one deployment over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct AddressSummary {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Requests whose host received a request for the same key a short time before, percent.
    pub affinity: SeedSpread,
    /// Requests of the busiest host relative to the mean host, over the whole run.
    pub busiest: SeedSpread,
    /// Requests of the busiest host of a second relative to the mean host, 99th percentile over
    /// seconds.
    pub burst: SeedSpread,
    /// Requests shortly after the leave of a host that went to another host than the one that their
    /// callers used before, percent; callers of the leaving host do not count.
    pub moved: SeedSpread,
    /// Affinity relative to the best baseline of the same deployment.
    pub affinity_ratio: f64,
}

/// State of the simulation.
struct AddressSim {
    size: AddressSize,
    directory: EntryDirectory,
    /// Hosts by their points on the consistent hashing ring.
    points: BTreeMap<u64, usize>,
    /// Whether each host still takes requests.
    live: Vec<bool>,
    /// Requests at each host, by second.
    loads: Vec<Vec<u32>>,
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn address_of(host: usize) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + host as u16).into()
}

fn host_name(host: usize) -> HostName {
    HostName::new(&format!("host-{host}"))
}

/// Creates the simulation; `demand` is the rate of requests for each key, requests a second.
fn new_sim(size: AddressSize, tuning: AddressTuning, demand: &[f64]) -> AddressSim {
    let mut directory = EntryDirectory::new(tuning);
    let mut points = BTreeMap::new();
    for host in 0..size.hosts {
        directory.upsert_host(
            ClockTime::ZERO,
            EntryHost {
                name: host_name(host),
                address: address_of(host),
                domain: DomainName::new(&format!("domain-{}", host % size.domains)),
                load: 0.0,
                leaving: false,
            },
        );
        for point in 0..RING_POINTS {
            points.insert(hash_of((host, point)), host);
        }
    }
    for (key, rate) in demand.iter().enumerate() {
        directory.set_demand(&format!("model-{key}"), *rate);
    }
    AddressSim {
        size,
        directory,
        points,
        live: vec![true; size.hosts],
        loads: vec![vec![0; size.hosts]; (RUN_MS / 1_000) as usize + 1],
    }
}

/// Returns the host that a caller uses until its answer expires.
fn choose_host(
    sim: &AddressSim,
    policy: &AddressPolicy,
    now: u64,
    caller: usize,
    key: usize,
    last: Option<usize>,
    rng: &mut SeededRng,
) -> usize {
    match policy {
        AddressPolicy::Random => loop {
            let host = rng.random_range(0..sim.size.hosts);
            if sim.live[host] {
                return host;
            }
        },
        AddressPolicy::Ring => sim
            .points
            .range(hash_of(("key", key))..)
            .chain(sim.points.iter())
            .map(|(_, &host)| host)
            .find(|&host| sim.live[host])
            .unwrap_or(0),
        AddressPolicy::LeastLoaded => {
            let second = (now.saturating_sub(LOAD_LAG_MS) / 1_000) as usize;
            let start = rng.random_range(0..sim.size.hosts);
            (0..sim.size.hosts)
                .map(|offset| (start + offset) % sim.size.hosts)
                .filter(|&host| sim.live[host])
                .min_by_key(|&host| sim.loads[second][host])
                .unwrap_or(0)
        }
        AddressPolicy::Rendezvous(_) => {
            let key = format!("model-{key}");
            let answer = sim.directory.answer(&AddressQuery {
                now: ClockTime::from_ms(now),
                key: &key,
                caller_hash: caller as u64,
                last_address: last.map(address_of),
            });
            let total: u32 = answer.addresses.iter().map(|entry| entry.weight).sum();
            let mut draw = rng.random_range(0..total.max(1));
            let chosen = answer
                .addresses
                .iter()
                .find(|entry| {
                    let found = draw < entry.weight;
                    draw = draw.saturating_sub(entry.weight);
                    found
                })
                .unwrap_or(&answer.addresses[0]);
            usize::from(chosen.address.port() - 10_000)
        }
    }
}

/// Runs one policy in one deployment.
fn run(size: AddressSize, policy: &AddressPolicy, seed: u64) -> AddressFigures {
    let mut rng = seeded_rng(seed);
    let popularity: Vec<f64> = (0..size.keys)
        .map(|key| 1.0 / (key as f64 + 3.0).powf(0.8))
        .collect();
    let total: f64 = popularity.iter().sum();
    let rate = size.callers as f64 * CALLER_RATE;
    let demand: Vec<f64> = popularity.iter().map(|part| part / total * rate).collect();
    let tuning = match policy {
        AddressPolicy::Rendezvous(tuning) => tuning.clone(),
        _ => AddressTuning::default(),
    };
    let mut sim = new_sim(size, tuning, &demand);
    let keys: Vec<usize> = (0..size.callers)
        .map(|_| {
            let mut draw = rng.random_range(0.0..total);
            popularity
                .iter()
                .position(|part| {
                    draw -= part;
                    draw < 0.0
                })
                .unwrap_or(0)
        })
        .collect();
    let capacity = HOST_CAPACITY * rate / size.hosts as f64;
    let mut smoothed = vec![0.0; size.hosts];
    let mut answers: Vec<Option<(usize, u64)>> = vec![None; size.callers];
    let mut hosts_before_leave: Vec<Option<usize>> = vec![None; size.callers];
    let mut last_requests: HashMap<(usize, usize), u64> = HashMap::new();
    let (mut hits, mut requests, mut moved, mut after_leave) = (0_u64, 0_u64, 0_u64, 0_u64);
    for now in (0..RUN_MS).step_by(10) {
        if now % 1_000 == 0 {
            for host in (0..size.hosts).filter(|&host| sim.live[host]) {
                let seen_at = ClockTime::from_ms(now);
                let name = host_name(host);
                sim.directory.record_seen(seen_at, &name);
                let second = (now.saturating_sub(LOAD_LAG_MS) / 1_000) as usize;
                let load = f64::from(sim.loads[second][host]) / capacity;
                smoothed[host] += LOAD_SMOOTHING * (load - smoothed[host]);
                sim.directory.set_load(&name, smoothed[host]);
            }
        }
        if now == LEAVE_MS {
            sim.live[0] = false;
            sim.directory.set_leaving(&host_name(0), true);
        }
        for caller in 0..size.callers {
            if !rng.random_bool(CALLER_RATE / 100.0) {
                continue;
            }
            let key = keys[caller];
            let valid = answers[caller].filter(|&(_, until)| now < until);
            let host = valid.map_or_else(
                || {
                    let last = answers[caller].map(|(host, _)| host);
                    let host = choose_host(&sim, policy, now, caller, key, last, &mut rng);
                    let ttl = TTL_MS / 2 + rng.random_range(0..TTL_MS / 2);
                    answers[caller] = Some((host, now + ttl));
                    host
                },
                |(host, _)| host,
            );
            if (LEAVE_MS..LEAVE_MS + 2 * TTL_MS).contains(&now) {
                if let Some(old) = hosts_before_leave[caller].filter(|&old| old != 0) {
                    moved += u64::from(old != host);
                    after_leave += 1;
                }
            } else if now < LEAVE_MS {
                hosts_before_leave[caller] = Some(host);
            }
            requests += 1;
            sim.loads[(now / 1_000) as usize][host] += 1;
            let previous = last_requests.insert((key, host), now);
            hits += u64::from(previous.is_some_and(|previous| now - previous <= AFFINITY_MS));
        }
    }
    figures_of(&sim, hits, requests, moved, after_leave)
}

/// Returns the results of a run.
fn figures_of(
    sim: &AddressSim,
    hits: u64,
    requests: u64,
    moved: u64,
    after_leave: u64,
) -> AddressFigures {
    let busiest_ratio = |loads: &[u32]| {
        let total: u32 = loads.iter().sum();
        let busiest = loads.iter().max().copied().unwrap_or(0);
        f64::from(busiest) * loads.len() as f64 / f64::from(total.max(1))
    };
    let totals: Vec<u32> = (0..sim.size.hosts)
        .map(|host| sim.loads.iter().map(|second| second[host]).sum())
        .collect();
    let mut bursts: Vec<f64> = sim
        .loads
        .iter()
        .map(|second| busiest_ratio(second))
        .collect();
    bursts.sort_by(f64::total_cmp);
    AddressFigures {
        affinity: 100.0 * hits as f64 / requests.max(1) as f64,
        busiest: busiest_ratio(&totals),
        burst: crate::table::percentile(&bursts, 0.99),
        moved: 100.0 * moved as f64 / after_leave.max(1) as f64,
    }
}

/// Returns the compared policies with their names, baselines first.
fn policies(variants: bool) -> Vec<(&'static str, AddressPolicy)> {
    let mut all = vec![
        ("random", AddressPolicy::Random),
        ("consistent ring", AddressPolicy::Ring),
        ("least loaded", AddressPolicy::LeastLoaded),
        (
            "entry ring",
            AddressPolicy::Rendezvous(AddressTuning::default()),
        ),
    ];
    if variants {
        let build = AddressTuning::builder;
        let rendezvous = |builder: AddressTuningBuilder| AddressPolicy::Rendezvous(builder.build());
        let unweighted = || build().load_weighted(false);
        all.extend([
            (
                "unweighted, no limit",
                rendezvous(unweighted().overload_threshold(1e9)),
            ),
            ("unweighted", rendezvous(unweighted())),
            (
                "weighted, no limit",
                rendezvous(build().overload_threshold(1e9)),
            ),
            ("1 /s a host", rendezvous(build().host_rate(1.0))),
            ("4 /s a host", rendezvous(build().host_rate(4.0))),
            ("8 /s a host", rendezvous(build().host_rate(8.0))),
        ]);
    }
    all
}

/// Number of baselines at the start of [`policies`].
const BASELINES: usize = 3;

/// Runs all policies in all deployments and prints the results.
pub fn compare(seed: u64, seeds: u64, variants: bool) -> Vec<AddressSummary> {
    let policies = policies(variants);
    let mut summaries = Vec::new();
    for size in SIZES {
        let jobs: Vec<(usize, u64)> = (0..policies.len())
            .flat_map(|policy| (seed..seed + seeds).map(move |number| (policy, number)))
            .collect();
        let runs = run_jobs(&jobs, |&(policy, number)| {
            run(size, &policies[policy].1, number)
        });
        let mut group: Vec<AddressSummary> = runs
            .chunks(seeds as usize)
            .zip(&policies)
            .map(|(runs, (name, _))| summary_of(size.name, name, runs))
            .collect();
        let best_baseline = group[..BASELINES]
            .iter()
            .map(|summary| summary.affinity.median)
            .fold(0.0, f64::max);
        for summary in &mut group {
            summary.affinity_ratio = summary.affinity.median / best_baseline;
        }
        summaries.extend(group);
    }
    print_summaries(&summaries);
    summaries
}

/// Summarises the runs of one policy over all seeds; the caller sets `affinity_ratio`.
fn summary_of(
    deployment: &'static str,
    policy: &'static str,
    runs: &[AddressFigures],
) -> AddressSummary {
    let spread = |figure: fn(&AddressFigures) -> f64| {
        spread_of(&runs.iter().map(figure).collect::<Vec<f64>>())
    };
    AddressSummary {
        deployment,
        policy,
        affinity: spread(|run| run.affinity),
        busiest: spread(|run| run.busiest),
        burst: spread(|run| run.burst),
        moved: spread(|run| run.moved),
        affinity_ratio: 0.0,
    }
}

fn print_summaries(summaries: &[AddressSummary]) {
    let heading = [
        "deployment",
        "policy",
        "affinity, %",
        "busiest / mean",
        "burst / mean",
        "moved, %",
        "affinity / best baseline",
    ];
    let rows: Vec<Vec<String>> = summaries
        .iter()
        .map(|summary| {
            vec![
                summary.deployment.to_owned(),
                summary.policy.to_owned(),
                format_spread(&summary.affinity, 1),
                format_spread(&summary.busiest, 2),
                format_spread(&summary.burst, 2),
                format_spread(&summary.moved, 1),
                format!("{:.2}", summary.affinity_ratio),
            ]
        })
        .collect();
    print_table(&heading, &rows);
}
