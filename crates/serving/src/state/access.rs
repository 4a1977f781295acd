//! Whether a request is still admitted after the configuration has changed.

use super::{Effects, ServingState, MIN_RETRY_DELAY};
use crate::call::CallInfo;
use crate::event::RefusalReason;
use crocusyard_base::prelude::*;

impl ServingState {
    /// Refuses waiting requests that the rules in force no longer admit.
    pub(super) fn refuse_unadmitted_waiting(&mut self, out: &mut Effects) {
        let waiting: Vec<RequestKey> = self.waiting.keys().collect();
        for key in waiting {
            self.refuse_unadmitted(key, out);
        }
    }

    /// Refuses a request that the rules in force no longer admit; returns whether it did. A request
    /// that may have run goes on under the rules by which it was accepted.
    pub(super) fn refuse_unadmitted(&mut self, key: RequestKey, out: &mut Effects) -> bool {
        let request = self.requests.get(&key);
        let Some(request) = request.filter(|request| !request.maybe_ran) else {
            return false;
        };
        let Some(reason) = self.access_change(&request.call) else {
            return false;
        };
        self.refuse_or_fail(key, reason, MIN_RETRY_DELAY, out);
        true
    }

    /// Returns why the rules in force do not admit a call that earlier rules admitted.
    fn access_change(&self, call: &CallInfo) -> Option<RefusalReason> {
        let tenants = self.rules.as_ref()?.tenants.as_ref()?;
        let Some(key) = &call.key else {
            return (!call.route.anonymous).then_some(RefusalReason::AccessChanged);
        };
        let Some(rule) = tenants.find(key) else {
            return Some(if call.route.anonymous {
                RefusalReason::AccessChanged
            } else {
                RefusalReason::KeyRevoked
            });
        };
        let is_same = call
            .tenant
            .as_ref()
            .is_some_and(|tenant| tenant.name == rule.name);
        (!is_same).then_some(RefusalReason::AccessChanged)
    }
}
