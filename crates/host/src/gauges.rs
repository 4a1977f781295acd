//! Gauges that are updated at fixed intervals.

use crate::actor::HostActor;
use actix::Context;
use crocusyard_membership::prelude::*;
use crocusyard_metrics::prelude::MemberState;
use crocusyard_wire::prelude::LivenessState;

impl HostActor {
    /// Updates the gauges of queued requests, running attempts and hosts by state.
    pub(crate) fn update_gauges(&mut self, _context: &mut Context<Self>) {
        let queued = self.state.queue.count_by_class();
        let running = self.state.requests.attempts_by_class();
        for class in &self.state.catalog.catalog.classes {
            let name = &class.name;
            self.metrics
                .set_queued(name, queued.get(name).copied().unwrap_or(0));
            self.metrics
                .set_in_progress(name, running.get(name).copied().unwrap_or(0));
        }
        let views = host_views(&self.state.members);
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Leaving,
            MemberState::Dead,
        ];
        for state in states {
            let count = views
                .iter()
                .filter(|view| member_state(view) == state)
                .count();
            self.metrics.set_members(state, count);
        }
    }
}

/// Returns the state of another host as shown in the metrics and the status answer.
pub(crate) fn member_state(view: &HostView) -> MemberState {
    match view.state {
        LivenessState::Alive if view.leaving => MemberState::Leaving,
        LivenessState::Alive => MemberState::Alive,
        LivenessState::Suspect => MemberState::Suspect,
        LivenessState::Dead => MemberState::Dead,
    }
}
