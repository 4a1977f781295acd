//! Following the newest version: polls, news of peers, fetches of bodies, and currency.

use crate::effect::{BodySource, PresetEffect};
use crate::event::PresetVersion;
use crate::row::{digest_of, PresetRow, CURRENT_KEY};
use crate::state::{backoff, PresetState};
use crocusyard_base::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Peers that are remembered as sources of a body.
const SOURCE_LIMIT: usize = 8;

/// Fetch of a body.
#[derive(Clone, Debug)]
pub struct FetchState {
    /// Version.
    pub preset: PresetVersion,
    /// Call in progress with its time.
    pub call: Option<(u64, ClockTime)>,
    /// Time of the next attempt.
    pub retry_at: ClockTime,
    /// Failed attempts.
    pub failures: u32,
    /// Peers that have the body in force.
    pub peers: Vec<HostName>,
}

/// Takes a committed version; a lower one than known is ignored.
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
            "version {known} has two bodies"
        ) {
            return;
        }
        if let (Some(fetch), Some(peer)) = (&mut state.fetch, peer) {
            if fetch.peers.len() < SOURCE_LIMIT && !fetch.peers.contains(&peer) {
                fetch.peers.push(peer);
                // A new source need not wait for the repetition of a failed fetch.
                if fetch.call.is_none() {
                    start_fetch(state, now, out);
                }
            }
        }
        return;
    }
    state.newest = Some(preset);
    state.fetch = Some(FetchState {
        preset,
        call: None,
        retry_at: now,
        failures: 0,
        peers: peer.into_iter().collect(),
    });
    start_fetch(state, now, out);
}

/// Puts a verified body in force and announces it.
pub fn put_in_force(
    state: &mut PresetState,
    preset: PresetVersion,
    body: Arc<[u8]>,
    out: &mut Vec<PresetEffect>,
) {
    let before = state.in_force.map_or(0, |in_force| in_force.version);
    // A late body of an older version, or a second copy, is no violation.
    if preset.version <= before {
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

/// Takes a fetched body.
pub fn body_fetched(
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
    if fetch.call.is_none_or(|(number, _)| number != call) {
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

/// Takes the pointer row from a poll that started at `sent`.
pub fn pointer_polled(
    state: &mut PresetState,
    now: ClockTime,
    sent: ClockTime,
    row: Option<&TableRow>,
    out: &mut Vec<PresetEffect>,
) {
    let found = row.and_then(PresetRow::parse).and_then(|row| row.preset());
    let Some(found) = found else {
        return;
    };
    record_version(state, now, found, None, out);
    if state.in_force == Some(found) {
        state.confirmed_at = state.confirmed_at.max(Some(sent));
    }
}

/// Takes a peer's version, and counts the contact if the peer knows no newer one.
pub fn peer_version(
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

/// Confirms currency if peers in at least half of the failure domains were heard lately.
///
/// A failure domain that is cut off, or a region that holds fewer than half of the failure
/// domains, cannot confirm itself.
fn confirm_by_peers(state: &mut PresetState, now: ClockTime) {
    let window = state.settings.confirmation_timeout;
    state.contacts.retain(|_, heard| now.since(*heard) < window);
    if state.contacts.len() * 2 >= state.domain_count as usize {
        // As old as the oldest contact that is needed: each one spoke at its own time.
        let mut heard: Vec<_> = state.contacts.values().copied().collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let needed = (state.domain_count as usize).div_ceil(2).max(1);
        let oldest = heard.get(needed - 1).copied();
        state.confirmed_at = state.confirmed_at.max(oldest);
    }
}

/// Polls, repeats fetches and checks currency.
pub fn tick(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<PresetEffect>,
) {
    poll(state, now, rng, out);
    if let Some(fetch) = &state.fetch {
        match fetch.call {
            Some((_, sent)) if now.since(sent) >= state.settings.call_timeout => {
                fetch_failed(state, now, rng);
            }
            None if now >= fetch.retry_at => start_fetch(state, now, out),
            _ => {}
        }
    }
    if state.peer_count == 0 && state.in_force.is_some() && state.in_force == state.newest {
        // The only host has nobody to be behind of.
        state.confirmed_at = Some(now);
    }
}

/// Reports a change of currency.
pub fn check_up_to_date(state: &mut PresetState, now: ClockTime, out: &mut Vec<PresetEffect>) {
    let window = state.settings.confirmation_timeout;
    let recent = state.confirmed_at.is_some_and(|at| now.since(at) < window);
    let up_to_date = recent && state.in_force.is_some();
    if up_to_date != state.up_to_date {
        state.up_to_date = up_to_date;
        out.push(PresetEffect::UpToDateChanged { up_to_date });
    }
}

fn poll(state: &mut PresetState, now: ClockTime, rng: &mut SeededRng, out: &mut Vec<PresetEffect>) {
    let settings = state.settings.clone();
    let Some(due) = state.poll_due else {
        // The first poll comes at a random time, for hosts that are started together.
        let wait = settings.first_poll_delay.scale(rng.random_range(0.0..1.0));
        state.poll_due = Some(now + wait);
        return;
    };
    if let Some((_, sent)) = state.poll {
        if now.since(sent) >= settings.call_timeout {
            poll_ended(state, now, rng, false);
        }
        return;
    }
    if now < due {
        return;
    }
    let call = state.next_call();
    state.poll = Some((call, now));
    out.push(PresetEffect::Table {
        call,
        request: TableCall::Get {
            key: CURRENT_KEY.into(),
        },
    });
}

/// Sets the time of the next poll; the wait doubles with each failure and is short again after
/// the first success.
pub fn poll_ended(state: &mut PresetState, now: ClockTime, rng: &mut SeededRng, answered: bool) {
    state.poll = None;
    state.poll_failures = if answered { 0 } else { state.poll_failures + 1 };
    let settings = &state.settings;
    let failures = state.poll_failures;
    let wait = backoff(
        settings.poll_interval,
        settings.max_poll_interval,
        failures,
        rng,
    );
    state.poll_due = Some(now + wait);
}

fn start_fetch(state: &mut PresetState, now: ClockTime, out: &mut Vec<PresetEffect>) {
    let call = state.next_call();
    let Some(fetch) = &mut state.fetch else {
        return;
    };
    // All peers are tried in turn, then the object store, then the peers again.
    let turn = fetch.failures as usize % (fetch.peers.len() + 1);
    let source = match fetch.peers.get(turn) {
        Some(peer) => BodySource::Peer(peer.clone()),
        None => BodySource::ObjectStore,
    };
    fetch.call = Some((call, now));
    out.push(PresetEffect::FetchBody {
        call,
        digest: fetch.preset.digest,
        source,
    });
}

fn fetch_failed(state: &mut PresetState, now: ClockTime, rng: &mut SeededRng) {
    let settings = &state.settings;
    if let Some(fetch) = &mut state.fetch {
        fetch.call = None;
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
