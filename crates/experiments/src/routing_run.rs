//! One run of the routing experiment: several hosts choose at once on lagged reports.
//!
//! Every policy sees the same arrivals, reports and lags. Reports leave each engine every half lag
//! and reach the hosts after another half, so the newest known figures are between a half and a
//! whole lag old.

use crate::deployment::{model_name, Workload};
use crate::engine::{Engine, EngineJob, Micros};
use crate::policy::{choose, query_of, target_name, PolicyChoice, PolicyState, RoutePolicy};
use crate::table::percentile;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Time between two exchanges of deltas.
const DELTA_INTERVAL: Micros = 200_000;
/// One way between hosts.
const HOST_DELAY: Micros = 2_000;
/// Deltas in one exchange; more would not fit the byte budget.
const DELTAS_AT_ONCE: usize = 24;
/// A host that finds every holder busy asks again after this.
const RETRY_INTERVAL: Micros = 10_000;
/// Share of cache batches that are lost.
const LOST_BATCHES: f64 = 0.05;
/// Decode slots of an engine.
const SLOTS: u32 = 64;
/// First-token limit, milliseconds.
const FIRST_TOKEN_LIMIT_MS: f64 = 1_700.0;
/// Window in which bursts of arrivals at one target are counted.
const BURST_WINDOW: Micros = 250_000;
/// Result of one run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RunFigures {
    /// Median time to the first token, milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of it.
    pub p95_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
    /// Share of requests within the first-token limit.
    pub attainment: f64,
    /// Share of prompt tokens found in the cache.
    pub hits: f64,
    /// 99th percentile over windows of the busiest target's arrivals relative to the mean target.
    pub burst: f64,
}

#[derive(Debug)]
enum SimEvent {
    Arrive(usize),
    PrefillDone(usize),
    DecodeDone(usize),
    Snapshot(usize),
    Report(Arc<LoadReport>, usize, Option<Arc<CacheBatch>>),
    SendDeltas(usize),
    Deltas(usize, Arc<Vec<LoadDelta>>),
}

struct TimedEvent {
    at: Micros,
    order: u64,
    event: SimEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct RoutingSim<'a> {
    workload: &'a Workload,
    policy: &'a RoutePolicy,
    lag: Micros,
    hosts: Vec<PolicyState>,
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<TimedEvent>>,
    order: u64,
    rng: SeededRng,
    sent_to: Vec<usize>,
    sequences: Vec<u64>,
    wants_full: Vec<bool>,
    first_ms: Vec<f64>,
    windows: Vec<Vec<u32>>,
    ended: usize,
}

/// Runs one policy over one workload.
pub fn run(workload: &Workload, policy: &RoutePolicy, lag_ms: u64, seed: u64) -> RunFigures {
    let mut sim = sim_of(workload, policy, lag_ms, seed);
    while let Some(Reverse(timed)) = sim.events.pop() {
        step(&mut sim, timed.at, timed.event);
        if sim.ended == workload.arrivals.len() {
            break;
        }
    }
    figures_of(&sim)
}

fn sim_of<'a>(
    workload: &'a Workload,
    policy: &'a RoutePolicy,
    lag_ms: u64,
    seed: u64,
) -> RoutingSim<'a> {
    let size = &workload.size;
    let windows = (size.seconds * 1_000_000 / BURST_WINDOW) as usize + 1;
    let mut sim = RoutingSim {
        workload,
        policy,
        lag: lag_ms * 1_000,
        hosts: (0..size.hosts)
            .map(|host| host_of(workload, policy, host))
            .collect(),
        engines: workload
            .rates
            .iter()
            .map(|&rate| Engine::new(rate, SLOTS, 1_200, 24))
            .collect(),
        events: BinaryHeap::new(),
        order: 0,
        rng: seeded_rng(seed ^ 0x5eed),
        sent_to: vec![0; workload.arrivals.len()],
        sequences: vec![0; size.targets],
        wants_full: vec![false; size.targets],
        first_ms: vec![0.0; workload.arrivals.len()],
        windows: vec![vec![0; size.targets]; windows],
        ended: 0,
    };
    for target in 0..size.targets {
        // Spread over the interval, as polls of real targets are.
        let offset = sim.lag / 2 * target as u64 / size.targets as u64;
        schedule(&mut sim, offset, SimEvent::Snapshot(target));
    }
    for host in 0..size.hosts {
        let offset = DELTA_INTERVAL * host as u64 / size.hosts as u64;
        schedule(&mut sim, offset, SimEvent::SendDeltas(host));
    }
    for (index, arrival) in workload.arrivals.iter().enumerate() {
        schedule(&mut sim, arrival.at, SimEvent::Arrive(index));
    }
    sim
}

fn host_of(workload: &Workload, policy: &RoutePolicy, host: usize) -> PolicyState {
    let size = &workload.size;
    let domain_of = |index: usize| DomainName::new(&format!("domain-{}", index % size.domains));
    let tuning = match policy {
        RoutePolicy::Table(tuning) => (**tuning).clone(),
        _ => RouteTuning::default(),
    };
    let settings = RouteSettings {
        domain: domain_of(host),
    };
    let mut table = RouteTable::with_tuning(settings, tuning);
    let specs: Vec<TargetSpec> = (0..size.targets)
        .map(|target| TargetSpec {
            name: target_name(target),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: domain_of(target),
            kind: TargetKind::Engine,
            service: None,
            memory_bytes: 1 << 36,
            concurrency: SLOTS,
            checks_fencing: false,
            keeps_records: false,
        })
        .collect();
    table.set_targets(&specs);
    for target in 0..size.targets {
        table.apply_report(ClockTime::ZERO, first_report(workload, target));
    }
    PolicyState {
        table,
        reported: vec![0; size.targets],
        in_flight: vec![0; size.targets],
        turns: vec![host; size.models],
    }
}

fn first_report(workload: &Workload, target: usize) -> LoadReport {
    LoadReport {
        target: target_name(target),
        sequence: 0,
        incarnation: 1,
        age: ClockTime::ZERO,
        running: 0,
        waiting: 0,
        queued_tokens: 0,
        prefill_rate: workload.rates[target],
        decode_rate: 40.0,
        memory_bytes: 1 << 36,
        copies: workload.placement[target]
            .iter()
            .map(|&model| copy_of(model_name(model).into()))
            .collect(),
        leaving: false,
    }
}

fn copy_of(name: Arc<str>) -> CopyReport {
    CopyReport {
        name,
        memory_bytes: 1 << 30,
        state: CopyState::Resident,
    }
}

fn schedule(sim: &mut RoutingSim<'_>, at: Micros, event: SimEvent) {
    sim.order += 1;
    sim.events.push(Reverse(TimedEvent {
        at,
        order: sim.order,
        event,
    }));
}

fn clock_of(at: Micros) -> ClockTime {
    ClockTime::from_ms(at / 1_000)
}

fn step(sim: &mut RoutingSim<'_>, at: Micros, event: SimEvent) {
    match event {
        SimEvent::Arrive(index) => arrive(sim, at, index),
        SimEvent::PrefillDone(target) => prefill_done(sim, at, target),
        SimEvent::DecodeDone(index) => decode_done(sim, at, index),
        SimEvent::Snapshot(target) => snapshot(sim, at, target),
        SimEvent::Report(report, target, batch) => take_report(sim, at, &report, target, batch),
        SimEvent::SendDeltas(host) => {
            let deltas = Arc::new(sim.hosts[host].table.take_deltas(DELTAS_AT_ONCE));
            if !deltas.is_empty() {
                schedule(sim, at + HOST_DELAY, SimEvent::Deltas(host, deltas));
            }
            schedule(sim, at + DELTA_INTERVAL, SimEvent::SendDeltas(host));
        }
        SimEvent::Deltas(from, deltas) => {
            let name = HostName::new(&format!("host-{from}"));
            for (host, state) in sim.hosts.iter_mut().enumerate() {
                if host == from {
                    continue;
                }
                for delta in deltas.iter() {
                    state.table.apply_delta(clock_of(at), &name, delta);
                }
            }
        }
    }
}

fn arrive(sim: &mut RoutingSim<'_>, at: Micros, index: usize) {
    let arrival = &sim.workload.arrivals[index];
    let state = &mut sim.hosts[arrival.host];
    let now = clock_of(at);
    let choice = choose(sim.policy, state, sim.workload, now, arrival, &mut sim.rng);
    let PolicyChoice::Target(target) = choice else {
        schedule(sim, at + RETRY_INTERVAL, SimEvent::Arrive(index));
        return;
    };
    state.in_flight[target] += 1;
    if matches!(sim.policy, RoutePolicy::Table(_)) {
        state
            .table
            .record_sent(now, &target_name(target), &query_of(arrival));
    }
    sim.sent_to[index] = target;
    if let Some(window) = sim.windows.get_mut((at / BURST_WINDOW) as usize) {
        window[target] += 1;
    }
    sim.engines[target].push(EngineJob {
        request: index,
        input_tokens: arrival.input_tokens,
        output_tokens: arrival.output_tokens,
        prefix: arrival.prefix.clone(),
        adapter: arrival.adapter.clone(),
    });
    start(sim, at, target);
}

fn start(sim: &mut RoutingSim<'_>, at: Micros, target: usize) {
    if let Some(duration) = sim.engines[target].start() {
        schedule(sim, at + duration, SimEvent::PrefillDone(target));
    }
}

fn prefill_done(sim: &mut RoutingSim<'_>, at: Micros, target: usize) {
    if let Some((index, decode)) = sim.engines[target].finish_prefill() {
        sim.first_ms[index] = (at - sim.workload.arrivals[index].at) as f64 / 1_000.0;
        schedule(sim, at + decode, SimEvent::DecodeDone(index));
    }
    start(sim, at, target);
}

fn decode_done(sim: &mut RoutingSim<'_>, at: Micros, index: usize) {
    let target = sim.sent_to[index];
    let state = &mut sim.hosts[sim.workload.arrivals[index].host];
    state.in_flight[target] -= 1;
    if matches!(sim.policy, RoutePolicy::Table(_)) {
        let first = ClockTime::from_ms(sim.first_ms[index] as u64);
        state
            .table
            .record_ended(clock_of(at), &target_name(target), Some(first));
    }
    sim.engines[target].running -= 1;
    sim.ended += 1;
    start(sim, at, target);
}

fn snapshot(sim: &mut RoutingSim<'_>, at: Micros, target: usize) {
    let half = sim.lag / 2;
    sim.sequences[target] += 1;
    let engine = &mut sim.engines[target];
    let mut report = first_report(sim.workload, target);
    report.sequence = sim.sequences[target];
    report.age = clock_of(half);
    report.running = engine.running;
    report.waiting = engine.waiting();
    report.queued_tokens = engine.queued_tokens();
    report
        .copies
        .extend(engine.adapters().map(|name| copy_of(name.clone())));
    let full = std::mem::take(&mut sim.wants_full[target]);
    let (first, events) = engine.take_events();
    let batch = if full {
        let blocks = engine.all_blocks();
        let end = first + events.len() as u64;
        CacheBatch {
            target: target_name(target),
            incarnation: 1,
            first: end.saturating_sub(blocks.len() as u64),
            events: blocks,
            full,
        }
    } else {
        CacheBatch {
            target: target_name(target),
            incarnation: 1,
            first,
            events,
            full,
        }
    };
    let lost = sim.rng.random_bool(LOST_BATCHES);
    let batch = (!lost).then(|| Arc::new(batch));
    schedule(
        sim,
        at + half,
        SimEvent::Report(Arc::new(report), target, batch),
    );
    schedule(sim, at + half, SimEvent::Snapshot(target));
}

fn take_report(
    sim: &mut RoutingSim<'_>,
    at: Micros,
    report: &LoadReport,
    target: usize,
    batch: Option<Arc<CacheBatch>>,
) {
    let with_table = matches!(sim.policy, RoutePolicy::Table(_));
    for state in &mut sim.hosts {
        state.reported[target] = report.running + report.waiting;
        if !with_table {
            continue;
        }
        state.table.apply_report(clock_of(at), report.clone());
        if let Some(batch) = &batch {
            let progress = state.table.apply_cache_batch(clock_of(at), batch);
            sim.wants_full[target] |= progress == BatchOutcome::Resync;
        }
    }
}

fn figures_of(sim: &RoutingSim<'_>) -> RunFigures {
    let mut sorted = sim.first_ms.clone();
    sorted.sort_by(f64::total_cmp);
    let within = sorted
        .iter()
        .filter(|&&first| first <= FIRST_TOKEN_LIMIT_MS)
        .count();
    let saved: u64 = sim.engines.iter().map(|engine| engine.saved_tokens).sum();
    let prompts: u64 = sim.engines.iter().map(|engine| engine.prompt_tokens).sum();
    let mut bursts: Vec<f64> = sim
        .windows
        .iter()
        .map(|window| {
            let total: u32 = window.iter().sum();
            let busiest = window.iter().max().copied().unwrap_or(0);
            f64::from(busiest) * window.len() as f64 / f64::from(total.max(1))
        })
        .collect();
    bursts.sort_by(f64::total_cmp);
    RunFigures {
        p50_ms: percentile(&sorted, 0.5),
        p95_ms: percentile(&sorted, 0.95),
        p99_ms: percentile(&sorted, 0.99),
        attainment: within as f64 / sorted.len().max(1) as f64,
        hits: saved as f64 / prompts.max(1) as f64,
        burst: percentile(&bursts, 0.99),
    }
}
