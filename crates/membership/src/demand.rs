//! Demand by model, sent in chunks.
//!
//! To hosts of its failure domain, a host sends its own demand. To hosts of other failure domains,
//! it sends the sum over its failure domain. Each packet carries the chunk of models that follows
//! the previous one. Demand changes slowly, so it takes only the bytes that other content leaves
//! free.

use crate::effect::{DemandSource, MembershipEffect};
use crate::state::MembershipState;
use crocusyard_wire::prelude::*;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Models in one chunk of this host's demand; a full chunk takes about 120 bytes.
pub const OWN_CHUNK_MODELS: usize = 24;
/// Models in one chunk of the failure domain's demand; a full chunk takes about 300 bytes.
pub const DOMAIN_CHUNK_MODELS: usize = 60;

/// Demand of one host.
#[derive(Clone, Debug, Default)]
pub struct HostDemand {
    /// Catalogue version of the model positions.
    pub catalog: u64,
    /// Requests a minute by model position.
    pub rates: BTreeMap<u16, u32>,
}

/// Demand of all hosts of this host's failure domain, this host included.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    /// Demand by host.
    pub hosts: BTreeMap<NameId, HostDemand>,
    /// Last model of the previous chunk of this host's demand; `None` to start from the beginning.
    own_cursor: Option<u16>,
    /// Last model of the previous chunk of the failure domain's demand; `None` to start from the
    /// beginning.
    domain_cursor: Option<u16>,
}

/// Replaces the demand of this host.
///
/// Models without requests keep an entry of 0, so that peers learn that their demand has ended.
pub fn set_own(state: &mut MembershipState, catalog: u64, demand: Vec<ModelDemand>) {
    let entry = state.demand.hosts.entry(state.id).or_default();
    if entry.catalog != catalog {
        *entry = HostDemand::default();
        entry.catalog = catalog;
    }
    entry.rates.values_mut().for_each(|rate| *rate = 0);
    for model_demand in demand {
        entry
            .rates
            .insert(model_demand.model, model_demand.per_minute);
    }
}

/// Takes a chunk of a peer's demand, or of the demand of the peer's failure domain.
///
/// Ignores a peer's own demand if the peer is in another failure domain, and the summed demand of
/// this host's failure domain.
pub fn receive_chunk(
    state: &mut MembershipState,
    sender: NameId,
    chunk: DemandChunk,
    out: &mut Vec<MembershipEffect>,
) {
    let Some(member) = state.members.get(&sender) else {
        return;
    };
    let source = if chunk.source == sender && member.domain_id == state.domain_id {
        let entry = state.demand.hosts.entry(sender).or_default();
        if entry.catalog != chunk.catalog {
            *entry = HostDemand::default();
            entry.catalog = chunk.catalog;
        }
        let rates = chunk.entries.iter().map(|e| (e.model, e.per_minute));
        entry.rates.extend(rates);
        DemandSource::Host(member.host.clone())
    } else if chunk.source == member.domain_id && chunk.source != state.domain_id {
        DemandSource::Domain(member.domain.clone())
    } else {
        return;
    };
    out.push(MembershipEffect::DemandReceived {
        source,
        catalog: chunk.catalog,
        entries: chunk.entries,
    });
}

/// Returns the next chunk of this host's demand; `None` at the end of a rotation over all models.
pub fn next_own_chunk(state: &mut MembershipState) -> Option<DemandChunk> {
    let entry = state.demand.hosts.get(&state.id)?;
    let entries = next_models(&entry.rates, state.demand.own_cursor, OWN_CHUNK_MODELS);
    state.demand.own_cursor = entries.last().map(|last| last.model);
    Some(DemandChunk {
        source: state.id,
        catalog: entry.catalog,
        entries,
    })
    .filter(|chunk| !chunk.entries.is_empty())
}

/// Returns the next chunk of the failure domain's demand; `None` at the end of a rotation over all
/// models.
pub fn next_domain_chunk(state: &mut MembershipState) -> Option<DemandChunk> {
    let catalog = state.demand.hosts.get(&state.id)?.catalog;
    let after = match state.demand.domain_cursor {
        Some(last) => Bound::Excluded(last),
        None => Bound::Unbounded,
    };
    let mut sums: BTreeMap<u16, u32> = BTreeMap::new();
    for entry in state.demand.hosts.values() {
        if entry.catalog != catalog {
            continue;
        }
        // The chunk takes the models with the lowest positions, so of each host only as many models
        // as fit into one chunk can be in it.
        let rest = entry.rates.range((after, Bound::Unbounded));
        for (model, rate) in rest.take(DOMAIN_CHUNK_MODELS) {
            let sum = sums.entry(*model).or_default();
            *sum = sum.saturating_add(*rate);
        }
    }
    let entries = next_models(&sums, None, DOMAIN_CHUNK_MODELS);
    state.demand.domain_cursor = entries.last().map(|last| last.model);
    Some(DemandChunk {
        source: state.domain_id,
        catalog,
        entries,
    })
    .filter(|chunk| !chunk.entries.is_empty())
}

/// Returns the demand for the first `limit` models behind `after`.
fn next_models(rates: &BTreeMap<u16, u32>, after: Option<u16>, limit: usize) -> Vec<ModelDemand> {
    let after = match after {
        Some(last) => Bound::Excluded(last),
        None => Bound::Unbounded,
    };
    let next = rates.range((after, Bound::Unbounded)).take(limit);
    next.map(|(&model, &per_minute)| ModelDemand { model, per_minute })
        .collect()
}
