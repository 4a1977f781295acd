//! The actor that owns the reducer's state.
//!
//! Every message becomes an event; the effects of the event are performed before the next message is
//! taken. Calls that take time run as local tasks and come back as messages.

use crate::answer::AnswerSender;
use crate::catalog_view::SharedCatalog;
use crate::claims::StoredAnswer;
use crate::gossip::GossipLink;
use crate::polling::KnownReport;
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

/// Time between two ticks of the reducer; retries and time limits are rounded up to it.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reads of an engine's cache events.
const CACHE_POLL: Duration = Duration::from_secs(2);

/// Time between two updates of the gauges; a scrape needs nothing fresher.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// The monotonic clock of one host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostClock(Instant);

impl HostClock {
    /// Returns the time since the host started.
    pub(crate) fn now(self) -> ClockTime {
        ClockTime::from_ms(u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// A request in the shell.
pub(crate) struct RequestSlot {
    pub(crate) payload: RequestPayload,
    pub(crate) answer: Option<AnswerSender>,
    pub(crate) id: RequestId,
    /// Whether the answer is collected, so that it can be recorded under its claim.
    pub(crate) collects: bool,
    /// Answer read from a claim or from a target's record.
    pub(crate) stored: Option<StoredAnswer>,
    /// Metric labels.
    pub(crate) labels: RequestLabels,
    /// When the last token was delivered.
    pub(crate) last_token: Option<ClockTime>,
}

/// An attempt in the shell.
pub(crate) struct AttemptSlot {
    pub(crate) key: RequestKey,
    pub(crate) head: Option<Box<ResponseHead>>,
    /// Body to record; `None` once it is too large to be recorded.
    pub(crate) collected: Option<Vec<u8>>,
}

/// What an actor is made of.
pub struct HostParts {
    /// Settings.
    pub settings: Arc<HostSettings>,
    /// Reducer state.
    pub state: HostState,
    /// Platform client.
    pub platform: PlatformClient,
    /// Catalogue shared with the handlers.
    pub catalog: SharedCatalog,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// Socket and keys of the packets between hosts.
    pub(crate) gossip: GossipLink,
    /// Key with which hosts fetch bodies from each other.
    pub(crate) peer_key: Arc<str>,
    /// Set when the host is told to stop by other means than a signal.
    pub(crate) drain_wish: Arc<tokio::sync::Notify>,
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
    /// Claimed calls that go on although their callers have left.
    pub(crate) detached: BTreeSet<RequestKey>,
    pub(crate) gossip: GossipLink,
    pub(crate) gossip_task: Option<actix_rt::task::JoinHandle<()>>,
    pub(crate) peer_key: Arc<str>,
    pub(crate) bodies: BodyCache,
    pub(crate) polls: PollSchedule,
    /// Last whole report of each target that gave it a tag.
    pub(crate) known_reports: HashMap<TargetName, Arc<KnownReport>>,
    /// Ticks since it was last looked which targets' load is to be read.
    pub(crate) poll_ticks: u64,
    /// Last cache event read of each engine.
    pub(crate) cache_next: HashMap<TargetName, u64>,
    pub(crate) accepts: AcceptWaiters,
    drain_wish: Arc<tokio::sync::Notify>,
    started: Instant,
    next_key: u64,
    updates: Option<mpsc::UnboundedReceiver<AttemptUpdate>>,
    draining: Option<ClockTime>,
}

impl HostActor {
    /// Makes the actor.
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
            detached: BTreeSet::new(),
            gossip: parts.gossip,
            gossip_task: None,
            peer_key: parts.peer_key,
            bodies: BodyCache::default(),
            polls: PollSchedule::new(poll_tuning),
            known_reports: HashMap::new(),
            poll_ticks: 0,
            cache_next: HashMap::new(),
            accepts: AcceptWaiters::new(),
            drain_wish: parts.drain_wish,
            started: Instant::now(),
            next_key: 0,
            updates: Some(receiver),
            draining: None,
        }
    }

    /// Returns the host's monotonic clock.
    pub(crate) fn clock(&self) -> HostClock {
        HostClock(self.started)
    }

    /// Returns the time on the host's monotonic clock.
    pub(crate) fn now(&self) -> ClockTime {
        self.clock().now()
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Returns whether the host takes new work: it knows the load of a target, is confirmed to be
    /// current and is not being stopped.
    pub(crate) fn is_ready(&self) -> bool {
        let mut targets = self.state.catalog.catalog.targets.iter();
        let knows_load = targets.any(|spec| self.state.routes.report_of(&spec.name).is_some());
        knows_load && self.state.takes_work()
    }

    /// Returns the address of a declared target.
    pub(crate) fn address_of(&self, target: &TargetName) -> Option<SocketAddr> {
        self.state.routes.spec_of(target).map(|spec| spec.address)
    }

    /// Hands an event to the reducer and performs the effects.
    pub(crate) fn feed(&mut self, event: HostEvent, context: &mut Context<Self>) {
        let mut effects = Vec::new();
        let now = self.now();
        crocusyard_core::features::reduce(&mut self.state, now, event, &mut effects);
        for effect in effects {
            self.perform(effect, context);
        }
        self.forget_detached();
    }

    /// Hands an event of the request feature to the reducer.
    pub(crate) fn feed_request(&mut self, event: RequestEvent, context: &mut Context<Self>) {
        self.feed(HostEvent::Request(event), context);
    }

    /// Shows the handlers a catalogue that is in force.
    pub(crate) fn publish_catalog(&mut self, catalog: Arc<CatalogSpec>) {
        let tenants = catalog.tenants.iter().map(|tenant| &tenant.name);
        let classes = catalog.classes.iter().map(|class| &class.name);
        self.metrics.declare_names(tenants, classes);
        self.polls
            .set_targets(catalog.targets.iter().map(|target| &target.name));
        self.known_reports.clear();
        self.catalog.replace(catalog);
    }
}

impl Actor for HostActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(updates) = self.updates.take() {
            Self::add_stream(UnboundedReceiverStream::new(updates), context);
        }
        self.start_gossip(context);
        self.poll_targets(context);
        context.run_interval(TICK_INTERVAL, |actor, context| {
            actor.feed(HostEvent::Tick, context);
            actor.poll_in_step(context);
        });
        let listing = Duration::from_millis(self.settings.platform.host_poll_ms.as_ms());
        self.poll_hosts(context);
        context.run_interval(listing, Self::poll_hosts);
        self.poll_caches(context);
        context.run_interval(CACHE_POLL, Self::poll_caches);
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
        self.next_key += 1;
        let key = RequestKey(self.next_key);
        let mut spec = request.spec;
        spec.deadline = self.now() + spec.deadline;
        let slot = RequestSlot {
            payload: request.payload,
            answer: Some(request.answer),
            id: spec.id.clone(),
            collects: !spec.idempotent,
            stored: None,
            labels: self.metrics.labels_of(&spec.tenant, &spec.class),
            last_token: None,
        };
        self.requests.insert(key, slot);
        self.feed_request(
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

    fn handle(&mut self, left: CallerDisconnected, context: &mut Self::Context) {
        if let Some(slot) = self.requests.get_mut(&left.key) {
            slot.answer = None;
            self.feed_request(RequestEvent::CallerDisconnected { key: left.key }, context);
        }
    }
}

impl StreamHandler<AttemptUpdate> for HostActor {
    fn handle(&mut self, update: AttemptUpdate, context: &mut Self::Context) {
        self.take_update(update, context);
    }
}

/// A target's load report, or that it could not be read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LoadRead {
    pub(crate) target: TargetName,
    pub(crate) answer: Option<LoadAnswer>,
    /// Report whose tag the read named.
    pub(crate) known: Option<Arc<KnownReport>>,
}

impl Handler<LoadRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: LoadRead, context: &mut Self::Context) {
        if let Some(event) = self.load_event(read) {
            self.feed(event, context);
        }
    }
}

/// The host list, as far as it could be read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HostsRead(pub(crate) Option<HostListing>);

impl Handler<HostsRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: HostsRead, context: &mut Self::Context) {
        if let Some(listing) = read.0 {
            let event = crate::polling::hosts_event(&listing, &self.state);
            self.feed(event, context);
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
        if self.draining.is_none() {
            self.draining = Some(self.now());
            self.feed(HostEvent::StopPlanned, context);
        }
    }
}

/// Asks whether a planned stop is through: given answers have run out and no request is in progress.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsDrained;

impl Handler<IsDrained> for HostActor {
    type Result = bool;

    fn handle(&mut self, _: IsDrained, _context: &mut Self::Context) -> bool {
        let address = &self.settings.address;
        let quiet = self
            .draining
            .is_some_and(|since| self.now() >= since + address.ttl_ms + address.drain_ms);
        quiet && self.requests.is_empty()
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

/// Asks for a planned stop of the whole process.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RequestDrain;

impl Handler<RequestDrain> for HostActor {
    type Result = ();

    fn handle(&mut self, _: RequestDrain, _context: &mut Self::Context) {
        self.wish_drain();
    }
}

impl HostActor {
    /// Tells the process that a planned stop is wanted.
    pub(crate) fn wish_drain(&self) {
        self.drain_wish.notify_one();
    }
}
