//! Address answers as the features of a host make them together.

#[path = "world/catalog.rs"]
#[allow(dead_code)] // The randomised run uses the rest.
mod catalog;

use crocusyard_base::prelude::*;
use crocusyard_core::features::reduce;
use crocusyard_core::prelude::{HostEvent, HostState};
use crocusyard_membership::prelude::{ListedHost, MembershipEvent};
use crocusyard_routing::prelude::AddressQuery;
use crocusyard_wire::prelude::{Packet, PresetReport, WireMessage};
use std::sync::Arc;

/// A peer that sends nothing but pings.
const QUIET: usize = 3;
/// A peer that also tells its preset version.
const TALKING: usize = 2;

/// Returns a packet with which a peer shows that it is alive.
fn sign_of_life(peer: usize, sequence: u32, utilisation: u8) -> HostEvent {
    let mut messages = vec![WireMessage::Ping { nonce: sequence }];
    if peer == TALKING {
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

/// Runs a host for 8 s beside two live peers, of which the quiet one is `busy` percent loaded, and
/// returns the peers that it names.
fn named_peers(busy: u8) -> Vec<HostName> {
    let mut state = HostState::new(catalog::settings(0, 1));
    let start = [
        HostEvent::CatalogLoaded {
            catalog: Arc::new(catalog::catalog(1, 0, 1)),
            unix_ms: 0,
        },
        HostEvent::HostsListed {
            hosts: vec![listed(QUIET), listed(TALKING)],
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
            reduce(&mut state, now, sign_of_life(QUIET, step, busy), &mut out);
            reduce(&mut state, now, sign_of_life(TALKING, step, 0), &mut out);
        }
    }
    let query = AddressQuery {
        now,
        key: "model",
        caller_hash: 0,
        last_address: None,
    };
    let named = state.entry_directory.answer(&query).addresses;
    named.into_iter().map(|address| address.host).collect()
}

/// Guards live hosts against being left out of the answers while the host list is not read: what
/// counts is that membership holds them for alive.
#[test]
fn live_hosts_stay_in_the_answers_without_the_host_list() {
    let hosts = named_peers(0);
    for peer in [QUIET, TALKING] {
        assert!(hosts.contains(&catalog::host_name(peer)), "{hosts:?}");
    }
}

/// Guards callers against being sent to a host whose queues are full.
#[test]
fn overloaded_host_is_left_out_of_the_answers() {
    assert_eq!(named_peers(95), [catalog::host_name(TALKING)]);
}
