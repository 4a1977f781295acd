//! The choice among targets: the score is the estimated time to the first token or byte.

use crate::adapters::PresumedSlots;
use crate::index::SlotIndex;
use crate::prefix::PrefixHit;
use crate::query::{RouteChoice, RouteQuery, WorkKind};
use crate::table::{RouteTable, TargetEntry};
use crate::tuning::CandidateMode;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use rand::Rng;
use smallvec::SmallVec;

/// Holders of the adapter that are scored besides the sampled candidates.
const ADAPTER_HOLDERS: usize = 2;
/// Draws per wanted candidate before all are scored, since some drawn targets are unusable.
const DRAWS_PER_CANDIDATE: u32 = 3;

/// What the scores of one choice share.
struct ChoiceInput<'a, 'q> {
    table: &'a RouteTable,
    now: ClockTime,
    query: &'a RouteQuery<'q>,
    hits: SmallVec<[PrefixHit; 4]>,
    adapter: Option<AdapterInput<'a>>,
}

/// Where the adapter of a choice is, and what loading it costs.
struct AdapterInput<'a> {
    holders: &'a [u32],
    presumed: PresumedSlots,
    cost_ms: f64,
}

/// Best candidate so far.
#[derive(Default)]
struct BestCandidate {
    slot: Option<u32>,
    score: f64,
    estimate_ms: f64,
    avoided: bool,
    busy_ms: Option<f64>,
    usable: u32,
}

/// Chooses a target.
pub(crate) fn choose(
    table: &RouteTable,
    now: ClockTime,
    query: &RouteQuery<'_>,
    rng: &mut SeededRng,
) -> RouteChoice {
    let (index, name): (&SlotIndex, &str) = match query.work {
        WorkKind::Model { model, .. } => (&table.copies, model.as_str()),
        WorkKind::Service { service } => (&table.services, service.as_str()),
    };
    let slots = index.get(name);
    let input = ChoiceInput {
        table,
        now,
        query,
        hits: table.prefixes.hits(now, query.prefix_blocks),
        adapter: adapter_of(table, now, query.work),
    };
    let mut best = BestCandidate::default();
    // A target that refused may have had no room for the adapter; one that holds it needs none.
    if let Some(adapter) = input.adapter.as_ref().filter(|_| !query.tried.is_empty()) {
        for &slot in adapter.holders {
            consider_of(&input, slots, slot, rng, &mut best);
        }
        if best.slot.is_some() {
            return answer(table, query.work, &best);
        }
        best = BestCandidate::default();
    }
    match table.tuning.mode {
        CandidateMode::Sampled(count)
            if slots.len() > (count as usize).max(table.tuning.scan_limit) =>
        {
            sample(&input, slots, count, rng, &mut best);
            // The sample may hold only unusable targets, or only ones in the domain to be left.
            if best.slot.is_none() || best.avoided {
                best = BestCandidate::default();
                scan(&input, slots, rng, &mut best);
            }
        }
        _ => scan(&input, slots, rng, &mut best),
    }
    answer(table, query.work, &best)
}

fn answer(table: &RouteTable, work: &WorkKind, best: &BestCandidate) -> RouteChoice {
    if let Some(entry) = best
        .slot
        .and_then(|slot| table.entries[slot as usize].as_ref())
    {
        if invariant!(
            entry.is_usable(),
            "no_unusable_target_chosen",
            "{}",
            entry.spec.name
        ) {
            return RouteChoice::Target {
                target: entry.spec.name.clone(),
                estimate: ClockTime::from_ms(best.estimate_ms as u64),
            };
        }
    }
    if let Some(busy_ms) = best.busy_ms {
        return RouteChoice::Busy {
            estimate: ClockTime::from_ms(busy_ms as u64),
        };
    }
    let loadable = matches!(work, WorkKind::Model { .. })
        && table
            .entries
            .iter()
            .flatten()
            .any(|entry| entry.spec.kind == TargetKind::Engine && entry.is_usable());
    if loadable {
        RouteChoice::NotResident
    } else {
        RouteChoice::Unavailable
    }
}

fn adapter_of<'a>(
    table: &'a RouteTable,
    now: ClockTime,
    work: &WorkKind,
) -> Option<AdapterInput<'a>> {
    let WorkKind::Model {
        adapter: Some(adapter),
        ..
    } = work
    else {
        return None;
    };
    Some(AdapterInput {
        holders: table.copies.get(adapter.as_str()),
        presumed: table.transit.presumed(now, adapter),
        cost_ms: table.transit.cost(now).as_ms() as f64,
    })
}

fn scan(input: &ChoiceInput<'_, '_>, slots: &[u32], rng: &mut SeededRng, best: &mut BestCandidate) {
    for &slot in slots {
        consider(input, slot, rng, best);
    }
}

fn sample(
    input: &ChoiceInput<'_, '_>,
    slots: &[u32],
    count: u32,
    rng: &mut SeededRng,
    best: &mut BestCandidate,
) {
    for hit in &input.hits {
        consider_of(input, slots, hit.slot, rng, best);
    }
    if let Some(adapter) = &input.adapter {
        let holders = adapter.holders;
        for _ in 0..holders.len().min(ADAPTER_HOLDERS) {
            consider_of(
                input,
                slots,
                holders[rng.random_range(0..holders.len())],
                rng,
                best,
            );
        }
        for &slot in adapter.presumed.iter().take(ADAPTER_HOLDERS) {
            consider_of(input, slots, slot, rng, best);
        }
    }
    let wanted = best.usable + count;
    for _ in 0..count * DRAWS_PER_CANDIDATE {
        if best.usable >= wanted {
            return;
        }
        let slot = slots[rng.random_range(0..slots.len())];
        consider(input, slot, rng, best);
    }
}

/// Considers a slot if it is among those that hold the model.
fn consider_of(
    input: &ChoiceInput<'_, '_>,
    slots: &[u32],
    slot: u32,
    rng: &mut SeededRng,
    best: &mut BestCandidate,
) {
    if slots.binary_search(&slot).is_ok() {
        consider(input, slot, rng, best);
    }
}

fn consider(input: &ChoiceInput<'_, '_>, slot: u32, rng: &mut SeededRng, best: &mut BestCandidate) {
    let Some(entry) = input.table.entries[slot as usize].as_ref() else {
        return;
    };
    if !entry.is_usable() || input.query.tried.contains(&entry.spec.name) {
        return;
    }
    let estimate_ms = estimate(input, slot, entry);
    let requests = entry.load.requests().max(entry.in_flight);
    if requests >= entry.limit.current() {
        let busy_ms = best.busy_ms.map_or(estimate_ms, |old| old.min(estimate_ms));
        best.busy_ms = Some(busy_ms);
        return;
    }
    best.usable += 1;
    let avoided = input.query.avoid_domain == Some(&entry.spec.domain);
    let jitter = 1.0 + input.table.tuning.jitter * rng.random::<f64>();
    let score = (estimate_ms + penalty(input, entry)) * jitter;
    let better = best.slot.is_none() || (avoided, score) < (best.avoided, best.score);
    if better {
        best.slot = Some(slot);
        best.score = score;
        best.estimate_ms = estimate_ms;
        best.avoided = avoided;
    }
}

/// Estimates the time to the first token or byte, milliseconds.
fn estimate(input: &ChoiceInput<'_, '_>, slot: u32, entry: &TargetEntry) -> f64 {
    let tuning = &input.table.tuning;
    let load = &entry.load;
    let requests = f64::from(load.requests().max(entry.in_flight));
    let distance = entry.distance.as_ms() as f64;
    let fill = requests / f64::from(entry.limit.current());
    if let WorkKind::Service { .. } = input.query.work {
        let latency = entry.limit.latency().unwrap_or(tuning.occupancy_cost);
        return distance
            + latency.as_ms() as f64 * fill
            + tuning.occupancy_cost.as_ms() as f64 * fill;
    }
    let elapsed = input.now.since(load.backlog_at()).as_ms() as f64;
    let queue = (load.backlog() * 1000.0 / load.rate() - elapsed).max(0.0);
    let hit = input
        .hits
        .iter()
        .find(|hit| hit.slot == slot)
        .map_or(0.0, |hit| hit.share);
    let prefill = f64::from(input.query.input_tokens) * (1.0 - hit) * 1000.0 / load.rate();
    let adapter = input.adapter.as_ref().map_or(0.0, |adapter| {
        let loaded = adapter.holders.binary_search(&slot).is_ok();
        if loaded || adapter.presumed.contains(&slot) {
            0.0
        } else {
            adapter.cost_ms
        }
    });
    distance + queue + prefill + adapter + tuning.occupancy_cost.as_ms() as f64 * fill
}

fn penalty(input: &ChoiceInput<'_, '_>, entry: &TargetEntry) -> f64 {
    if entry.failures == 0.0 {
        return 0.0;
    }
    let tuning = &input.table.tuning;
    let failures = decayed_failures(entry, input.now, tuning.failure_half_life);
    failures * tuning.failure_penalty.as_ms() as f64
}

/// Returns the recent failures of a target, halved with each half-life since the last one.
pub(crate) fn decayed_failures(entry: &TargetEntry, now: ClockTime, half_life: ClockTime) -> f64 {
    let age = now.since(entry.failed_at).as_ms() as f64;
    entry.failures * 0.5_f64.powf(age / half_life.as_ms().max(1) as f64)
}
