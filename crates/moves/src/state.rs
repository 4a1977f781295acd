//! State and settings of the move reducer.

use crate::fleet::{FleetSpec, ResidencyPlan};
use crate::intent::{IntentEntry, OrderAction};
use crate::lease::{holder_deadline, LeaseRow, LeaseState};
use crate::ledger::MemoryLedger;
use crate::table_calls::{PendingCall, WriteBatch};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Settings of the move reducer.
#[derive(Clone, Debug)]
pub struct MoveSettings {
    /// This host.
    pub host: HostName,
    /// Region whose moves are ordered.
    pub region: RegionName,
    /// Length of the lease.
    pub lease_length: ClockTime,
    /// Time after which the holder renews.
    pub renew_after: ClockTime,
    /// Largest relative error of a monotonic clock against true time.
    pub clock_drift: f64,
    /// Time after which the answer to a table call counts as lost.
    pub table_timeout: ClockTime,
    /// Longest pause between tries while the table service fails.
    pub table_backoff_max: ClockTime,
    /// Time after which an order without a known end is sent again with the same id.
    pub order_retry: ClockTime,
    /// Longest time between two sendings of one order.
    pub order_retry_max: ClockTime,
    /// Longest time that an order can be on its way to an engine.
    pub max_order_delay: ClockTime,
    /// Rows per read while intents are scanned.
    pub rows_per_scan: u32,
    /// Intent rows per transaction.
    pub rows_per_write: usize,
    /// Open orders at once in the region.
    pub max_open_orders: usize,
    /// Age of a load report beyond which its target counts as silent.
    pub report_timeout: ClockTime,
    /// Time for which a copy loaded on demand is kept after the last want.
    pub demand_retention: ClockTime,
    /// Time after the last want during which requests count as waiting. Until it is over, the copy
    /// is kept even if others wait for its room; hosts repeat a want every second.
    pub demand_timeout: ClockTime,
}

impl MoveSettings {
    /// Returns the settings for a host and region with default times.
    pub fn new(host: HostName, region: RegionName) -> Self {
        Self {
            host,
            region,
            lease_length: ClockTime::from_secs(10),
            renew_after: ClockTime::from_ms(3300),
            clock_drift: 0.01,
            table_timeout: ClockTime::from_secs(2),
            table_backoff_max: ClockTime::from_secs(20),
            order_retry: ClockTime::from_secs(2),
            order_retry_max: ClockTime::from_secs(30),
            max_order_delay: ClockTime::from_secs(30),
            rows_per_scan: 100,
            rows_per_write: 32,
            max_open_orders: 64,
            report_timeout: ClockTime::from_secs(15),
            demand_retention: ClockTime::from_secs(60),
            demand_timeout: ClockTime::from_ms(1500),
        }
    }
}

/// Confirmation of a fencing number by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceConfirmation {
    /// Number.
    pub fencing: FencingNumber,
    /// Process number of the engine that confirmed it.
    pub incarnation: u64,
    /// When the confirmation arrived.
    pub at: ClockTime,
}

/// What is known of one engine.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Number of its process.
    pub incarnation: u64,
    /// Number of its last report.
    pub sequence: u64,
    /// When the figures of that report were taken, by this host's clock.
    pub measured_at: ClockTime,
    /// Copies on it.
    pub copies: BTreeMap<Arc<str>, CopyState>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Loads wait for a report newer than this time: a restarted engine has forgotten which orders it ran,
    /// so that late repetitions could run again.
    pub loads_blocked_until: ClockTime,
    /// Confirmed fencing number.
    pub fence: Option<FenceConfirmation>,
    /// When the fencing number is raised again if it is not confirmed.
    pub fence_retry: ClockTime,
}

/// State of the move reducer.
#[derive(Debug)]
pub struct MoveState {
    pub(crate) settings: MoveSettings,
    pub(crate) fleet: Arc<FleetSpec>,
    pub(crate) plan: Arc<ResidencyPlan>,
    /// Names wanted on demand, and until when their copies are kept.
    pub(crate) wants: BTreeMap<Arc<str>, ClockTime>,
    /// Wanted names that were resident after the last want.
    pub(crate) served: BTreeSet<Arc<str>>,
    pub(crate) lease: LeaseState,
    /// Random number of this process; drawn at the first event.
    pub(crate) instance: Option<u64>,
    /// Highest fencing number seen in the lease row.
    pub(crate) highest_fencing: FencingNumber,
    /// Fencing number of this host's last tenure.
    pub(crate) held_fencing: FencingNumber,
    pub(crate) writes: u64,
    pub(crate) calls: u64,
    pub(crate) pending: Option<PendingCall>,
    /// Write whose answer was lost; a read of the lease row settles it.
    pub(crate) unresolved: Option<WriteBatch>,
    pub(crate) next_call: ClockTime,
    /// Failed table calls in succession.
    pub(crate) failures: u32,
    pub(crate) entries: BTreeMap<OrderId, IntentEntry>,
    pub(crate) by_target: BTreeMap<TargetName, BTreeSet<OrderId>>,
    pub(crate) views: BTreeMap<TargetName, TargetView>,
    pub(crate) ledger: MemoryLedger,
    pub(crate) load_tokens: f64,
    pub(crate) tokens_at: ClockTime,
    /// Targets that report a copy of a name, in whatever state.
    pub(crate) copies_on: BTreeMap<Arc<str>, BTreeSet<TargetName>>,
    /// Targets that report no copy of some name that the plan keeps there.
    pub(crate) missing: BTreeSet<TargetName>,
    /// Targets that may not have confirmed the fencing number of the lease.
    pub(crate) unfenced: BTreeSet<TargetName>,
    /// Names that the plan keeps resident somewhere.
    pub(crate) planned: BTreeSet<Arc<str>>,
    /// Loads that an engine refused, and when they may be tried again.
    pub(crate) refused: BTreeMap<(TargetName, Arc<str>), ClockTime>,
    /// Time of the last event.
    pub(crate) now: ClockTime,
    pub(crate) noted: BTreeSet<(TargetName, Arc<str>)>,
}

impl MoveState {
    /// Makes the state of a host that has read nothing yet.
    pub fn new(settings: MoveSettings) -> Self {
        Self {
            settings,
            fleet: Arc::default(),
            plan: Arc::default(),
            wants: BTreeMap::new(),
            served: BTreeSet::new(),
            lease: LeaseState::Unread,
            instance: None,
            highest_fencing: FencingNumber(0),
            held_fencing: FencingNumber(0),
            writes: 0,
            calls: 0,
            pending: None,
            unresolved: None,
            next_call: ClockTime::ZERO,
            failures: 0,
            entries: BTreeMap::new(),
            by_target: BTreeMap::new(),
            views: BTreeMap::new(),
            ledger: MemoryLedger::default(),
            load_tokens: 0.0,
            tokens_at: ClockTime::ZERO,
            copies_on: BTreeMap::new(),
            missing: BTreeSet::new(),
            unfenced: BTreeSet::new(),
            planned: BTreeSet::new(),
            refused: BTreeMap::new(),
            now: ClockTime::ZERO,
            noted: BTreeSet::new(),
        }
    }

    /// Returns the lease.
    pub fn lease(&self) -> &LeaseState {
        &self.lease
    }

    /// Returns the memory ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the intents that this host knows as holder.
    pub fn intents(&self) -> impl Iterator<Item = &IntentEntry> {
        self.entries.values()
    }

    /// Returns whether a target reported lately, as of the last event.
    pub fn is_reporting(&self, target: &TargetName) -> bool {
        is_reporting(self, target)
    }

    /// Returns the lease row and the deadline if this host may order now.
    pub fn active_lease(&self, now: ClockTime) -> Option<(&LeaseRow, ClockTime)> {
        match &self.lease {
            LeaseState::Held {
                row,
                scan_complete: true,
                ..
            } => {
                let deadline = holder_deadline(row, self.settings.clock_drift);
                (now < deadline).then_some((row, deadline))
            }
            _ => None,
        }
    }
}

/// Returns the entries of one target.
pub(crate) fn entries_on<'a>(
    state: &'a MoveState,
    target: &TargetName,
) -> impl Iterator<Item = &'a IntentEntry> {
    state
        .by_target
        .get(target)
        .into_iter()
        .flatten()
        .filter_map(|order| state.entries.get(order))
}

/// Adds an entry; its memory must already be held in the ledger.
pub(crate) fn add_entry(state: &mut MoveState, entry: IntentEntry) {
    state
        .by_target
        .entry(entry.row.target.clone())
        .or_default()
        .insert(entry.id);
    state.entries.insert(entry.id, entry);
}

/// Removes an entry and releases its memory.
pub(crate) fn remove_entry(state: &mut MoveState, order: OrderId) {
    let Some(entry) = state.entries.remove(&order) else {
        return;
    };
    if let Some(orders) = state.by_target.get_mut(&entry.row.target) {
        orders.remove(&order);
    }
    state.ledger.release(&entry.row.target, order);
}

/// Returns whether a target takes new orders: its residency is known since the lease was taken, and
/// its engine has confirmed the fencing number if it checks numbers.
pub(crate) fn is_ready(state: &MoveState, target: &TargetName) -> bool {
    let (
        LeaseState::Held {
            row, acquired_at, ..
        },
        Some(view),
        Some(spec),
    ) = (
        &state.lease,
        state.views.get(target),
        state.fleet.targets.get(target),
    )
    else {
        return false;
    };
    if view.measured_at < *acquired_at || !is_reporting(state, target) {
        return false;
    }
    !spec.checks_fencing
        || view
            .fence
            .is_some_and(|fence| fence.fencing == row.fencing && view.measured_at >= fence.at)
}

/// Returns whether a report newer than the quiet time after a restart has arrived.
pub(crate) fn accepts_loads(state: &MoveState, target: &TargetName) -> bool {
    state
        .views
        .get(target)
        .is_some_and(|view| view.measured_at >= view.loads_blocked_until)
}

/// Returns whether a target has reported lately.
pub(crate) fn is_reporting(state: &MoveState, target: &TargetName) -> bool {
    state
        .views
        .get(target)
        .is_some_and(|view| state.now.since(view.measured_at) < state.settings.report_timeout)
}

/// Returns whether a copy is resident on a target and not about to be unloaded.
pub(crate) fn is_safe_copy(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    let resident = state
        .views
        .get(target)
        .is_some_and(|view| view.copies.get(name) == Some(&CopyState::Resident) && !view.leaving);
    resident
        && !state.plan.drained.contains(target)
        && is_reporting(state, target)
        && !entries_on(state, target)
            .any(|entry| entry.row.action == OrderAction::Unload && entry.row.name == *name)
}
