//! All state of the process, and the carrying out of effects.

use crate::clock;
use crate::decision_log;
use crate::gossip::PeerSocket;
use crate::message::HostMessage;
use crate::metrics::EdgeMetrics;
use crate::moves;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_httpconn::prelude::*;
use crocusyard_serving::prelude::*;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, Hasher};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Longest time to open a connection to a target; a dark one does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection to a target is kept; targets announce about as much.
const IDLE_LIMIT: Duration = Duration::from_secs(8);
/// Idle connections kept for one target.
const IDLE_COUNT: usize = 32;

/// Time after the signal to stop in which new streams are still taken; the longest take 3 s.
const STREAM_STOP_TIME: ClockTime = ClockTime::from_ms(2_500);
/// Time after the signal to stop in which new calls are still taken; they take 0.2 s.
const CALL_STOP_TIME: ClockTime = ClockTime::from_ms(5_500);

/// What a request is told.
#[derive(Clone, Debug)]
pub(crate) enum RequestStep {
    /// Send to a target.
    Send(AttemptPlan),
    /// Refuse.
    Refuse(RequestRefusal),
    /// Fate unknown.
    Fail {
        /// Whether its time is up.
        expired: bool,
    },
}

/// State that all tasks of the process share.
pub(crate) struct EdgeShell {
    pub(crate) settings: HostSettings,
    pub(crate) serving: RefCell<ServingState>,
    pub(crate) hosts: RefCell<HostTable>,
    pub(crate) lease: RefCell<LeaseState>,
    pub(crate) orders: RefCell<OrderTracker>,
    pub(crate) demands: RefCell<DemandTotals>,
    pub(crate) trend: RefCell<DemandTrend>,
    pub(crate) list: RefCell<ListFollower>,
    pub(crate) metrics: EdgeMetrics,
    pub(crate) pool: ConnPool,
    pub(crate) store: StoreClient,
    pub(crate) peers: PeerSocket,
    /// Point at which the process was told to stop.
    pub(crate) stopping: Cell<Option<ClockTime>>,
    /// Version of the lease row with which this host gave the lease up.
    pub(crate) released: Cell<Option<u64>>,
    pub(crate) rng: RefCell<SeededRng>,
    /// Copies that hosts wait for, with the time of the last question; only at the lease holder.
    pub(crate) wants: RefCell<BTreeMap<(ServiceName, CallNeed), ClockTime>>,
    own: Weak<EdgeShell>,
    requests: RefCell<HashMap<RequestKey, UnboundedSender<RequestStep>>>,
    next_key: Cell<u64>,
}

impl EdgeShell {
    pub(crate) fn new(settings: HostSettings, peers: PeerSocket) -> Rc<Self> {
        let now = clock::now();
        let config = ServingConfig {
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
        Rc::new_cyclic(|own_shell| Self {
            serving: RefCell::new(ServingState::new(config, now)),
            hosts: RefCell::new(HostTable::new(own)),
            lease: RefCell::new(LeaseState::new(settings.lease_time, now)),
            orders: RefCell::default(),
            demands: RefCell::default(),
            trend: RefCell::default(),
            list: RefCell::default(),
            metrics: EdgeMetrics::new(),
            pool: ConnPool::new(PoolLimits {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_LIMIT,
                max_idle: IDLE_COUNT,
            }),
            store: StoreClient::new(settings.store),
            peers,
            stopping: Cell::new(None),
            released: Cell::new(None),
            rng: RefCell::new(seeded_rng(RandomState::new().build_hasher().finish())),
            wants: RefCell::default(),
            own: own_shell.clone(),
            requests: RefCell::default(),
            next_key: Cell::new(1),
            settings,
        })
    }

    /// Registers a request; its steps arrive at the receiver.
    pub(crate) fn register(&self) -> (RequestKey, UnboundedReceiver<RequestStep>) {
        let key = RequestKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let (sender, receiver) = unbounded_channel();
        self.requests.borrow_mut().insert(key, sender);
        (key, receiver)
    }

    /// Ends a request; tells the reducer if it is still in progress there.
    pub(crate) fn release(&self, key: RequestKey) {
        self.requests.borrow_mut().remove(&key);
        self.dispatch(ServingEvent::CallerLeft { key });
    }

    /// Returns whether the process was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns whether a new request might not end before the process does.
    pub(crate) fn refuses_new(&self, route: &RouteRule) -> bool {
        let Some(begun) = self.stopping.get() else {
            return false;
        };
        let is_stream = matches!(route.kind, CallKind::Stream { .. });
        let limit = if is_stream {
            STREAM_STOP_TIME
        } else {
            CALL_STOP_TIME
        };
        clock::now().since(begun) >= limit
    }

    /// Requests in progress.
    pub(crate) fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Feeds an event to the reducer and carries out the effects.
    pub(crate) fn dispatch(&self, event: ServingEvent) {
        let effects = self.serving.borrow_mut().reduce(event, clock::now());
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: ServingEffect) {
        match effect {
            ServingEffect::Send(plan) => self.step(plan.key, RequestStep::Send(plan)),
            ServingEffect::Refuse(refusal) => {
                self.step(refusal.key, RequestStep::Refuse(refusal));
            }
            ServingEffect::Fail { key, expired } => self.step(key, RequestStep::Fail { expired }),
            ServingEffect::RequestCopy { service, need } => self.want(service, need),
            ServingEffect::ReportCrash(report) => {
                decision_log::belief(
                    "call",
                    "broke_target",
                    json!({"digest": report.digest.0, "target": report.target.as_str()}),
                );
                self.tell_all(&HostMessage::Crash(report));
            }
        }
    }

    fn step(&self, key: RequestKey, step: RequestStep) {
        if let Some(sender) = self.requests.borrow().get(&key) {
            // A receiver that is gone belongs to a caller that has just left.
            let _ = sender.send(step);
        }
    }

    fn want(&self, service: ServiceName, need: CallNeed) {
        if self.lease.borrow().is_holder() {
            if let Some(shell) = self.own.upgrade() {
                moves::want_copy(&shell, service, need);
            }
            return;
        }
        let holder = self.lease.borrow().holder().cloned();
        let address = holder.and_then(|holder| self.hosts.borrow().peer_address(&holder));
        if let Some(address) = address {
            self.peers
                .send(address, &HostMessage::Want { service, need });
        }
    }

    /// Fencing number, if orders may be given now.
    pub(crate) fn order_fence(&self) -> Option<FencingNumber> {
        let others = self.hosts.borrow().other_names();
        self.lease.borrow().order_fence(&others, clock::now())
    }

    /// What this host says of the lease.
    pub(crate) fn lease_report(&self) -> Option<LeaseReport> {
        if let Some(version) = self.released.get() {
            return Some(LeaseReport::Released { version });
        }
        let others = self.hosts.borrow().other_names();
        self.lease.borrow().report(&others, clock::now())
    }

    /// Sends a message to all other hosts.
    pub(crate) fn tell_all(&self, message: &HostMessage) {
        let peers = self.hosts.borrow().peer_addresses();
        self.peers.send_all(&peers, message);
    }
}
