//! Load records of hosts and load summaries of failure domains.

use crate::effect::MembershipEffect;
use crate::settings::DisseminationLayout;
use crate::state::MembershipState;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Load deltas that a host's record can hold.
///
/// At the planned peak a host sends about 7 requests a second, so a record rarely exceeds 20.
pub const MAX_RECORD_DELTAS: usize = 64;
/// Load deltas that a summary can hold; a summary then takes about 130 bytes.
///
/// With 32, summaries often did not fit into what the budget left, and more of them were stale.
pub const MAX_SUMMARY_DELTAS: usize = 16;

/// A record or summary with the time it was made, by the own clock.
#[derive(Clone, Debug)]
pub struct TimedEntry<T> {
    /// Content.
    pub content: T,
    /// Time.
    pub made_at: ClockTime,
}

/// Records and summaries.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    /// Catalogue version of the own deltas.
    pub own_catalog: u64,
    /// Own deltas.
    pub own_loads: Vec<TargetDelta>,
    /// Newest records of other hosts.
    pub hosts: BTreeMap<NameId, TimedEntry<HostRecord>>,
    /// Newest summaries of other failure domains.
    pub domains: BTreeMap<NameId, TimedEntry<DomainSummary>>,
}

/// Replaces the own deltas.
pub fn set_own(state: &mut MembershipState, catalog: u64, mut deltas: Vec<TargetDelta>) {
    keep_largest(&mut deltas, MAX_RECORD_DELTAS);
    state.loads.own_catalog = catalog;
    state.loads.own_loads = deltas;
}

/// Takes records; newer ones replace older ones of the same host.
pub fn receive_records(
    state: &mut MembershipState,
    now: ClockTime,
    records: Vec<HostRecord>,
    out: &mut Vec<MembershipEffect>,
) {
    for record in records {
        let Some(member) = state.members.get_mut(&record.host) else {
            continue;
        };
        let partitioned = state.settings.layout == DisseminationLayout::Partitioned;
        if partitioned && member.domain_id != state.domain_id {
            continue;
        }
        let known = state.loads.hosts.get(&record.host);
        if known.is_some_and(|known| known.content.stamp >= record.stamp) {
            continue;
        }
        let age = ClockTime::from_ms(u64::from(record.age_ms));
        let made_at = now.since(age);
        member.last_heard = member.last_heard.max(made_at);
        out.push(MembershipEffect::PeerLoads {
            host: member.host.clone(),
            catalog: record.catalog,
            age,
            deltas: record.loads.clone(),
        });
        let entry = TimedEntry {
            made_at,
            content: record,
        };
        state.loads.hosts.insert(entry.content.host, entry);
    }
}

/// Takes summaries; fresher ones replace staler ones of the same failure domain.
pub fn receive_summaries(
    state: &mut MembershipState,
    now: ClockTime,
    summaries: Vec<DomainSummary>,
    out: &mut Vec<MembershipEffect>,
) {
    for summary in summaries {
        if summary.domain == state.domain_id {
            continue;
        }
        let age = ClockTime::from_ms(u64::from(summary.age_ms));
        let made_at = now.since(age);
        let known = state.loads.domains.get(&summary.domain);
        if known.is_some_and(|known| known.made_at >= made_at) {
            continue;
        }
        let mut members = state.members.values();
        let Some(member) = members.find(|member| member.domain_id == summary.domain) else {
            continue;
        };
        out.push(MembershipEffect::DomainLoads {
            domain: member.domain.clone(),
            hosts: summary.hosts,
            catalog: summary.catalog,
            age,
            deltas: summary.loads.clone(),
        });
        let entry = TimedEntry {
            made_at,
            content: summary,
        };
        state.loads.domains.insert(entry.content.domain, entry);
    }
}

/// Picks records for a packet: the own one, then the freshest within the window age.
pub fn select_records(
    state: &MembershipState,
    now: ClockTime,
    recipient: NameId,
    mut bytes: usize,
) -> Vec<HostRecord> {
    let mut window = Vec::new();
    let own = own_record(state, now);
    let entries = fresh_entries(state, now, &state.loads.hosts);
    let others = entries.into_iter().map(|(age_ms, entry)| HostRecord {
        age_ms,
        ..entry.content.clone()
    });
    for record in std::iter::once(own).chain(others) {
        let size = encoded_len(&record);
        if record.host == recipient {
            continue;
        }
        if size > bytes {
            break;
        }
        bytes -= size;
        window.push(record);
    }
    window
}

/// Picks summaries of other failure domains for a packet, the freshest first.
pub fn select_summaries(
    state: &MembershipState,
    now: ClockTime,
    recipient: NameId,
    mut bytes: usize,
) -> Vec<DomainSummary> {
    let mut window = Vec::new();
    let entries = fresh_entries(state, now, &state.loads.domains);
    let others = entries.into_iter().map(|(age_ms, entry)| DomainSummary {
        age_ms,
        ..entry.content.clone()
    });
    for summary in others {
        let size = encoded_len(&summary);
        if summary.domain == recipient {
            continue;
        }
        if size > bytes {
            break;
        }
        bytes -= size;
        window.push(summary);
    }
    window
}

/// Makes the record of the own host.
pub fn own_record(state: &MembershipState, now: ClockTime) -> HostRecord {
    let uptime = now.since(state.first_tick.unwrap_or(now));
    HostRecord {
        host: state.id,
        stamp: state.settings.incarnation + uptime.as_ms(),
        age_ms: 0,
        catalog: state.loads.own_catalog,
        loads: state.loads.own_loads.clone(),
    }
}

/// Sums up the own failure domain.
///
/// Deltas relative to an older report than another host's are left out, as are hosts with another
/// catalogue version.
pub fn own_summary(state: &MembershipState, now: ClockTime) -> DomainSummary {
    let own = own_record(state, now);
    let mut age_sum = 0;
    let mut hosts = 1;
    let mut sums: BTreeMap<u16, TargetDelta> = BTreeMap::new();
    own.loads.iter().for_each(|load| add_load(&mut sums, load));
    for (id, member) in &state.members {
        if member.domain_id != state.domain_id || member.state != LivenessState::Alive {
            continue;
        }
        let Some(entry) = state.loads.hosts.get(id) else {
            continue;
        };
        hosts += 1;
        age_sum += now.since(entry.made_at).as_ms();
        if entry.content.catalog == own.catalog {
            let loads = entry.content.loads.iter();
            loads.for_each(|load| add_load(&mut sums, load));
        }
    }
    let mut loads: Vec<_> = sums.into_values().collect();
    keep_largest(&mut loads, MAX_SUMMARY_DELTAS);
    DomainSummary {
        domain: state.domain_id,
        age_ms: u32::try_from(age_sum / u64::from(hosts)).unwrap_or(u32::MAX),
        hosts,
        catalog: own.catalog,
        loads,
    }
}

fn add_load(sums: &mut BTreeMap<u16, TargetDelta>, load: &TargetDelta) {
    let sum = sums.entry(load.target).or_insert(TargetDelta {
        requests: 0,
        tokens: 0,
        ..*load
    });
    if load.sequence < sum.sequence {
        return;
    }
    if load.sequence > sum.sequence {
        *sum = *load;
        return;
    }
    sum.requests = sum.requests.saturating_add(load.requests);
    sum.tokens = sum.tokens.saturating_add(load.tokens);
}

fn keep_largest(loads: &mut Vec<TargetDelta>, limit: usize) {
    if loads.len() > limit {
        loads.sort_by_key(|load| Reverse((load.tokens, load.requests)));
        loads.truncate(limit);
    }
}

fn fresh_entries<'a, T>(
    state: &MembershipState,
    now: ClockTime,
    entries: &'a BTreeMap<NameId, TimedEntry<T>>,
) -> Vec<(u32, &'a TimedEntry<T>)> {
    let fresh = entries.values().filter_map(|entry| {
        let age = now.since(entry.made_at);
        let age_ms = u32::try_from(age.as_ms()).ok()?;
        (age <= state.settings.max_record_age).then_some((age_ms, entry))
    });
    let mut fresh: Vec<_> = fresh.collect();
    fresh.sort_by_key(|(age, _)| *age);
    fresh
}
