//! Tests of the address answers of a whole host, which depend on several features.

#[path = "world/catalog.rs"]
#[allow(dead_code)] // The randomised test uses the other functions.
mod catalog;

use crocusyard_base::prelude::*;
use crocusyard_core::features::reduce;
use crocusyard_core::prelude::{HostEvent, HostState};
use crocusyard_membership::prelude::{ListedHost, MembershipEvent};
use crocusyard_routing::prelude::AddressQuery;
use crocusyard_wire::prelude::{Packet, PresetReport, WireMessage};
use std::sync::Arc;

/// Peer that sends only pings.
const PING_PEER: usize = 3;
/// Peer that also announces its preset version.
const PRESET_PEER: usize = 2;

/// Returns the arrival of a packet from a live peer whose utilisation is given in percent.
fn packet_event(peer: usize, sequence: u32, utilisation: u8) -> HostEvent {
    let mut messages = vec![WireMessage::Ping { nonce: sequence }];
    if peer == PRESET_PEER {
        let preset = PresetReport {
            version: 1,
            digest: [0; 32],
        };
        messages.push(WireMessage::Preset(preset));
    }
    let packet = Packet {
        sender: catalog::host_name(peer),
        incarnation: 1,
        sequence: u64::from(sequence),
        utilisation,
        messages,
    };
    let from = catalog::gossip_address(peer);
    HostEvent::Membership(MembershipEvent::PacketReceived { from, packet })
}

/// Returns the entry of a peer in the host list.
fn listed(peer: usize) -> ListedHost {
    ListedHost {
        host: catalog::host_name(peer),
        address: catalog::gossip_address(peer),
        caller_address: Some(catalog::gossip_address(100 + peer)),
        domain: catalog::domain(peer),
        region: RegionName::new(catalog::REGION),
        leaving: false,
    }
}

/// Runs a host for 8 s with two live peers, of which [`PING_PEER`] is `busy` percent loaded, and
/// returns the hosts that its address answer lists.
fn answered_hosts(busy: u8) -> Vec<HostName> {
    let mut state = HostState::new(catalog::settings(0, 1));
    let start = [
        HostEvent::CatalogLoaded {
            catalog: Arc::new(catalog::catalog(1, 0, 1)),
            unix_ms: 0,
        },
        HostEvent::HostListReceived {
            hosts: vec![listed(PING_PEER), listed(PRESET_PEER)],
            leaving_targets: Vec::new(),
        },
    ];
    let mut now = ClockTime::from_secs(1);
    let mut out = Vec::new();
    for event in start {
        reduce(&mut state, now, event, &mut out);
    }
    for step in 1..400 {
        now += ClockTime::from_ms(20);
        reduce(&mut state, now, HostEvent::Tick, &mut out);
        if step % 20 == 0 {
            reduce(
                &mut state,
                now,
                packet_event(PING_PEER, step, busy),
                &mut out,
            );
            reduce(
                &mut state,
                now,
                packet_event(PRESET_PEER, step, 0),
                &mut out,
            );
        }
    }
    let query = AddressQuery {
        now,
        key: "model",
        caller_hash: 0,
        last_address: None,
    };
    let addresses = state.entry_directory.answer(&query).addresses;
    addresses.into_iter().map(|address| address.host).collect()
}

/// Guards against an address answer without a live host while the host list is not read again. A
/// host is listed as long as membership takes it as alive.
#[test]
fn live_hosts_stay_in_the_answers_without_the_host_list() {
    let hosts = answered_hosts(0);
    for peer in [PING_PEER, PRESET_PEER] {
        assert!(
            hosts.contains(&catalog::host_name(peer)),
            "the answer does not list the live peer {peer}: {hosts:?}"
        );
    }
}

/// Guards against an address answer that sends callers to a host whose queues are nearly full.
#[test]
fn overloaded_host_is_left_out_of_the_answers() {
    assert_eq!(answered_hosts(95), [catalog::host_name(PRESET_PEER)]);
}
