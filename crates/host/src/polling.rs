//! Polling of targets and of the host list.

use crate::actor::{HostActor, HostsRead, LoadRead};
use actix::{AsyncContext, Context};
use crocusyard_base::prelude::*;
use crocusyard_border::engine::{CopyPhase, LoadStatus};
use crocusyard_routing::prelude::*;
use crocusyard_targets::management::read_load;
use std::time::Duration;

impl HostActor {
    /// Reads the load of every target.
    pub(crate) fn poll_targets(&mut self, context: &mut Context<Self>) {
        let timeout = Duration::from_millis(self.settings.requests.load_poll_ms.as_ms());
        let catalog = self.state.catalog.clone();
        for spec in &catalog.targets {
            let client = self.pools.client(spec.address);
            let target = spec.name.clone();
            let address = spec.address;
            let actor = context.address();
            actix_rt::spawn(async move {
                let status = read_load(&client, address, timeout).await.ok();
                actor.do_send(LoadRead { target, status });
            });
        }
    }

    /// Reads the host list.
    pub(crate) fn poll_hosts(&mut self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let listing = platform.list_hosts().await;
            if let Err(error) = &listing {
                log::warn!("host list cannot be read: {error}");
            }
            actor.do_send(HostsRead(listing.ok()));
        });
    }
}

/// Turns a target's own figures into a load report.
pub(crate) fn report_of(target: TargetName, status: LoadStatus) -> LoadReport {
    let copies = status.copies.into_iter().map(|copy| ResidentCopy {
        name: copy.name.into(),
        memory_bytes: copy.memory_bytes,
        state: match copy.state {
            CopyPhase::Loading => CopyState::Loading,
            CopyPhase::Resident => CopyState::Resident,
            CopyPhase::Unloading => CopyState::Unloading,
        },
    });
    LoadReport {
        target,
        sequence: status.sequence,
        incarnation: status.incarnation,
        age: ClockTime::from_ms(status.age_ms),
        running: status.running,
        waiting: status.waiting,
        queued_tokens: status.queued_tokens,
        prefill_rate: status.prefill_rate,
        decode_rate: status.decode_rate,
        memory_bytes: status.memory_bytes,
        copies: copies.collect(),
        leaving: status.leaving,
    }
}
