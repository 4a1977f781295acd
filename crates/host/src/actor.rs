//! The actor that owns the reducer's state.
//!
//! Every message becomes an event of the reducer, and the effects of that event are performed
//! before the next message is handled. Calls that take time run as local tasks, which send their
//! results to the actor as messages.

use crate::answer::AnswerSender;
use crate::catalog_view::SharedCatalog;
use crate::claims::StoredAnswer;
use crate::gossip::GossipLink;
use crate::polling::TaggedReport;
use crate::preset_calls::{AcceptWaiters, BodyCache};
use crate::submit::{CallerDisconnected, RequestPayload, SubmitRequest};
use actix::{Actor, AsyncContext, Context, Handler, Message, StreamHandler};
use crocusyard_base::prelude::*;
use crocusyard_border::platform::HostListing;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_metrics::prelude::*;
use crocusyard_platform::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::PollSchedule;
use crocusyard_settings::prelude::*;
use crocusyard_targets::management::LoadAnswer;
use crocusyard_targets::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

/// Interval between ticks of the reducer. Retry delays and timeouts are rounded up to it.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reads of an engine's cache events.
const CACHE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between updates of the gauges. Scrapes need no fresher values.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// The monotonic clock of one host, which starts with the actor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostClock(Instant);

impl HostClock {
    /// Returns the time since the host started.
    pub(crate) fn now(self) -> ClockTime {
        ClockTime::from_ms(u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// A request that the shell keeps until the reducer has finished it.
pub(crate) struct RequestSlot {
    /// Content that is sent to a target.
    pub(crate) payload: RequestPayload,
    /// Channel to the caller's handler; `None` once the answer has ended or the caller has left.
    pub(crate) answer: Option<AnswerSender>,
    /// Request id that the caller sees.
    pub(crate) id: RequestId,
    /// Whether the answer's body is collected, so that it can be recorded under the request's
    /// claim.
    pub(crate) collects_answer: bool,
    /// Earlier answer to the same call, read from a claim or from a target's record.
    pub(crate) stored_answer: Option<StoredAnswer>,
    /// Tenant and class labels for the request's metrics.
    pub(crate) labels: RequestLabels,
    /// When the last token was sent to the caller; `None` before the first one.
    pub(crate) last_token_at: Option<ClockTime>,
}

/// An attempt of a request that the shell keeps.
pub(crate) struct AttemptSlot {
    /// Request that the attempt belongs to.
    pub(crate) key: RequestKey,
    /// Status and headers of the target's answer; `None` until they arrive.
    pub(crate) head: Option<Box<ResponseHead>>,
    /// Body collected for the record; `None` once it is too large to be recorded.
    pub(crate) collected: Option<Vec<u8>>,
}

/// The parts from which a [`HostActor`] is built.
pub struct HostParts {
    /// Checked settings of the host.
    pub settings: Arc<HostSettings>,
    /// State of the reducer.
    pub state: HostState,
    /// Client of the table service, the object store and the host list.
    pub platform: PlatformClient,
    /// Catalogue in force, shared with the HTTP handlers.
    pub catalog: SharedCatalog,
    /// Metrics of the host.
    pub metrics: Arc<MetricSet>,
    /// Socket and keys of the packets between hosts.
    pub(crate) gossip: GossipLink,
    /// Key with which hosts fetch preset bodies from each other.
    pub(crate) peer_key: Arc<str>,
    /// Notified when a planned stop is requested by other means than a signal.
    pub(crate) drain_request: Arc<tokio::sync::Notify>,
}

/// The actor of one entry host.
pub struct HostActor {
    pub(crate) settings: Arc<HostSettings>,
    pub(crate) state: HostState,
    pub(crate) platform: PlatformClient,
    pub(crate) catalog: SharedCatalog,
    pub(crate) metrics: Arc<MetricSet>,
    pub(crate) pools: TargetPools,
    pub(crate) requests: HashMap<RequestKey, RequestSlot>,
    pub(crate) attempts: HashMap<AttemptId, AttemptSlot>,
    /// Claimed calls that continue although their callers have disconnected.
    pub(crate) detached_requests: BTreeSet<RequestKey>,
    pub(crate) gossip: GossipLink,
    pub(crate) gossip_task: Option<actix_rt::task::JoinHandle<()>>,
    pub(crate) peer_key: Arc<str>,
    pub(crate) body_cache: BodyCache,
    pub(crate) poll_schedule: PollSchedule,
    /// Last full load report of each target, if the target gave it a tag.
    pub(crate) tagged_reports: HashMap<TargetName, Arc<TaggedReport>>,
    /// Ticks since the targets that are due for a load read were last polled.
    pub(crate) ticks_since_poll: u64,
    /// Sequence number of the last cache event read from each engine.
    pub(crate) last_cache_sequences: HashMap<TargetName, u64>,
    pub(crate) accept_waiters: AcceptWaiters,
    drain_request: Arc<tokio::sync::Notify>,
    started_at: Instant,
    /// Number of the last request; 0 before the first one.
    last_key: u64,
    /// Updates of all attempts; `None` once the actor reads them as a stream.
    attempt_updates: Option<mpsc::UnboundedReceiver<AttemptUpdate>>,
    /// When the planned stop began; `None` if none has.
    drain_started_at: Option<ClockTime>,
}

impl HostActor {
    /// Builds the actor; its timers start when it is started.
    pub fn new(parts: HostParts) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let poll_tuning = crate::polling::poll_tuning(&parts.settings);
        let connect_ms = parts.settings.requests.connect_timeout_ms.as_ms();
        let connect_timeout = Duration::from_millis(connect_ms);
        Self {
            settings: parts.settings,
            state: parts.state,
            platform: parts.platform,
            catalog: parts.catalog,
            metrics: parts.metrics,
            pools: TargetPools::new(sender, connect_timeout),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            detached_requests: BTreeSet::new(),
            gossip: parts.gossip,
            gossip_task: None,
            peer_key: parts.peer_key,
            body_cache: BodyCache::default(),
            poll_schedule: PollSchedule::new(poll_tuning),
            tagged_reports: HashMap::new(),
            ticks_since_poll: 0,
            last_cache_sequences: HashMap::new(),
            accept_waiters: AcceptWaiters::new(),
            drain_request: parts.drain_request,
            started_at: Instant::now(),
            last_key: 0,
            attempt_updates: Some(receiver),
            drain_started_at: None,
        }
    }

    /// Returns the host's monotonic clock.
    pub(crate) fn clock(&self) -> HostClock {
        HostClock(self.started_at)
    }

    /// Returns the time on the host's monotonic clock.
    pub(crate) fn now(&self) -> ClockTime {
        self.clock().now()
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_started_at.is_some()
    }

    /// Returns whether the host takes new work: it has a load report of at least one target, it
    /// is confirmed to have the newest preset version, and no planned stop has begun.
    pub(crate) fn is_ready(&self) -> bool {
        let mut targets = self.state.catalog.catalog.targets.iter();
        let knows_load = targets.any(|spec| self.state.routes.report_of(&spec.name).is_some());
        knows_load && self.state.takes_work()
    }

    /// Returns the address of a target; `None` if the catalogue does not declare it.
    pub(crate) fn address_of(&self, target: &TargetName) -> Option<SocketAddr> {
        self.state.routes.spec_of(target).map(|spec| spec.address)
    }

    /// Passes an event to the reducer and performs the effects that it returns.
    pub(crate) fn apply_event(&mut self, event: HostEvent, context: &mut Context<Self>) {
        let mut effects = Vec::new();
        let now = self.now();
        crocusyard_core::features::reduce(&mut self.state, now, event, &mut effects);
        for effect in effects {
            self.perform_effect(effect, context);
        }
        self.remove_ended_detached();
    }

    /// Passes an event of the request feature to the reducer.
    pub(crate) fn apply_request_event(&mut self, event: RequestEvent, context: &mut Context<Self>) {
        self.apply_event(HostEvent::Request(event), context);
    }

    /// Makes a catalogue that came into force visible to the handlers, the metrics and the polling.
    pub(crate) fn publish_catalog(&mut self, catalog: Arc<CatalogSpec>) {
        let tenants = catalog.tenants.iter().map(|tenant| &tenant.name);
        let classes = catalog.classes.iter().map(|class| &class.name);
        self.metrics.declare_names(tenants, classes);
        self.poll_schedule
            .set_targets(catalog.targets.iter().map(|target| &target.name));
        self.tagged_reports.clear();
        self.catalog.replace(catalog);
    }
}

impl Actor for HostActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(updates) = self.attempt_updates.take() {
            Self::add_stream(UnboundedReceiverStream::new(updates), context);
        }
        self.start_gossip(context);
        self.poll_targets(context);
        context.run_interval(TICK_INTERVAL, |actor, context| {
            actor.apply_event(HostEvent::Tick, context);
            actor.poll_targets_on_tick(context);
        });
        let host_poll_interval = Duration::from_millis(self.settings.platform.host_poll_ms.as_ms());
        self.poll_hosts(context);
        context.run_interval(host_poll_interval, Self::poll_hosts);
        self.poll_caches(context);
        context.run_interval(CACHE_POLL_INTERVAL, Self::poll_caches);
        context.run_interval(GAUGE_INTERVAL, Self::update_gauges);
    }

    fn stopped(&mut self, _context: &mut Self::Context) {
        if let Some(task) = self.gossip_task.take() {
            task.abort();
        }
    }
}

impl Handler<SubmitRequest> for HostActor {
    type Result = actix::MessageResult<SubmitRequest>;

    fn handle(&mut self, request: SubmitRequest, context: &mut Self::Context) -> Self::Result {
        self.last_key += 1;
        let key = RequestKey(self.last_key);
        let mut spec = request.spec;
        spec.deadline = self.now() + spec.deadline;
        let slot = RequestSlot {
            payload: request.payload,
            answer: Some(request.answer),
            id: spec.id.clone(),
            collects_answer: !spec.idempotent,
            stored_answer: None,
            labels: self.metrics.labels_of(&spec.tenant, &spec.class),
            last_token_at: None,
        };
        self.requests.insert(key, slot);
        self.apply_request_event(
            RequestEvent::Arrived {
                key,
                spec: Box::new(spec),
            },
            context,
        );
        actix::MessageResult(key)
    }
}

impl Handler<CallerDisconnected> for HostActor {
    type Result = ();

    fn handle(&mut self, message: CallerDisconnected, context: &mut Self::Context) {
        if let Some(slot) = self.requests.get_mut(&message.key) {
            slot.answer = None;
            self.apply_request_event(
                RequestEvent::CallerDisconnected { key: message.key },
                context,
            );
        }
    }
}

impl StreamHandler<AttemptUpdate> for HostActor {
    fn handle(&mut self, update: AttemptUpdate, context: &mut Self::Context) {
        self.apply_update(update, context);
    }
}

/// The result of one load read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LoadRead {
    pub(crate) target: TargetName,
    /// The target's answer; `None` if the read failed.
    pub(crate) answer: Option<LoadAnswer>,
    /// Report whose tag the read sent; an answer with counts only refers to it.
    pub(crate) base: Option<Arc<TaggedReport>>,
}

impl Handler<LoadRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: LoadRead, context: &mut Self::Context) {
        if let Some(event) = self.load_event(read) {
            self.apply_event(event, context);
        }
    }
}

/// The host list; `None` if it could not be read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HostsRead(pub(crate) Option<HostListing>);

impl Handler<HostsRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: HostsRead, context: &mut Self::Context) {
        if let Some(listing) = read.0 {
            let event = crate::polling::hosts_event(&listing, &self.state);
            self.apply_event(event, context);
        }
    }
}

/// Starts a planned stop.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StartDrain;

impl Handler<StartDrain> for HostActor {
    type Result = ();

    fn handle(&mut self, _: StartDrain, context: &mut Self::Context) {
        if self.drain_started_at.is_none() {
            self.drain_started_at = Some(self.now());
            self.apply_event(HostEvent::DrainStarted, context);
        }
    }
}

/// Asks whether a planned stop is complete: the address answers given to callers have expired and
/// no request is in progress.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsDrained;

impl Handler<IsDrained> for HostActor {
    type Result = bool;

    fn handle(&mut self, _: IsDrained, _context: &mut Self::Context) -> bool {
        let address = &self.settings.address;
        let addresses_expired = self
            .drain_started_at
            .is_some_and(|since| self.now() >= since + address.ttl_ms + address.drain_ms);
        addresses_expired && self.requests.is_empty()
    }
}

/// Asks whether the host takes new work.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsReady;

impl Handler<IsReady> for HostActor {
    type Result = bool;

    fn handle(&mut self, _: IsReady, _context: &mut Self::Context) -> bool {
        self.is_ready()
    }
}

/// Requests a planned stop of the whole process.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RequestDrain;

impl Handler<RequestDrain> for HostActor {
    type Result = ();

    fn handle(&mut self, _: RequestDrain, _context: &mut Self::Context) {
        self.request_drain();
    }
}

impl HostActor {
    /// Notifies the process that a planned stop is requested.
    pub(crate) fn request_drain(&self) {
        self.drain_request.notify_one();
    }
}
