//! Load records of hosts and load summaries of failure domains.
//!
//! A load delta is what one host sent to one target since the target's last report. Hosts of one
//! failure domain exchange records, which hold the deltas of one host each. Failure domains
//! exchange summaries, which hold the summed deltas of their hosts.

use crate::effect::MembershipEffect;
use crate::settings::DisseminationLayout;
use crate::state::MembershipState;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Load deltas in one record.
///
/// At the planned peak a host sends about 7 requests a second, so a record rarely has more than 20
/// deltas.
pub const MAX_RECORD_DELTAS: usize = 64;
/// Load deltas in one summary; a full summary takes about 130 bytes.
///
/// With 32 deltas, summaries often exceeded the bytes that the budget left, so receivers had staler
/// ones.
pub const MAX_SUMMARY_DELTAS: usize = 16;

/// A received record or summary with its time of creation.
#[derive(Clone, Debug)]
pub struct TimedEntry<T> {
    /// Record or summary as it was received.
    pub content: T,
    /// Time of creation by this host's clock, computed from the age on arrival.
    pub created_at: ClockTime,
}

/// Load deltas of this host, and the newest records and summaries of others.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    /// Catalogue version of the target positions in `own_deltas`.
    pub own_catalog: u64,
    /// Load deltas of this host, at most [`MAX_RECORD_DELTAS`].
    pub own_deltas: Vec<TargetDelta>,
    /// Newest record of each other host; with the partitioned layout, only of this failure domain.
    pub hosts: BTreeMap<NameId, TimedEntry<HostRecord>>,
    /// Newest summary of each other failure domain.
    pub domains: BTreeMap<NameId, TimedEntry<DomainSummary>>,
}

/// Replaces the load deltas of this host and keeps the largest.
pub fn set_own(state: &mut MembershipState, catalog: u64, mut deltas: Vec<TargetDelta>) {
    keep_largest(&mut deltas, MAX_RECORD_DELTAS);
    state.loads.own_catalog = catalog;
    state.loads.own_deltas = deltas;
}

/// Stores received records that are newer than the known one of the same host.
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
        let created_at = now.since(age);
        member.last_seen = member.last_seen.max(created_at);
        out.push(MembershipEffect::PeerLoads {
            host: member.host.clone(),
            catalog: record.catalog,
            age,
            deltas: record.loads.clone(),
        });
        let entry = TimedEntry {
            created_at,
            content: record,
        };
        state.loads.hosts.insert(entry.content.host, entry);
    }
}

/// Stores received summaries that are newer than the known one of the same failure domain.
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
        let created_at = now.since(age);
        let known = state.loads.domains.get(&summary.domain);
        if known.is_some_and(|known| known.created_at >= created_at) {
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
            created_at,
            content: summary,
        };
        state.loads.domains.insert(entry.content.domain, entry);
    }
}

/// Selects records for a packet of which `bytes` are free: this host's own, then the newest others.
///
/// Leaves out the recipient's record and records older than `settings.max_record_age`.
pub fn select_records(
    state: &MembershipState,
    now: ClockTime,
    recipient: NameId,
    mut bytes: usize,
) -> Vec<HostRecord> {
    let mut selected = Vec::new();
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
        selected.push(record);
    }
    selected
}

/// Selects summaries of other failure domains for a packet of which `bytes` are free, newest first.
///
/// Leaves out the summary of `recipient_domain` and summaries older than
/// `settings.max_record_age`.
pub fn select_summaries(
    state: &MembershipState,
    now: ClockTime,
    recipient_domain: NameId,
    mut bytes: usize,
) -> Vec<DomainSummary> {
    let mut selected = Vec::new();
    let entries = fresh_entries(state, now, &state.loads.domains);
    let others = entries.into_iter().map(|(age_ms, entry)| DomainSummary {
        age_ms,
        ..entry.content.clone()
    });
    for summary in others {
        let size = encoded_len(&summary);
        if summary.domain == recipient_domain {
            continue;
        }
        if size > bytes {
            break;
        }
        bytes -= size;
        selected.push(summary);
    }
    selected
}

/// Creates the record of this host.
pub fn own_record(state: &MembershipState, now: ClockTime) -> HostRecord {
    let uptime = now.since(state.first_tick.unwrap_or(now));
    HostRecord {
        host: state.id,
        stamp: state.settings.incarnation + uptime.as_ms(),
        age_ms: 0,
        catalog: state.loads.own_catalog,
        loads: state.loads.own_deltas.clone(),
    }
}

/// Creates the summary of this host's failure domain from the records of its live hosts.
///
/// For each target, only the deltas relative to the newest report that any host has seen are
/// summed. Deltas with another catalogue version than this host's are left out.
pub fn own_summary(state: &MembershipState, now: ClockTime) -> DomainSummary {
    let own = own_record(state, now);
    let mut age_sum = 0;
    let mut hosts = 1;
    let mut sums: BTreeMap<u16, TargetDelta> = BTreeMap::new();
    own.loads
        .iter()
        .for_each(|delta| add_delta(&mut sums, delta));
    for (id, member) in &state.members {
        if member.domain_id != state.domain_id || member.state != LivenessState::Alive {
            continue;
        }
        let Some(entry) = state.loads.hosts.get(id) else {
            continue;
        };
        hosts += 1;
        age_sum += now.since(entry.created_at).as_ms();
        if entry.content.catalog == own.catalog {
            let deltas = entry.content.loads.iter();
            deltas.for_each(|delta| add_delta(&mut sums, delta));
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

/// Adds a delta to the sum of its target, or replaces the sum if the delta's report is newer.
fn add_delta(sums: &mut BTreeMap<u16, TargetDelta>, delta: &TargetDelta) {
    let sum = sums.entry(delta.target).or_insert(TargetDelta {
        requests: 0,
        tokens: 0,
        ..*delta
    });
    if delta.sequence < sum.sequence {
        return;
    }
    if delta.sequence > sum.sequence {
        *sum = *delta;
        return;
    }
    sum.requests = sum.requests.saturating_add(delta.requests);
    sum.tokens = sum.tokens.saturating_add(delta.tokens);
}

/// Keeps the `limit` deltas with the most tokens.
fn keep_largest(deltas: &mut Vec<TargetDelta>, limit: usize) {
    if deltas.len() > limit {
        deltas.sort_by_key(|delta| Reverse((delta.tokens, delta.requests)));
        deltas.truncate(limit);
    }
}

/// Returns the entries that are young enough to be passed on with their ages in milliseconds,
/// newest first.
fn fresh_entries<'a, T>(
    state: &MembershipState,
    now: ClockTime,
    entries: &'a BTreeMap<NameId, TimedEntry<T>>,
) -> Vec<(u32, &'a TimedEntry<T>)> {
    let fresh = entries.values().filter_map(|entry| {
        let age = now.since(entry.created_at);
        let age_ms = u32::try_from(age.as_ms()).ok()?;
        (age <= state.settings.max_record_age).then_some((age_ms, entry))
    });
    let mut fresh: Vec<_> = fresh.collect();
    fresh.sort_by_key(|(age, _)| *age);
    fresh
}
