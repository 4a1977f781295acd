//! Holds the state of the process and carries out the reducer's effects.

use crate::caller_conns::CallerConns;
use crate::clock;
use crate::crash_history::StoredHistory;
use crate::crash_log;
use crate::decision_log;
use crate::entry::ListenerRole;
use crate::former_state::ReportedRetries;
use crate::gossip::{self, PeerSocket};
use crate::intake_log::IntakeLog;
use crate::message::HostMessage;
use crate::metrics::EdgeMetrics;
use crate::moves;
use crate::notices::ComplaintLog;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_httpconn::prelude::*;
use crocusyard_intake::prelude::*;
use crocusyard_serving::prelude::*;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, Hasher};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;

/// Longest time to open a connection to a target; an unreachable one does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection to a target is kept; targets announce about the same time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of idle connections kept for one target.
const MAX_IDLE_CONNS: usize = 32;

/// Time after the stop signal for which all new calls are accepted; most streams end within the rest
/// of the stop time.
const STOP_ACCEPT_TIME: ClockTime = ClockTime::from_ms(2_500);

/// Part of the stop time that is reserved for the last answers and the exit of the process itself.
const EXIT_MARGIN: ClockTime = ClockTime::from_ms(500);

/// Time without a turn of the event loop from which the process counts as having been suspended. Shorter
/// suspensions leave time to learn of a configuration within the 3 s that it has.
const SUSPENSION_LIMIT: ClockTime = ClockTime::from_ms(2_000);
/// Longest time after a suspension for which requests are refused until the store has been asked for the
/// configuration; if it does not answer, the one in force stays.
const STALE_LIMIT: ClockTime = ClockTime::from_ms(1_500);

/// Largest number of connections for readiness and metrics. They are part of the descriptors that
/// are set aside for the host itself.
const MAX_OPERATOR_CONNS: usize = 16;
/// Memory from which the budget for the heads of these connections is derived, MB; callers cannot use
/// it up.
const OPERATOR_MEMORY_MB: u64 = 4;

/// Next step of a request, as decided by the reducer.
#[derive(Clone, Debug)]
pub(crate) enum RequestStep {
    /// Send the request to a target.
    Send(AttemptPlan),
    /// Refuse the request, which has not been run.
    Refuse(RequestRefusal),
    /// Fail the request, since it is not known whether it was run.
    Fail {
        /// Whether the deadline of the request has passed.
        expired: bool,
    },
}

/// State that all tasks of the process share. They run on one thread, so that cells suffice.
pub(crate) struct EdgeShell {
    pub(crate) settings: HostSettings,
    pub(crate) serving: RefCell<ServingState>,
    pub(crate) hosts: RefCell<HostTable>,
    pub(crate) lease: RefCell<LeaseState>,
    pub(crate) orders: RefCell<OrderTracker>,
    pub(crate) demands: RefCell<DemandTotals>,
    pub(crate) trend: RefCell<DemandTrend>,
    pub(crate) target_list: RefCell<ListFollower>,
    pub(crate) availability: RefCell<StoreAvailability>,
    pub(crate) metrics: EdgeMetrics,
    pub(crate) pool: ConnPool,
    /// Memory for what the host buffers on behalf of others.
    pub(crate) intake: IntakeBudget,
    pub(crate) intake_log: IntakeLog,
    pub(crate) caller_conns: Rc<CallerConns>,
    /// Connections of the platform and the operators, which callers cannot use up.
    pub(crate) operator_conns: Rc<CallerConns>,
    pub(crate) store: StoreClient,
    pub(crate) peers: PeerSocket,
    /// Row of this host in the store.
    pub(crate) own_row: RefCell<OwnRow>,
    /// Wakes the task that follows the rows of the entry hosts, which has to read them again.
    pub(crate) hosts_news: Notify,
    /// Version of the configuration's row that was read last; 0 before the first one.
    pub(crate) configuration_version: Cell<u64>,
    /// Version of the store up to which this host knows the configuration.
    pub(crate) configuration_read: Cell<u64>,
    /// Newest version of that row that another host has reported.
    heard_configuration: Cell<u64>,
    /// Wakes the task that follows the configuration, which may have to read it.
    pub(crate) configuration_news: Notify,
    /// Start of the process.
    pub(crate) started: ClockTime,
    /// Last known turn of the event loop.
    alive_at: Cell<ClockTime>,
    /// End of the last suspension, until the configuration has been read after it.
    stale_since: Cell<Option<ClockTime>>,
    /// When the process received the stop signal, if it did.
    pub(crate) stopping_since: Cell<Option<ClockTime>>,
    /// What other hosts have counted for their retry budgets, for their next processes.
    pub(crate) former_retries: RefCell<ReportedRetries>,
    /// Crashes that are in the store.
    pub(crate) stored_history: RefCell<StoredHistory>,
    pub(crate) rng: RefCell<SeededRng>,
    pub(crate) complaints: RefCell<ComplaintLog>,
    /// Copies that hosts wait for, with the time of the last request; recorded only while this host
    /// holds the lease.
    pub(crate) copy_requests: RefCell<BTreeMap<(ServiceName, CallNeed), ClockTime>>,
    /// Reference to this state itself, for effects that start tasks.
    weak_self: Weak<EdgeShell>,
    /// Senders of the steps of the requests in progress.
    requests: RefCell<HashMap<RequestKey, UnboundedSender<RequestStep>>>,
    next_key: Cell<u64>,
}

impl EdgeShell {
    pub(crate) fn new(settings: HostSettings, peers: PeerSocket) -> Rc<Self> {
        let now = clock::now();
        let config = ServingConfig {
            process: clock::start_s(),
            seed: RandomState::new().build_hasher().finish(),
            host: settings.name.clone(),
            domain: settings.domain.clone(),
            retries: settings.retries,
        };
        let own = HostRecord {
            millicores: settings.millicores,
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            entry: settings.entry,
            peer: settings.peer,
        };
        let process = RandomState::new().build_hasher().finish();
        let owner = LeaseOwner {
            host: settings.name.clone(),
            process,
        };
        let intake = IntakeBudget::new(IntakeLimits::for_memory(settings.memory_mb));
        let conn_limits = ConnLimits::for_descriptors(settings.max_descriptors);
        Rc::new_cyclic(|weak_shell| Self {
            serving: RefCell::new(ServingState::new(config, now)),
            hosts: RefCell::new(HostTable::new(own).with_first_stamp(clock::first_stamp(now))),
            lease: RefCell::new(LeaseState::new(owner, settings.lease_time, now)),
            orders: RefCell::default(),
            demands: RefCell::default(),
            trend: RefCell::default(),
            target_list: RefCell::default(),
            availability: RefCell::new(StoreAvailability::new(settings.target_heartbeat)),
            metrics: EdgeMetrics::new(),
            pool: ConnPool::new(PoolLimits {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
                max_idle: MAX_IDLE_CONNS,
            })
            .with_budget(intake.clone())
            .with_max_open(conn_limits.targets),
            caller_conns: CallerConns::new(conn_limits.callers, intake.clone()),
            operator_conns: CallerConns::new(
                MAX_OPERATOR_CONNS,
                IntakeBudget::new(IntakeLimits::for_memory(OPERATOR_MEMORY_MB)),
            ),
            intake,
            intake_log: IntakeLog::default(),
            store: StoreClient::new(settings.store),
            peers,
            own_row: RefCell::new(OwnRow::new(process)),
            hosts_news: Notify::new(),
            configuration_version: Cell::new(0),
            configuration_read: Cell::new(0),
            heard_configuration: Cell::new(0),
            configuration_news: Notify::new(),
            started: now,
            alive_at: Cell::new(now),
            stale_since: Cell::new(None),
            stopping_since: Cell::new(None),
            former_retries: RefCell::default(),
            stored_history: RefCell::default(),
            rng: RefCell::new(seeded_rng(RandomState::new().build_hasher().finish())),
            complaints: RefCell::default(),
            copy_requests: RefCell::default(),
            weak_self: weak_shell.clone(),
            requests: RefCell::default(),
            next_key: Cell::new(1),
            settings,
        })
    }

    /// Returns this state for a task of its own; `None` while it is being created or dropped.
    pub(crate) fn own_reference(&self) -> Option<Rc<Self>> {
        self.weak_self.upgrade()
    }

    /// Returns the table of the connections that a listener accepts.
    pub(crate) fn conns(&self, role: ListenerRole) -> &Rc<CallerConns> {
        match role {
            ListenerRole::Requests | ListenerRole::Addresses => &self.caller_conns,
            ListenerRole::Operator => &self.operator_conns,
        }
    }

    /// Registers a request; returns its key and the receiver of its steps.
    pub(crate) fn register_request(&self) -> (RequestKey, UnboundedReceiver<RequestStep>) {
        let key = RequestKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let (sender, receiver) = unbounded_channel();
        self.requests.borrow_mut().insert(key, sender);
        (key, receiver)
    }

    /// Removes a request and reports to the reducer that its caller has left, which has no effect
    /// if the request has ended.
    pub(crate) fn release_request(&self, key: RequestKey) {
        self.requests.borrow_mut().remove(&key);
        self.dispatch(ServingEvent::CallerLeft { key });
    }

    /// Returns whether the process has received the stop signal.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns whether a new call, whose caller waits for `timeout`, is refused because it might not
    /// end before the process does.
    pub(crate) fn refuses_new(&self, route: &RouteRule, timeout: ClockTime) -> bool {
        let Some(stop_began) = self.stopping_since.get() else {
            return false;
        };
        let elapsed = clock::now().since(stop_began);
        let is_stream = matches!(route.kind, CallKind::Stream { .. });
        let may_outlast = elapsed + timeout > self.stop_limit();
        elapsed >= STOP_ACCEPT_TIME && (is_stream || may_outlast)
    }

    /// Returns the time after the stop signal at which requests that are still in progress are
    /// ended.
    pub(crate) fn stop_limit(&self) -> ClockTime {
        self.settings.stop_time.since(EXIT_MARGIN)
    }

    /// Counts what was refused or closed to protect the host.
    pub(crate) fn count_intake_refusal(&self, reason: &'static str) {
        self.metrics.count_intake_refusal(reason);
        self.intake_log.count(reason);
    }

    /// Returns the number of requests in progress.
    pub(crate) fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Feeds an event to the reducer and carries out the effects.
    pub(crate) fn dispatch(&self, event: ServingEvent) {
        let effects = self.serving.borrow_mut().reduce(event, clock::now());
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&self, effect: ServingEffect) {
        match effect {
            ServingEffect::Send(plan) => self.push(plan.key, RequestStep::Send(plan)),
            ServingEffect::Refuse(refusal) => {
                self.push(refusal.key, RequestStep::Refuse(refusal));
            }
            ServingEffect::Fail { key, expired } => self.push(key, RequestStep::Fail { expired }),
            ServingEffect::RequestCopy { service, need } => self.request_copy(service, need),
            ServingEffect::ReportCrash(report) => {
                crash_log::log_crash(&report, &self.serving.borrow());
                self.metrics.count_crash();
                self.broadcast(&HostMessage::Crash(report));
            }
            ServingEffect::ReportEvidence(evidence) => {
                crash_log::log_evidence(&evidence);
                self.broadcast(&HostMessage::Evidence(evidence));
            }
            ServingEffect::LogBlame { cause, is_blamed } => {
                crash_log::log_blame(cause, is_blamed);
            }
            ServingEffect::ReportLeaving(notice) => {
                decision_log::log_change(
                    "target",
                    "said_leaving",
                    json!({"target": notice.target.as_str(), "incarnation": notice.incarnation}),
                );
                gossip::report_leaving(self, notice);
            }
        }
    }

    /// Queues the next step of a request.
    fn push(&self, key: RequestKey, step: RequestStep) {
        if let Some(sender) = self.requests.borrow().get(&key) {
            // The receiver is gone if the caller has just left.
            let _ = sender.send(step);
        }
    }

    /// Asks the lease holder, which may be this host, for a copy that calls wait for.
    fn request_copy(&self, service: ServiceName, need: CallNeed) {
        if self.lease.borrow().is_holder() {
            if let Some(shell) = self.own_reference() {
                moves::request_copy(&shell, service, need);
            }
            return;
        }
        let holder = self.lease.borrow().holder().cloned();
        let address = holder.and_then(|holder| self.hosts.borrow().peer_address(&holder));
        if let Some(address) = address {
            self.peers
                .send(address, &HostMessage::CopyRequest { service, need });
        }
    }

    /// Records the version of the configuration that another host has in force.
    pub(crate) fn hear_configuration(&self, version: u64) {
        self.heard_configuration
            .set(self.heard_configuration.get().max(version));
        if self.lacks_configuration() {
            self.configuration_news.notify_one();
        }
    }

    /// Records a turn of the event loop; detects that the process was suspended before it.
    pub(crate) fn record_turn(&self, now: ClockTime) {
        let gap = now.since(self.alive_at.replace(now));
        if gap >= SUSPENSION_LIMIT {
            self.stale_since.set(Some(now));
            self.configuration_news.notify_one();
            let gap_ms = gap.as_ms();
            decision_log::log_change("process", "suspended", json!({"gap_ms": gap_ms}));
        }
    }

    /// Returns whether keys may have been revoked while the process was suspended, so that requests are
    /// refused until the configuration has been read.
    pub(crate) fn may_lack_revocations(&self) -> bool {
        let since = self.stale_since.get();
        since.is_some_and(|since| clock::now().since(since) < STALE_LIMIT)
            && self.serving.borrow().has_tenants()
    }

    /// Records that the store has answered a call for the configuration that was sent at `sent_at`.
    pub(crate) fn finish_configuration_read(&self, sent_at: ClockTime) {
        if self.stale_since.get().is_some_and(|since| sent_at >= since) {
            self.stale_since.set(None);
        }
    }

    /// Returns whether another host has read a newer configuration.
    pub(crate) fn lacks_configuration(&self) -> bool {
        self.heard_configuration.get() > self.configuration_read.get()
    }

    /// Returns whether this host waits at the store for changes of the configuration, for itself or
    /// for its failure domain.
    pub(crate) fn awaits_configuration(&self) -> bool {
        let hosts = self.hosts.borrow();
        hosts.is_small() || hosts.reader_rank(clock::now()).awaits_changes()
    }

    /// Returns the fencing number if this host may give orders now.
    pub(crate) fn order_fence(&self) -> Option<FencingNumber> {
        let others = self.hosts.borrow().other_names();
        self.lease.borrow().order_fence(&others, clock::now())
    }

    /// Returns whether the rows of the entry hosts have been read from the store.
    pub(crate) fn knows_hosts(&self) -> bool {
        self.lease.borrow().hosts_version().is_some()
    }

    /// Returns the lease report of this host, if it has one.
    pub(crate) fn lease_report(&self) -> Option<LeaseReport> {
        let others = self.hosts.borrow().other_names();
        self.lease.borrow().report(&others, clock::now())
    }

    /// Sends a message to all other hosts.
    pub(crate) fn broadcast(&self, message: &HostMessage) {
        let peers = self.hosts.borrow().peer_addresses();
        self.peers.send_all(&peers, message);
    }
}
