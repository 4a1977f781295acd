//! The status answer for operators: a host's view of itself, its members, targets, leases and
//! moves.

use crate::actor::HostActor;
use crate::gauges::member_state;
use actix::{Context, Handler, Message};
use crocusyard_base::prelude::*;
use crocusyard_border::admin::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::PresetBody;
use crocusyard_membership::prelude::*;
use crocusyard_metrics::prelude::MemberState;
use crocusyard_moves::prelude::OrderAction;
use crocusyard_routing::prelude::CopyState;

/// Status of a host, with the preset body that is in force.
pub(crate) struct HostStatus {
    pub(crate) reply: StatusReply,
    pub(crate) body: PresetBody,
}

/// Asks the actor for the status.
#[derive(Message)]
#[rtype(result = "HostStatus")]
pub(crate) struct ReadStatus;

impl Handler<ReadStatus> for HostActor {
    type Result = actix::MessageResult<ReadStatus>;

    fn handle(&mut self, _: ReadStatus, _context: &mut Context<Self>) -> Self::Result {
        let catalog = &self.state.catalog;
        let preset = catalog
            .preset
            .clone()
            .unwrap_or_else(|| PresetName::new(""));
        let body = PresetBody::new(preset, (*catalog.catalog).clone());
        actix::MessageResult(HostStatus {
            reply: self.status_reply(),
            body,
        })
    }
}

impl HostActor {
    fn status_reply(&self) -> StatusReply {
        let catalog = &self.state.catalog;
        StatusReply {
            host: self.state.identity.name.to_string(),
            domain: self.state.identity.domain.to_string(),
            ready: self.is_ready(),
            leaving: self.is_draining(),
            preset_version: catalog.version,
            preset: catalog
                .preset
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            members: self.member_statuses(),
            targets: catalog
                .catalog
                .targets
                .iter()
                .map(|spec| self.target_status(spec))
                .collect(),
            leases: self.lease_statuses(),
            moves: self.move_statuses(),
        }
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let views = host_views(&self.state.members);
        views
            .into_iter()
            .map(|view| MemberStatus {
                name: view.host.to_string(),
                domain: view.domain.to_string(),
                state: member_state_name(member_state(&view)).to_owned(),
                address: self
                    .state
                    .caller_address_of(&view.host)
                    .map(|address| address.to_string())
                    .unwrap_or_default(),
            })
            .collect()
    }

    fn target_status(&self, spec: &TargetSpec) -> TargetStatus {
        let report = self.state.routes.report_of(&spec.name);
        let copies = report.into_iter().flat_map(|report| &report.copies);
        TargetStatus {
            name: spec.name.to_string(),
            domain: spec.domain.to_string(),
            leaving: self.state.is_drained(&spec.name)
                || report.is_some_and(|report| report.leaving),
            running: report.map_or(0, |report| report.running),
            copies: copies
                .map(|copy| CopyStatus {
                    name: copy.name.to_string(),
                    state: copy_state_name(copy.state).to_owned(),
                    memory_bytes: copy.memory_bytes,
                })
                .collect(),
        }
    }

    fn lease_statuses(&self) -> Vec<LeaseStatus> {
        let leases = self.state.leases.values();
        leases
            .map(|lease| LeaseStatus {
                region: lease.region.to_string(),
                holder: lease.holder.to_string(),
                fencing: lease.fencing.0,
            })
            .collect()
    }

    fn move_statuses(&self) -> Vec<MoveStatus> {
        let open = self.state.moves.intents().filter(|entry| entry.is_open());
        open.map(|entry| MoveStatus {
            order: entry.id.to_string(),
            target: entry.row.target.to_string(),
            action: match entry.row.action {
                OrderAction::Load => "load".to_owned(),
                OrderAction::Unload => "unload".to_owned(),
            },
            name: entry.row.name.to_string(),
            state: "open".to_owned(),
        })
        .collect()
    }
}

fn member_state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn copy_state_name(state: CopyState) -> &'static str {
    match state {
        CopyState::Loading => "loading",
        CopyState::Resident => "resident",
        CopyState::Unloading => "unloading",
    }
}
