//! Admission experiment: one entry host queues requests for resources with a fixed number of slots.
//!
//! The load ranges from half of the capacity to three times the capacity. One tenant sends four
//! times as many requests as each other tenant, and one resource is blocked for ten seconds, as
//! during a model load. Goodput counts the requests that end before their callers give up.

use crate::engine::Micros;
use crate::table::{format_spread, print_table, run_jobs, spread_of, SeedSpread};
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use rand::Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

/// Compared loads, relative to capacity.
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];
/// Simulated time of a run, milliseconds.
const RUN_MS: u64 = 120_000;
/// Number of resources, each of which stands for a model.
const RESOURCES: usize = 12;
/// Requests that a resource runs at once.
const SLOTS: u32 = 4;
/// Mean service time, milliseconds.
const SERVICE_MS: f64 = 300.0;
/// Time in which resource 0 is blocked, milliseconds.
const BLOCKED_MS: std::ops::Range<u64> = 40_000..50_000;
/// Time between two checks for expired requests, milliseconds.
const TICK_MS: u64 = 10;

/// Declaration of a request class, with its share of the arrivals.
struct ClassSettings {
    name: &'static str,
    share: f64,
    priority: u8,
    deadline_ms: u64,
    aging_ms: u64,
    queue_limit: u32,
}

/// Request classes; the last one is the batch class.
const CLASSES: [ClassSettings; 3] = [
    ClassSettings {
        name: "interactive",
        share: 0.6,
        priority: 0,
        deadline_ms: 2_000,
        aging_ms: 1_000,
        queue_limit: 512,
    },
    ClassSettings {
        name: "standard",
        share: 0.25,
        priority: 2,
        deadline_ms: 8_000,
        aging_ms: 2_000,
        queue_limit: 512,
    },
    ClassSettings {
        name: "batch",
        share: 0.15,
        priority: 5,
        deadline_ms: 600_000,
        aging_ms: 4_000,
        queue_limit: 4_096,
    },
];

/// Relative rates of the tenants' arrivals. The tenants have equal weights; the first one floods.
const TENANT_SHARES: [f64; 4] = [4.0, 1.0, 1.0, 1.0];

/// A policy for the queue.
#[derive(Clone, Debug)]
pub enum QueuePolicy {
    /// Unbounded queue in the order of arrival; requests of callers that gave up are run too.
    Fifo,
    /// Unbounded queue in the order of arrival; expired requests are dropped.
    FifoExpiry,
    /// Unbounded queue by priority without aging; expired requests are dropped.
    Priority,
    /// The admission queue with this tuning.
    Queue(AdmissionTuning),
}

/// Arrival of one request; times are in milliseconds.
#[derive(Clone, Debug)]
struct QueueArrival {
    at: u64,
    class: usize,
    tenant: usize,
    resource: usize,
    service_ms: u64,
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct QueueFigures {
    /// Requests that ended in time, requests a second.
    pub goodput: f64,
    /// Interactive requests that ended in time, percent.
    pub interactive: f64,
    /// Batch requests that ended in time, requests a second.
    pub batch: f64,
    /// Greatest length of the queue, requests.
    pub longest: f64,
    /// Started requests that ended after their callers gave up, percent.
    pub wasted: f64,
    /// Goodput of the tenant with the least goodput relative to that of the flooding tenant.
    pub fairness: f64,
    /// Longest time in which a batch request waits and none starts, milliseconds.
    pub batch_gap_ms: f64,
}

/// Results of one policy at one load over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct QueueSummary {
    /// Name of the policy.
    pub policy: &'static str,
    /// Load relative to capacity.
    pub load: f64,
    /// Requests that ended in time, requests a second.
    pub goodput: SeedSpread,
    /// Goodput relative to the highest goodput of the same policy at any load, percent.
    pub of_peak: f64,
    /// Goodput relative to the best baseline at the same load.
    pub ratio: f64,
    /// Interactive requests that ended in time, percent.
    pub interactive: SeedSpread,
    /// Batch requests that ended in time, requests a second.
    pub batch: SeedSpread,
    /// Greatest length of the queue, requests.
    pub longest: SeedSpread,
    /// Started requests that ended after their callers gave up, percent.
    pub wasted: SeedSpread,
    /// Goodput of the tenant with the least goodput relative to that of the flooding tenant.
    pub fairness: SeedSpread,
    /// Longest time in which a batch request waits and none starts, milliseconds.
    pub batch_gap_ms: SeedSpread,
}

/// Generates the arrivals of one run at a load relative to capacity.
fn generate_arrivals(seed: u64, load: f64) -> Vec<QueueArrival> {
    let mut rng = seeded_rng(seed);
    let capacity = RESOURCES as f64 * f64::from(SLOTS) / SERVICE_MS;
    let tenants: f64 = TENANT_SHARES.iter().sum();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -rng.random_range(f64::EPSILON..1.0_f64).ln() / (capacity * load);
        if at >= RUN_MS as f64 {
            return arrivals;
        }
        let mut draw = rng.random::<f64>();
        let class = pick_share(CLASSES.iter().map(|class| class.share), &mut draw);
        let mut draw = rng.random_range(0.0..tenants);
        let tenant = pick_share(TENANT_SHARES.into_iter(), &mut draw);
        arrivals.push(QueueArrival {
            at: at as u64,
            class,
            tenant,
            resource: rng.random_range(0..RESOURCES),
            service_ms: (SERVICE_MS * rng.random_range(0.5..1.5)) as u64,
        });
    }
}

/// Returns the position of the share in which `draw` falls.
fn pick_share(shares: impl Iterator<Item = f64>, draw: &mut f64) -> usize {
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

/// Queue of a policy.
enum SimQueue {
    /// Queue of a baseline.
    Baseline {
        /// Waiting arrivals by class; all in the first queue without priority.
        queues: Vec<VecDeque<usize>>,
        /// Whether expired requests are dropped.
        expiry: bool,
        /// Whether each class has its own queue, by priority.
        priority: bool,
    },
    /// The admission queue.
    Admission(Box<AdmissionQueue>),
}

/// State of the simulation.
struct QueueSim<'a> {
    arrivals: &'a [QueueArrival],
    queue: SimQueue,
    /// Running requests on each resource.
    running: Vec<u32>,
    /// End times of the running requests, with the position of their arrival.
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    /// Requests that ended in time, by class and tenant.
    in_time: Vec<[u64; 4]>,
    /// Requests that started.
    started: u64,
    /// Requests that ended after their deadline.
    wasted: u64,
    /// Greatest length of the queue so far.
    longest: usize,
    /// Batch requests that wait.
    batch_waiting: usize,
    /// Last start of a batch request, or the time since when one waits.
    batch_started: u64,
    /// Longest gap between starts of batch requests so far, milliseconds.
    batch_gap: u64,
}

/// Returns the time at which the caller of an arrival gives up.
fn deadline_of(arrival: &QueueArrival) -> u64 {
    arrival.at + CLASSES[arrival.class].deadline_ms
}

/// Returns an arrival as work for the admission queue.
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

/// Creates an admission queue with the tenants and classes of the experiment.
fn admission_queue(tuning: AdmissionTuning) -> SimQueue {
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
    SimQueue::Admission(Box::new(queue))
}

/// Runs one policy on the arrivals of one seed.
fn run(arrivals: &[QueueArrival], policy: &QueuePolicy) -> QueueFigures {
    let baseline = |expiry, priority| SimQueue::Baseline {
        queues: vec![VecDeque::new(); CLASSES.len()],
        expiry,
        priority,
    };
    let mut sim = QueueSim {
        arrivals,
        queue: match policy {
            QueuePolicy::Fifo => baseline(false, false),
            QueuePolicy::FifoExpiry => baseline(true, false),
            QueuePolicy::Priority => baseline(true, true),
            QueuePolicy::Queue(tuning) => admission_queue(tuning.clone()),
        },
        running: vec![0; RESOURCES],
        ends: BinaryHeap::new(),
        in_time: vec![[0; 4]; CLASSES.len()],
        started: 0,
        wasted: 0,
        longest: 0,
        batch_waiting: 0,
        batch_started: 0,
        batch_gap: 0,
    };
    let mut next = 0;
    for now in 0..RUN_MS as Micros {
        let mut changed = now % TICK_MS == 0;
        while let Some(&Reverse((at, index))) = sim.ends.peek() {
            if at > now {
                break;
            }
            sim.ends.pop();
            end_request(&mut sim, now, index);
            changed = true;
        }
        while arrivals.get(next).is_some_and(|arrival| arrival.at <= now) {
            enqueue(&mut sim, now, next);
            next += 1;
            changed = true;
        }
        if changed {
            expire(&mut sim, now);
            while let Some(index) = pop_ready(&mut sim, now) {
                start_request(&mut sim, now, index);
            }
        }
    }
    figures_of(&sim)
}

/// Adds an arrival to the queue, unless the queue refuses it.
fn enqueue(sim: &mut QueueSim<'_>, now: u64, index: usize) {
    let arrival = &sim.arrivals[index];
    let (queued, length) = match &mut sim.queue {
        SimQueue::Baseline {
            queues, priority, ..
        } => {
            let queue = if *priority { arrival.class } else { 0 };
            queues[queue].push_back(index);
            (true, queues.iter().map(VecDeque::len).sum())
        }
        SimQueue::Admission(queue) => {
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

/// Drops expired requests from the queue.
fn expire(sim: &mut QueueSim<'_>, now: u64) {
    match &mut sim.queue {
        SimQueue::Baseline { queues, expiry, .. } => {
            if *expiry {
                for queue in queues {
                    queue.retain(|&index| deadline_of(&sim.arrivals[index]) > now);
                }
            }
        }
        SimQueue::Admission(queue) => {
            queue.expire(ClockTime::from_ms(now));
        }
    }
}

/// Takes the next request whose resource has a free slot from the queue.
fn pop_ready(sim: &mut QueueSim<'_>, now: u64) -> Option<usize> {
    let running = &sim.running;
    let free = |resource: usize| {
        let blocked = resource == 0 && BLOCKED_MS.contains(&now);
        running[resource] < SLOTS && !blocked
    };
    if (0..RESOURCES).all(|resource| !free(resource)) {
        return None;
    }
    match &mut sim.queue {
        SimQueue::Baseline { queues, .. } => {
            let arrivals = sim.arrivals;
            queues.iter_mut().find_map(|queue| {
                let position = queue
                    .iter()
                    .position(|&index| free(arrivals[index].resource))?;
                queue.remove(position)
            })
        }
        SimQueue::Admission(queue) => {
            let arrivals = sim.arrivals;
            let mut ready = |work: &QueuedWork| free(arrivals[work.key.0 as usize].resource);
            let work = queue.pop_ready(ClockTime::from_ms(now), &mut ready)?;
            Some(work.key.0 as usize)
        }
    }
}

/// Starts a request on its resource.
fn start_request(sim: &mut QueueSim<'_>, now: u64, index: usize) {
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

/// Ends a running request and counts it as in time or wasted.
fn end_request(sim: &mut QueueSim<'_>, now: u64, index: usize) {
    let arrival = &sim.arrivals[index];
    sim.running[arrival.resource] -= 1;
    if now <= deadline_of(arrival) {
        sim.in_time[arrival.class][arrival.tenant] += 1;
    } else {
        sim.wasted += 1;
    }
    if let SimQueue::Admission(queue) = &mut sim.queue {
        queue.record_key_ended(ClockTime::from_ms(now), RequestKey(index as u64));
    }
}

/// Returns the results of an ended simulation.
fn figures_of(sim: &QueueSim<'_>) -> QueueFigures {
    let seconds = RUN_MS as f64 / 1_000.0;
    let total_in_time: u64 = sim.in_time.iter().flatten().sum();
    let interactive: u64 = sim.in_time[0].iter().sum();
    let interactive_arrivals = sim
        .arrivals
        .iter()
        .filter(|arrival| arrival.class == 0)
        .count();
    let batch: u64 = sim.in_time[CLASSES.len() - 1].iter().sum();
    let goodput_of = |tenant: usize| sim.in_time.iter().map(|counts| counts[tenant]).sum::<u64>();
    let smallest = (1..4).map(goodput_of).min().unwrap_or(0);
    let open_gap = if sim.batch_waiting > 0 {
        RUN_MS - sim.batch_started
    } else {
        0
    };
    QueueFigures {
        goodput: total_in_time as f64 / seconds,
        interactive: 100.0 * interactive as f64 / interactive_arrivals.max(1) as f64,
        batch: batch as f64 / seconds,
        longest: sim.longest as f64,
        wasted: 100.0 * sim.wasted as f64 / sim.started.max(1) as f64,
        fairness: smallest as f64 / goodput_of(0).max(1) as f64,
        batch_gap_ms: sim.batch_gap.max(open_gap) as f64,
    }
}

/// Returns the compared policies with their names, baselines first.
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

/// Runs all policies at all loads and prints the results.
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
        run(&generate_arrivals(number, load), &policies[policy].1)
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
        let best_baseline = summaries[start..start + BASELINES]
            .iter()
            .map(|other| other.goodput.median)
            .fold(0.0, f64::max);
        summaries[index].of_peak = 100.0 * summaries[index].goodput.median / peak;
        summaries[index].ratio = summaries[index].goodput.median / best_baseline;
    }
    print_summaries(&summaries);
    summaries
}

/// Summarises the runs of one policy over all seeds; the caller sets `of_peak` and `ratio`.
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
                format_spread(&summary.goodput, 1),
                format!("{:.1}", summary.of_peak),
                format!("{:.2}", summary.ratio),
                format_spread(&summary.interactive, 1),
                format_spread(&summary.batch, 1),
                format_spread(&summary.longest, 0),
                format_spread(&summary.wasted, 1),
                format_spread(&summary.fairness, 2),
                format_spread(&summary.batch_gap_ms, 0),
            ]
        })
        .collect();
    print_table(&heading, &rows);
}
