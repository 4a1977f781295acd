//! Admission experiment: one entry host in front of resources with fixed slots.
//!
//! Load runs from half to three times capacity. One tenant sends four times its share, and one
//! resource is blocked for ten seconds, as during a model load. Goodput counts requests that end
//! before their callers give up.

use crate::engine::Micros;
use crate::table::{print_table, run_jobs, show, spread_of, SeedSpread};
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use rand::Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

/// Loads relative to capacity.
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];
/// Simulated time, milliseconds.
const SPAN_MS: u64 = 120_000;
/// Resources of the host.
const RESOURCES: usize = 12;
/// Requests that a resource runs at once.
const SLOTS: u32 = 4;
/// Mean service time, milliseconds.
const SERVICE_MS: f64 = 300.0;
/// Resource 0 is blocked within this span.
const BLOCKED_MS: std::ops::Range<u64> = 40_000..50_000;
/// Interval of expiry.
const TICK_MS: u64 = 10;

struct ClassKind {
    name: &'static str,
    share: f64,
    priority: u8,
    deadline_ms: u64,
    aging_ms: u64,
    queue_limit: u32,
}

const CLASSES: [ClassKind; 3] = [
    ClassKind {
        name: "interactive",
        share: 0.6,
        priority: 0,
        deadline_ms: 2_000,
        aging_ms: 1_000,
        queue_limit: 512,
    },
    ClassKind {
        name: "standard",
        share: 0.25,
        priority: 2,
        deadline_ms: 8_000,
        aging_ms: 2_000,
        queue_limit: 512,
    },
    ClassKind {
        name: "batch",
        share: 0.15,
        priority: 5,
        deadline_ms: 600_000,
        aging_ms: 4_000,
        queue_limit: 4_096,
    },
];

/// Shares of the tenants' arrivals; their weights are equal.
const TENANT_SHARES: [f64; 4] = [4.0, 1.0, 1.0, 1.0];

/// A way to queue.
#[derive(Clone, Debug)]
pub enum QueuePolicy {
    /// Unbounded, in order of arrival; callers that gave up are served too.
    Fifo,
    /// Unbounded, in order of arrival; expired work is dropped.
    FifoExpiry,
    /// Unbounded, by priority without aging; expired work is dropped.
    Priority,
    /// The admission queue.
    Queue(AdmissionTuning),
}

#[derive(Clone, Debug)]
struct QueueArrival {
    at: u64,
    class: usize,
    tenant: usize,
    resource: usize,
    service_ms: u64,
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct QueueFigures {
    /// Requests a second that ended in time.
    pub goodput: f64,
    /// Share of interactive requests that ended in time.
    pub interactive: f64,
    /// Batch requests a second that ended in time.
    pub batch: f64,
    /// Longest queue.
    pub longest: f64,
    /// Share of started work whose caller had given up at its end.
    pub wasted: f64,
    /// Goodput of the smallest tenant relative to the flooding one.
    pub fairness: f64,
    /// Longest time without a batch request starting while one waits, milliseconds.
    pub batch_gap_ms: f64,
}

/// One policy at one load over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct QueueSummary {
    /// Policy.
    pub policy: &'static str,
    /// Load relative to capacity.
    pub load: f64,
    /// Goodput.
    pub goodput: SeedSpread,
    /// Goodput relative to the policy's own peak, percent.
    pub of_peak: f64,
    /// Goodput relative to the best baseline at the same load.
    pub ratio: f64,
    /// Interactive requests in time, percent.
    pub interactive: SeedSpread,
    /// Batch requests a second.
    pub batch: SeedSpread,
    /// Longest queue.
    pub longest: SeedSpread,
    /// Work wasted, percent.
    pub wasted: SeedSpread,
    /// Smallest tenant relative to the flooding one.
    pub fairness: SeedSpread,
    /// Longest gap between starts of batch work, milliseconds.
    pub batch_gap_ms: SeedSpread,
}

fn arrivals_of(seed: u64, load: f64) -> Vec<QueueArrival> {
    let mut rng = seeded_rng(seed);
    let capacity = RESOURCES as f64 * f64::from(SLOTS) / SERVICE_MS;
    let tenants: f64 = TENANT_SHARES.iter().sum();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -rng.random_range(f64::EPSILON..1.0_f64).ln() / (capacity * load);
        if at >= SPAN_MS as f64 {
            return arrivals;
        }
        let mut draw = rng.random::<f64>();
        let class = position_of(CLASSES.iter().map(|class| class.share), &mut draw);
        let mut draw = rng.random_range(0.0..tenants);
        let tenant = position_of(TENANT_SHARES.into_iter(), &mut draw);
        arrivals.push(QueueArrival {
            at: at as u64,
            class,
            tenant,
            resource: rng.random_range(0..RESOURCES),
            service_ms: (SERVICE_MS * rng.random_range(0.5..1.5)) as u64,
        });
    }
}

fn position_of(shares: impl Iterator<Item = f64>, draw: &mut f64) -> usize {
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        *draw -= share;
        if *draw < 0.0 {
            break;
        }
    }
    last
}

/// The queue under test; baselines keep one queue for each priority.
enum SimQueue {
    Plain {
        queues: Vec<VecDeque<usize>>,
        expiry: bool,
        priority: bool,
    },
    Real(Box<AdmissionQueue>),
}

struct QueueSim<'a> {
    arrivals: &'a [QueueArrival],
    queue: SimQueue,
    running: Vec<u32>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    goods: Vec<[u64; 4]>,
    started: u64,
    wasted: u64,
    longest: usize,
    batch_waiting: usize,
    batch_started: u64,
    batch_gap: u64,
}

fn deadline_of(arrival: &QueueArrival) -> u64 {
    arrival.at + CLASSES[arrival.class].deadline_ms
}

fn work_of(index: usize, arrival: &QueueArrival) -> QueuedWork {
    QueuedWork {
        key: RequestKey(index as u64),
        tenant: TenantName::new(&format!("tenant-{}", arrival.tenant)),
        class: ClassName::new(CLASSES[arrival.class].name),
        resource: Arc::from(format!("model-{}", arrival.resource)),
        deadline: ClockTime::from_ms(deadline_of(arrival)),
        cost: arrival.service_ms as u32,
    }
}

fn real_queue(tuning: AdmissionTuning) -> SimQueue {
    let mut queue = AdmissionQueue::with_tuning(tuning);
    let tenants: Vec<TenantSpec> = (0..TENANT_SHARES.len())
        .map(|tenant| TenantSpec {
            name: TenantName::new(&format!("tenant-{tenant}")),
            weight: 1,
            key_env: None,
            in_flight: 4_096,
        })
        .collect();
    let classes: Vec<ClassSpec> = CLASSES
        .iter()
        .map(|class| ClassSpec {
            name: ClassName::new(class.name),
            priority: class.priority,
            deadline_ms: class.deadline_ms,
            aging_ms: class.aging_ms,
            queue_limit: class.queue_limit,
        })
        .collect();
    queue.set_limits(&tenants, &classes);
    SimQueue::Real(Box::new(queue))
}

fn run(arrivals: &[QueueArrival], policy: &QueuePolicy) -> QueueFigures {
    let plain = |expiry, priority| SimQueue::Plain {
        queues: vec![VecDeque::new(); CLASSES.len()],
        expiry,
        priority,
    };
    let mut sim = QueueSim {
        arrivals,
        queue: match policy {
            QueuePolicy::Fifo => plain(false, false),
            QueuePolicy::FifoExpiry => plain(true, false),
            QueuePolicy::Priority => plain(true, true),
            QueuePolicy::Queue(tuning) => real_queue(tuning.clone()),
        },
        running: vec![0; RESOURCES],
        ends: BinaryHeap::new(),
        goods: vec![[0; 4]; CLASSES.len()],
        started: 0,
        wasted: 0,
        longest: 0,
        batch_waiting: 0,
        batch_started: 0,
        batch_gap: 0,
    };
    let mut next = 0;
    for now in 0..SPAN_MS as Micros {
        let mut changed = now % TICK_MS == 0;
        while let Some(&Reverse((at, index))) = sim.ends.peek() {
            if at > now {
                break;
            }
            sim.ends.pop();
            end(&mut sim, now, index);
            changed = true;
        }
        while arrivals.get(next).is_some_and(|arrival| arrival.at <= now) {
            offer(&mut sim, now, next);
            next += 1;
            changed = true;
        }
        if changed {
            expire(&mut sim, now);
            while let Some(index) = take(&mut sim, now) {
                begin(&mut sim, now, index);
            }
        }
    }
    figures_of(&sim)
}

fn offer(sim: &mut QueueSim<'_>, now: u64, index: usize) {
    let arrival = &sim.arrivals[index];
    let (queued, length) = match &mut sim.queue {
        SimQueue::Plain {
            queues, priority, ..
        } => {
            let place = if *priority { arrival.class } else { 0 };
            queues[place].push_back(index);
            (true, queues.iter().map(VecDeque::len).sum())
        }
        SimQueue::Real(queue) => {
            let work = work_of(index, arrival);
            let offered = queue.offer(ClockTime::from_ms(now), work, ClockTime::ZERO);
            (offered.is_ok(), queue.len())
        }
    };
    sim.longest = sim.longest.max(length);
    if queued && arrival.class == CLASSES.len() - 1 {
        if sim.batch_waiting == 0 {
            sim.batch_started = now;
        }
        sim.batch_waiting += 1;
    }
}

fn expire(sim: &mut QueueSim<'_>, now: u64) {
    match &mut sim.queue {
        SimQueue::Plain { queues, expiry, .. } => {
            if *expiry {
                for queue in queues {
                    queue.retain(|&index| deadline_of(&sim.arrivals[index]) > now);
                }
            }
        }
        SimQueue::Real(queue) => {
            queue.expire(ClockTime::from_ms(now));
        }
    }
}

fn take(sim: &mut QueueSim<'_>, now: u64) -> Option<usize> {
    let running = &sim.running;
    let free = |resource: usize| {
        let blocked = resource == 0 && BLOCKED_MS.contains(&now);
        running[resource] < SLOTS && !blocked
    };
    if (0..RESOURCES).all(|resource| !free(resource)) {
        return None;
    }
    match &mut sim.queue {
        SimQueue::Plain { queues, .. } => {
            let arrivals = sim.arrivals;
            queues.iter_mut().find_map(|queue| {
                let position = queue
                    .iter()
                    .position(|&index| free(arrivals[index].resource))?;
                queue.remove(position)
            })
        }
        SimQueue::Real(queue) => {
            let arrivals = sim.arrivals;
            let mut ready = |work: &QueuedWork| free(arrivals[work.key.0 as usize].resource);
            let work = queue.pop_ready(ClockTime::from_ms(now), &mut ready)?;
            Some(work.key.0 as usize)
        }
    }
}

fn begin(sim: &mut QueueSim<'_>, now: u64, index: usize) {
    let arrival = &sim.arrivals[index];
    sim.started += 1;
    sim.running[arrival.resource] += 1;
    sim.ends.push(Reverse((now + arrival.service_ms, index)));
    if arrival.class == CLASSES.len() - 1 {
        sim.batch_gap = sim.batch_gap.max(now - sim.batch_started);
        sim.batch_started = now;
        sim.batch_waiting = sim.batch_waiting.saturating_sub(1);
    }
}

fn end(sim: &mut QueueSim<'_>, now: u64, index: usize) {
    let arrival = &sim.arrivals[index];
    sim.running[arrival.resource] -= 1;
    if now <= deadline_of(arrival) {
        sim.goods[arrival.class][arrival.tenant] += 1;
    } else {
        sim.wasted += 1;
    }
    if let SimQueue::Real(queue) = &mut sim.queue {
        queue.record_key_ended(ClockTime::from_ms(now), RequestKey(index as u64));
    }
}

fn figures_of(sim: &QueueSim<'_>) -> QueueFigures {
    let seconds = SPAN_MS as f64 / 1_000.0;
    let good: u64 = sim.goods.iter().flatten().sum();
    let interactive: u64 = sim.goods[0].iter().sum();
    let asked = sim
        .arrivals
        .iter()
        .filter(|arrival| arrival.class == 0)
        .count();
    let batch: u64 = sim.goods[CLASSES.len() - 1].iter().sum();
    let of_tenant = |tenant: usize| sim.goods.iter().map(|goods| goods[tenant]).sum::<u64>();
    let smallest = (1..4).map(of_tenant).min().unwrap_or(0);
    let open_gap = if sim.batch_waiting > 0 {
        SPAN_MS - sim.batch_started
    } else {
        0
    };
    QueueFigures {
        goodput: good as f64 / seconds,
        interactive: 100.0 * interactive as f64 / asked.max(1) as f64,
        batch: batch as f64 / seconds,
        longest: sim.longest as f64,
        wasted: 100.0 * sim.wasted as f64 / sim.started.max(1) as f64,
        fairness: smallest as f64 / of_tenant(0).max(1) as f64,
        batch_gap_ms: sim.batch_gap.max(open_gap) as f64,
    }
}

fn policies(variants: bool) -> Vec<(&'static str, QueuePolicy)> {
    let mut all = vec![
        ("fifo", QueuePolicy::Fifo),
        ("fifo, expiry", QueuePolicy::FifoExpiry),
        ("priority, no aging", QueuePolicy::Priority),
        ("queue", QueuePolicy::Queue(AdmissionTuning::default())),
    ];
    if variants {
        let build = AdmissionTuning::builder;
        let queue = |builder: AdmissionTuningBuilder| QueuePolicy::Queue(builder.build());
        all.extend([
            ("queue, share 0.25", queue(build().deadline_share(0.25))),
            ("queue, share 0.5", queue(build().deadline_share(0.5))),
            ("queue, share 0.75", queue(build().deadline_share(0.75))),
            ("queue, share 1", queue(build().deadline_share(1.0))),
            ("queue, aged 4", queue(build().aging_interval(4))),
            ("queue, aged 16", queue(build().aging_interval(16))),
        ]);
    }
    all
}

/// Number of baselines at the start of [`policies`].
const BASELINES: usize = 3;

/// Runs all policies and loads and prints the table.
pub fn compare(seed: u64, seeds: u64, variants: bool) -> Vec<QueueSummary> {
    let policies = policies(variants);
    let mut jobs = Vec::new();
    for load in LOADS {
        for policy in 0..policies.len() {
            for number in seed..seed + seeds {
                jobs.push((load, policy, number));
            }
        }
    }
    let runs = run_jobs(&jobs, |&(load, policy, number)| {
        run(&arrivals_of(number, load), &policies[policy].1)
    });
    let mut summaries: Vec<QueueSummary> = runs
        .chunks(seeds as usize)
        .enumerate()
        .map(|(group, runs)| {
            let load = LOADS[group / policies.len()];
            summary_of(policies[group % policies.len()].0, load, runs)
        })
        .collect();
    for index in 0..summaries.len() {
        let peak = summaries
            .iter()
            .filter(|other| other.policy == summaries[index].policy)
            .map(|other| other.goodput.median)
            .fold(0.0, f64::max);
        let start = index / policies.len() * policies.len();
        let best = summaries[start..start + BASELINES]
            .iter()
            .map(|other| other.goodput.median)
            .fold(0.0, f64::max);
        summaries[index].of_peak = 100.0 * summaries[index].goodput.median / peak;
        summaries[index].ratio = summaries[index].goodput.median / best;
    }
    print_summaries(&summaries);
    summaries
}

fn summary_of(policy: &'static str, load: f64, runs: &[QueueFigures]) -> QueueSummary {
    let spread = |figure: fn(&QueueFigures) -> f64| {
        spread_of(&runs.iter().map(figure).collect::<Vec<f64>>())
    };
    QueueSummary {
        policy,
        load,
        goodput: spread(|run| run.goodput),
        of_peak: 0.0,
        ratio: 0.0,
        interactive: spread(|run| run.interactive),
        batch: spread(|run| run.batch),
        longest: spread(|run| run.longest),
        wasted: spread(|run| run.wasted),
        fairness: spread(|run| run.fairness),
        batch_gap_ms: spread(|run| run.batch_gap_ms),
    }
}

fn print_summaries(summaries: &[QueueSummary]) {
    let heading = [
        "load",
        "policy",
        "goodput /s",
        "of own peak, %",
        "/ best baseline",
        "interactive in time, %",
        "batch /s",
        "longest queue",
        "wasted, %",
        "smallest / flooding tenant",
        "batch gap ms",
    ];
    let rows: Vec<Vec<String>> = summaries
        .iter()
        .map(|summary| {
            vec![
                format!("{:.1}", summary.load),
                summary.policy.to_owned(),
                show(&summary.goodput, 1),
                format!("{:.1}", summary.of_peak),
                format!("{:.2}", summary.ratio),
                show(&summary.interactive, 1),
                show(&summary.batch, 1),
                show(&summary.longest, 0),
                show(&summary.wasted, 1),
                show(&summary.fairness, 2),
                show(&summary.batch_gap_ms, 0),
            ]
        })
        .collect();
    print_table(&heading, &rows);
}
