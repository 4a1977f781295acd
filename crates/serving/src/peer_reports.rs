//! What the other hosts told last, with its age.

use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// News of other hosts; each host's newest replaces what it told before.
#[derive(Clone, Debug)]
pub struct PeerReports<N> {
    told: BTreeMap<HostName, (ClockTime, N)>,
}

impl<N> PeerReports<N> {
    /// Takes news of a host; returns what it told before.
    pub fn update(&mut self, host: &HostName, news: N, now: ClockTime) -> Option<N> {
        let old = self.told.insert(host.clone(), (now, news));
        old.map(|(_, news)| news)
    }

    /// Drops hosts that have been silent for `limit`; returns what they told.
    pub fn drop_silent(&mut self, limit: ClockTime, now: ClockTime) -> Vec<N> {
        let silent: Vec<HostName> = self
            .told
            .iter()
            .filter(|(_, (at, _))| now.since(*at) >= limit)
            .map(|(host, _)| host.clone())
            .collect();
        silent
            .iter()
            .filter_map(|host| self.told.remove(host))
            .map(|(_, news)| news)
            .collect()
    }

    /// News of all hosts.
    pub fn iter(&self) -> impl Iterator<Item = &N> {
        self.told.values().map(|(_, news)| news)
    }

    /// Hosts that told something lately.
    pub fn host_count(&self) -> usize {
        self.told.len()
    }
}

impl<N> Default for PeerReports<N> {
    fn default() -> Self {
        Self {
            told: BTreeMap::new(),
        }
    }
}
