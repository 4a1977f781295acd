//! The newest report of each other host, with the time of its arrival.

use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Reports of other hosts; a host's new report replaces its previous one.
#[derive(Clone, Debug)]
pub struct PeerReports<R> {
    reports: BTreeMap<HostName, (ClockTime, R)>,
}

impl<R> PeerReports<R> {
    /// Stores the report of a host; returns its previous one.
    pub fn update(&mut self, host: &HostName, report: R, now: ClockTime) -> Option<R> {
        let old = self.reports.insert(host.clone(), (now, report));
        old.map(|(_, report)| report)
    }

    /// Drops the hosts that have sent no report for `limit`; returns their last reports.
    pub fn drop_silent(&mut self, limit: ClockTime, now: ClockTime) -> Vec<R> {
        let silent: Vec<HostName> = self
            .reports
            .iter()
            .filter(|(_, (at, _))| now.since(*at) >= limit)
            .map(|(host, _)| host.clone())
            .collect();
        silent
            .iter()
            .filter_map(|host| self.reports.remove(host))
            .map(|(_, report)| report)
            .collect()
    }

    /// Iterates over the reports of all hosts.
    pub fn iter(&self) -> impl Iterator<Item = &R> {
        self.reports.values().map(|(_, report)| report)
    }

    /// Returns the number of hosts with a stored report.
    pub fn host_count(&self) -> usize {
        self.reports.len()
    }
}

impl<R> Default for PeerReports<R> {
    fn default() -> Self {
        Self {
            reports: BTreeMap::new(),
        }
    }
}
