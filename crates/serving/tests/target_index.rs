//! The index of targets by service and model.

mod common;

use common::{held, ms, record, route, service};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_serving::prelude::*;
use rand::Rng;

fn call(model: Option<&str>) -> CallInfo {
    let route = route(CallKind::Stream { resumable: false }, 1);
    CallInfo {
        id: "call".into(),
        service: service(),
        need: model.map(|name| CallNeed {
            model: common::model(name),
            adapter: None,
        }),
        prompt: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        deadline: ms(100_000),
        start_deadline: ms(100_000),
        digest: CallDigest(1),
        route,
        key: None,
        tenant: None,
        cost: 1,
    }
}

/// Guards against targets that are not found, or found although they have lost a model, after any
/// sequence of records, reports of the lease holder, refusals and removals.
#[test]
fn targets_of_a_call_are_those_that_hold_its_model() {
    const MODELS: [&str; 3] = ["m0", "m1", "m2"];
    for seed in 1..=20 {
        let mut rng = seeded_rng(seed);
        let mut table = TargetTable::default();
        for step in 0..400 {
            let now = ms(step * rng.random_range(1..40));
            let name = format!("t{}", rng.random_range(0..6));
            let mut models: Vec<(&str, &[&str])> = MODELS.map(|name| (name, &[] as &[&str])).into();
            models.retain(|_| rng.random());
            let mut new = record(&name, "a", &models);
            let name = new.name.clone();
            match rng.random_range(0..5) {
                0 | 1 => {
                    new.incarnation = rng.random_range(1..3);
                    new.sequence = step;
                    new.leaving = rng.random_range(0..20) == 0;
                    if rng.random_range(0..4) == 0 {
                        new.service = ServiceName::new("others");
                    }
                    table.upsert(new, now);
                }
                2 => table.update_holdings(&name, rng.random_range(1..3), held(&models), now),
                3 => {
                    let model = common::model(MODELS[rng.random_range(0..3)]);
                    table.record_missing(&name, &model, None);
                }
                _ => table.remove(&name, now),
            }
            for wanted in MODELS.map(Some).into_iter().chain([None]) {
                let call = call(wanted);
                let found: Vec<&TargetName> = table
                    .for_call(&call)
                    .map(|state| &state.record.name)
                    .collect();
                let expected: Vec<&TargetName> = table
                    .iter()
                    .filter(|state| state.record.service == service() && !state.is_leaving())
                    .filter(|state| call.model().is_none_or(|model| state.holds(model, None)))
                    .map(|state| &state.record.name)
                    .collect();
                assert_eq!(found, expected, "seed {seed}, step {step}, {wanted:?}");
            }
        }
    }
}
