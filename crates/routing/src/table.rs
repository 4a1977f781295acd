//! Route table of one host: the state of every declared target, and the choice among them.
//!
//! Each target has a numbered slot. Calls resolve a name to its slot once, and the choice of a
//! target works on slots only.

use crate::adapters::AdapterLoads;
use crate::choose;
use crate::index::SlotIndex;
use crate::load::{LoadEstimate, LOCAL_SENDER};
use crate::prefix::{BatchOutcome, CacheBatch, PrefixHints};
use crate::query::{RouteChoice, RouteQuery, WorkKind};
use crate::report::{CopyState, LoadDelta, LoadReport};
use crate::tuning::RouteTuning;
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// HTTP status with which an engine refuses a model or adapter that it does not hold.
const NOT_FOUND: u16 = 404;
/// Weight of one sent request in the smoothed fraction of uncached tokens.
const UNCACHED_SMOOTHING: f64 = 0.01;
/// Largest number of hosts that have a sender number in the load logs.
const MAX_SENDERS: usize = 1_024;

/// Settings of a [`RouteTable`].
#[derive(Clone, Debug)]
pub struct RouteSettings {
    /// Failure domain of this host, from which distances to targets are measured.
    pub domain: DomainName,
}

/// State of one target as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) spec: TargetSpec,
    /// Last load report.
    pub(crate) report: Option<LoadReport>,
    pub(crate) load: LoadEstimate,
    pub(crate) limit: ConcurrencyLimit,
    /// Requests that this host sent and that have not ended.
    pub(crate) in_flight: u32,
    /// Whether the host list, a peer or the preset in force marks the target as leaving.
    marked_leaving: bool,
    /// Whether the target's last report says that it is leaving. The report may be older than the
    /// mark.
    reported_leaving: bool,
    /// Whether the target is suspected of having failed.
    pub(crate) suspect: bool,
    /// Number of recent failures, decayed up to `failed_at`.
    pub(crate) failures: f64,
    /// Time of the last failure.
    pub(crate) failed_at: ClockTime,
    /// Time added to the score of the target for its failure domain or region.
    pub(crate) distance: ClockTime,
    /// Sorted names of the resident models and adapters, without absent ones.
    copies: Vec<Arc<str>>,
    /// Listed models and adapters that the target refused with status 404, and the time of the
    /// refusal.
    absent: Vec<(Arc<str>, ClockTime)>,
    /// Whether the delta of the target changed since it was last taken.
    dirty: bool,
    /// Tokens sent since the last delta was taken.
    unpublished_tokens: i64,
}

impl TargetEntry {
    /// Returns whether the target may be given new work.
    pub(crate) fn is_usable(&self) -> bool {
        !self.marked_leaving && !self.reported_leaving && !self.suspect
    }
}

/// Targets known to one host, with their load, cached prefixes and concurrency limits.
///
/// Reports, deltas and cache events keep the table up to date; [`Self::choose`] picks a target for
/// an attempt.
#[derive(Clone, Debug)]
pub struct RouteTable {
    pub(crate) domain: DomainName,
    pub(crate) tuning: RouteTuning,
    /// Targets by slot; `None` for a free slot.
    pub(crate) entries: Vec<Option<TargetEntry>>,
    /// Slots by the name of a resident model or adapter.
    pub(crate) copies: SlotIndex,
    /// Slots by the name of a service.
    pub(crate) services: SlotIndex,
    pub(crate) prefix_hints: PrefixHints,
    pub(crate) adapter_loads: AdapterLoads,
    slots: HashMap<TargetName, u32>,
    /// Slots of removed targets, for reuse.
    free_slots: Vec<u32>,
    /// Declared region of each failure domain.
    regions: HashMap<DomainName, RegionName>,
    /// Declared load time of each model.
    load_times: HashMap<ModelName, ClockTime>,
    /// Numbers of other hosts in the load logs.
    senders: HashMap<HostName, u32>,
    last_sender: u32,
    /// Smoothed fraction of the tokens sent by this host that were expected not to be cached.
    uncached_fraction: f64,
    /// Slots of the targets whose delta changed since it was last taken.
    dirty: VecDeque<u32>,
}

impl RouteTable {
    /// Creates an empty table with the default tuning.
    pub fn new(settings: RouteSettings) -> Self {
        Self::with_tuning(settings, RouteTuning::default())
    }

    /// Creates an empty table with the given tuning.
    pub fn with_tuning(settings: RouteSettings, tuning: RouteTuning) -> Self {
        Self {
            domain: settings.domain,
            prefix_hints: PrefixHints::new(tuning.prefix_hint_capacity, tuning.prefix_half_life),
            adapter_loads: AdapterLoads::new(tuning.adapter_load_time, tuning.host_count),
            tuning,
            entries: Vec::new(),
            copies: SlotIndex::default(),
            services: SlotIndex::default(),
            slots: HashMap::new(),
            free_slots: Vec::new(),
            regions: HashMap::new(),
            load_times: HashMap::new(),
            senders: HashMap::new(),
            last_sender: LOCAL_SENDER,
            uncached_fraction: 1.0,
            dirty: VecDeque::new(),
        }
    }

    /// Sets the declared regions, which determine the distances and the limit on adapter loads in
    /// transit.
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
        let own_region = self.regions.get(&self.domain);
        let limit = regions
            .iter()
            .find(|region| Some(&region.name) == own_region)
            .map(|region| region.adapter_loads_in_transit);
        self.adapter_loads.set_limit(limit);
        for slot in 0..self.entries.len() {
            let distance = self.entries[slot]
                .as_ref()
                .map(|entry| self.distance_to(&entry.spec.domain));
            if let (Some(entry), Some(distance)) = (self.entries[slot].as_mut(), distance) {
                entry.distance = distance;
            }
        }
    }

    /// Sets the declared models, which determine the load times.
    pub fn set_models(&mut self, models: &[ModelSpec]) {
        let load_time = |model: &ModelSpec| (model.name.clone(), ClockTime::from_ms(model.load_ms));
        self.load_times = models.iter().map(load_time).collect();
    }

    /// Sets the declared targets. Targets that were declared before keep their state.
    pub fn set_targets(&mut self, targets: &[TargetSpec]) {
        let mut undeclared = std::mem::take(&mut self.slots);
        for spec in targets {
            let distance = self.distance_to(&spec.domain);
            if let Some(slot) = undeclared.remove(&spec.name) {
                self.update_spec(slot, spec, distance);
                self.slots.insert(spec.name.clone(), slot);
            } else if !self.slots.contains_key(&spec.name) {
                self.add_target(spec, distance);
            }
        }
        let mut removed: Vec<u32> = undeclared.into_values().collect();
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
            marked_leaving: false,
            reported_leaving: false,
            suspect: false,
            failures: 0.0,
            failed_at: ClockTime::ZERO,
            distance,
            copies: Vec::new(),
            absent: Vec::new(),
            dirty: false,
            unpublished_tokens: 0,
        };
        let slot = self.free_slots.pop().unwrap_or(self.entries.len() as u32);
        if slot as usize == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[slot as usize] = Some(entry);
        }
        self.prefix_hints.grow(self.entries.len());
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
        self.prefix_hints.reset_slot(slot);
        self.adapter_loads.remove_slot(slot);
        self.dirty.retain(|&other| other != slot);
        self.free_slots.push(slot);
    }

    /// Returns the time added to the score of a target in a failure domain.
    fn distance_to(&self, domain: &DomainName) -> ClockTime {
        if *domain == self.domain {
            return ClockTime::ZERO;
        }
        // A domain without a declared region counts as near, so that a table without regions works.
        match (self.regions.get(domain), self.regions.get(&self.domain)) {
            (Some(region), Some(own_region)) if region != own_region => self.tuning.region_distance,
            _ => self.tuning.domain_distance,
        }
    }

    /// Applies a load report. A report that is not newer than the last one is ignored.
    pub fn apply_report(&mut self, now: ClockTime, report: LoadReport) {
        let Some(&slot) = self.slots.get(&report.target) else {
            return;
        };
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        let last_report = entry.report.as_ref();
        if last_report.is_some_and(|last| {
            (report.incarnation, report.sequence) <= (last.incarnation, last.sequence)
        }) {
            return;
        }
        if last_report.is_some_and(|last| report.incarnation > last.incarnation) {
            self.prefix_hints.reset_slot(slot);
        }
        let measured_at = now - report.age;
        entry
            .absent
            .retain(|(_, refused_at)| *refused_at >= measured_at);
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
        entry.reported_leaving = report.leaving;
        entry.load.rebase(now, &report, self.uncached_fraction);
        entry.report = Some(report);
    }

    /// Applies a delta of another host.
    ///
    /// The log entries of that host are corrected so that their sum matches the delta. A delta
    /// relative to an older report than the last one here is ignored. One relative to a newer
    /// report can only raise the estimate, since the newer report may cover requests that only the
    /// log counts here.
    pub fn apply_delta(&mut self, now: ClockTime, from: &HostName, delta: &LoadDelta) {
        let Some(&slot) = self.slots.get(&delta.target) else {
            return;
        };
        let sender = self.sender_number(from);
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        let sequence = entry.report.as_ref().map_or(0, |report| report.sequence);
        if delta.sequence < sequence {
            return;
        }
        let (logged_requests, logged_tokens) = entry.load.logged_by(sender);
        let tokens = i64::try_from(delta.tokens)
            .unwrap_or(i64::MAX)
            .saturating_sub(logged_tokens);
        let mut requests = i64::from(delta.requests) - logged_requests;
        if delta.sequence > sequence {
            requests = requests.max(0);
        }
        if requests != 0 || tokens > 0 {
            entry.load.record(now, sender, requests, tokens.max(0));
        }
    }

    /// Returns the number of a host in the load logs, assigning one if it has none.
    ///
    /// Hundreds of hosts join and leave each day, so the map is cleared when it is full. Hosts then
    /// get new numbers, and a delta may count twice until the next report of its target.
    fn sender_number(&mut self, host: &HostName) -> u32 {
        if let Some(&sender) = self.senders.get(host) {
            return sender;
        }
        if self.senders.len() >= MAX_SENDERS {
            self.senders.clear();
        }
        self.last_sender = self.last_sender.wrapping_add(1).max(LOCAL_SENDER + 1);
        self.senders.insert(host.clone(), self.last_sender);
        self.last_sender
    }

    /// Applies a batch of a target's cache events.
    pub fn apply_cache_batch(&mut self, now: ClockTime, batch: &CacheBatch) -> BatchOutcome {
        match self.slots.get(&batch.target) {
            Some(&slot) => self.prefix_hints.apply(now, slot, batch),
            None => BatchOutcome::Ignored,
        }
    }

    /// Returns the targets whose cache events have a gap, from which a full batch should be
    /// requested.
    pub fn cache_resync_targets(&self) -> Vec<TargetName> {
        self.entries
            .iter()
            .enumerate()
            .filter(|(slot, _)| self.prefix_hints.needs_full(*slot as u32))
            .filter_map(|(_, entry)| entry.as_ref().map(|entry| entry.spec.name.clone()))
            .collect()
    }

    /// Returns the number of prefix hints held.
    pub fn prefix_hint_count(&self) -> usize {
        self.prefix_hints.len()
    }

    /// Takes up to `limit` deltas of this host that changed since they were last taken, for the
    /// other hosts.
    ///
    /// If there are more, those with the most unpublished tokens are taken, since hosts that do not
    /// know of these tokens send requests to the same targets.
    pub fn take_deltas(&mut self, limit: usize) -> Vec<LoadDelta> {
        let count = limit.min(self.dirty.len());
        if count < self.dirty.len() {
            let entries = &self.entries;
            let unpublished = |slot: u32| {
                let entry = entries[slot as usize].as_ref();
                entry.map_or(0, |entry| entry.unpublished_tokens)
            };
            let dirty = self.dirty.make_contiguous();
            dirty.sort_by_key(|&slot| std::cmp::Reverse(unpublished(slot)));
        }
        let slots: Vec<u32> = self.dirty.drain(..count).collect();
        let mut deltas = Vec::with_capacity(count);
        for slot in slots {
            let Some(entry) = self.entries[slot as usize].as_mut() else {
                continue;
            };
            entry.dirty = false;
            entry.unpublished_tokens = 0;
            let (requests, tokens) = entry.load.logged_by(LOCAL_SENDER);
            deltas.push(LoadDelta {
                target: entry.spec.name.clone(),
                sequence: entry.report.as_ref().map_or(0, |report| report.sequence),
                requests: requests.clamp(i64::from(i32::MIN), i64::from(i32::MAX)) as i32,
                tokens: tokens.max(0) as u64,
            });
        }
        deltas
    }

    /// Marks a target as leaving, or as staying if `leaving` is false.
    ///
    /// A target whose last report says that it is leaving stays unusable in either case.
    pub fn set_leaving(&mut self, target: &TargetName, leaving: bool) {
        if let Some(entry) = self.entry_mut(target) {
            entry.marked_leaving = leaving;
        }
    }

    /// Marks a target as suspected of having failed, or clears the mark.
    pub fn set_suspect(&mut self, target: &TargetName, suspect: bool) {
        if let Some(entry) = self.entry_mut(target) {
            entry.suspect = suspect;
        }
    }

    /// Records that a target refused work because it does not hold the model or adapter.
    ///
    /// The target counts as not holding it until a report with figures measured later. The refusal
    /// does not distinguish an adapter from its base model: the adapter is assumed to be missing if
    /// it is listed, else the base model.
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

    /// Records that an attempt was sent to a target.
    pub fn record_sent(&mut self, now: ClockTime, target: &TargetName, query: &RouteQuery<'_>) {
        let Some(&slot) = self.slots.get(target) else {
            return;
        };
        let cached = self
            .prefix_hints
            .hits(now, query.prefix_blocks)
            .iter()
            .find(|hit| hit.slot == slot)
            .map_or(0.0, |hit| hit.cached_fraction);
        let tokens = f64::from(query.input_tokens) * (1.0 - cached);
        self.uncached_fraction += UNCACHED_SMOOTHING * (1.0 - cached - self.uncached_fraction);
        self.change_load(now, slot, 1, tokens as i64);
        for &block in query.prefix_blocks {
            self.prefix_hints.store(now, slot, block);
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
                self.adapter_loads.record_start(now, adapter, slot);
            }
        }
    }

    /// Records that an attempt ended without a failure of the target.
    ///
    /// `first_output` is the time from its start to the first token or byte, from which the
    /// concurrency limit is adjusted.
    pub fn record_ended(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        first_output: Option<ClockTime>,
    ) {
        let Some(&slot) = self.slots.get(target) else {
            return;
        };
        self.change_load(now, slot, -1, 0);
        if let (Some(entry), Some(first_output)) =
            (self.entries[slot as usize].as_mut(), first_output)
        {
            let requests = entry.load.requests() + 1;
            entry.limit.observe(now, first_output, requests);
        }
    }

    /// Records that an attempt ended with a failure of the target.
    pub fn record_failed(&mut self, now: ClockTime, target: &TargetName) {
        let half_life = self.tuning.failure_half_life;
        self.record_ended(now, target, None);
        if let Some(entry) = self.entry_mut(target) {
            entry.failures = choose::decayed_failures(entry, now, half_life) + 1.0;
            entry.failed_at = now;
        }
    }

    /// Records that a target refused an attempt with an HTTP status.
    ///
    /// The refusal counts as a failure, and with status 404 also as a missing model or adapter.
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

    /// Changes the load that this host causes at a target: 1 for a sent request, -1 for an ended
    /// one.
    fn change_load(&mut self, now: ClockTime, slot: u32, requests: i64, tokens: i64) {
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        if requests > 0 {
            entry.in_flight += 1;
        } else {
            // A target that was removed and declared again starts at zero, so attempts that were
            // sent before its removal are not subtracted.
            if entry.in_flight == 0 {
                return;
            }
            entry.in_flight -= 1;
        }
        entry.load.record(now, LOCAL_SENDER, requests, tokens);
        entry.unpublished_tokens += tokens;
        if !entry.dirty {
            entry.dirty = true;
            self.dirty.push_back(slot);
        }
        invariant!(
            self.dirty.len() <= self.entries.len(),
            "dirty_targets_bounded",
            "{} targets are marked as changed, but the table has only {} slots",
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

    /// Returns the failure domain of a target, or `None` if the target is not declared.
    pub fn domain_of(&self, target: &TargetName) -> Option<&DomainName> {
        self.entry(target).map(|entry| &entry.spec.domain)
    }

    /// Returns the declaration of a target, if there is one.
    pub fn spec_of(&self, target: &TargetName) -> Option<&TargetSpec> {
        self.entry(target).map(|entry| &entry.spec)
    }

    /// Returns whether a target is declared and may be given new work.
    pub fn is_usable(&self, target: &TargetName) -> bool {
        self.entry(target).is_some_and(TargetEntry::is_usable)
    }

    /// Returns the last load report of a target, if there is one.
    pub fn report_of(&self, target: &TargetName) -> Option<&LoadReport> {
        self.entry(target).and_then(|entry| entry.report.as_ref())
    }

    /// Returns the current concurrency limit of a target, in requests.
    pub fn concurrency_limit_of(&self, target: &TargetName) -> Option<u32> {
        self.entry(target).map(|entry| entry.limit.current())
    }

    /// Returns the estimated number of requests from all hosts at a target.
    pub fn requests_at(&self, target: &TargetName) -> Option<u32> {
        self.entry(target)
            .map(|entry| entry.load.requests().max(entry.in_flight))
    }

    /// Returns the shortest time until a model that is not resident on any target can run.
    ///
    /// This is the declared load time, or zero while a target reports that the model is loading,
    /// since the start of that load is not known. It is also zero for a service or an undeclared
    /// model.
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

    /// Chooses the target with the shortest estimated time to the first token or byte for an
    /// attempt.
    ///
    /// Recent failures and a random jitter raise the estimate. A target in the avoided failure
    /// domain is chosen only if there is no other.
    pub fn choose(
        &self,
        now: ClockTime,
        query: &RouteQuery<'_>,
        rng: &mut SeededRng,
    ) -> RouteChoice {
        choose::choose(self, now, query, rng)
    }
}
