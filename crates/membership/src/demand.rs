//! Demand by model, sent in rotating parts.
//!
//! Within a failure domain each host sends its own demand; between failure domains it sends the sum
//! over its failure domain. Demand moves slowly, so it fills only what other content leaves free.

use crate::effect::{DemandSource, MembershipEffect};
use crate::state::MembershipState;
use crocusyard_wire::prelude::*;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Entries of own demand in one packet; about 120 bytes.
pub const OWN_CHUNK_ENTRIES: usize = 24;
/// Entries of the failure domain's demand in one packet; about 300 bytes.
pub const DOMAIN_CHUNK_ENTRIES: usize = 60;

/// Demand of one host by model position.
#[derive(Clone, Debug, Default)]
pub struct HostDemand {
    /// Catalogue version of the positions.
    pub catalog: u64,
    /// Requests a minute by model position.
    pub models: BTreeMap<u16, u32>,
}

/// Demand of the hosts of the own failure domain, own host included.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    /// Entries by host.
    pub hosts: BTreeMap<NameId, HostDemand>,
    /// Last own model sent.
    own_cursor: Option<u16>,
    /// Last model of the failure domain sent.
    domain_cursor: Option<u16>,
}

/// Replaces the own demand; models that lost all demand stay with zero.
pub fn set_own(state: &mut MembershipState, catalog: u64, demand: Vec<ModelDemand>) {
    let entry = state.demand.hosts.entry(state.id).or_default();
    if entry.catalog != catalog {
        *entry = HostDemand::default();
        entry.catalog = catalog;
    }
    entry.models.values_mut().for_each(|rate| *rate = 0);
    for model in demand {
        entry.models.insert(model.model, model.per_minute);
    }
}

/// Takes a chunk of a peer of the own failure domain, or of another failure domain.
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
        let models = chunk.entries.iter().map(|e| (e.model, e.per_minute));
        entry.models.extend(models);
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

/// Takes the next part of the own demand.
pub fn next_own_chunk(state: &mut MembershipState) -> Option<DemandChunk> {
    let entry = state.demand.hosts.get(&state.id)?;
    let entries = next_part(&entry.models, state.demand.own_cursor, OWN_CHUNK_ENTRIES);
    state.demand.own_cursor = entries.last().map(|last| last.model);
    Some(DemandChunk {
        source: state.id,
        catalog: entry.catalog,
        entries,
    })
    .filter(|chunk| !chunk.entries.is_empty())
}

/// Takes the next part of the failure domain's summed demand.
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
        // No host's part beyond this many entries can be among the smallest positions of the sum.
        let part = entry.models.range((after, Bound::Unbounded));
        for (model, rate) in part.take(DOMAIN_CHUNK_ENTRIES) {
            let sum = sums.entry(*model).or_default();
            *sum = sum.saturating_add(*rate);
        }
    }
    let entries = next_part(&sums, None, DOMAIN_CHUNK_ENTRIES);
    state.demand.domain_cursor = entries.last().map(|last| last.model);
    Some(DemandChunk {
        source: state.domain_id,
        catalog,
        entries,
    })
    .filter(|chunk| !chunk.entries.is_empty())
}

fn next_part(models: &BTreeMap<u16, u32>, after: Option<u16>, limit: usize) -> Vec<ModelDemand> {
    let after = match after {
        Some(last) => Bound::Excluded(last),
        None => Bound::Unbounded,
    };
    let part = models.range((after, Bound::Unbounded)).take(limit);
    part.map(|(&model, &per_minute)| ModelDemand { model, per_minute })
        .collect()
}
