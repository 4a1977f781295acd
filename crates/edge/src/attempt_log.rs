//! Lines of the decision log about the attempts at a call.

use crate::clock;
use crate::decision_log;
use crate::entry::OpenRequest;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use serde_json::{json, Value};

/// Largest number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;

/// Counts an attempt and logs why its target was chosen.
pub(crate) fn log_attempt_sent(open: &OpenRequest, plan: &AttemptPlan) {
    open.shell.metrics.count_attempt();
    if plan.attempt == 1 {
        let waited = plan.sent_at.since(open.arrived);
        let tenants = &open.shell.metrics.tenants;
        tenants.count_admitted(&open.request.call, waited);
    }
    let age = plan.load_age.map(ClockTime::as_ms);
    let call = &open.request.call;
    let waited_for = plan.waited_for.map(|reason| format!("{reason:?}"));
    let mut inputs = json!({
        "target": plan.target.as_str(),
        "model": call.model().map(ModelName::as_str),
        "adapter": call.adapter().map(AdapterName::as_str),
        "attempt": plan.attempt,
        "load": plan.load,
        "load_age_ms": age,
        "age_ms": clock::now().since(open.arrived).as_ms(),
        "waited_for": waited_for,
        "left_ms": call.deadline.since(clock::now()).as_ms(),
    });
    if call.tenant.is_some() {
        inputs["rank"] = json!(plan.rank);
    }
    add_tenant(&mut inputs, open);
    decision_log::log_decision(&call.id, "sent", inputs);
}

/// Adds the tenant of a call to the inputs of a decision, with the figures by which its calls are
/// ordered.
pub(crate) fn add_tenant(inputs: &mut Value, open: &OpenRequest) {
    let Some(tenant) = &open.request.call.tenant else {
        return;
    };
    let serving = open.shell.serving.borrow();
    let usage = serving.tenant_usage(&tenant.name, clock::now());
    inputs["tenant"] = json!(tenant.name.as_str());
    inputs["tenant_priority"] = json!(tenant.priority);
    inputs["tenant_usage_ms"] = json!(usage.recent);
    inputs["mean_usage_ms"] = json!(usage.mean);
    inputs["usage_age_ms"] = json!(usage.age.as_ms());
}

/// Logs how an attempt ended without an answer. A lost call may have crashed its target; the parts
/// of its prompt and its run time show what the lost calls of several targets have in common.
pub(crate) fn log_attempt_ended(open: &OpenRequest, plan: &AttemptPlan, outcome: AttemptOutcome) {
    let call = &open.request.call;
    let mut inputs = json!({
        "target": plan.target.as_str(),
        "outcome": format!("{outcome:?}"),
    });
    if matches!(outcome, AttemptOutcome::Lost { .. }) {
        let parts: Vec<String> = call
            .prompt
            .iter()
            .take(MAX_LOGGED_PARTS)
            .map(|part| format!("{:x}", part.id))
            .collect();
        inputs["incarnation"] = json!(plan.incarnation);
        inputs["model"] = json!(call.model().map(ModelName::as_str));
        inputs["parts"] = json!(parts);
        inputs["ran_ms"] = json!(clock::now().since(plan.sent_at).as_ms());
    }
    decision_log::log_decision(&call.id, "attempt_ended", inputs);
}
