//! Gauges that are brought up to date at intervals.

use crate::actor::HostActor;
use actix::Context;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_metrics::prelude::MemberState;
use crocusyard_wire::prelude::LivenessState;
use std::collections::{BTreeMap, HashSet};

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    in_progress: usize,
    queued: usize,
}

impl HostActor {
    /// Brings all gauges up to date.
    pub(crate) fn update_gauges(&mut self, _context: &mut Context<Self>) {
        for (class, counts) in self.count_classes() {
            self.metrics.set_in_progress(&class, counts.in_progress);
            self.metrics.set_queued(&class, counts.queued);
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

    /// Counts requests with an attempt and those without one; every declared class is named.
    fn count_classes(&self) -> BTreeMap<ClassName, ClassCounts> {
        let declared = self.state.catalog.catalog.classes.iter();
        let mut counts: BTreeMap<ClassName, ClassCounts> = declared
            .map(|class| (class.name.clone(), ClassCounts::default()))
            .collect();
        let running: HashSet<RequestKey> = self.attempts.values().map(|slot| slot.key).collect();
        for (key, slot) in &self.requests {
            let count = counts.entry(slot.class.clone()).or_default();
            if running.contains(key) {
                count.in_progress += 1;
            } else {
                count.queued += 1;
            }
        }
        counts
    }
}

/// Returns the state of another host as metrics and status name it.
pub(crate) fn member_state(view: &HostView) -> MemberState {
    match view.state {
        LivenessState::Alive if view.leaving => MemberState::Leaving,
        LivenessState::Alive => MemberState::Alive,
        LivenessState::Suspect => MemberState::Suspect,
        LivenessState::Dead => MemberState::Dead,
    }
}
