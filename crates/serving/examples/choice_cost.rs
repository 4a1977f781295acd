//! Measures the time of one choice of a target with the planned number of targets and models, all of
//! them busy: p50, p99 and p99.9.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_serving::choose::{choose_target, OwnHost};
use crocusyard_serving::prelude::*;
use crocusyard_serving::targets::TargetKey;
use rand::Rng;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

const TARGETS: usize = 1_400;
const MODELS: usize = 1_900;
const SLOTS: u32 = 24;
const CHOICES: usize = 100_000;
const NOW: ClockTime = ClockTime::from_secs(1);

/// Models that a target holds: three of all, the earlier ones more often, and one of ten that many
/// targets hold.
fn held_models(number: usize, rng: &mut SeededRng) -> Vec<ModelName> {
    let draw = |rng: &mut SeededRng| (rng.random::<f64>().powi(2) * MODELS as f64) as usize;
    let mut models = vec![number * 2 % MODELS, draw(rng), draw(rng)];
    if number % 4 == 0 {
        models.push(number / 4 % 10);
    }
    let names = models
        .iter()
        .map(|model| ModelName::new(&format!("m{model}")));
    names.collect()
}

fn make_table(reports_pace: bool, is_full: bool) -> TargetTable {
    let mut rng = seeded_rng(1);
    let mut table = TargetTable::default();
    let mut loads = Vec::new();
    for number in 0..TARGETS {
        let name = TargetName::new(&format!("target-{number}"));
        let models = held_models(number, &mut rng).into_iter();
        let record = TargetRecord {
            name: name.clone(),
            service: ServiceName::new("engines"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            domain: DomainName::new(&format!("d{}", number % 10)),
            incarnation: 1,
            sequence: 1,
            slots: SLOTS,
            leaving: false,
            models: models.map(|model| (model, BTreeSet::new())).collect(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
        };
        table.upsert(record, NOW);
        let running = if is_full {
            SLOTS
        } else {
            rng.random_range(15..SLOTS)
        };
        loads.push((TargetKey::of(&name), running as u16));
        let load = TargetLoad {
            running,
            waiting: 0,
            slots: SLOTS,
            pace: reports_pace.then(|| rng.random_range(90..200)),
        };
        table.update_load(&name, load, NOW);
    }
    table.update_peer(&HostName::new("other"), loads.into_iter().collect(), NOW);
    table
}

fn make_call(number: usize, rng: &mut SeededRng) -> CallInfo {
    let model = (rng.random::<f64>().powi(3) * MODELS as f64) as usize;
    let route = RouteRule {
        name: RouteName::new("route"),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: CallKind::Stream { resumable: false },
        timeout: ClockTime::from_secs(20),
        latency_objective: ClockTime::from_ms(400),
        pause_objective: Some(ClockTime::from_ms(200)),
        start_timeout: ClockTime::from_secs(3),
        priority: 1,
        services: vec![(ServiceName::new("engines"), 1.0)],
        max_attempts: 1,
        anonymous: false,
    };
    CallInfo {
        id: format!("call-{number}").into(),
        service: ServiceName::new("engines"),
        need: Some(CallNeed {
            model: ModelName::new(&format!("m{model}")),
            adapter: None,
        }),
        prompt: vec![
            PromptPart {
                id: rng.random(),
                tokens: 400,
            },
            PromptPart {
                id: rng.random(),
                tokens: 300,
            },
        ],
        prompt_tokens: 700,
        output_tokens: 200,
        deadline: NOW + route.timeout,
        start_deadline: NOW + route.start_timeout,
        digest: CallDigest(number as u64),
        key: None,
        tenant: None,
        cost: 1,
        route,
    }
}

fn main() {
    let mut rng = seeded_rng(2);
    let calls: Vec<CallInfo> = (0..1_000)
        .map(|number| make_call(number, &mut rng))
        .collect();
    let domain = DomainName::new("d1");
    let own = OwnHost {
        domain: &domain,
        fraction: 1.0 / 360.0,
        report_interval: ClockTime::from_ms(3_750),
    };
    for (name, reports_pace, is_full) in [
        ("busy", false, false),
        ("busy, with pace", true, false),
        ("full", false, true),
        ("full, with pace", true, true),
    ] {
        let table = make_table(reports_pace, is_full);
        let mut times: Vec<u64> = (0..CHOICES)
            .map(|number| {
                let call = &calls[number % calls.len()];
                let start = Instant::now();
                let chosen = choose_target(&table, black_box(call), &[], own, NOW);
                let time = start.elapsed().as_nanos() as u64;
                black_box(chosen.is_ok());
                time
            })
            .collect();
        times.sort_unstable();
        let quantile = |fraction: f64| times[(CHOICES as f64 * fraction) as usize] as f64 / 1_000.0;
        println!(
            "{name}: p50 {:.2} us, p99 {:.2} us, p99.9 {:.2} us",
            quantile(0.5),
            quantile(0.99),
            quantile(0.999)
        );
    }
}
