//! The route table of one host: what it knows of every target.
//!
//! Targets have numbered slots. Names are resolved once per call, and the choice works on slots.

use crate::adapters::AdapterTransit;
use crate::choose;
use crate::index::SlotIndex;
use crate::load::{LoadEstimate, SELF_SENDER};
use crate::prefix::{BatchOutcome, CacheBatch, PrefixHints};
use crate::query::{RouteChoice, RouteQuery, WorkKind};
use crate::report::{CopyState, LoadDelta, LoadReport};
use crate::tuning::RouteTuning;
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Status of an engine that does not hold what it is asked for.
const NOT_FOUND: u16 = 404;
/// Weight of one send in the smoothed share of tokens that no cache holds.
const UNCACHED_WEIGHT: f64 = 0.01;
/// Hosts whose numbers in the load logs are remembered.
const SENDERS_REMEMBERED: usize = 1_024;

/// Settings of the choice.
#[derive(Clone, Debug)]
pub struct RouteSettings {
    /// Failure domain of this host.
    pub domain: DomainName,
}

/// What a host knows of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) spec: TargetSpec,
    pub(crate) report: Option<LoadReport>,
    pub(crate) load: LoadEstimate,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) in_flight: u32,
    /// Said by the host list, a peer or the preset in force.
    told_leaving: bool,
    /// Said by the target's last report, which may not know of the leave yet.
    reports_leaving: bool,
    pub(crate) suspect: bool,
    pub(crate) failures: f64,
    pub(crate) failed_at: ClockTime,
    pub(crate) distance: ClockTime,
    copies: Vec<Arc<str>>,
    /// Names that the target turned out not to hold, and when.
    absent: Vec<(Arc<str>, ClockTime)>,
    dirty: bool,
    /// Tokens sent since the last delta was taken.
    untold_tokens: i64,
}

impl TargetEntry {
    /// Returns whether the target may be given new work.
    pub(crate) fn is_usable(&self) -> bool {
        !self.told_leaving && !self.reports_leaving && !self.suspect
    }
}

/// Route table of one host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    pub(crate) domain: DomainName,
    pub(crate) tuning: RouteTuning,
    pub(crate) entries: Vec<Option<TargetEntry>>,
    pub(crate) copies: SlotIndex,
    pub(crate) services: SlotIndex,
    pub(crate) prefixes: PrefixHints,
    pub(crate) transit: AdapterTransit,
    slots: HashMap<TargetName, u32>,
    free: Vec<u32>,
    regions: HashMap<DomainName, RegionName>,
    load_times: HashMap<ModelName, ClockTime>,
    senders: HashMap<HostName, u32>,
    last_sender: u32,
    /// Smoothed share of the tokens sent by this host that no cache was expected to hold.
    uncached: f64,
    dirty: VecDeque<u32>,
}

impl RouteTable {
    /// Makes an empty table with the default tuning.
    pub fn new(settings: RouteSettings) -> Self {
        Self::with_tuning(settings, RouteTuning::default())
    }

    /// Makes an empty table.
    pub fn with_tuning(settings: RouteSettings, tuning: RouteTuning) -> Self {
        Self {
            domain: settings.domain,
            prefixes: PrefixHints::new(tuning.prefix_hint_capacity, tuning.prefix_half_life),
            transit: AdapterTransit::new(tuning.adapter_load_time, tuning.host_count),
            tuning,
            entries: Vec::new(),
            copies: SlotIndex::default(),
            services: SlotIndex::default(),
            slots: HashMap::new(),
            free: Vec::new(),
            regions: HashMap::new(),
            load_times: HashMap::new(),
            senders: HashMap::new(),
            last_sender: SELF_SENDER,
            uncached: 1.0,
            dirty: VecDeque::new(),
        }
    }

    /// Sets the declared regions, which give distances and adapter transit limits.
    pub fn set_regions(&mut self, regions: &[RegionSpec]) {
        self.regions = regions
            .iter()
            .flat_map(|region| {
                let name = &region.name;
                region
                    .domains
                    .iter()
                    .map(move |domain| (domain.clone(), name.clone()))
            })
            .collect();
        let here = self.regions.get(&self.domain);
        let limit = regions
            .iter()
            .find(|region| Some(&region.name) == here)
            .map(|region| region.adapter_loads_in_transit);
        self.transit.set_limit(limit);
        for slot in 0..self.entries.len() {
            let distance = self.entries[slot]
                .as_ref()
                .map(|entry| self.distance_to(&entry.spec.domain));
            if let (Some(entry), Some(distance)) = (self.entries[slot].as_mut(), distance) {
                entry.distance = distance;
            }
        }
    }

    /// Sets the declared models, which give the times of loads.
    pub fn set_models(&mut self, models: &[ModelSpec]) {
        let time = |model: &ModelSpec| (model.name.clone(), ClockTime::from_ms(model.load_ms));
        self.load_times = models.iter().map(time).collect();
    }

    /// Sets the declared targets; what is known of those that remain is kept.
    pub fn set_targets(&mut self, targets: &[TargetSpec]) {
        let mut gone = std::mem::take(&mut self.slots);
        for spec in targets {
            let distance = self.distance_to(&spec.domain);
            if let Some(slot) = gone.remove(&spec.name) {
                self.update_spec(slot, spec, distance);
                self.slots.insert(spec.name.clone(), slot);
            } else if !self.slots.contains_key(&spec.name) {
                self.add_target(spec, distance);
            }
        }
        let mut removed: Vec<u32> = gone.into_values().collect();
        removed.sort_unstable();
        for slot in removed {
            self.remove_target(slot);
        }
    }

    fn add_target(&mut self, spec: &TargetSpec, distance: ClockTime) {
        let entry = TargetEntry {
            limit: ConcurrencyLimit::new(spec.concurrency, self.tuning.first_token_goal),
            spec: spec.clone(),
            report: None,
            load: LoadEstimate::new(),
            in_flight: 0,
            told_leaving: false,
            reports_leaving: false,
            suspect: false,
            failures: 0.0,
            failed_at: ClockTime::ZERO,
            distance,
            copies: Vec::new(),
            absent: Vec::new(),
            dirty: false,
            untold_tokens: 0,
        };
        let slot = self.free.pop().unwrap_or(self.entries.len() as u32);
        if slot as usize == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[slot as usize] = Some(entry);
        }
        self.prefixes.grow(self.entries.len());
        if let Some(service) = &spec.service {
            self.services.insert(&Arc::from(service.as_str()), slot);
        }
        self.slots.insert(spec.name.clone(), slot);
    }

    fn update_spec(&mut self, slot: u32, spec: &TargetSpec, distance: ClockTime) {
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        if entry.spec.service != spec.service {
            if let Some(service) = &entry.spec.service {
                self.services.remove(service.as_str(), slot);
            }
            if let Some(service) = &spec.service {
                self.services.insert(&Arc::from(service.as_str()), slot);
            }
        }
        if entry.spec.concurrency != spec.concurrency {
            entry.limit = ConcurrencyLimit::new(spec.concurrency, self.tuning.first_token_goal);
        }
        entry.spec = spec.clone();
        entry.distance = distance;
    }

    fn remove_target(&mut self, slot: u32) {
        let Some(entry) = self.entries[slot as usize].take() else {
            return;
        };
        self.copies.replace(slot, &entry.copies, &[]);
        if let Some(service) = &entry.spec.service {
            self.services.remove(service.as_str(), slot);
        }
        self.prefixes.forget(slot);
        self.transit.forget(slot);
        self.dirty.retain(|&other| other != slot);
        self.free.push(slot);
    }

    fn distance_to(&self, domain: &DomainName) -> ClockTime {
        if *domain == self.domain {
            return ClockTime::ZERO;
        }
        // A domain of no declared region counts as near, so that a table without regions works.
        match (self.regions.get(domain), self.regions.get(&self.domain)) {
            (Some(there), Some(here)) if there != here => self.tuning.region_distance,
            _ => self.tuning.domain_distance,
        }
    }

    /// Takes a load report; an older one than the last is ignored.
    pub fn apply_report(&mut self, now: ClockTime, report: LoadReport) {
        let Some(&slot) = self.slots.get(&report.target) else {
            return;
        };
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        let known = entry.report.as_ref();
        if known.is_some_and(|last| {
            (report.incarnation, report.sequence) <= (last.incarnation, last.sequence)
        }) {
            return;
        }
        if known.is_some_and(|last| report.incarnation > last.incarnation) {
            self.prefixes.forget(slot);
        }
        let point = now - report.age;
        entry.absent.retain(|(_, noted)| *noted >= point);
        let absent = &entry.absent;
        let mut copies: Vec<Arc<str>> = report
            .copies
            .iter()
            .filter(|copy| copy.state == CopyState::Resident)
            .filter(|copy| absent.iter().all(|(name, _)| *name != copy.name))
            .map(|copy| copy.name.clone())
            .collect();
        copies.sort_unstable();
        copies.dedup();
        self.copies.replace(slot, &entry.copies, &copies);
        entry.copies = copies;
        entry.reports_leaving = report.leaving;
        entry.load.rebase(now, &report, self.uncached);
        entry.report = Some(report);
    }

    /// Takes another host's delta.
    ///
    /// The sender's part of the log is corrected to the delta. A delta for an older report is
    /// ignored; one for a newer report than known here can only raise the estimate.
    pub fn apply_delta(&mut self, now: ClockTime, from: &HostName, delta: &LoadDelta) {
        let Some(&slot) = self.slots.get(&delta.target) else {
            return;
        };
        let sender = self.sender_of(from);
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        let sequence = entry.report.as_ref().map_or(0, |report| report.sequence);
        if delta.sequence < sequence {
            return;
        }
        let (requests, tokens) = entry.load.sent_by(sender);
        let tokens = i64::try_from(delta.tokens)
            .unwrap_or(i64::MAX)
            .saturating_sub(tokens);
        let mut requests = i64::from(delta.requests) - requests;
        if delta.sequence > sequence {
            requests = requests.max(0);
        }
        if requests != 0 || tokens > 0 {
            entry.load.add(now, sender, requests, tokens.max(0));
        }
    }

    /// Returns the number of a host in the load logs.
    ///
    /// Hosts come and go by the hundred a day. When the map is full it starts anew with fresh
    /// numbers, so that a delta may count twice until the target's next report.
    fn sender_of(&mut self, host: &HostName) -> u32 {
        if let Some(&sender) = self.senders.get(host) {
            return sender;
        }
        if self.senders.len() >= SENDERS_REMEMBERED {
            self.senders.clear();
        }
        self.last_sender = self.last_sender.wrapping_add(1).max(SELF_SENDER + 1);
        self.senders.insert(host.clone(), self.last_sender);
        self.last_sender
    }

    /// Takes a batch of a target's cache events.
    pub fn apply_cache_batch(&mut self, now: ClockTime, batch: &CacheBatch) -> BatchOutcome {
        match self.slots.get(&batch.target) {
            Some(&slot) => self.prefixes.apply(now, slot, batch),
            None => BatchOutcome::Ignored,
        }
    }

    /// Returns the targets whose cache events have a gap, to be asked for a full batch.
    pub fn cache_resync_targets(&self) -> Vec<TargetName> {
        self.entries
            .iter()
            .enumerate()
            .filter(|(slot, _)| self.prefixes.wants_full(*slot as u32))
            .filter_map(|(_, entry)| entry.as_ref().map(|entry| entry.spec.name.clone()))
            .collect()
    }

    /// Returns the number of prefix hints held.
    pub fn prefix_hint_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns this host's deltas that changed since the last call, for the other hosts.
    ///
    /// Those with the most tokens that the others do not know of go first: hosts that miss them
    /// send to the same targets.
    pub fn take_deltas(&mut self, limit: usize) -> Vec<LoadDelta> {
        let count = limit.min(self.dirty.len());
        if count < self.dirty.len() {
            let entries = &self.entries;
            let untold = |slot: u32| {
                let entry = entries[slot as usize].as_ref();
                entry.map_or(0, |entry| entry.untold_tokens)
            };
            let dirty = self.dirty.make_contiguous();
            dirty.sort_by_key(|&slot| std::cmp::Reverse(untold(slot)));
        }
        let slots: Vec<u32> = self.dirty.drain(..count).collect();
        let mut deltas = Vec::with_capacity(count);
        for slot in slots {
            let Some(entry) = self.entries[slot as usize].as_mut() else {
                continue;
            };
            entry.dirty = false;
            entry.untold_tokens = 0;
            let (requests, tokens) = entry.load.sent_by(SELF_SENDER);
            deltas.push(LoadDelta {
                target: entry.spec.name.clone(),
                sequence: entry.report.as_ref().map_or(0, |report| report.sequence),
                requests: requests.clamp(i64::from(i32::MIN), i64::from(i32::MAX)) as i32,
                tokens: tokens.max(0) as u64,
            });
        }
        deltas
    }

    /// Marks a target as leaving or staying; a target that reports that it leaves stays left out.
    pub fn set_leaving(&mut self, target: &TargetName, leaving: bool) {
        if let Some(entry) = self.entry_mut(target) {
            entry.told_leaving = leaving;
        }
    }

    /// Marks a target as suspected of having failed, or clears the suspicion.
    pub fn set_suspect(&mut self, target: &TargetName, suspect: bool) {
        if let Some(entry) = self.entry_mut(target) {
            entry.suspect = suspect;
        }
    }

    /// Notes that a target refused work because it does not hold the model or adapter.
    ///
    /// The name counts as not held until a report that describes a later point. Of an adapter and
    /// its base model the adapter is taken to be missing if it is listed, else the base model.
    pub fn record_absent(&mut self, now: ClockTime, target: &TargetName, work: &WorkKind) {
        let WorkKind::Model { model, adapter } = work else {
            return;
        };
        let Some(&slot) = self.slots.get(target) else {
            return;
        };
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        let names = adapter.iter().map(AdapterName::as_str);
        let position = names.chain([model.as_str()]).find_map(|name| {
            let listed = entry.copies.binary_search_by(|copy| (**copy).cmp(name));
            listed.ok()
        });
        if let Some(position) = position {
            let name = entry.copies.remove(position);
            self.copies.remove(&name, slot);
            entry.absent.push((name, now));
        }
    }

    /// Notes that an attempt was sent.
    pub fn record_sent(&mut self, now: ClockTime, target: &TargetName, query: &RouteQuery<'_>) {
        let Some(&slot) = self.slots.get(target) else {
            return;
        };
        let hit = self
            .prefixes
            .hits(now, query.prefix_blocks)
            .iter()
            .find(|hit| hit.slot == slot)
            .map_or(0.0, |hit| hit.share);
        let tokens = f64::from(query.input_tokens) * (1.0 - hit);
        self.uncached += UNCACHED_WEIGHT * (1.0 - hit - self.uncached);
        self.change_load(now, slot, 1, tokens as i64);
        for &block in query.prefix_blocks {
            self.prefixes.store(now, slot, block);
        }
        if let WorkKind::Model {
            adapter: Some(adapter),
            ..
        } = query.work
        {
            if self
                .copies
                .get(adapter.as_str())
                .binary_search(&slot)
                .is_err()
            {
                self.transit.start(now, adapter, slot);
            }
        }
    }

    /// Notes that an attempt ended well, with its time to the first token or byte.
    pub fn record_ended(&mut self, now: ClockTime, target: &TargetName, first: Option<ClockTime>) {
        let Some(&slot) = self.slots.get(target) else {
            return;
        };
        self.change_load(now, slot, -1, 0);
        if let (Some(entry), Some(first)) = (self.entries[slot as usize].as_mut(), first) {
            let requests = entry.load.requests() + 1;
            entry.limit.observe(now, first, requests);
        }
    }

    /// Notes that an attempt failed.
    pub fn record_failed(&mut self, now: ClockTime, target: &TargetName) {
        let half_life = self.tuning.failure_half_life;
        self.record_ended(now, target, None);
        if let Some(entry) = self.entry_mut(target) {
            entry.failures = choose::decayed_failures(entry, now, half_life) + 1.0;
            entry.failed_at = now;
        }
    }

    /// Notes that a target refused an attempt with an HTTP status.
    pub fn record_refused(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        status: u16,
        work: Option<&WorkKind>,
    ) {
        self.record_failed(now, target);
        if let Some(work) = work.filter(|_| status == NOT_FOUND) {
            self.record_absent(now, target, work);
        }
    }

    fn change_load(&mut self, now: ClockTime, slot: u32, requests: i64, tokens: i64) {
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        if requests > 0 {
            entry.in_flight += 1;
        } else {
            // A target that was removed and declared again ends attempts it never counted.
            if entry.in_flight == 0 {
                return;
            }
            entry.in_flight -= 1;
        }
        entry.load.add(now, SELF_SENDER, requests, tokens);
        entry.untold_tokens += tokens;
        if !entry.dirty {
            entry.dirty = true;
            self.dirty.push_back(slot);
        }
        invariant!(
            self.dirty.len() <= self.entries.len(),
            "dirty_targets_bounded",
            "{} dirty of {}",
            self.dirty.len(),
            self.entries.len()
        );
    }

    fn entry(&self, target: &TargetName) -> Option<&TargetEntry> {
        let slot = *self.slots.get(target)?;
        self.entries[slot as usize].as_ref()
    }

    fn entry_mut(&mut self, target: &TargetName) -> Option<&mut TargetEntry> {
        let slot = *self.slots.get(target)?;
        self.entries[slot as usize].as_mut()
    }

    /// Returns the failure domain of a target.
    pub fn domain_of(&self, target: &TargetName) -> Option<&DomainName> {
        self.entry(target).map(|entry| &entry.spec.domain)
    }

    /// Returns the declaration of a target.
    pub fn spec_of(&self, target: &TargetName) -> Option<&TargetSpec> {
        self.entry(target).map(|entry| &entry.spec)
    }

    /// Returns whether a target is known and may be given work.
    pub fn is_usable(&self, target: &TargetName) -> bool {
        self.entry(target).is_some_and(TargetEntry::is_usable)
    }

    /// Returns the last report of a target.
    pub fn report_of(&self, target: &TargetName) -> Option<&LoadReport> {
        self.entry(target).and_then(|entry| entry.report.as_ref())
    }

    /// Returns the present concurrency limit of a target.
    pub fn concurrency_limit_of(&self, target: &TargetName) -> Option<u32> {
        self.entry(target).map(|entry| entry.limit.current())
    }

    /// Returns the estimated number of requests at a target, from all hosts.
    pub fn requests_at(&self, target: &TargetName) -> Option<u32> {
        self.entry(target)
            .map(|entry| entry.load.requests().max(entry.in_flight))
    }

    /// Returns the least time until a model that is nowhere resident can run.
    ///
    /// That is the declared time of a load, or zero while a target reports that the model is
    /// loading, since the start of that load is not known.
    pub fn model_load_time(&self, work: &WorkKind) -> ClockTime {
        let WorkKind::Model { model, .. } = work else {
            return ClockTime::ZERO;
        };
        let reports = self
            .entries
            .iter()
            .flatten()
            .flat_map(|entry| &entry.report);
        let is_loading = reports
            .flat_map(|report| &report.copies)
            .any(|copy| copy.state == CopyState::Loading && *copy.name == *model.as_str());
        match self.load_times.get(model) {
            Some(time) if !is_loading => *time,
            _ => ClockTime::ZERO,
        }
    }

    /// Chooses a target for an attempt.
    pub fn choose(
        &self,
        now: ClockTime,
        query: &RouteQuery<'_>,
        rng: &mut SeededRng,
    ) -> RouteChoice {
        choose::choose(self, now, query, rng)
    }
}
