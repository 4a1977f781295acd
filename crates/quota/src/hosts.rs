//! The other hosts, and for how much of each limit they have been heard.

use crate::report::HostId;
use crocusyard_base::heartbeat::{heartbeat_interval, HEARTBEAT_HOSTS};
use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Time constant of the share of the hosts that are heard, with many hosts and with few. It decides
/// how soon a partition is noticed; with few hosts the messages of each count for more.
const FRESH_TIME_S: f64 = 0.5;
const FRESH_TIME_FEW_S: f64 = 1.0;
/// Factor for the measured share, which is lower than the true one half of the time.
const FRESH_MARGIN: f64 = 1.1;
/// Longest silence of a host, in heartbeat intervals, whose share is credited afterwards; one or two
/// messages may get lost. After a longer one, all hosts that hear each other again would spend the
/// shares of the silent ones several times.
const CREDITED_INTERVALS: f64 = 3.0;
/// Time beyond one interval that is credited at most. With 360 hosts, whole missed intervals are
/// worth several bursts.
const CREDITED_DELAY: ClockTime = ClockTime::from_ms(1_200);

/// A known host with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaHost {
    /// Key of the host.
    pub id: HostId,
    /// Processor time that the host may use.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// Share of the host in the weight of all hosts.
    share: f64,
    heard_at: Option<ClockTime>,
}

/// All known hosts, live or not.
#[derive(Clone, Debug)]
pub(crate) struct HostWeights {
    own: HostId,
    own_share: f64,
    peers: BTreeMap<HostId, PeerState>,
    /// Time for which the shares of other hosts have been heard: the sum over the hosts of share
    /// times seconds.
    heard: f64,
    started: ClockTime,
    /// Moving average of the share of the other hosts that are heard, at a time.
    fresh: f64,
    fresh_at: ClockTime,
}

impl HostWeights {
    pub(crate) fn new(own: HostId, now: ClockTime) -> Self {
        Self {
            own,
            own_share: 1.0,
            peers: BTreeMap::new(),
            heard: 0.0,
            started: now,
            fresh: 0.0,
            fresh_at: now,
        }
    }

    /// Replaces the list of known hosts, this one included.
    pub(crate) fn set(&mut self, hosts: &[QuotaHost], now: ClockTime) {
        // The credit for the time until now is that by the old share.
        self.heard += self.own_share * seconds(now.since(self.started));
        self.started = now;
        let total: f64 = hosts.iter().map(|host| host.weight).sum();
        let others = hosts.iter().filter(|host| host.id != self.own);
        let old = std::mem::take(&mut self.peers);
        for host in others {
            let heard_at = old.get(&host.id).and_then(|peer| peer.heard_at);
            let share = host.weight / total;
            self.peers.insert(host.id, PeerState { share, heard_at });
        }
        let shares: f64 = self.peers.values().map(|peer| peer.share).sum();
        self.own_share = (1.0 - shares).max(0.0);
    }

    /// Records that a message of another host arrived.
    pub(crate) fn hear(&mut self, host: HostId, now: ClockTime) {
        let fresh = self.faded(now);
        let interval = heartbeat_interval(self.count());
        if let Some(peer) = self.peers.get_mut(&host) {
            let silence = peer.heard_at.map_or(ClockTime::ZERO, |at| now.since(at));
            let credited = if silence <= interval.scale(CREDITED_INTERVALS) {
                silence.min(interval + CREDITED_DELAY)
            } else {
                interval
            };
            let heard = peer.share * seconds(credited);
            peer.heard_at = Some(now);
            self.heard += heard;
            self.fresh = fresh + heard / self.fresh_time_s();
            self.fresh_at = now;
        }
    }

    pub(crate) fn count(&self) -> usize {
        1 + self.peers.len()
    }

    pub(crate) fn is_known(&self, host: HostId) -> bool {
        self.peers.contains_key(&host)
    }

    /// Returns the sum over all hosts of the share times the seconds for which it was heard; this
    /// host always hears itself.
    pub(crate) fn heard_seconds(&self, now: ClockTime) -> f64 {
        self.heard + self.own_share * seconds(now.since(self.started))
    }

    /// Returns the share of this host.
    pub(crate) fn own_share(&self) -> f64 {
        self.own_share
    }

    /// Returns the share in all weight of the hosts that are heard, this one included.
    pub(crate) fn fresh_share(&self, now: ClockTime) -> f64 {
        (self.own_share + self.faded(now) * FRESH_MARGIN).min(1.0)
    }

    fn faded(&self, now: ClockTime) -> f64 {
        let elapsed_s = seconds(now.since(self.fresh_at));
        self.fresh * (-elapsed_s / self.fresh_time_s()).exp()
    }

    fn fresh_time_s(&self) -> f64 {
        if self.count() <= HEARTBEAT_HOSTS {
            FRESH_TIME_FEW_S
        } else {
            FRESH_TIME_S
        }
    }
}

/// Returns a duration in seconds.
pub(crate) fn seconds(time: ClockTime) -> f64 {
    time.as_ms() as f64 / 1_000.0
}
