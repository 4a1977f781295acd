//! Compares the flat and the partitioned dissemination layout, and measures failure detection, the
//! spread of presets, the effect of cuts, and cost. The real reducers run on an in-memory network.
//!
//! `cargo run --release -p crocusyard_membership --example dissemination -- --seed 1`
//!
//! All times are virtual, except processor time. The network loses 1% of the packets and duplicates
//! 1%.

#[path = "dissemination/preset.rs"]
mod preset;
#[path = "../tests/support/mod.rs"]
mod support;

use argh::FromArgs;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_wire::prelude::*;
use rand::Rng;
use support::{liveness, FakeNetwork, NetworkSpec};

/// Hosts, failure domains and regions: a current deployment, two sizes in between, and the planned
/// size.
const SIZES: [(usize, usize, usize); 4] = [(9, 3, 1), (36, 4, 2), (90, 9, 3), (360, 10, 3)];
/// Targets in the catalogue for each host; 1,400 at 360 hosts.
const TARGETS_PER_HOST: f64 = 1400.0 / 360.0;
/// Number of targets for which one host has load deltas.
const HOST_DELTAS: usize = 8;
/// Number of models for which one host has demand, at 360 hosts.
const HOST_MODELS: u16 = 300;

/// Default byte budget in the membership settings, bytes a second.
const DEFAULT_BUDGET: u64 = 10_500;
/// Column names of the table of ages.
const AGE_COLUMNS: &str = "layout window_s hosts sent_B/s max_B/s_in_1s received_B/s cpu_% \
    own_mean_ms own_p99_ms own_known_% all_mean_ms all_p99_ms all_known_%";

/// Measures dissemination between hosts.
#[derive(FromArgs)]
struct Arguments {
    /// seed of all random decisions
    #[argh(option, default = "1")]
    seed: u64,
    /// largest number of hosts
    #[argh(option, default = "360")]
    hosts: usize,
    /// bytes a second that a host may send, in part budget
    #[argh(option, default = "10500")]
    budget: u64,
    /// part to run: age, budget, detection, frozen, news, preset, cut or all
    #[argh(option, default = "String::from(\"all\")")]
    part: String,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    crocusyard_base::invariants::panic_on_violation();
    let sizes = SIZES.into_iter().filter(|size| size.0 <= arguments.hosts);
    let sizes: Vec<_> = sizes.collect();
    let is_selected = |part: &str| arguments.part == part || arguments.part == "all";
    if is_selected("age") {
        println!("{AGE_COLUMNS}");
        for size in &sizes {
            for layout in [DisseminationLayout::Flat, DisseminationLayout::Partitioned] {
                for window in [1, 3, 10] {
                    measure_age(*size, layout, window, DEFAULT_BUDGET, arguments.seed);
                }
            }
        }
    }
    if arguments.part == "budget" {
        println!("{AGE_COLUMNS}");
        for size in &sizes {
            measure_age(
                *size,
                DisseminationLayout::Partitioned,
                10,
                arguments.budget,
                arguments.seed,
            );
        }
    }
    if is_selected("detection") {
        println!("hosts suspected_median_ms suspected_p99_ms dead_median_ms dead_p99_ms never_dead false_deaths");
        sizes
            .iter()
            .for_each(|size| measure_detection(*size, arguments.seed));
    }
    if is_selected("frozen") {
        println!("hosts freezes suspicions_of_frozen suspicions_of_others deaths_of_frozen deaths_of_others");
        sizes
            .iter()
            .for_each(|size| measure_frozen(*size, arguments.seed));
    }
    if is_selected("news") {
        println!("hosts preset_median_ms preset_p99_ms preset_max_ms leaving_p99_ms leaving_max_ms missed");
        sizes
            .iter()
            .for_each(|size| measure_updates(*size, arguments.seed));
    }
    if is_selected("preset") {
        println!(
            "hosts in_force_median_ms in_force_p99_ms in_force_max_ms fetches_from_one_host missed"
        );
        sizes
            .iter()
            .for_each(|size| preset::measure_preset(*size, arguments.seed));
    }
    if is_selected("cut") {
        println!("hosts cut_s deaths sent_B/s_before during after max_B/s_after agree_after_ms");
        sizes
            .iter()
            .for_each(|size| measure_cut(*size, arguments.seed));
    }
    if let Ok(status) = std::fs::read_to_string("/proc/self/status") {
        let memory = status.lines().find(|line| line.starts_with("VmHWM"));
        println!(
            "process peak memory, all hosts of the largest size: {}",
            memory.unwrap_or("unknown")
        );
    }
}

/// Creates a network of a size with the default settings.
fn new_network(size: (usize, usize, usize), seed: u64) -> FakeNetwork {
    let (hosts, domains, regions) = size;
    FakeNetwork::new(NetworkSpec::new(hosts, domains, regions), seed)
}

/// Runs the network with new load deltas every second and new demand every 10 s.
fn run_with_load(network: &mut FakeNetwork, seconds: u64) {
    for second in 0..seconds {
        let hosts = network.hosts.len();
        let targets = ((hosts as f64 * TARGETS_PER_HOST) as u16).max(10);
        for index in 0..hosts {
            if !network.hosts[index].running {
                continue;
            }
            let rng = &mut network.rng;
            let deltas = (0..HOST_DELTAS).map(|_| TargetDelta {
                target: rng.random_range(0..targets),
                sequence: 1000 + second,
                requests: rng.random_range(0..3),
                tokens: rng.random_range(0..4000),
            });
            let event = MembershipEvent::OwnLoads {
                catalog: 1,
                deltas: deltas.collect(),
            };
            let has_new_demand = second % 10 == 0;
            let entries = (0..HOST_MODELS).map(|_| ModelDemand {
                model: rng.random_range(0..1900),
                per_minute: rng.random_range(1..60),
            });
            let entries: Vec<_> = entries.collect();
            network.handle(index, event);
            if has_new_demand {
                let event = MembershipEvent::OwnDemand {
                    catalog: 1,
                    demand: entries,
                };
                network.handle(index, event);
            }
        }
        network.run_for(ClockTime::from_secs(1));
    }
}

/// Returns the bytes that all hosts have sent.
fn total_sent(network: &FakeNetwork) -> u64 {
    network
        .hosts
        .iter()
        .map(|host| host.state.budget.total_bytes)
        .sum()
}

/// Measures the age of load information, and what it costs in bytes and processor time.
fn measure_age(
    size: (usize, usize, usize),
    layout: DisseminationLayout,
    max_age_s: u64,
    budget: u64,
    seed: u64,
) {
    let (hosts, domains, regions) = size;
    let mut spec = NetworkSpec::new(hosts, domains, regions);
    spec.layout = layout;
    spec.max_record_age = ClockTime::from_secs(max_age_s);
    spec.budget_rate = budget;
    let mut network = FakeNetwork::new(spec, seed);
    run_with_load(&mut network, 20);
    let seconds = 20;
    let sent_before = total_sent(&network);
    let received_before: u64 = network.hosts.iter().map(|host| host.received_bytes).sum();
    let cpu_seconds_before: f64 = network
        .hosts
        .iter()
        .map(|host| host.cpu_time.as_secs_f64())
        .sum();
    let first_second = (network.now.as_ms() / 1000) as usize + 1;
    let (mut same_domain, mut all_hosts) = (AgeSample::default(), AgeSample::default());
    for _ in 0..seconds {
        run_with_load(&mut network, 1);
        sample_ages(&network, layout, &mut same_domain, &mut all_hosts);
    }
    let per_host = |total: u64| total as f64 / (hosts * seconds) as f64;
    let max_in_one_second = network
        .hosts
        .iter()
        .flat_map(|host| host.sent_bytes.get(first_second..).unwrap_or(&[]));
    let max_in_one_second = max_in_one_second.max().copied().unwrap_or(0);
    let cpu_seconds = network
        .hosts
        .iter()
        .map(|host| host.cpu_time.as_secs_f64())
        .sum::<f64>()
        - cpu_seconds_before;
    let received = network
        .hosts
        .iter()
        .map(|host| host.received_bytes)
        .sum::<u64>()
        - received_before;
    println!(
        "{layout:?} {max_age_s} {hosts} {:.0} {max_in_one_second} {:.0} {:.3} {} {}",
        per_host(total_sent(&network) - sent_before),
        per_host(received),
        cpu_seconds / (hosts * seconds) as f64 * 100.0,
        same_domain.columns(),
        all_hosts.columns(),
    );
}

/// Ages of what hosts know of other hosts.
#[derive(Default)]
struct AgeSample {
    /// Known ages, milliseconds.
    ages: Vec<u64>,
    /// Pairs of hosts, with or without a known age.
    pairs: usize,
}

impl AgeSample {
    /// Returns the mean age, the 99th percentile and the share of known ages in percent.
    fn columns(&mut self) -> String {
        self.ages.sort_unstable();
        let mean = self.ages.iter().sum::<u64>() as f64 / self.ages.len().max(1) as f64;
        let p99 = percentile(&self.ages, 0.99);
        let known = 100.0 * self.ages.len() as f64 / self.pairs.max(1) as f64;
        format!("{mean:.0} {p99} {known:.1}")
    }
}

/// Samples the age of what each host knows of each other host, from the other host's record or the
/// summary of its failure domain. Anything older than 10 s counts as unknown.
fn sample_ages(
    network: &FakeNetwork,
    layout: DisseminationLayout,
    same_domain_sample: &mut AgeSample,
    all_sample: &mut AgeSample,
) {
    for host in &network.hosts {
        // The reducer's time is that of its last tick, so that ages are off by half a tick on
        // average.
        let now = host.state.last_tick.unwrap_or_default();
        for other in network.hosts.iter().filter(|other| other.name != host.name) {
            let same_domain = other.domain == host.domain;
            let loads = &host.state.loads;
            let created_at = if same_domain || layout == DisseminationLayout::Flat {
                loads
                    .hosts
                    .get(&other.state.id)
                    .map(|entry| entry.created_at)
            } else {
                loads
                    .domains
                    .get(&other.state.domain_id)
                    .map(|entry| entry.created_at)
            };
            let age = created_at.map(|created_at| now.since(created_at).as_ms());
            let age = age.filter(|age| *age <= 10_000);
            all_sample.pairs += 1;
            all_sample.ages.extend(age);
            if same_domain {
                same_domain_sample.pairs += 1;
                same_domain_sample.ages.extend(age);
            }
        }
    }
}

/// Returns how long after `since` each host first saw each of `victims` in `state` or worse, in
/// milliseconds, sorted.
fn first_seen(
    network: &FakeNetwork,
    victims: &[usize],
    state: LivenessState,
    since: ClockTime,
) -> Vec<u64> {
    let mut times = std::collections::BTreeMap::new();
    for (at, observer, effect) in &network.effects {
        let MembershipEffect::HostChanged(view) = effect else {
            continue;
        };
        let victim = victims
            .iter()
            .find(|victim| network.hosts[**victim].name == view.host);
        if let (Some(victim), true) = (victim, view.state >= state && *at >= since) {
            times
                .entry((*observer, *victim))
                .or_insert(at.since(since).as_ms());
        }
    }
    let mut times: Vec<u64> = times.into_values().collect();
    times.sort_unstable();
    times
}

/// Measures how long it takes until all hosts suspect a crashed host and declare it dead.
fn measure_detection(size: (usize, usize, usize), seed: u64) {
    let hosts = size.0;
    let (mut suspected, mut dead) = (Vec::new(), Vec::new());
    let (mut never_dead, mut false_deaths) = (0, 0);
    for round in 0..5 {
        let mut network = new_network(size, seed + round);
        run_with_load(&mut network, 15);
        network.effects.clear();
        let victim = network.rng.random_range(0..hosts);
        let since = network.now;
        network.crash(victim);
        run_with_load(&mut network, 20);
        suspected.extend(first_seen(
            &network,
            &[victim],
            LivenessState::Suspect,
            since,
        ));
        let times = first_seen(&network, &[victim], LivenessState::Dead, since);
        never_dead += hosts - 1 - times.len();
        dead.extend(times);
        let others: Vec<_> = (0..hosts).filter(|index| *index != victim).collect();
        false_deaths += first_seen(&network, &others, LivenessState::Dead, since).len();
    }
    suspected.sort_unstable();
    dead.sort_unstable();
    println!(
        "{hosts} {} {} {} {} {never_dead} {false_deaths}",
        percentile(&suspected, 0.5),
        percentile(&suspected, 0.99),
        percentile(&dead, 0.5),
        percentile(&dead, 0.99),
    );
}

/// Counts suspicions and deaths while hosts freeze.
///
/// For a minute, every second up to one host in 30 freezes for 0.2 to 3 s, each host at most once
/// in 10 s.
fn measure_frozen(size: (usize, usize, usize), seed: u64) {
    let hosts = size.0;
    let mut network = new_network(size, seed);
    run_with_load(&mut network, 15);
    network.effects.clear();
    let since = network.now;
    let mut frozen = vec![false; hosts];
    let mut freezes = 0;
    // Only a quarter of the hosts may freeze, so that false suspicions of the others can be
    // counted.
    let freezing = hosts.div_ceil(4);
    for _ in 0..60 {
        for _ in 0..hosts.div_ceil(30) {
            let index = network.rng.random_range(0..freezing);
            let span = network.rng.random_range(200..3000);
            if network.hosts[index].frozen_until + ClockTime::from_secs(8) > network.now {
                continue;
            }
            network.freeze(index, ClockTime::from_ms(span));
            frozen[index] = true;
            freezes += 1;
        }
        run_with_load(&mut network, 1);
    }
    let count = |state: LivenessState, was_frozen: bool| {
        let matching = network.effects.iter().filter(|(at, _, effect)| {
            let MembershipEffect::HostChanged(view) = effect else {
                return false;
            };
            let index = network.hosts.iter().position(|host| host.name == view.host);
            *at >= since && view.state == state && frozen[index.unwrap_or(0)] == was_frozen
        });
        matching.count()
    };
    println!(
        "{hosts} {freezes} {} {} {} {}",
        count(LivenessState::Suspect, true),
        count(LivenessState::Suspect, false),
        count(LivenessState::Dead, true),
        count(LivenessState::Dead, false),
    );
}

/// Measures how long it takes until all hosts know of a preset version that is in force on one
/// host, and of a target that is leaving. The times do not include fetching the preset's body.
fn measure_updates(size: (usize, usize, usize), seed: u64) {
    let hosts = size.0;
    let mut network = new_network(size, seed);
    run_with_load(&mut network, 15);
    let (mut preset_times, mut leaving_times) = (Vec::new(), Vec::new());
    let mut missed = 0;
    for version in 1..=20 {
        network.effects.clear();
        let since = network.now;
        let index = network.rng.random_range(0..hosts);
        let digest = [version as u8; 32];
        let report = PresetReport { version, digest };
        network.handle(index, MembershipEvent::PresetInForce(report));
        let target = TargetUpdate {
            target: TargetName::new(&format!("asesor-{version}")),
            incarnation: version,
            sequence: 1,
            leaving: true,
        };
        network.handle(index, MembershipEvent::TargetUpdated(target.clone()));
        run_with_load(&mut network, 10);
        let mut preset_seen = std::collections::BTreeMap::new();
        let mut leaving_seen = Vec::new();
        for (at, observer, effect) in &network.effects {
            let time = at.since(since).as_ms();
            match effect {
                MembershipEffect::PresetReceived { preset, .. } if *preset == report => {
                    preset_seen.entry(*observer).or_insert(time);
                }
                MembershipEffect::TargetChanged(seen) if *seen == target => leaving_seen.push(time),
                _ => {}
            }
        }
        preset_seen.remove(&index);
        missed += 2 * (hosts - 1) - preset_seen.len() - leaving_seen.len();
        preset_times.extend(preset_seen.into_values());
        leaving_times.extend(leaving_seen);
    }
    preset_times.sort_unstable();
    leaving_times.sort_unstable();
    println!(
        "{hosts} {} {} {} {} {} {missed}",
        percentile(&preset_times, 0.5),
        percentile(&preset_times, 0.99),
        percentile(&preset_times, 1.0),
        percentile(&leaving_times, 0.99),
        percentile(&leaving_times, 1.0),
    );
}

/// Measures traffic and deaths while one region is cut off for three minutes, and the time until
/// all views agree again. With one region, a failure domain is cut off.
fn measure_cut(size: (usize, usize, usize), seed: u64) {
    let (hosts, domains, regions) = size;
    let mut network = new_network(size, seed);
    run_with_load(&mut network, 20);
    network.effects.clear();
    let sent_rate = |network: &FakeNetwork, from: u64, span: u64| {
        let seconds = from as usize..(from + span) as usize;
        let sums = network.hosts.iter().map(|host| {
            let range = host.sent_bytes.get(seconds.clone()).unwrap_or(&[]);
            range.iter().sum::<u64>()
        });
        sums.sum::<u64>() as f64 / (hosts as u64 * span) as f64
    };
    let start = network.now.as_ms() / 1000;
    let inside = |domain: &usize| {
        if regions > 1 {
            domain % regions == 0
        } else {
            *domain == 0
        }
    };
    let (inner, outer): (Vec<usize>, Vec<usize>) = (0..domains).partition(inside);
    let pairs = inner.iter().flat_map(|a| outer.iter().map(|b| (*a, *b)));
    network.cuts = pairs.collect();
    let cut_s = 180;
    run_with_load(&mut network, cut_s);
    network.cuts.clear();
    let healed_at = network.now;
    let mut agreed_after = None;
    for second in 0..40 {
        run_with_load(&mut network, 1);
        let alive =
            |a: usize, b: usize| a == b || liveness(&network, a, b) == Some(LivenessState::Alive);
        let all = (0..hosts).all(|a| (0..hosts).all(|b| alive(a, b)));
        if all && agreed_after.is_none() {
            agreed_after = Some(second + 1);
        }
    }
    let after = (healed_at.as_ms() / 1000) as usize;
    let highest = network
        .hosts
        .iter()
        .flat_map(|host| host.sent_bytes[after..].iter())
        .max();
    let deaths = network.effects.iter().filter(|(_, _, effect)| {
        matches!(effect, MembershipEffect::HostChanged(view) if view.state == LivenessState::Dead)
    });
    println!(
        "{hosts} {cut_s} {} {:.0} {:.0} {:.0} {} {}",
        deaths.count(),
        sent_rate(&network, start - 10, 10),
        sent_rate(&network, start, cut_s),
        sent_rate(&network, after as u64, 20),
        highest.copied().unwrap_or(0),
        agreed_after.map_or("never".to_owned(), |seconds| format!("{}", seconds * 1000)),
    );
}

/// Returns the smallest value that at least the given share of the sorted values do not exceed; 0
/// if there are no values.
fn percentile(sorted: &[u64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or(0)
}
