//! Load pattern: the work of models is uneven, and models that need more of it need more copies.

mod common;

use common::placement::*;
use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use crocusyard_serving::work::{work_or_none, PLANNED_SLOTS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Models of the emulated fleet.
const MODELS: usize = 104;
/// Engines with room for two models each.
const FLEET: FleetSize = FleetSize {
    engines: 60,
    places: 2,
    loads_per_s: 4.0,
};
/// Calls of all models, 1/s.
const RATE: f64 = 520.0;

/// A load by Zipf's law on all models, whose calls have the given numbers of tokens.
fn zipf_load(tokens: impl Fn(usize) -> (u32, u32) + 'static) -> FleetLoad {
    let shares = zipf(MODELS, 0.7);
    FleetLoad {
        models: MODELS,
        rate: Box::new(move |index, _| shares[index] * RATE),
        tokens: Box::new(tokens),
        run_ms: 60_000,
        warm_up_ms: 10_000,
        with_tokens: true,
        seed: 7,
    }
}

/// Prompt and output tokens of an ordinary call.
fn short_calls(_: usize) -> (u32, u32) {
    (250, 150)
}

/// Long prompts for one model in eight.
fn mixed_calls(index: usize) -> (u32, u32) {
    if index % 8 == 3 {
        (4_000, 100)
    } else {
        short_calls(index)
    }
}

fn run(load: FleetLoad) -> FleetResult {
    PlacementFleet::new(FLEET, load).run()
}

fn print(name: &str, result: &FleetResult) {
    let total = result.total();
    println!(
        "{name}: {} calls, in time {:.4}, absent {}, full {}; loads {:?} (store, disk, memory), \
         {} unloads, {} within 20 s, at most {} loads in 5 s; busiest {:.1}, fewest copies {}",
        total.calls,
        total.share_in_time(),
        total.absent,
        total.full,
        result.loads,
        result.unloads,
        result.short_stays,
        result.loads_in_window,
        result.busiest,
        result.fewest_copies,
    );
}

/// Runs a load with and without the tokens of calls.
fn compare(name: &str, load: impl Fn() -> FleetLoad) -> (FleetResult, FleetResult) {
    let by_calls = run(FleetLoad {
        with_tokens: false,
        ..load()
    });
    let by_work = run(load());
    print(&format!("{name}, by calls"), &by_calls);
    print(&format!("{name}, by work"), &by_work);
    (by_calls, by_work)
}

/// Calls of all runs, and those that were answered in time.
fn sum<'a>(results: impl Iterator<Item = &'a FleetResult>) -> CallCounts {
    let mut sum = CallCounts::default();
    for counts in results.map(FleetResult::total) {
        sum.calls += counts.calls;
        sum.absent += counts.absent;
        sum.full += counts.full;
        sum.in_time += counts.in_time;
    }
    sum
}

/// Guards against models with long prompts that get as few copies as models with the same number of
/// calls in progress, so that their engines read prompts all the time and their streams begin late:
/// one model in eight has prompts of 4,000 tokens, the others of 250; 104 models on 60 engines with
/// room for two each, 520 calls/s by Zipf's law.
#[test]
fn models_with_long_prompts_get_more_copies() {
    let seeds = 1..=5;
    let runs: Vec<(FleetResult, FleetResult)> = seeds
        .map(|seed| {
            compare(&format!("long prompts, seed {seed}"), || FleetLoad {
                seed,
                ..zipf_load(mixed_calls)
            })
        })
        .collect();
    let by_calls = sum(runs.iter().map(|(by_calls, _)| by_calls));
    let by_work = sum(runs.iter().map(|(_, by_work)| by_work));
    println!("by calls {by_calls:?}, by work {by_work:?}");
    let late = |counts: &CallCounts| counts.calls - counts.in_time;
    assert!(
        f64::from(late(&by_work)) < 0.75 * f64::from(late(&by_calls)),
        "{by_work:?} by work, {by_calls:?} by calls"
    );
    assert!(by_work.full < by_calls.full);
}

/// Guards against tokens that get lost between the calls and the lease holder's plan, and against
/// tokens of ended calls that count on.
#[test]
fn tokens_of_calls_reach_the_totals() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    let (first, _) = host.stream("m", ms(2_000));
    host.stream("m", ms(2_000));
    let own = host.state.demand_report(ms(2_000));
    assert_eq!(own[0].work.tokens, 2 * (700 + 300));
    assert_eq!(own[0].work.prompt_rate, 2 * 700);
    let mut totals = DemandTotals::default();
    totals.update(&HostName::new("a"), own.clone(), ms(2_000));
    totals.update(&HostName::new("b"), own, ms(2_000));
    let sum = totals.total(ms(2_000))[0].work;
    assert_eq!((sum.tokens, sum.prompt_rate), (4_000, 2_800));
    host.end(first, AttemptOutcome::Answered { status: 200 }, ms(2_500));
    assert_eq!(host.state.demand_report(ms(2_500))[0].work.tokens, 1_000);
}

/// Guards against counting a prompt prefix that many calls share, and that their engine has cached,
/// once for each of them.
#[test]
fn shared_prompt_parts_are_not_counted() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    let part = |id, tokens| PromptPart { id, tokens };
    for last in [2, 3] {
        let prompt = vec![part(1, 2_000), part(last, 50)];
        let stream = CallKind::Stream { resumable: false };
        host.prompt_call(route(stream, 1), "m", prompt, ms(2_000));
    }
    let work = host.state.demand_report(ms(2_000))[0].work;
    assert_eq!((work.tokens, work.prompt_rate), (2 * (50 + 300), 2 * 50));
}

/// Slots that a model with 6 calls in progress is expected to need, if its calls have the given
/// work.
fn expected_slots(work: TokenWork) -> f64 {
    let mut trend = DemandTrend::default();
    let demand = ModelDemand {
        service: service(),
        need: CallNeed {
            model: model("m"),
            adapter: None,
        },
        in_progress: 6,
        waiting: 0,
        rate: 6.0,
        run_ms: Some(1_000),
        work,
    };
    trend.update(&[demand], ms(0));
    trend.expected_slots(&service(), &engine_rule(&["m"]), &model("m"), ms(0))
}

/// Guards against another number of copies for calls without token counts, and for calls with so
/// few tokens that slots bind.
#[test]
fn calls_with_few_tokens_count_by_their_number() {
    let few = TokenWork {
        tokens: 6 * 200,
        prompt_rate: 6 * 100,
    };
    for work in [TokenWork::default(), few] {
        let slots = expected_slots(work);
        assert!((slots - 6.0).abs() < 0.01, "{slots} slots for {work:?}");
    }
}

/// Guards against planning for slots alone where the memory for tokens or the reading of prompts
/// limits an engine.
#[test]
fn calls_with_many_tokens_need_more_slots() {
    let memory = TokenWork {
        // As many tokens as two engines of 80,000 hold; five are planned for them.
        tokens: 160_000,
        prompt_rate: 0,
    };
    let reading = TokenWork {
        tokens: 0,
        // As many tokens as two engines read all the time; seven are planned for them.
        prompt_rate: 77_400,
    };
    for work in [memory, reading] {
        let engines = expected_slots(work) / (f64::from(SLOTS) * PLANNED_SLOTS);
        assert!(engines > 4.9, "{engines} engines for {work:?}");
    }
}

/// A demand message without the tokens of calls, as hosts of an earlier version send it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierMessage {
    demands: Vec<u32>,
}

/// The same with the tokens.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Message {
    demands: Vec<u32>,
    #[serde(deserialize_with = "work_or_none")]
    work: Vec<TokenWork>,
}

/// Guards against hosts that cannot read each other's demand while a new version is rolled out,
/// which would leave the lease holder with the demand of a part of the hosts.
#[test]
fn demand_is_read_across_versions() {
    let work = TokenWork {
        tokens: 3_000,
        prompt_rate: 200,
    };
    let message = Message {
        demands: vec![1, 2],
        work: vec![work, TokenWork::default()],
    };
    let earlier = EarlierMessage {
        demands: vec![1, 2],
    };
    let encoded = postcard::to_stdvec(&message).expect("a message can be encoded");
    assert_eq!(postcard::from_bytes(&encoded), Ok(message));
    let encoded_earlier = postcard::to_stdvec(&earlier).expect("a message can be encoded");
    // Two varints of two bytes, two of one byte, and the length of the list.
    assert_eq!(encoded.len() - encoded_earlier.len(), 7);
    assert_eq!(
        postcard::from_bytes::<EarlierMessage>(&encoded),
        Ok(earlier)
    );
    let read: Message = postcard::from_bytes(&encoded_earlier).expect("an earlier message is read");
    assert!(read.work.is_empty(), "{read:?}");
}

/// A load that rises tenfold within 4 s for the model of a rank, from 20 s to 45 s.
fn rising_load(rank: usize) -> FleetLoad {
    let shares = zipf(MODELS, 0.7);
    FleetLoad {
        rate: Box::new(move |index, now| {
            let rise = (now as f64 - 20_000.0).clamp(0.0, 4_000.0) / 4_000.0;
            let is_hot = index == rank && now < 45_000;
            let factor = if is_hot { 1.0 + 9.0 * rise } else { 1.0 };
            shares[index] * RATE * factor
        }),
        ..zipf_load(short_calls)
    }
}

/// Guards against a model that becomes ten times as hot within 4 s and waits for copies while other
/// models keep several that are less full: 104 models on 60 engines with room for two each. The
/// model has 1 of 120 copies and gets 7 % of the calls.
#[test]
fn model_that_becomes_ten_times_as_hot_gets_copies() {
    const RANK: usize = 30;
    for seed in 1..=3 {
        let result = run(FleetLoad {
            seed,
            ..rising_load(RANK)
        });
        print(&format!("ten times as hot, seed {seed}"), &result);
        let hot = result.by_model[&RANK];
        let copies: Vec<usize> = result.copies.iter().map(|copies| copies[RANK]).collect();
        println!("  {hot:?}, copies by second: {copies:?}");
        assert!(
            copies[34] >= 4,
            "{} copies 11 s after the rise, seed {seed}: {copies:?}",
            copies[34]
        );
        assert!(
            copies[59] <= 2,
            "{} copies 15 s after the fall, seed {seed}: {copies:?}",
            copies[59]
        );
        assert!(result.total().share_in_time() > 0.97, "seed {seed}");
        assert_limits_kept(&result);
    }
}

/// Guards against copies that stay with models whose demand has moved to others: the favourites
/// change every 20 s.
#[test]
fn copies_follow_demand_that_moves() {
    let shares = zipf(MODELS, 0.7);
    let result = run(FleetLoad {
        rate: Box::new(move |index, now| {
            let shift = (now / 20_000) as usize * 13;
            shares[(index + shift) % MODELS] * RATE
        }),
        ..zipf_load(short_calls)
    });
    print("demand that moves", &result);
    assert!(result.total().share_in_time() > 0.91);
    assert_limits_kept(&result);
}

/// Asserts that every model kept a copy, as there is room for all, and that no more loads from the
/// weight store began within 5 s than allowed.
fn assert_limits_kept(result: &FleetResult) {
    assert!(result.fewest_copies >= 1, "a model lost its last copy");
    let limit = FLEET.loads_per_s * 5.0;
    assert!(result.loads_in_window as f64 <= limit);
}

/// A tracker with one engine that began to load `m` at 0 ms.
fn loading_tracker(name: &TargetName) -> OrderTracker {
    let mut orders = OrderTracker::default();
    orders.sync_engines(&BTreeMap::from([(name.clone(), 1)]));
    let load = OrderAction::LoadModel(model("m"));
    orders.receive_report(name, &engine_report(0, &[], false), ms(0));
    orders.begin(&service(), name, &load, ms(0));
    orders.receive_answer(name, &load, OrderAnswer::Accepted, ms(600), ms(5));
    orders
}

/// Guards against loads from the memory or disk of engines that use up the limit of the weight
/// store, and against a load from the store that is not counted because the engine once listed the
/// weights as its own.
#[test]
fn only_short_loads_leave_the_limit_alone() {
    let rule = engine_rule(&["m"]);
    let name = TargetName::new("t1");
    let limit = 10;
    for (ended_at, counted) in [(700, 0), (1_400, 0), (1_900, 1), (5_000, 1)] {
        let mut orders = loading_tracker(&name);
        assert_eq!(orders.loads_left(&service(), &rule, ms(600)), limit - 1);
        orders.receive_report(&name, &engine_report(1, &[], true), ms(650));
        assert_eq!(orders.loads_left(&service(), &rule, ms(650)), limit - 1);
        let report = engine_report(1, &[("m", &[])], false);
        orders.receive_report(&name, &report, ms(ended_at));
        let left = orders.loads_left(&service(), &rule, ms(ended_at));
        assert_eq!(left, limit - counted, "a load that ended at {ended_at} ms");
    }
    // A load that failed may have read from the weight store.
    let mut orders = loading_tracker(&name);
    orders.receive_report(&name, &engine_report(1, &[], false), ms(700));
    assert_eq!(orders.loads_left(&service(), &rule, ms(700)), limit - 1);
}

/// Guards against counting a load that is not known to be short when its answer was lost.
#[test]
fn load_without_an_answer_counts() {
    let rule = engine_rule(&["m"]);
    let name = TargetName::new("t1");
    let mut orders = OrderTracker::default();
    orders.sync_engines(&BTreeMap::from([(name.clone(), 1)]));
    orders.receive_report(&name, &engine_report(0, &[], false), ms(0));
    let load = OrderAction::LoadModel(model("m"));
    orders.begin(&service(), &name, &load, ms(0));
    orders.receive_answer(&name, &load, OrderAnswer::Unknown, ms(600), ms(400));
    orders.receive_report(&name, &engine_report(1, &[("m", &[])], false), ms(700));
    assert_eq!(orders.loads_left(&service(), &rule, ms(700)), 9);
}
