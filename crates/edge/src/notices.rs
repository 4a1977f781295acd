//! What targets say about themselves in their answers: that they leave, and that they want no
//! requests for a while.
//!
//! Answers to calls, orders and requests for reports all carry such notices. A value that is not
//! allowed is logged once for each target and kind, so that a faulty target cannot flood the log.

use crate::decision_log;
use crate::shell::EdgeShell;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use hyper::HeaderMap;
use log::warn;
use serde_json::json;
use std::collections::BTreeSet;

/// Largest number of complaints that are remembered; further ones are not logged.
const MAX_COMPLAINTS: usize = 1_024;

/// Complaints about targets that have been logged.
#[derive(Debug, Default)]
pub(crate) struct ComplaintLog {
    logged: BTreeSet<(TargetName, &'static str)>,
}

impl ComplaintLog {
    /// Records a complaint; returns whether it is the first one of its kind about the target.
    fn is_first(&mut self, target: &TargetName, kind: &'static str) -> bool {
        self.logged.len() < MAX_COMPLAINTS && self.logged.insert((target.clone(), kind))
    }
}

/// Logs what is wrong with the messages of a target, once for each target and kind.
pub(crate) fn complain(shell: &EdgeShell, target: &TargetName, kind: &'static str, problem: &str) {
    if shell.complaints.borrow_mut().is_first(target, kind) {
        warn!("target {target}: {problem}; further cases of {kind} are not logged");
    }
}

/// Incarnation of a target to which a request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweringTarget<'a> {
    pub(crate) name: &'a TargetName,
    /// Incarnation, given as its start in Unix ms.
    pub(crate) incarnation: u64,
}

/// Applies what a target says about itself in the head of an answer. `is_own` is whether the answer
/// belongs to the request that was sent; a pause in another answer may be over.
pub(crate) fn apply_notice(
    shell: &EdgeShell,
    target: AnsweringTarget<'_>,
    status: u16,
    headers: &HeaderMap,
    is_own: bool,
) {
    let notice = read_answer_notice(status, headers);
    for malformed in &notice.malformed {
        let MalformedHeader { name, value } = malformed;
        let problem = format!("the value \"{value}\" of {name} is not allowed");
        complain(shell, target.name, name, &problem);
    }
    let incarnation = target.incarnation;
    if notice.is_leaving {
        shell.dispatch(ServingEvent::Leaving(LeavingNotice {
            target: target.name.clone(),
            incarnation,
        }));
    }
    if let (Some(pause), true) = (notice.pause, is_own) {
        decision_log::log_change(
            "target",
            "paused",
            json!({"target": target.name.as_str(), "pause_ms": pause.as_ms()}),
        );
        shell.dispatch(ServingEvent::Pause {
            target: target.name.clone(),
            incarnation,
            pause,
        });
    }
}
