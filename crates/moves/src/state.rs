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
    /// Name of this host, written to the lease row.
    pub host: HostName,
    /// Region whose moves this host may order.
    pub region: RegionName,
    /// Time for which a write to the lease row grants the lease.
    pub lease_length: ClockTime,
    /// Time after the last lease write at which the holder renews the lease.
    pub renew_after: ClockTime,
    /// Largest relative error of a monotonic clock against true time.
    pub clock_drift: f64,
    /// Time after which the answer to a table call counts as lost.
    pub table_timeout: ClockTime,
    /// Longest pause between calls while the table service fails.
    pub table_backoff_max: ClockTime,
    /// Pause before an order without a known end is first sent again with the same id, and between
    /// sendings of an unconfirmed fencing number.
    pub order_retry: ClockTime,
    /// Longest pause between two sendings of one order.
    pub order_retry_max: ClockTime,
    /// Longest time that an order can be in transit to an engine.
    pub max_order_delay: ClockTime,
    /// Rows per call while the intents are scanned.
    pub rows_per_scan: u32,
    /// Intent rows per transaction.
    pub rows_per_write: usize,
    /// Open orders in the region at the same time.
    pub max_open_orders: usize,
    /// Age of its last load report at which a target counts as silent.
    pub report_timeout: ClockTime,
    /// Time for which a copy loaded on demand is kept after its name was last requested.
    pub demand_retention: ClockTime,
    /// Time for which requests count as waiting after their name was last requested. Until then the
    /// copy is kept even if other names need its memory; hosts repeat the request every second.
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

/// An engine's confirmation that it refuses orders below a fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceConfirmation {
    /// Confirmed fencing number.
    pub fencing: FencingNumber,
    /// Process number of the engine that confirmed it.
    pub incarnation: u64,
    /// When the confirmation arrived.
    pub at: ClockTime,
}

/// What load reports and confirmations say about one engine.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Process number of the engine.
    pub incarnation: u64,
    /// Sequence number of its last report.
    pub sequence: u64,
    /// When the figures of that report were measured, by this host's clock.
    pub measured_at: ClockTime,
    /// State of each copy on the engine, by name.
    pub copies: BTreeMap<Arc<str>, CopyState>,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Loads wait for a report measured after this time. A restarted engine has forgotten which
    /// orders it ran, so that late repetitions could run again.
    pub loads_blocked_until: ClockTime,
    /// Fencing number that the engine last confirmed, or `None` since its restart.
    pub fence: Option<FenceConfirmation>,
    /// When an unconfirmed fencing number is sent again.
    pub fence_retry: ClockTime,
}

/// State of the move reducer.
#[derive(Debug)]
pub struct MoveState {
    pub(crate) settings: MoveSettings,
    /// Declarations of the region.
    pub(crate) fleet: Arc<FleetSpec>,
    /// Plan in force.
    pub(crate) plan: Arc<ResidencyPlan>,
    /// Requested names, and until when their copies are kept.
    pub(crate) demand: BTreeMap<Arc<str>, ClockTime>,
    /// Names in demand that have been resident since they were last requested.
    pub(crate) served_demand: BTreeSet<Arc<str>>,
    /// What this host knows of the lease.
    pub(crate) lease: LeaseState,
    /// Random number of this process, drawn at the first event.
    pub(crate) instance: Option<u64>,
    /// Highest fencing number seen in the lease row.
    pub(crate) highest_fencing: FencingNumber,
    /// Fencing number of the last lease that this host held.
    pub(crate) own_fencing: FencingNumber,
    /// Number of lease writes of this process so far, which is the number of the last one.
    pub(crate) write_count: u64,
    /// Number of table calls so far, which is the number of the last one.
    pub(crate) call_count: u64,
    /// Table call in progress.
    pub(crate) pending_call: Option<PendingCall>,
    /// Write whose answer was lost; reading the lease row shows whether it took effect.
    pub(crate) unresolved_write: Option<WriteBatch>,
    /// Earliest time of the next table call.
    pub(crate) next_call_at: ClockTime,
    /// Consecutive failed table calls.
    pub(crate) table_failures: u32,
    /// Intents of the region, while this host holds the lease.
    pub(crate) entries: BTreeMap<OrderId, IntentEntry>,
    /// Orders in `entries` by target.
    pub(crate) entries_by_target: BTreeMap<TargetName, BTreeSet<OrderId>>,
    /// What each engine reported last.
    pub(crate) views: BTreeMap<TargetName, TargetView>,
    /// Memory in use and reserved on each target.
    pub(crate) ledger: MemoryLedger,
    /// Model loads that the weight store allows to start now (token bucket).
    pub(crate) load_tokens: f64,
    /// When `load_tokens` was last refilled.
    pub(crate) tokens_refilled_at: ClockTime,
    /// Targets that report a copy of a name, in whatever state.
    pub(crate) targets_by_name: BTreeMap<Arc<str>, BTreeSet<TargetName>>,
    /// Targets that report no copy of some name that the plan keeps there.
    pub(crate) incomplete_targets: BTreeSet<TargetName>,
    /// Targets that may not have confirmed the fencing number of the lease.
    pub(crate) unfenced_targets: BTreeSet<TargetName>,
    /// Names that the plan keeps resident on any target.
    pub(crate) planned_names: BTreeSet<Arc<str>>,
    /// When a target may again be ordered to load a name that it refused.
    pub(crate) refused_until: BTreeMap<(TargetName, Arc<str>), ClockTime>,
    /// Time of the last event.
    pub(crate) now: ClockTime,
    /// Targets and names that `log_once` has logged.
    pub(crate) logged: BTreeSet<(TargetName, Arc<str>)>,
}

impl MoveState {
    /// Creates the state of a host that has not read the lease row.
    pub fn new(settings: MoveSettings) -> Self {
        Self {
            settings,
            fleet: Arc::default(),
            plan: Arc::default(),
            demand: BTreeMap::new(),
            served_demand: BTreeSet::new(),
            lease: LeaseState::Unread,
            instance: None,
            highest_fencing: FencingNumber(0),
            own_fencing: FencingNumber(0),
            write_count: 0,
            call_count: 0,
            pending_call: None,
            unresolved_write: None,
            next_call_at: ClockTime::ZERO,
            table_failures: 0,
            entries: BTreeMap::new(),
            entries_by_target: BTreeMap::new(),
            views: BTreeMap::new(),
            ledger: MemoryLedger::default(),
            load_tokens: 0.0,
            tokens_refilled_at: ClockTime::ZERO,
            targets_by_name: BTreeMap::new(),
            incomplete_targets: BTreeSet::new(),
            unfenced_targets: BTreeSet::new(),
            planned_names: BTreeSet::new(),
            refused_until: BTreeMap::new(),
            now: ClockTime::ZERO,
            logged: BTreeSet::new(),
        }
    }

    /// Returns what this host knows of the lease.
    pub fn lease(&self) -> &LeaseState {
        &self.lease
    }

    /// Returns the memory ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the intents of the region; empty unless this host holds the lease.
    pub fn intents(&self) -> impl Iterator<Item = &IntentEntry> {
        self.entries.values()
    }

    /// Returns whether a target's last report is recent, as of the last event.
    pub fn is_reporting(&self, target: &TargetName) -> bool {
        is_reporting(self, target)
    }

    /// Returns the lease row and the holder's deadline, or `None` if this host must not send orders
    /// now.
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

/// Returns the intents on one target.
pub(crate) fn entries_on<'a>(
    state: &'a MoveState,
    target: &TargetName,
) -> impl Iterator<Item = &'a IntentEntry> {
    state
        .entries_by_target
        .get(target)
        .into_iter()
        .flatten()
        .filter_map(|order| state.entries.get(order))
}

/// Adds an intent, whose memory must already be reserved in the ledger.
pub(crate) fn add_entry(state: &mut MoveState, entry: IntentEntry) {
    state
        .entries_by_target
        .entry(entry.row.target.clone())
        .or_default()
        .insert(entry.id);
    state.entries.insert(entry.id, entry);
}

/// Removes an intent and releases its memory.
pub(crate) fn remove_entry(state: &mut MoveState, order: OrderId) {
    let Some(entry) = state.entries.remove(&order) else {
        return;
    };
    if let Some(orders) = state.entries_by_target.get_mut(&entry.row.target) {
        orders.remove(&order);
    }
    state.ledger.release(&entry.row.target, order);
}

/// Returns whether a target takes orders: it has reported its copies since the lease was acquired,
/// and its engine has confirmed the fencing number if it checks fencing numbers.
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

/// Returns whether a target may receive loads: `loads_blocked_until` has passed by its own report.
pub(crate) fn accepts_loads(state: &MoveState, target: &TargetName) -> bool {
    state
        .views
        .get(target)
        .is_some_and(|view| view.measured_at >= view.loads_blocked_until)
}

/// Returns whether a target's last report is recent.
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
