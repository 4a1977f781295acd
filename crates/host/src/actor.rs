//! The actor that owns the reducer's state.
//!
//! Every message becomes an event; the effects of the event are performed before the next message is
//! taken. Calls that take time run as local tasks and come back as messages.

use crate::answer::AnswerSender;
use crate::catalog_view::SharedCatalog;
use crate::claims::StoredAnswer;
use crate::submit::{CallerLeft, RequestPayload, SubmitRequest};
use actix::{Actor, AsyncContext, Context, Handler, Message, StreamHandler};
use crocusyard_base::prelude::*;
use crocusyard_border::engine::LoadStatus;
use crocusyard_border::platform::HostListing;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_metrics::prelude::*;
use crocusyard_platform::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_settings::prelude::*;
use crocusyard_targets::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

/// Time between two ticks of the reducer; retries and time limits are rounded up to it.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

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
    pub(crate) collected: Vec<u8>,
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
    pub(crate) listing: HostListing,
    started: Instant,
    next_key: u64,
    updates: Option<mpsc::UnboundedReceiver<AttemptUpdate>>,
    draining: Option<ClockTime>,
}

impl HostActor {
    /// Makes the actor.
    pub fn new(parts: HostParts) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            settings: parts.settings,
            state: parts.state,
            platform: parts.platform,
            catalog: parts.catalog,
            metrics: parts.metrics,
            pools: TargetPools::new(sender),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            listing: HostListing {
                hosts: Vec::new(),
                targets: Vec::new(),
            },
            started: Instant::now(),
            next_key: 0,
            updates: Some(receiver),
            draining: None,
        }
    }

    /// Returns the time since the actor was made, on the monotonic clock.
    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::from_ms(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
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
    }

    /// Hands an event of the request feature to the reducer.
    pub(crate) fn feed_request(&mut self, event: RequestEvent, context: &mut Context<Self>) {
        self.feed(HostEvent::Request(event), context);
    }

    /// Puts a catalogue in force.
    pub(crate) fn use_catalog(&mut self, catalog: Arc<CatalogSpec>, context: &mut Context<Self>) {
        let tenants = catalog.tenants.iter().map(|tenant| &tenant.name);
        let classes = catalog.classes.iter().map(|class| &class.name);
        self.metrics.declare_names(tenants, classes);
        self.catalog.replace(catalog.clone());
        self.feed(HostEvent::CatalogChanged(catalog), context);
    }
}

impl Actor for HostActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(updates) = self.updates.take() {
            Self::add_stream(UnboundedReceiverStream::new(updates), context);
        }
        context.run_interval(TICK_INTERVAL, |actor, context| {
            actor.feed(HostEvent::Tick, context);
        });
        let poll = Duration::from_millis(self.settings.requests.load_poll_ms.as_ms());
        self.poll_targets(context);
        context.run_interval(poll, Self::poll_targets);
        let listing = Duration::from_millis(self.settings.platform.host_poll_ms.as_ms());
        self.poll_hosts(context);
        context.run_interval(listing, Self::poll_hosts);
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

impl Handler<CallerLeft> for HostActor {
    type Result = ();

    fn handle(&mut self, left: CallerLeft, context: &mut Self::Context) {
        if let Some(slot) = self.requests.get_mut(&left.key) {
            slot.answer = None;
            self.feed_request(RequestEvent::CallerGone { key: left.key }, context);
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
    pub(crate) status: Option<LoadStatus>,
}

impl Handler<LoadRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: LoadRead, context: &mut Self::Context) {
        let Some(status) = read.status else { return };
        let report = crate::polling::report_of(read.target, status);
        self.feed(HostEvent::LoadReported(Box::new(report)), context);
    }
}

/// The host list, as far as it could be read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HostsRead(pub(crate) Option<HostListing>);

impl Handler<HostsRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: HostsRead, _context: &mut Self::Context) {
        if let Some(listing) = read.0 {
            self.listing = listing;
        }
    }
}

/// Asks for the host list that the host knows.
#[derive(Message)]
#[rtype(result = "HostListing")]
pub(crate) struct ReadListing;

impl Handler<ReadListing> for HostActor {
    type Result = actix::MessageResult<ReadListing>;

    fn handle(&mut self, _: ReadListing, _context: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.listing.clone())
    }
}

/// Starts a planned stop.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StartDrain;

impl Handler<StartDrain> for HostActor {
    type Result = ();

    fn handle(&mut self, _: StartDrain, _context: &mut Self::Context) {
        let now = self.now();
        self.draining.get_or_insert(now);
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

/// Asks whether the host takes new work: it knows the load of a target and is not being stopped.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsReady;

impl Handler<IsReady> for HostActor {
    type Result = bool;

    fn handle(&mut self, _: IsReady, _context: &mut Self::Context) -> bool {
        let mut targets = self.state.catalog.targets.iter();
        let knows_load = targets.any(|spec| self.state.routes.report_of(&spec.name).is_some());
        knows_load && self.draining.is_none()
    }
}
