//! Many hosts that send calls to fake targets, and know their loads from reports of a given age.

use super::fake_target::{FakeEvent, FakeRun, FakeTarget, Kind};
use super::{ms, record, route, service};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_serving::choose::{choose_target, OwnHost};
use crocusyard_serving::prelude::*;
use rand::Rng;
use std::collections::VecDeque;

/// How hosts choose targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's choice.
    Product,
    /// Lowest load per slot, with the product's random term.
    Slots,
    /// Lowest load per slot times the reported pace, with the same random term.
    SlotsPace,
    /// The less loaded of two targets drawn at random.
    TwoChoices,
}

pub const POLICIES: [Policy; 4] = [
    Policy::Product,
    Policy::Slots,
    Policy::SlotsPace,
    Policy::TwoChoices,
];

/// Calls that arrive in one ms.
pub type Arrivals = Box<dyn Fn(u64, &mut SeededRng) -> Vec<NewCall>>;

/// Change of the targets at a time, ms.
pub type Change = Box<dyn Fn(u64, &mut [FakeTarget], &mut SeededRng)>;

/// A load: who calls what, and how the targets behave.
pub struct Scenario {
    pub hosts: usize,
    pub targets: Vec<(FakeTarget, Vec<&'static str>)>,
    pub call: Arrivals,
    pub change: Change,
    pub length_ms: u64,
}

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct NewCall {
    pub model: Option<&'static str>,
    pub prompt: u32,
    pub output: u32,
    pub route: RouteRule,
}

struct OpenCall {
    info: CallInfo,
    host: usize,
    arrived: u64,
    sent: u64,
    expected_ms: f64,
    target: Option<usize>,
    tried: Vec<TargetName>,
    timing: StreamTiming,
    events: u64,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub calls: usize,
    pub late_start: usize,
    pub long_pause: usize,
    pub failed: usize,
    /// Calls that a target has failed at least once.
    pub hit: usize,
    /// Calls that were not answered at the end of the run.
    pub open: usize,
}

impl Outcome {
    /// Fraction of the calls that were late, failed or unanswered.
    pub fn bad(&self) -> f64 {
        let bad = self.late_start + self.long_pause + self.failed + self.open;
        bad as f64 / self.calls as f64
    }
}

struct Run {
    policy: Policy,
    scenario: Scenario,
    age_ms: u64,
    tables: Vec<TargetTable>,
    targets: Vec<FakeTarget>,
    names: Vec<TargetName>,
    calls: Vec<OpenCall>,
    queues: Vec<VecDeque<usize>>,
    rng: SeededRng,
    now: u64,
    outcome: Outcome,
}

/// Runs a load with hosts that choose by `policy` and report to each other every `age_ms`.
pub fn run(policy: Policy, scenario: Scenario, age_ms: u64, seed: u64) -> Outcome {
    let targets = scenario.targets.iter().map(|(target, _)| target.clone());
    let targets: Vec<FakeTarget> = targets.collect();
    let records: Vec<TargetRecord> = scenario
        .targets
        .iter()
        .enumerate()
        .map(|(number, (target, models))| {
            let models: Vec<(&str, &[&str])> =
                models.iter().map(|name| (*name, &[] as &[&str])).collect();
            let mut record = record(&format!("t{number}"), "a", &models);
            record.slots = target.slots as u32;
            record
        })
        .collect();
    let mut table = TargetTable::default();
    for record in &records {
        table.upsert(record.clone(), ms(0));
    }
    let mut run = Run {
        policy,
        age_ms,
        tables: vec![table; scenario.hosts],
        names: records.into_iter().map(|record| record.name).collect(),
        targets,
        calls: Vec::new(),
        queues: vec![VecDeque::new(); scenario.hosts],
        rng: seeded_rng(seed),
        now: 0,
        outcome: Outcome::default(),
        scenario,
    };
    while run.now < run.scenario.length_ms {
        run.step();
    }
    for call in &run.calls {
        run.outcome.open += usize::from(call.target.is_some());
    }
    run.outcome.open += run.queues.iter().map(VecDeque::len).sum::<usize>();
    run.outcome.calls = run.calls.len();
    run.outcome
}

impl Run {
    fn step(&mut self) {
        self.now += 1;
        (self.scenario.change)(self.now, &mut self.targets, &mut self.rng);
        // The last second is for the calls in progress.
        if self.now + 1_500 < self.scenario.length_ms {
            for call in (self.scenario.call)(self.now, &mut self.rng) {
                self.arrive(call);
            }
        }
        for host in 0..self.tables.len() {
            let offset = host as u64 * self.age_ms / self.tables.len() as u64;
            if (self.now + offset) % self.age_ms == 0 {
                self.report(host);
            }
            for _ in 0..self.queues[host].len() {
                let number = self.queues[host].pop_front().expect("a call waits");
                if !self.send(number) {
                    self.queues[host].push_front(number);
                    break;
                }
            }
        }
        for target in 0..self.targets.len() {
            for event in self.targets[target].tick(&mut self.rng) {
                self.handle(target, event);
            }
        }
    }

    fn arrive(&mut self, new: NewCall) {
        let number = self.calls.len();
        let now = ms(self.now);
        let host = self.rng.random_range(0..self.tables.len());
        let info = CallInfo {
            id: format!("call-{number}-{}", self.rng.random::<u32>()).into(),
            service: service(),
            need: new.model.map(|name| CallNeed {
                model: ModelName::new(name),
                adapter: None,
            }),
            prompt: Vec::new(),
            prompt_tokens: new.prompt,
            output_tokens: new.output,
            deadline: now + new.route.timeout,
            start_deadline: now + new.route.start_timeout,
            digest: CallDigest(number as u64),
            route: new.route,
            key: None,
            tenant: None,
            cost: 1,
        };
        self.calls.push(OpenCall {
            info,
            host,
            arrived: self.now,
            sent: self.now,
            expected_ms: 0.0,
            target: None,
            tried: Vec::new(),
            timing: StreamTiming::new(now),
            events: 0,
        });
        self.queues[host].push_back(number);
    }

    /// Sends a call if its host chooses a target.
    fn send(&mut self, number: usize) -> bool {
        let call = &self.calls[number];
        let Some(name) = self.choose(&self.tables[call.host], call) else {
            return false;
        };
        let target = self.names.iter().position(|known| *known == name);
        let target = target.expect("the target is known");
        let call = &mut self.calls[number];
        let table = &mut self.tables[call.host];
        if call.info.need.is_some() {
            let expected = table.get(&name).map(|state| {
                let figures = table.figures(&call.info.service);
                let prompt = f64::from(call.info.prompt_tokens);
                figures.time_to_first_event(&state.engine_load(ms(self.now)), prompt)
            });
            call.expected_ms = expected.unwrap_or_default();
        }
        call.sent = self.now;
        table.count_sent(&name);
        table.count_prompt(&name, &call.info);
        call.target = Some(target);
        call.tried.push(name);
        let run = FakeRun::new(
            number,
            call.info.prompt_tokens,
            call.info.output_tokens.max(1),
        );
        self.targets[target].add(run);
        true
    }

    fn choose(&self, table: &TargetTable, call: &OpenCall) -> Option<TargetName> {
        let now = ms(self.now);
        let domain = DomainName::new("a");
        if self.policy == Policy::Product {
            let own = OwnHost {
                domain: &domain,
                fraction: 1.0 / self.tables.len() as f64,
                report_interval: ms(self.age_ms),
            };
            return choose_target(table, &call.info, &call.tried, own, now).ok();
        }
        let model = call.info.model();
        let candidates = table.of_service(&call.info.service).filter(|state| {
            model.is_none_or(|model| state.holds(model, None))
                && state.has_free_slot(model, now)
                && !call.tried.contains(&state.record.name)
        });
        let draw = |state: &crocusyard_serving::targets::TargetState, salt: u8| {
            call.info.random_unit(&(&state.record.name, salt))
        };
        let per_slot = |load: f64, slots: u32| load / f64::from(slots);
        let best = match self.policy {
            Policy::TwoChoices => {
                let mut drawn: Vec<_> = candidates.collect();
                drawn.sort_by(|a, b| draw(a, 0).total_cmp(&draw(b, 0)));
                drawn
                    .into_iter()
                    .take(2)
                    .min_by_key(|state| (state.load(now), call.tried.len()))
            }
            _ => {
                let cost = |state: &&crocusyard_serving::targets::TargetState| {
                    let load = f64::from(state.load(now));
                    let load = match (self.policy, state.pace(now)) {
                        (Policy::SlotsPace, Some(pace)) => (load + 1.0) * pace,
                        _ => load + 1.0,
                    };
                    let spread = if model.is_some() {
                        0.1
                    } else {
                        0.04 * self.tables.len() as f64
                    };
                    per_slot(load, state.slots()) - (-draw(state, 1).ln()).ln() * -spread
                };
                candidates.min_by(|a, b| cost(a).total_cmp(&cost(b)))
            }
        };
        best.map(|state| state.record.name.clone())
    }

    /// Sends the report of a host to all others.
    fn report(&mut self, host: usize) {
        let now = ms(self.now);
        let name = HostName::new(&format!("h{host}"));
        let load = self.tables[host].own_load();
        let reports = self.tables[host].take_reports(now);
        for (other, table) in self.tables.iter_mut().enumerate() {
            if other != host {
                table.update_peer(&name, load.clone(), now);
                table.receive_reports(&reports, now);
            }
        }
    }

    fn handle(&mut self, target: usize, event: FakeEvent) {
        let now = ms(self.now);
        let (FakeEvent::Output { call: number, .. } | FakeEvent::Answer { call: number, .. }) =
            event;
        let call = &mut self.calls[number];
        let table = &mut self.tables[call.host];
        let name = &self.names[target];
        let (running, waiting) = self.targets[target].counts();
        let load = TargetLoad {
            running,
            waiting,
            slots: self.targets[target].slots as u32,
            pace: Some((self.targets[target].pace * 100.0) as u32),
        };
        if call.events == 0 {
            table.update_load(name, load, now);
        }
        call.events += 1;
        match event {
            FakeEvent::Output { is_last, .. } => {
                call.timing.record_events(call.events, now);
                if call.events == 1 {
                    table.count_first_event(name, &call.info);
                    let took = (self.now - call.sent) as f64;
                    let figures = table.figures_mut(&call.info.service);
                    figures.record_start(took, call.expected_ms);
                }
                if is_last {
                    call.target = None;
                    if let (Some(gap), Some(state)) = (call.timing.mean_gap_ms(), table.get(name)) {
                        let load = state.engine_load(now);
                        table.figures_mut(&call.info.service).record_gap(gap, &load);
                    }
                    table.count_ended(name);
                    table.count_tokens_ended(name, &call.info, true);
                    match call.timing.result(&call.info.route, true) {
                        StreamResult::LateStart => self.outcome.late_start += 1,
                        StreamResult::LongPause => self.outcome.long_pause += 1,
                        _ => {}
                    }
                }
            }
            FakeEvent::Answer { status, .. } => {
                call.target = None;
                table.count_ended(name);
                table.count_tokens_ended(name, &call.info, false);
                table.record_answer(name, status >= 500, now);
                if status < 500 {
                    let late = self.now - call.arrived > call.info.route.latency_objective.as_ms();
                    self.outcome.late_start += usize::from(late);
                    return;
                }
                self.outcome.hit += usize::from(call.tried.len() == 1);
                let route = &call.info.route;
                if route.kind.may_repeat() && call.tried.len() < route.max_attempts as usize {
                    call.events = 0;
                    self.queues[call.host].push_front(number);
                } else {
                    self.outcome.failed += 1;
                }
            }
        }
    }
}

/// Plain calls at `per_s`; one in three cannot be repeated.
pub fn plain_calls(per_s: f64) -> Arrivals {
    Box::new(move |_, rng| {
        let is_due = rng.random::<f64>() < per_s / 1_000.0;
        let kind = if rng.random::<f64>() < 1.0 / 3.0 {
            CallKind::NonIdempotent
        } else {
            CallKind::Idempotent
        };
        let call = NewCall {
            model: None,
            prompt: 0,
            output: 1,
            route: route(kind, 2),
        };
        is_due.then_some(call).into_iter().collect()
    })
}

/// Plain targets that run calls for 60 ms; the first `failing` ones fail half of them until
/// `until_ms`.
pub fn plain_scenario(failing: usize, until_ms: u64, per_s: f64) -> Scenario {
    const RUN_MS: f64 = 60.0;
    let sound = Kind::Plain {
        run_ms: RUN_MS,
        failing: 0.0,
    };
    Scenario {
        hosts: 60,
        targets: vec![(FakeTarget::new(sound, 8), Vec::new()); 3],
        call: plain_calls(per_s),
        change: Box::new(move |now, targets, _| {
            let rate = if now < until_ms { 0.5 } else { 0.0 };
            for target in &mut targets[..failing] {
                target.kind = Kind::Plain {
                    run_ms: RUN_MS,
                    failing: rate,
                };
            }
        }),
        length_ms: 20_000,
    }
}

/// Models that the engines hold, two each.
const MODELS: [&str; 10] = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];

/// Calls to engines: `per_s` to each engine on average, `long` of them with a long prompt, and with
/// the first model called `hot` times as often as the others from 4 s on.
pub fn engine_calls(engines: usize, per_s: f64, long: f64, hot: f64) -> Arrivals {
    Box::new(move |now, rng| {
        let mut calls = Vec::new();
        let rate = per_s * engines as f64 / 1_000.0 / MODELS.len() as f64;
        for (number, model) in MODELS.iter().enumerate() {
            let factor = if number == 0 && now >= 4_000 {
                hot
            } else {
                1.0
            };
            if rng.random::<f64>() >= rate * factor {
                continue;
            }
            let is_long = rng.random::<f64>() < long;
            let mut route = route(CallKind::Stream { resumable: false }, 1);
            route.latency_objective = ms(if is_long { 3_000 } else { 400 });
            route.pause_objective = Some(ms(200));
            calls.push(NewCall {
                model: Some(model),
                prompt: if is_long {
                    rng.random_range(4_000..8_000)
                } else {
                    rng.random_range(100..1_200)
                },
                output: rng.random_range(40..320),
                route,
            });
        }
        calls
    })
}

/// Engines of which each sixth changes its pace every 100 ms if `changes_pace` is set.
pub fn engine_scenario(
    (hosts, engines, slots): (usize, usize, usize),
    call: Arrivals,
    changes_pace: bool,
) -> Scenario {
    let held = |number: usize| {
        let first = MODELS[number % MODELS.len()];
        let second = MODELS[(number * 3 + 1 + number / MODELS.len()) % MODELS.len()];
        vec![first, second]
    };
    Scenario {
        hosts,
        targets: (0..engines)
            .map(|number| (FakeTarget::new(Kind::Engine, slots), held(number)))
            .collect(),
        call,
        change: Box::new(move |now, targets, rng| {
            if changes_pace && now % 100 == 0 {
                for target in targets.iter_mut().step_by(6) {
                    target.pace = [1.0, 1.5, 2.0, 3.0, 4.0][rng.random_range(0..5)];
                }
            }
        }),
        length_ms: 12_000,
    }
}

/// Returns the figures of several runs as columns of a table: calls, and percentages of late first
/// events, long pauses, calls failed by a first target, failed calls and open calls.
pub fn summary(outcomes: impl Iterator<Item = Outcome>) -> String {
    let outcomes: Vec<Outcome> = outcomes.collect();
    let sum = |count: fn(&Outcome) -> usize| outcomes.iter().map(count).sum::<usize>();
    let calls = sum(|outcome| outcome.calls);
    let percent = |count| sum(count) as f64 * 100.0 / calls as f64;
    format!(
        "| {calls} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
        percent(|outcome| outcome.late_start),
        percent(|outcome| outcome.long_pause),
        percent(|outcome| outcome.hit),
        percent(|outcome| outcome.failed),
        percent(|outcome| outcome.open),
    )
}
