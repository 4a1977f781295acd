//! The route table of one host: what it knows of every target, and the choice among them.

use crate::query::{RouteChoice, RouteQuery, WorkKind};
use crate::report::{CopyState, LoadDelta, LoadReport};
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::BTreeMap;

/// Settings of the choice.
#[derive(Clone, Debug)]
pub struct RouteSettings {
    /// Failure domain of this host.
    pub domain: DomainName,
}

/// What a host knows of one target.
#[derive(Clone, Debug)]
struct TargetEntry {
    spec: TargetSpec,
    report: Option<LoadReport>,
    in_flight: u32,
    leaving: bool,
}

/// Route table of one host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    targets: BTreeMap<TargetName, TargetEntry>,
}

impl RouteTable {
    /// Makes an empty table.
    pub fn new(_settings: RouteSettings) -> Self {
        Self {
            targets: BTreeMap::new(),
        }
    }

    /// Sets the declared targets; what is known of those that remain is kept.
    pub fn set_targets(&mut self, targets: &[TargetSpec]) {
        let mut known = std::mem::take(&mut self.targets);
        for spec in targets {
            let entry = known.remove(&spec.name).unwrap_or_else(|| TargetEntry {
                spec: spec.clone(),
                report: None,
                in_flight: 0,
                leaving: false,
            });
            let entry = TargetEntry {
                spec: spec.clone(),
                ..entry
            };
            self.targets.insert(spec.name.clone(), entry);
        }
    }

    /// Takes a load report; an older one than the last is ignored.
    pub fn apply_report(&mut self, _now: ClockTime, report: LoadReport) {
        if let Some(entry) = self.targets.get_mut(&report.target) {
            entry.leaving = report.leaving;
            entry.report = Some(report);
        }
    }

    /// Takes another host's delta.
    pub fn apply_delta(&mut self, _now: ClockTime, _from: &HostName, _delta: &LoadDelta) {}

    /// Returns this host's deltas that changed since the last call, for the other hosts.
    pub fn take_deltas(&mut self, _limit: usize) -> Vec<LoadDelta> {
        Vec::new()
    }

    /// Marks a target as leaving or staying.
    pub fn set_leaving(&mut self, target: &TargetName, leaving: bool) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.leaving = leaving;
        }
    }

    /// Notes that an attempt was sent.
    pub fn note_sent(&mut self, _now: ClockTime, target: &TargetName, _query: &RouteQuery<'_>) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.in_flight += 1;
        }
    }

    /// Notes that an attempt ended well, with its time to the first token or byte.
    pub fn note_ended(&mut self, _now: ClockTime, target: &TargetName, _first: Option<ClockTime>) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Notes that an attempt failed.
    pub fn note_failed(&mut self, now: ClockTime, target: &TargetName) {
        self.note_ended(now, target, None);
    }

    /// Returns the failure domain of a target.
    pub fn domain_of(&self, target: &TargetName) -> Option<&DomainName> {
        self.targets.get(target).map(|entry| &entry.spec.domain)
    }

    /// Returns the declaration of a target.
    pub fn spec_of(&self, target: &TargetName) -> Option<&TargetSpec> {
        self.targets.get(target).map(|entry| &entry.spec)
    }

    /// Returns the last report of a target.
    pub fn report_of(&self, target: &TargetName) -> Option<&LoadReport> {
        self.targets
            .get(target)
            .and_then(|entry| entry.report.as_ref())
    }

    /// Chooses a target for an attempt.
    pub fn choose(
        &self,
        _now: ClockTime,
        query: &RouteQuery<'_>,
        _rng: &mut SeededRng,
    ) -> RouteChoice {
        self.targets
            .values()
            .filter(|entry| !entry.leaving && serves(entry, query.work))
            .filter(|entry| !query.tried.contains(&entry.spec.name))
            .min_by_key(|entry| entry.in_flight)
            .map_or(RouteChoice::NotResident, |entry| RouteChoice::Target {
                target: entry.spec.name.clone(),
                estimate: ClockTime::ZERO,
            })
    }
}

fn serves(entry: &TargetEntry, work: &WorkKind) -> bool {
    match work {
        WorkKind::Model { model, .. } => entry.report.as_ref().is_some_and(|report| {
            report
                .copies
                .iter()
                .any(|copy| &*copy.name == model.as_str() && copy.state == CopyState::Resident)
        }),
        WorkKind::Service { service } => entry.spec.service.as_ref() == Some(service),
    }
}
