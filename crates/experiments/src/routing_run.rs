//! One run of the routing experiment: several hosts choose targets at the same time by lagged load
//! reports.
//!
//! Every policy gets the same arrivals and lags. Each engine sends a report every half lag, which
//! reaches the hosts after another half lag. The newest known load is therefore between a half and
//! a whole lag old.

use crate::deployment::{model_name, Workload};
use crate::engine::{Engine, EngineJob, Micros};
use crate::policy::{choose, route_query, target_name, PolicyChoice, PolicyState, RoutePolicy};
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

/// Time between two exchanges of load deltas of one host.
const DELTA_INTERVAL: Micros = 200_000;
/// Delay of a message between hosts.
const HOST_DELAY: Micros = 2_000;
/// Most load deltas in one exchange; more would exceed the byte budget.
const MAX_DELTAS: usize = 24;
/// Time after which a host tries a request again if every holder was busy.
const RETRY_INTERVAL: Micros = 10_000;
/// Probability that a batch of cache events is lost.
const BATCH_LOSS: f64 = 0.05;
/// Decode slots of an engine.
const SLOTS: u32 = 64;
/// Limit of the time to the first token, milliseconds.
const FIRST_TOKEN_LIMIT_MS: f64 = 1_700.0;
/// Length of the windows in which arrivals at each target are counted.
const BURST_WINDOW: Micros = 250_000;

/// Results of one run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RunFigures {
    /// Median time to the first token, milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the time to the first token, milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of the time to the first token, milliseconds.
    pub p99_ms: f64,
    /// Share of requests whose first token came within the limit.
    pub attainment: f64,
    /// Share of prompt tokens found in the cache.
    pub hits: f64,
    /// Arrivals at the busiest target of a window relative to the mean target, 99th percentile over
    /// windows.
    pub burst: f64,
}

/// Event of the simulation.
#[derive(Debug)]
enum SimEvent {
    /// A request arrives, or is tried again.
    Arrive(usize),
    /// The prefill of a target ends.
    PrefillDone(usize),
    /// The decoding of a request ends.
    DecodeDone(usize),
    /// A target sends its load report and cache events.
    SendReport(usize),
    /// The report of a target reaches the hosts, with its cache events unless they are lost.
    Report(Arc<LoadReport>, usize, Option<Arc<CacheBatch>>),
    /// A host sends its load deltas.
    SendDeltas(usize),
    /// The load deltas of a host reach the other hosts.
    Deltas(usize, Arc<Vec<LoadDelta>>),
}

/// Event with its time; `order` sorts events of the same time.
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

/// State of the simulation.
struct RoutingSim<'a> {
    workload: &'a Workload,
    policy: &'a RoutePolicy,
    lag: Micros,
    hosts: Vec<PolicyState>,
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<TimedEvent>>,
    /// Number of scheduled events.
    order: u64,
    rng: SeededRng,
    /// Target of each arrival.
    sent_to: Vec<usize>,
    /// Sequence number of the last report of each target.
    sequences: Vec<u64>,
    /// Whether the next cache events of a target are its whole cache, because a host missed some.
    needs_resync: Vec<bool>,
    /// Time to the first token of each arrival, milliseconds.
    first_token_ms: Vec<f64>,
    /// Arrivals at each target, by window.
    windows: Vec<Vec<u32>>,
    /// Number of requests that ended.
    ended: usize,
}

/// Runs one policy on one workload.
pub fn run(workload: &Workload, policy: &RoutePolicy, lag_ms: u64, seed: u64) -> RunFigures {
    let mut sim = new_sim(workload, policy, lag_ms, seed);
    while let Some(Reverse(timed)) = sim.events.pop() {
        handle_event(&mut sim, timed.at, timed.event);
        if sim.ended == workload.arrivals.len() {
            break;
        }
    }
    figures_of(&sim)
}

/// Creates the simulation and schedules the arrivals, the first reports and the first deltas.
fn new_sim<'a>(
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
            .map(|host| new_host(workload, policy, host))
            .collect(),
        engines: workload
            .prefill_rates
            .iter()
            .map(|&rate| Engine::new(rate, SLOTS, 1_200, 24))
            .collect(),
        events: BinaryHeap::new(),
        order: 0,
        rng: seeded_rng(seed ^ 0x5eed),
        sent_to: vec![0; workload.arrivals.len()],
        sequences: vec![0; size.targets],
        needs_resync: vec![false; size.targets],
        first_token_ms: vec![0.0; workload.arrivals.len()],
        windows: vec![vec![0; size.targets]; windows],
        ended: 0,
    };
    for target in 0..size.targets {
        // Reports of the targets are spread over the interval, like polls of real targets.
        let offset = sim.lag / 2 * target as u64 / size.targets as u64;
        schedule(&mut sim, offset, SimEvent::SendReport(target));
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

/// Creates the state of a policy on one host, which has the first report of every target.
fn new_host(workload: &Workload, policy: &RoutePolicy, host: usize) -> PolicyState {
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
        table.apply_report(ClockTime::ZERO, idle_report(workload, target));
    }
    PolicyState {
        table,
        reported: vec![0; size.targets],
        in_flight: vec![0; size.targets],
        last_turns: vec![host; size.models],
    }
}

/// Returns the report of an idle target, without adapters.
fn idle_report(workload: &Workload, target: usize) -> LoadReport {
    LoadReport {
        target: target_name(target),
        sequence: 0,
        incarnation: 1,
        age: ClockTime::ZERO,
        running: 0,
        waiting: 0,
        queued_tokens: 0,
        prefill_rate: workload.prefill_rates[target],
        decode_rate: 40.0,
        memory_bytes: 1 << 36,
        copies: workload.placement[target]
            .iter()
            .map(|&model| resident_copy(model_name(model).into()))
            .collect(),
        leaving: false,
    }
}

fn resident_copy(name: Arc<str>) -> CopyReport {
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

fn clock_time(at: Micros) -> ClockTime {
    ClockTime::from_ms(at / 1_000)
}

fn handle_event(sim: &mut RoutingSim<'_>, at: Micros, event: SimEvent) {
    match event {
        SimEvent::Arrive(index) => arrive(sim, at, index),
        SimEvent::PrefillDone(target) => prefill_done(sim, at, target),
        SimEvent::DecodeDone(index) => decode_done(sim, at, index),
        SimEvent::SendReport(target) => send_report(sim, at, target),
        SimEvent::Report(report, target, batch) => receive_report(sim, at, &report, target, batch),
        SimEvent::SendDeltas(host) => {
            let deltas = Arc::new(sim.hosts[host].table.take_deltas(MAX_DELTAS));
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
                    state.table.apply_delta(clock_time(at), &name, delta);
                }
            }
        }
    }
}

/// Chooses a target for an arrival and queues it there, or schedules another try.
fn arrive(sim: &mut RoutingSim<'_>, at: Micros, index: usize) {
    let arrival = &sim.workload.arrivals[index];
    let state = &mut sim.hosts[arrival.host];
    let now = clock_time(at);
    let choice = choose(sim.policy, state, sim.workload, now, arrival, &mut sim.rng);
    let PolicyChoice::Target(target) = choice else {
        schedule(sim, at + RETRY_INTERVAL, SimEvent::Arrive(index));
        return;
    };
    state.in_flight[target] += 1;
    if matches!(sim.policy, RoutePolicy::Table(_)) {
        state
            .table
            .record_sent(now, &target_name(target), &route_query(arrival));
    }
    sim.sent_to[index] = target;
    if let Some(window) = sim.windows.get_mut((at / BURST_WINDOW) as usize) {
        window[target] += 1;
    }
    sim.engines[target].enqueue(EngineJob {
        request: index,
        input_tokens: arrival.input_tokens,
        output_tokens: arrival.output_tokens,
        prefix: arrival.prefix.clone(),
        adapter: arrival.adapter.clone(),
    });
    start_prefill(sim, at, target);
}

/// Starts the next prefill of a target if one can start.
fn start_prefill(sim: &mut RoutingSim<'_>, at: Micros, target: usize) {
    if let Some(duration) = sim.engines[target].start_prefill() {
        schedule(sim, at + duration, SimEvent::PrefillDone(target));
    }
}

fn prefill_done(sim: &mut RoutingSim<'_>, at: Micros, target: usize) {
    if let Some((index, decode)) = sim.engines[target].finish_prefill() {
        sim.first_token_ms[index] = (at - sim.workload.arrivals[index].at) as f64 / 1_000.0;
        schedule(sim, at + decode, SimEvent::DecodeDone(index));
    }
    start_prefill(sim, at, target);
}

fn decode_done(sim: &mut RoutingSim<'_>, at: Micros, index: usize) {
    let target = sim.sent_to[index];
    let state = &mut sim.hosts[sim.workload.arrivals[index].host];
    state.in_flight[target] -= 1;
    if matches!(sim.policy, RoutePolicy::Table(_)) {
        let first = ClockTime::from_ms(sim.first_token_ms[index] as u64);
        state
            .table
            .record_ended(clock_time(at), &target_name(target), Some(first));
    }
    sim.engines[target].running -= 1;
    sim.ended += 1;
    start_prefill(sim, at, target);
}

/// Sends the load report and the cache events of a target, and schedules the next report.
fn send_report(sim: &mut RoutingSim<'_>, at: Micros, target: usize) {
    let half_lag = sim.lag / 2;
    sim.sequences[target] += 1;
    let engine = &mut sim.engines[target];
    let mut report = idle_report(sim.workload, target);
    report.sequence = sim.sequences[target];
    report.age = clock_time(half_lag);
    report.running = engine.running;
    report.waiting = engine.waiting();
    report.queued_tokens = engine.queued_tokens();
    report
        .copies
        .extend(engine.adapters().map(|name| resident_copy(name.clone())));
    let full = std::mem::take(&mut sim.needs_resync[target]);
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
    let lost = sim.rng.random_bool(BATCH_LOSS);
    let batch = (!lost).then(|| Arc::new(batch));
    schedule(
        sim,
        at + half_lag,
        SimEvent::Report(Arc::new(report), target, batch),
    );
    schedule(sim, at + half_lag, SimEvent::SendReport(target));
}

/// Applies a report and its cache events on all hosts.
fn receive_report(
    sim: &mut RoutingSim<'_>,
    at: Micros,
    report: &LoadReport,
    target: usize,
    batch: Option<Arc<CacheBatch>>,
) {
    let uses_table = matches!(sim.policy, RoutePolicy::Table(_));
    for state in &mut sim.hosts {
        state.reported[target] = report.running + report.waiting;
        if !uses_table {
            continue;
        }
        state.table.apply_report(clock_time(at), report.clone());
        if let Some(batch) = &batch {
            let outcome = state.table.apply_cache_batch(clock_time(at), batch);
            sim.needs_resync[target] |= outcome == BatchOutcome::Resync;
        }
    }
}

/// Returns the results of an ended simulation.
fn figures_of(sim: &RoutingSim<'_>) -> RunFigures {
    let mut sorted = sim.first_token_ms.clone();
    sorted.sort_by(f64::total_cmp);
    let in_time = sorted
        .iter()
        .filter(|&&first_token| first_token <= FIRST_TOKEN_LIMIT_MS)
        .count();
    let cached: u64 = sim.engines.iter().map(|engine| engine.saved_tokens).sum();
    let prompt_tokens: u64 = sim.engines.iter().map(|engine| engine.prompt_tokens).sum();
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
        attainment: in_time as f64 / sorted.len().max(1) as f64,
        hits: cached as f64 / prompt_tokens.max(1) as f64,
        burst: percentile(&bursts, 0.99),
    }
}
