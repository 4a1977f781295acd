//! Performs the effects of the preset feature, and caches preset bodies for other hosts.

use crate::actor::HostActor;
use crate::effects::TaskEvent;
use actix::{Actor, AsyncContext, Context, Handler, Message};
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_presets::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Number of cached bodies: the one in force, and earlier ones for hosts that still fetch them.
const MAX_CACHED_BODIES: usize = 4;
/// Largest body that is fetched from another host, bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Preset bodies of recent versions with their digests, the newest first.
#[derive(Default)]
pub(crate) struct BodyCache {
    bodies: VecDeque<([u8; 32], Arc<[u8]>)>,
}

impl BodyCache {
    fn insert(&mut self, digest: [u8; 32], body: Arc<[u8]>) {
        self.bodies.retain(|(cached, _)| *cached != digest);
        self.bodies.push_front((digest, body));
        self.bodies.truncate(MAX_CACHED_BODIES);
    }

    /// Returns a body by its hexadecimal digest.
    pub(crate) fn find(&self, digest: &str) -> Option<Arc<[u8]>> {
        let found = self
            .bodies
            .iter()
            .find(|(cached, _)| object_key(cached) == digest);
        found.map(|(_, body)| body.clone())
    }
}

/// Channels on which the handlers for operators wait for the results of changes, by the change's id.
pub(crate) type AcceptWaiters = BTreeMap<AcceptId, oneshot::Sender<AcceptResult>>;

/// Returns the object-store key of a body, which is its hexadecimal digest.
pub(crate) fn object_key(digest: &[u8; 32]) -> String {
    blake3::Hash::from_bytes(*digest).to_hex().to_string()
}

impl HostActor {
    /// Performs an effect of the preset feature.
    pub(crate) fn perform_preset(&mut self, effect: PresetEffect, context: &mut Context<Self>) {
        match effect {
            PresetEffect::Table { call, request } => self.call_preset_table(call, request, context),
            PresetEffect::StoreBody { call, digest, body } => {
                self.store_body(call, digest, &body, context);
            }
            PresetEffect::FetchBody {
                call,
                digest,
                source,
            } => {
                self.fetch_body(call, digest, source, context);
            }
            PresetEffect::PutInForce { preset, body } => {
                self.metrics.set_preset_version(preset.version);
                self.body_cache.insert(preset.digest, body);
                log::info!("preset version {} is in force", preset.version);
            }
            PresetEffect::AcceptDone { accept, result } => {
                if let Some(waiter) = self.accept_waiters.remove(&accept) {
                    // An operator that has disconnected finds the result in the history.
                    let _ = waiter.send(result);
                }
            }
            PresetEffect::Announce(_) | PresetEffect::UpToDateChanged { .. } => {}
        }
    }

    fn call_preset_table(&mut self, call: u64, request: TableCall, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let answer = platform.call_table(&request).await;
            let event = PresetEvent::TableAnswered { call, answer };
            actor.do_send(TaskEvent(HostEvent::Preset(event)));
        });
    }

    fn store_body(
        &mut self,
        call: u64,
        digest: [u8; 32],
        body: &[u8],
        context: &mut Context<Self>,
    ) {
        let platform = self.platform.clone();
        let actor = context.address();
        let body = Bytes::copy_from_slice(body);
        actix_rt::spawn(async move {
            let stored = platform
                .put_object(&object_key(&digest), body)
                .await
                .is_ok();
            let event = PresetEvent::BodyStored { call, stored };
            actor.do_send(TaskEvent(HostEvent::Preset(event)));
        });
    }

    fn fetch_body(
        &mut self,
        call: u64,
        digest: [u8; 32],
        source: BodySource,
        context: &mut Context<Self>,
    ) {
        let platform = self.platform.clone();
        let actor = context.address();
        let key = object_key(&digest);
        let peer = match &source {
            BodySource::Peer(host) => self.state.caller_address_of(host),
            BodySource::ObjectStore => None,
        };
        let peer_key = self.peer_key.clone();
        let timeout = Duration::from_millis(self.settings.platform.object_timeout_ms.as_ms());
        actix_rt::spawn(async move {
            let body = match (source, peer) {
                (BodySource::Peer(_), None) => None,
                (BodySource::Peer(_), Some(address)) => {
                    fetch_peer_body(
                        &format!("http://{address}/peer/bodies/{key}"),
                        &peer_key,
                        timeout,
                    )
                    .await
                }
                (BodySource::ObjectStore, _) => platform.get_object(&key).await.ok().flatten(),
            };
            let body = body.map(|body| Arc::from(&*body));
            let event = PresetEvent::BodyFetched { call, body };
            actor.do_send(TaskEvent(HostEvent::Preset(event)));
        });
    }
}

async fn fetch_peer_body(url: &str, peer_key: &str, timeout: Duration) -> Option<Bytes> {
    let client = awc::Client::builder()
        .timeout(timeout)
        .disable_redirects()
        .finish();
    let request = client.get(url).insert_header(("x-peer-key", peer_key));
    let mut response = request.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    actix_rt::time::timeout(timeout, response.body().limit(MAX_BODY_BYTES))
        .await
        .ok()?
        .ok()
}

/// Asks the actor for a cached body by its hexadecimal digest.
#[derive(Message)]
#[rtype(result = "Option<Arc<[u8]>>")]
pub(crate) struct FindBody(pub(crate) String);

impl Handler<FindBody> for HostActor {
    type Result = Option<Arc<[u8]>>;

    fn handle(&mut self, find: FindBody, _context: &mut <Self as Actor>::Context) -> Self::Result {
        self.body_cache.find(&find.0)
    }
}

/// Asks the actor to put a checked body in force as a new version.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AcceptBody {
    pub(crate) request: AcceptRequest,
    /// Channel for the result.
    pub(crate) waiter: oneshot::Sender<AcceptResult>,
}

impl Handler<AcceptBody> for HostActor {
    type Result = ();

    fn handle(&mut self, accept: AcceptBody, context: &mut <Self as Actor>::Context) {
        self.accept_waiters
            .insert(accept.request.accept, accept.waiter);
        self.apply_event(
            HostEvent::Preset(PresetEvent::Accept(accept.request)),
            context,
        );
    }
}
