//! News of which hosts are alive, passed on from host to host where hosts are many.
//!
//! A host sends a heartbeat to every other host; with many hosts, heartbeats have to be seconds
//! apart. Each host therefore also sends the news that it has of all hosts to a few hosts drawn at
//! random, several times a second. This is the push algorithm with windows of Barak et al.,
//! "Resilient gossip algorithms for collecting online management information in exascale clusters"
//! (2015): news older than the window are not passed on, since their receivers mostly have newer
//! ones. The paper's master, to which all news go, has no counterpart.
//!
//! In the paper the newer of two news is the one with the lower age. An age does not count the time
//! for which a message waits at a host that starves, and such hosts would make the news of a dead
//! host younger each time they pass them on. Here each host stamps its own news instead, and of two
//! news the one with the later stamp is newer. The age only tells when the stamp was made; a host
//! takes messages that may have waited as arrived when it last had none to handle.

use crate::hashing::unit_hash;
use crate::hosts::HostRecord;
use crocusyard_base::ids::short_key;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::hash::Hash;
use std::net::SocketAddr;

/// Interval between two rounds of news of a host.
pub const NEWS_INTERVAL: ClockTime = ClockTime::from_ms(300);
/// Number of hosts of its own failure domain to which a host sends its news in each round.
const NEAR_RECEIVERS: usize = 2;
/// Fraction of the rounds in which it sends them to a host of another failure domain too.
const FAR_FRACTION: f64 = 0.4;
/// Age up to which news are passed on.
pub(crate) const NEWS_WINDOW: ClockTime = ClockTime::from_ms(2_000);
/// Longest time without news of a host after which it no longer counts as live.
pub(crate) const SILENCE_LIMIT: ClockTime = ClockTime::from_ms(3_500);
/// Length of one unit of a stamp, ms.
const STAMP_UNIT_MS: u64 = 100;

/// Length of one unit of an age, ms.
const AGE_UNIT_MS: u64 = 20;

/// Short key of a host, used in news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostKey([u8; 3]);

impl HostKey {
    /// Computes the key of a host; two hosts with the same key only look alive as long as one of
    /// them is.
    pub fn of(name: &HostName) -> Self {
        let [first, second, third, _] = short_key(&[name.as_str()]).to_le_bytes();
        Self([first, second, third])
    }
}

/// Time by a host's own clock, in units of 100 ms; it starts again at zero after 1.8 h.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsStamp([u8; 2]);

impl NewsStamp {
    /// Makes a stamp from Unix ms.
    pub fn from_unix_ms(ms: u64) -> Self {
        // Only the last 16 bits of the number of units count.
        Self(((ms / STAMP_UNIT_MS) as u16).to_le_bytes())
    }

    /// Returns the stamp at `now` if this one was made at the origin of the clock.
    pub(crate) fn at(self, now: ClockTime) -> Self {
        let units = (now.as_ms() / STAMP_UNIT_MS) as u16;
        Self(self.units().wrapping_add(units).to_le_bytes())
    }

    /// Returns whether this stamp was made after another one of the same host.
    pub(crate) fn is_after(self, other: Self) -> bool {
        let ahead = self.units().wrapping_sub(other.units());
        ahead != 0 && ahead < 1 << 15
    }

    fn units(self) -> u16 {
        u16::from_le_bytes(self.0)
    }
}

/// News of one host; six bytes in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostNews {
    /// Host that the news are about.
    pub key: HostKey,
    /// Time of the news by the host's own clock; the later of two stamps is the newer one.
    pub stamp: NewsStamp,
    /// Twice the age of the news, in units of 20 ms, plus one if the host is leaving.
    state: u8,
}

impl HostNews {
    /// Makes news of a host that were `age` old when they were sent.
    pub fn new(key: HostKey, stamp: NewsStamp, age: ClockTime, leaving: bool) -> Self {
        let units = (age.as_ms() / AGE_UNIT_MS).min(u64::from(u8::MAX / 2)) as u8;
        Self {
            key,
            stamp,
            state: 2 * units + u8::from(leaving),
        }
    }

    /// Returns the time since the news were made, as far as the sender knew.
    pub fn age(&self) -> ClockTime {
        ClockTime::from_ms(u64::from(self.state / 2) * AGE_UNIT_MS)
    }

    /// Returns whether the host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.state % 2 == 1
    }
}

/// Draws the hosts that get the news of one round: some in the failure domain of the sender and,
/// in some rounds, one in another. Traffic between failure domains is charged, and a few messages
/// a second between each two of them carry the news as far as many do.
pub(crate) fn draw_receivers(
    hosts: &[&HostRecord],
    domain: &DomainName,
    salt: u64,
) -> Vec<SocketAddr> {
    let (near, far): (Vec<&HostRecord>, Vec<&HostRecord>) =
        hosts.iter().partition(|host| host.domain == *domain);
    let mut receivers = Vec::new();
    for number in 0..NEAR_RECEIVERS {
        receivers.extend(draw(&near, &(salt, number)));
    }
    // A host without others in its failure domain reaches nobody otherwise.
    let crosses = near.is_empty() || unit_hash(&(salt, "crosses")) < FAR_FRACTION;
    if crosses {
        receivers.extend(draw(&far, &(salt, "far")));
    }
    receivers
}

/// Draws a host of the failure domain and one of another, where there are any.
pub(crate) fn draw_near_and_far(
    hosts: &[&HostRecord],
    domain: &DomainName,
    salt: u64,
) -> Vec<SocketAddr> {
    let (near, far): (Vec<&HostRecord>, Vec<&HostRecord>) =
        hosts.iter().partition(|host| host.domain == *domain);
    let drawn = [draw(&near, &(salt, "near")), draw(&far, &(salt, "far"))];
    drawn.into_iter().flatten().collect()
}

/// Draws one host.
fn draw<K: Hash>(hosts: &[&HostRecord], key: &K) -> Option<SocketAddr> {
    let index = (unit_hash(key) * hosts.len() as f64) as usize;
    hosts.get(index).map(|host| host.peer)
}
