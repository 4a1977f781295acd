//! Following the newest committed version: polls of the pointer row, versions of peers, fetches of
//! bodies, and whether this host is up to date.

use crate::effect::{BodySource, PresetEffect};
use crate::event::PresetVersion;
use crate::row::{digest_of, PresetRow, CURRENT_KEY};
use crate::state::{backoff, PresetState};
use crocusyard_base::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Peers that are kept as sources of a body.
const MAX_SOURCES: usize = 8;

/// Fetch of the body of a version.
#[derive(Clone, Debug)]
pub struct FetchState {
    /// Version whose body is fetched.
    pub preset: PresetVersion,
    /// Number and start time of the pending call; `None` while the fetch waits until `retry_at`.
    pub pending_call: Option<(u64, ClockTime)>,
    /// Time of the next attempt after a failure.
    pub retry_at: ClockTime,
    /// Number of failed attempts.
    pub failures: u32,
    /// Peers that have the version in force, at most `MAX_SOURCES`.
    pub peers: Vec<HostName>,
}

/// Records a committed version and starts to fetch its body; lower versions than the newest are
/// ignored.
///
/// `peer` has the version in force and becomes a source of its body.
pub fn record_version(
    state: &mut PresetState,
    now: ClockTime,
    preset: PresetVersion,
    peer: Option<HostName>,
    out: &mut Vec<PresetEffect>,
) {
    let known = state.newest.map_or(0, |newest| newest.version);
    if preset.version < known {
        return;
    }
    if preset.version == known {
        let same = state
            .newest
            .is_none_or(|newest| newest.digest == preset.digest);
        if !invariant!(
            same,
            "one_body_per_version",
            "version {known} has two different digests"
        ) {
            return;
        }
        if let (Some(fetch), Some(peer)) = (&mut state.fetch, peer) {
            if fetch.peers.len() < MAX_SOURCES && !fetch.peers.contains(&peer) {
                fetch.peers.push(peer);
                // A new source is tried at once, without the wait after a failed attempt.
                if fetch.pending_call.is_none() {
                    start_fetch(state, now, out);
                }
            }
        }
        return;
    }
    state.newest = Some(preset);
    state.fetch = Some(FetchState {
        preset,
        pending_call: None,
        retry_at: now,
        failures: 0,
        peers: peer.into_iter().collect(),
    });
    start_fetch(state, now, out);
}

/// Puts a version in force, whose body was checked against its digest, and announces it.
pub fn put_in_force(
    state: &mut PresetState,
    preset: PresetVersion,
    body: Arc<[u8]>,
    out: &mut Vec<PresetEffect>,
) {
    let version_before = state.in_force.map_or(0, |in_force| in_force.version);
    // The body of an older version may arrive late, and a body may arrive twice.
    if preset.version <= version_before {
        return;
    }
    if state
        .fetch
        .as_ref()
        .is_some_and(|fetch| fetch.preset <= preset)
    {
        state.fetch = None;
    }
    state.in_force = Some(preset);
    state.contacts.clear();
    out.push(PresetEffect::PutInForce { preset, body });
    out.push(PresetEffect::Announce(preset));
}

/// Takes the answer to a fetch, and puts the version in force if the body matches the digest.
pub fn receive_body(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    call: u64,
    body: Option<Arc<[u8]>>,
    out: &mut Vec<PresetEffect>,
) {
    let Some(fetch) = &mut state.fetch else {
        return;
    };
    if fetch.pending_call.is_none_or(|(number, _)| number != call) {
        return;
    }
    let preset = fetch.preset;
    match body {
        Some(body) if digest_of(&body) == preset.digest => {
            put_in_force(state, preset, body, out);
        }
        _ => fetch_failed(state, now, rng),
    }
}

/// Takes the pointer row from a poll that started at `sent_at`.
pub fn receive_pointer(
    state: &mut PresetState,
    now: ClockTime,
    sent_at: ClockTime,
    row: Option<&TableRow>,
    out: &mut Vec<PresetEffect>,
) {
    let found = row.and_then(PresetRow::parse).and_then(|row| row.preset());
    let Some(found) = found else {
        return;
    };
    record_version(state, now, found, None, out);
    if state.in_force == Some(found) {
        state.confirmed_at = state.confirmed_at.max(Some(sent_at));
    }
}

/// Takes the version in force on a peer, and records the contact if this host has the newest known
/// version in force.
pub fn receive_peer_version(
    state: &mut PresetState,
    now: ClockTime,
    host: HostName,
    domain: DomainName,
    preset: PresetVersion,
    out: &mut Vec<PresetEffect>,
) {
    record_version(state, now, preset, Some(host), out);
    if state.in_force.is_some() && state.in_force == state.newest {
        state.contacts.insert(domain, now);
        confirm_by_peers(state, now);
    }
}

/// Confirms that the version in force is the newest if there were recent contacts with peers in at
/// least half of the failure domains.
///
/// A failure domain that is cut off, or a region with fewer than half of the failure domains,
/// cannot confirm itself.
fn confirm_by_peers(state: &mut PresetState, now: ClockTime) {
    let window = state.settings.confirmation_timeout;
    state
        .contacts
        .retain(|_, contact_at| now.since(*contact_at) < window);
    if state.contacts.len() * 2 >= state.domain_count as usize {
        // The confirmation is as old as the oldest contact that is needed for it.
        let mut contact_times: Vec<_> = state.contacts.values().copied().collect();
        contact_times.sort_unstable_by(|a, b| b.cmp(a));
        let needed = (state.domain_count as usize).div_ceil(2).max(1);
        let oldest = contact_times.get(needed - 1).copied();
        state.confirmed_at = state.confirmed_at.max(oldest);
    }
}

/// Polls the pointer row and repeats failed fetches.
pub fn tick(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<PresetEffect>,
) {
    poll(state, now, rng, out);
    if let Some(fetch) = &state.fetch {
        match fetch.pending_call {
            Some((_, sent_at)) if now.since(sent_at) >= state.settings.call_timeout => {
                fetch_failed(state, now, rng);
            }
            None if now >= fetch.retry_at => start_fetch(state, now, out),
            _ => {}
        }
    }
    if state.peer_count == 0 && state.in_force.is_some() && state.in_force == state.newest {
        // Without other hosts, no other host can have a newer version.
        state.confirmed_at = Some(now);
    }
}

/// Emits an effect if this host became up to date or ceased to be.
pub fn check_up_to_date(state: &mut PresetState, now: ClockTime, out: &mut Vec<PresetEffect>) {
    let window = state.settings.confirmation_timeout;
    let recent = state.confirmed_at.is_some_and(|at| now.since(at) < window);
    let up_to_date = recent && state.in_force.is_some();
    if up_to_date != state.up_to_date {
        state.up_to_date = up_to_date;
        out.push(PresetEffect::UpToDateChanged { up_to_date });
    }
}

/// Starts a read of the pointer row when it is due, and fails one that timed out.
fn poll(state: &mut PresetState, now: ClockTime, rng: &mut SeededRng, out: &mut Vec<PresetEffect>) {
    let settings = state.settings.clone();
    let Some(due) = state.next_poll else {
        // The first poll comes after a random wait, since many hosts may start together.
        let wait = settings.first_poll_delay.scale(rng.random_range(0.0..1.0));
        state.next_poll = Some(now + wait);
        return;
    };
    if let Some((_, sent_at)) = state.pending_poll {
        if now.since(sent_at) >= settings.call_timeout {
            finish_poll(state, now, rng, false);
        }
        return;
    }
    if now < due {
        return;
    }
    let call = state.next_call();
    state.pending_poll = Some((call, now));
    out.push(PresetEffect::Table {
        call,
        request: TableCall::Get {
            key: CURRENT_KEY.into(),
        },
    });
}

/// Ends a poll and sets the time of the next one.
///
/// The wait doubles with each failure, and returns to `settings.poll_interval` after a success.
pub fn finish_poll(state: &mut PresetState, now: ClockTime, rng: &mut SeededRng, answered: bool) {
    state.pending_poll = None;
    state.poll_failures = if answered { 0 } else { state.poll_failures + 1 };
    let settings = &state.settings;
    let failures = state.poll_failures;
    let wait = backoff(
        settings.poll_interval,
        settings.max_poll_interval,
        failures,
        rng,
    );
    state.next_poll = Some(now + wait);
}

/// Fetches the body of the newest version from the next source.
fn start_fetch(state: &mut PresetState, now: ClockTime, out: &mut Vec<PresetEffect>) {
    let call = state.next_call();
    let Some(fetch) = &mut state.fetch else {
        return;
    };
    // The sources rotate: all peers, then the object store, then the peers again.
    let source_index = fetch.failures as usize % (fetch.peers.len() + 1);
    let source = match fetch.peers.get(source_index) {
        Some(peer) => BodySource::Peer(peer.clone()),
        None => BodySource::ObjectStore,
    };
    fetch.pending_call = Some((call, now));
    out.push(PresetEffect::FetchBody {
        call,
        digest: fetch.preset.digest,
        source,
    });
}

/// Schedules the next attempt after a failed one.
fn fetch_failed(state: &mut PresetState, now: ClockTime, rng: &mut SeededRng) {
    let settings = &state.settings;
    if let Some(fetch) = &mut state.fetch {
        fetch.pending_call = None;
        fetch.retry_at = now
            + backoff(
                settings.retry_delay,
                settings.max_retry_delay,
                fetch.failures,
                rng,
            );
        fetch.failures += 1;
    }
}
