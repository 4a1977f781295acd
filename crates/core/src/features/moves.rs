//! Connects the move feature with membership.

use super::members;
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_moves::prelude::*;
use crocusyard_wire::prelude::LeaseUpdate;

/// Passes an event to the move reducer and handles its effects.
pub(crate) fn reduce(
    state: &mut HostState,
    now: ClockTime,
    event: MoveEvent,
    out: &mut Vec<HostEffect>,
) {
    let mut effects = Vec::new();
    let mut context = MoveContext {
        now,
        rng: &mut state.rng,
    };
    crocusyard_moves::reduce::reduce(&mut state.moves, &mut context, event, &mut effects);
    for effect in effects {
        if let MoveEffect::Log(MoveLog::LeaseAcquired { fencing }) = &effect {
            announce_lease(state, now, *fencing, out);
        }
        out.push(HostEffect::Move(effect));
    }
}

/// Records that this host took the lease, announces it to the other hosts, and makes a plan due.
fn announce_lease(
    state: &mut HostState,
    now: ClockTime,
    fencing: FencingNumber,
    out: &mut Vec<HostEffect>,
) {
    let update = LeaseUpdate {
        region: state.identity.region.clone(),
        holder: state.identity.name.clone(),
        fencing,
    };
    state.leases.insert(update.region.clone(), update.clone());
    state.planning.request_plan();
    members::reduce(state, now, MembershipEvent::LeaseUpdated(update), out);
}
