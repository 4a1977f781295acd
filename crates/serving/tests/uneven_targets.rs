//! Engines with uneven machines and uneven calls, as many hosts choose among them by loads that they
//! know late.

mod common;

use common::uneven::{engine_calls, engine_scenario, run, summary, Policy, Scenario, POLICIES};
use common::{ms, record, sent_to, TestHost, SLOTS};
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use crocusyard_serving::targets::TargetKey;

/// Hosts and engines.
const HOSTS: usize = 60;
const ENGINES: usize = 30;

/// The loads, by name, at engines with this number of slots.
fn scenario(name: &str, slots: usize) -> Scenario {
    let size = (HOSTS, ENGINES, slots);
    // More slots make an engine run more calls, but its steps longer.
    let factor = match slots {
        12 => 0.5,
        24 => 1.0,
        _ => 1.15,
    };
    let calls = |per_s: f64, long, hot| engine_calls(ENGINES, per_s * factor, long, hot);
    match name {
        "pace" => engine_scenario(size, calls(8.0, 0.0, 1.0), true),
        "long" => engine_scenario(size, calls(7.0, 0.1, 1.0), false),
        "both" => engine_scenario(size, calls(6.0, 0.1, 1.0), true),
        "hot" => engine_scenario(size, calls(3.0, 0.05, 10.0), false),
        "full" => engine_scenario(size, calls(9.5, 0.02, 1.0), true),
        _ => engine_scenario(size, calls(10.0, 0.0, 1.0), false),
    }
}

/// Asserts that fewer streams are late than with the simpler policies, by this factor at least.
fn assert_fewer_late(name: &str, age_ms: u64, factor: f64) {
    let late = |policy| {
        let outcome = run(policy, scenario(name, 24), age_ms, 1);
        outcome.late_start + outcome.long_pause
    };
    let product = late(Policy::Product);
    for policy in [Policy::Slots, Policy::SlotsPace, Policy::TwoChoices] {
        let other = late(policy);
        assert!(
            product as f64 * factor <= other as f64,
            "{name}, reports {age_ms} ms old: {product} late streams, {other} with {policy:?}"
        );
    }
}

/// Guards against streams at engines that have become slow, and against hosts that all follow the
/// same fast engine.
#[test]
fn pace_that_changes_each_100_ms_makes_fewer_streams_late() {
    assert_fewer_late("pace", 250, 1.5);
    assert_fewer_late("pace", 2_000, 1.3);
}

/// Guards against long prompts that make streams pause which run beside them.
#[test]
fn long_prompts_beside_streams_make_fewer_streams_late() {
    assert_fewer_late("long", 2_000, 1.0);
    assert_fewer_late("both", 600, 1.3);
}

/// Guards against 60 hosts that follow the same old loads where all engines are alike.
#[test]
fn hosts_with_old_loads_do_not_follow_each_other() {
    assert_fewer_late("even", 2_000, 1.5);
}

/// Returns a host that knows engines with these models, which all report the usual pace.
fn paced_host(name: &str, engines: &[&str], hosts: usize) -> TestHost {
    let models: &[(&str, &[&str])] = &[("m", &[])];
    let records = engines.iter().map(|name| record(name, "a", models));
    let mut host = TestHost::named(name, &["m"], records.collect());
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(hosts)), ms(900));
    for engine in engines {
        let load = TargetLoad {
            running: 2,
            waiting: 0,
            slots: SLOTS,
            pace: Some(100),
        };
        let target = TargetName::new(engine);
        host.state
            .reduce(ServingEvent::Load { target, load }, ms(1_000));
    }
    host
}

fn prompt(tokens: u32) -> Vec<PromptPart> {
    vec![PromptPart { id: 7, tokens }]
}

/// Guards against 60 hosts that send to one idle target at once, because all see it as idle.
#[test]
fn hosts_that_see_the_same_idle_engine_spread_their_calls() {
    const COUNT: usize = 60;
    let mut idle = 0;
    for number in 0..COUNT {
        let name = format!("host-{number}");
        let engines: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
        let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
        let mut host = paced_host(&name, &engines, COUNT);
        let busy: Vec<(&str, u16)> = engines[1..].iter().map(|engine| (*engine, 3)).collect();
        host.report_load("other", &busy, ms(1_000));
        let (_, effects) = host.call_named(
            &format!("call-{number}"),
            common::route(CallKind::Stream { resumable: false }, 1),
            "m",
            ms(1_400),
        );
        idle += usize::from(sent_to(&effects) == ["e0"]);
    }
    assert!(
        (COUNT / 10..=COUNT / 2).contains(&idle),
        "{idle} of {COUNT} calls to the idle one of ten engines"
    );
}

/// Guards against prompts that are prefilled together and make the streams beside them pause for too
/// long; a call waits until the first event of the one before it, and is not refused meanwhile.
#[test]
fn prompts_that_would_cause_long_pauses_wait_for_each_other() {
    let mut host = paced_host("h", &["e1"], 1);
    let route = common::route(CallKind::Stream { resumable: false }, 1);
    let (first, effects) = host.prompt_call(route.clone(), "m", prompt(3_000), ms(1_010));
    assert_eq!(sent_to(&effects), ["e1"], "a long prompt alone is let in");
    let (_, effects) = host.prompt_call(route.clone(), "m", prompt(3_500), ms(1_020));
    assert!(
        effects.is_empty(),
        "both would take 170 ms, and 150 are allowed: {effects:?}"
    );
    let (_, effects) = host.prompt_call(route.clone(), "m", prompt(200), ms(1_030));
    assert_eq!(sent_to(&effects), ["e1"], "a small prompt need not wait");
    let event = ServingEvent::FirstEvent { key: first };
    let effects = host.state.reduce(event, ms(1_150));
    assert_eq!(sent_to(&effects), ["e1"]);
    // Small prompts are prefilled together.
    let mut host = paced_host("h", &["e1"], 1);
    for _ in 0..3 {
        let (_, effects) = host.prompt_call(route.clone(), "m", prompt(500), ms(1_010));
        assert_eq!(sent_to(&effects), ["e1"]);
    }
}

/// Guards against a limit on prefills, or a wait for a first event, where engines do not report
/// their pace.
#[test]
fn engines_without_pace_have_no_prefill_limit() {
    let models: &[(&str, &[&str])] = &[("m", &[])];
    let mut host = TestHost::new(&["m"], vec![record("e1", "a", models)]);
    let route = common::route(CallKind::Stream { resumable: false }, 1);
    for _ in 0..3 {
        let (_, effects) = host.prompt_call(route.clone(), "m", prompt(9_000), ms(1_010));
        assert_eq!(sent_to(&effects), ["e1"]);
    }
}

/// Guards against prompt tokens that stay counted after their calls have ended without an event.
#[test]
fn ended_calls_leave_no_prompt_tokens() {
    let mut host = paced_host("h", &["e1"], 1);
    let route = common::route(CallKind::Stream { resumable: false }, 1);
    let (begun, _) = host.prompt_call(route.clone(), "m", prompt(300), ms(1_010));
    let (lost, _) = host.prompt_call(route.clone(), "m", prompt(400), ms(1_010));
    let (left, _) = host.prompt_call(route, "m", prompt(500), ms(1_010));
    for _ in 0..2 {
        host.state
            .reduce(ServingEvent::FirstEvent { key: begun }, ms(1_020));
    }
    let outcome = AttemptOutcome::Lost {
        broken: false,
        started: false,
    };
    host.end(lost, outcome, ms(1_030));
    host.end(begun, AttemptOutcome::Answered { status: 200 }, ms(1_040));
    host.state
        .reduce(ServingEvent::CallerLeft { key: left }, ms(1_050));
    let engine = host.state.targets.get(&TargetName::new("e1"));
    let load = engine.expect("the engine is known").engine_load(ms(1_050));
    assert_eq!((load.own_tokens, load.own_requests), (0.0, 0.0));
    assert_eq!(load.prompt_tokens, 0.0);
}

/// Guards against ignoring the prompts that other hosts report, and the loads that targets reported
/// to them.
#[test]
fn reports_of_other_hosts_count() {
    let mut host = paced_host("h", &["e1", "e2"], 60);
    let target = TargetKey::of(&TargetName::new("e1"));
    let reports = TargetReports {
        prompts: vec![PromptReport::new(target, 60_000)],
        loads: vec![LoadReport {
            target,
            running: 6,
            waiting: 0,
            pace: 300,
            age_ms: 20,
        }],
        ..TargetReports::default()
    };
    host.state
        .reduce(ServingEvent::PeerTargets(reports), ms(1_050));
    let engine = host.state.targets.get(&TargetName::new("e1"));
    let load = engine.expect("the engine is known").engine_load(ms(1_050));
    assert!(load.requests >= 6.0 && load.pace > 2.0, "{load:?}");
    assert!(load.prompt_tokens > 1_000.0, "{load:?}");
    let own = host.state.targets.take_reports(ms(1_060));
    assert!(
        own.loads.len() <= 2,
        "no report is passed on twice: {own:?}"
    );
    assert!(own.loads.iter().all(|load| load.pace == 100), "{own:?}");
    assert!(host.state.targets.take_reports(ms(1_070)).is_empty());
}

/// Prints the figures of `docs/measurements-targets.md`.
#[test]
#[ignore = "prints a table"]
fn table_of_uneven_engines() {
    for slots in [12, 24, 48] {
        for name in ["even", "pace", "long", "both", "hot", "full"] {
            for age_ms in [50, 250, 600, 2_000, 5_000] {
                for policy in POLICIES {
                    let outcomes =
                        (1..=2).map(|seed| run(policy, scenario(name, slots), age_ms, seed));
                    println!(
                        "| {slots} | {name} | {age_ms} | {policy:?} {}",
                        summary(outcomes)
                    );
                }
            }
        }
    }
}
