//! Choice of a target for an attempt.
//!
//! The score of a candidate is its estimated time to the first token or byte, plus a penalty for
//! recent failures. The lowest score wins.

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

/// Number of targets that report the adapter, and also of targets that are presumed to have loaded
/// it, to score in addition to the sampled candidates.
const ADAPTER_CANDIDATES: usize = 2;
/// Largest number of random draws per wanted candidate, since some drawn targets are unusable.
const DRAWS_PER_CANDIDATE: u32 = 3;

/// Input common to all candidates of one choice.
struct ChoiceInput<'a, 'q> {
    table: &'a RouteTable,
    now: ClockTime,
    query: &'a RouteQuery<'q>,
    /// Expected prefix cache hits of the prompt.
    hits: SmallVec<[PrefixHit; 4]>,
    adapter: Option<AdapterInput<'a>>,
}

/// Targets with the adapter that a request asks for, and the cost of loading it elsewhere.
struct AdapterInput<'a> {
    /// Slots whose last report lists the adapter, in ascending order.
    resident: &'a [u32],
    /// Slots that loaded the adapter recently, by this host's own record.
    presumed: PresumedSlots,
    /// Expected time of a load.
    load_ms: f64,
}

/// Best candidate scored so far.
#[derive(Default)]
struct BestCandidate {
    /// `None` until a usable candidate is scored.
    slot: Option<u32>,
    score: f64,
    estimate_ms: f64,
    /// Whether the candidate is in the failure domain that the request should avoid.
    avoided: bool,
    /// Smallest estimate among targets at their concurrency limit.
    busy_ms: Option<f64>,
    /// Number of usable candidates scored so far; targets at their limit do not count.
    usable: u32,
}

/// Chooses a target for an attempt; see [`RouteTable::choose`].
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
        hits: table.prefix_hints.hits(now, query.prefix_blocks),
        adapter: adapter_of(table, now, query.work),
    };
    let mut best = BestCandidate::default();
    // The tried targets may have refused for lack of memory for the adapter, so a retry prefers
    // targets that already have the adapter.
    if let Some(adapter) = input.adapter.as_ref().filter(|_| !query.tried.is_empty()) {
        for &slot in adapter.resident {
            consider_listed(&input, slots, slot, rng, &mut best);
        }
        if best.slot.is_some() {
            return choice_from(table, query.work, &best);
        }
        best = BestCandidate::default();
    }
    match table.tuning.mode {
        CandidateMode::Sampled(count)
            if slots.len() > (count as usize).max(table.tuning.scan_limit) =>
        {
            sample(&input, slots, count, rng, &mut best);
            // The sample may contain only unusable targets, or only targets in the avoided domain.
            if best.slot.is_none() || best.avoided {
                best = BestCandidate::default();
                scan(&input, slots, rng, &mut best);
            }
        }
        _ => scan(&input, slots, rng, &mut best),
    }
    choice_from(table, query.work, &best)
}

/// Converts the best candidate into the result of a choice.
fn choice_from(table: &RouteTable, work: &WorkKind, best: &BestCandidate) -> RouteChoice {
    if let Some(entry) = best
        .slot
        .and_then(|slot| table.entries[slot as usize].as_ref())
    {
        if invariant!(
            entry.is_usable(),
            "no_unusable_target_chosen",
            "target {} was chosen although it may not be given new work",
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

/// Looks up the adapter that the request asks for, if any.
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
        resident: table.copies.get(adapter.as_str()),
        presumed: table.adapter_loads.presumed_slots(now, adapter),
        load_ms: table.adapter_loads.next_load_time(now).as_ms() as f64,
    })
}

/// Scores all targets that have the model or service.
fn scan(input: &ChoiceInput<'_, '_>, slots: &[u32], rng: &mut SeededRng, best: &mut BestCandidate) {
    for &slot in slots {
        consider(input, slot, rng, best);
    }
}

/// Scores targets with a cached prefix or the adapter, and `count` random ones.
fn sample(
    input: &ChoiceInput<'_, '_>,
    slots: &[u32],
    count: u32,
    rng: &mut SeededRng,
    best: &mut BestCandidate,
) {
    for hit in &input.hits {
        consider_listed(input, slots, hit.slot, rng, best);
    }
    if let Some(adapter) = &input.adapter {
        let resident = adapter.resident;
        for _ in 0..resident.len().min(ADAPTER_CANDIDATES) {
            consider_listed(
                input,
                slots,
                resident[rng.random_range(0..resident.len())],
                rng,
                best,
            );
        }
        for &slot in adapter.presumed.iter().take(ADAPTER_CANDIDATES) {
            consider_listed(input, slots, slot, rng, best);
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

/// Considers a slot if `slots`, the targets that have the model or service, contains it.
fn consider_listed(
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

/// Scores a target and keeps it if it is the best so far.
fn consider(input: &ChoiceInput<'_, '_>, slot: u32, rng: &mut SeededRng, best: &mut BestCandidate) {
    let Some(entry) = input.table.entries[slot as usize].as_ref() else {
        return;
    };
    if !entry.is_usable() || input.query.tried.contains(&entry.spec.name) {
        return;
    }
    let estimate_ms = estimate_ms(input, slot, entry);
    let requests = entry.load.requests().max(entry.in_flight);
    if requests >= entry.limit.current() {
        let busy_ms = best.busy_ms.map_or(estimate_ms, |old| old.min(estimate_ms));
        best.busy_ms = Some(busy_ms);
        return;
    }
    best.usable += 1;
    let avoided = input.query.avoid_domain == Some(&entry.spec.domain);
    let jitter = 1.0 + input.table.tuning.jitter * rng.random::<f64>();
    let score = (estimate_ms + failure_penalty_ms(input, entry)) * jitter;
    let better = best.slot.is_none() || (avoided, score) < (best.avoided, best.score);
    if better {
        best.slot = Some(slot);
        best.score = score;
        best.estimate_ms = estimate_ms;
        best.avoided = avoided;
    }
}

/// Estimates the time to the first token or byte, in milliseconds.
fn estimate_ms(input: &ChoiceInput<'_, '_>, slot: u32, entry: &TargetEntry) -> f64 {
    let tuning = &input.table.tuning;
    let load = &entry.load;
    let requests = f64::from(load.requests().max(entry.in_flight));
    let distance_ms = entry.distance.as_ms() as f64;
    let occupancy = requests / f64::from(entry.limit.current());
    if let WorkKind::Service { .. } = input.query.work {
        let latency = entry.limit.latency().unwrap_or(tuning.occupancy_cost);
        return distance_ms
            + latency.as_ms() as f64 * occupancy
            + tuning.occupancy_cost.as_ms() as f64 * occupancy;
    }
    let elapsed_ms = input.now.since(load.backlog_at()).as_ms() as f64;
    let queue_ms = (load.backlog_tokens() * 1000.0 / load.prefill_rate() - elapsed_ms).max(0.0);
    let cached = input
        .hits
        .iter()
        .find(|hit| hit.slot == slot)
        .map_or(0.0, |hit| hit.cached_fraction);
    let prefill_ms =
        f64::from(input.query.input_tokens) * (1.0 - cached) * 1000.0 / load.prefill_rate();
    let adapter_ms = input.adapter.as_ref().map_or(0.0, |adapter| {
        let is_loaded = adapter.resident.binary_search(&slot).is_ok();
        if is_loaded || adapter.presumed.contains(&slot) {
            0.0
        } else {
            adapter.load_ms
        }
    });
    distance_ms
        + queue_ms
        + prefill_ms
        + adapter_ms
        + tuning.occupancy_cost.as_ms() as f64 * occupancy
}

/// Returns the penalty for recent failures of a target, in milliseconds.
fn failure_penalty_ms(input: &ChoiceInput<'_, '_>, entry: &TargetEntry) -> f64 {
    if entry.failures == 0.0 {
        return 0.0;
    }
    let tuning = &input.table.tuning;
    let failures = decayed_failures(entry, input.now, tuning.failure_half_life);
    failures * tuning.failure_penalty.as_ms() as f64
}

/// Returns the number of failures of a target, halved for each half-life since the last failure.
pub(crate) fn decayed_failures(entry: &TargetEntry, now: ClockTime, half_life: ClockTime) -> f64 {
    entry.failures * now.since(entry.failed_at).decay_factor(half_life)
}
