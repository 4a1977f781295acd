//! Names of the targets by service and by the models that they hold.

use super::TargetState;
use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Names of the targets by service, and by the models that they hold. A choice among all targets
/// took longer than the planned number of them allows.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetIndex {
    services: HashMap<ServiceName, BTreeSet<TargetName>>,
    holders: HashMap<ServiceName, HashMap<ModelName, BTreeSet<TargetName>>>,
}

impl TargetIndex {
    pub(super) fn add(&mut self, state: &TargetState) {
        let (name, service) = (&state.record.name, &state.record.service);
        let names = self.services.entry(service.clone()).or_default();
        names.insert(name.clone());
        let holders = self.holders.entry(service.clone()).or_default();
        for model in state.models.keys() {
            let names = holders.entry(model.clone()).or_default();
            names.insert(name.clone());
        }
    }

    pub(super) fn remove(&mut self, state: &TargetState) {
        let (name, service) = (&state.record.name, &state.record.service);
        if let Some(names) = self.services.get_mut(service) {
            names.remove(name);
            if names.is_empty() {
                self.services.remove(service);
            }
        }
        let Some(holders) = self.holders.get_mut(service) else {
            return;
        };
        for model in state.models.keys() {
            if let Some(names) = holders.get_mut(model) {
                names.remove(name);
                if names.is_empty() {
                    holders.remove(model);
                }
            }
        }
        if holders.is_empty() {
            self.holders.remove(service);
        }
    }

    pub(super) fn of_service(&self, service: &ServiceName) -> Option<&BTreeSet<TargetName>> {
        self.services.get(service)
    }

    pub(super) fn holders(
        &self,
        service: &ServiceName,
        model: &ModelName,
    ) -> Option<&BTreeSet<TargetName>> {
        self.holders.get(service)?.get(model)
    }
}
