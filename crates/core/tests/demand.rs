//! Tests of the reports of missing models that a host sends to the holder of the lease.

#[path = "world/catalog.rs"]
#[allow(dead_code)] // The randomised test uses the other functions.
mod catalog;

use crocusyard_base::prelude::*;
use crocusyard_core::features::reduce;
use crocusyard_core::prelude::{HostEffect, HostEvent, HostState};
use crocusyard_membership::prelude::ListedHost;
use crocusyard_requests::prelude::{RequestEvent, RequestSpec};
use crocusyard_routing::prelude::WorkKind;
use crocusyard_wire::prelude::{LeaseUpdate, WireMessage};
use std::sync::Arc;

/// Guards against a request that waits up to 10 s, the interval of the shared demand, before the
/// holder of the lease learns of its model.
#[test]
fn lease_holder_learns_at_once_of_a_model_that_a_request_waits_for() {
    let mut state = HostState::new(catalog::settings(0, 1));
    let spec = catalog::catalog(1, 0, 1);
    let request = RequestSpec {
        id: RequestId(Arc::from("request")),
        tenant: spec.tenants[0].name.clone(),
        class: spec.classes[0].name.clone(),
        work: WorkKind::Model {
            model: spec.models[0].name.clone(),
            adapter: None,
        },
        idempotent: true,
        idempotency_key: None,
        digest: BodyDigest(1),
        prefix: Vec::new(),
        input_tokens: 1,
        output_tokens: 1,
        deadline: ClockTime::from_secs(20),
        resume: None,
    };
    // The peer holds the lease and is in the same failure domain.
    let peer = ListedHost {
        caller_address: None,
        host: catalog::host_name(3),
        address: catalog::gossip_address(3),
        domain: catalog::domain(3),
        region: RegionName::new(catalog::REGION),
        leaving: false,
    };
    let lease = LeaseUpdate {
        region: RegionName::new(catalog::REGION),
        holder: catalog::host_name(3),
        fencing: FencingNumber(1),
    };
    state.leases.insert(lease.region.clone(), lease);
    let start = [
        HostEvent::CatalogLoaded {
            catalog: Arc::new(spec),
            unix_ms: 0,
        },
        HostEvent::HostListReceived {
            hosts: vec![peer],
            leaving_targets: Vec::new(),
        },
        HostEvent::Request(RequestEvent::Arrived {
            key: RequestKey(1),
            spec: Box::new(request),
        }),
    ];
    let ticks = std::iter::repeat_n(HostEvent::Tick, 100);
    let mut out = Vec::new();
    for (step, event) in start.into_iter().chain(ticks).enumerate() {
        let now = ClockTime::from_ms(1_000 + 20 * step as u64);
        reduce(&mut state, now, event, &mut out);
    }
    let is_sent = out.iter().any(|effect| match effect {
        HostEffect::SendPacket { packet, .. } => {
            let mut messages = packet.messages.iter();
            messages.any(|message| matches!(message, WireMessage::MissingModel { model: 0, .. }))
        }
        _ => false,
    });
    assert!(
        is_sent,
        "the host did not report the missing model to the lease holder within 2 s"
    );
}
