//! Crashes that still count against causes, handed on to hosts that start later.
//!
//! A crash is reported once, to the hosts that run at the time. A host that starts later gets a
//! history from others, so that restarts do not begin the count of a cause anew.

use crate::report::{CrashCause, CrashReport};
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Largest number of pairs of a crash and a cause in a history; those of the causes with the most
/// crashes come first. A history of this size takes about 10 KB.
pub(crate) const MAX_COUNTED: usize = 512;
/// Largest number of crashes in a history that count against no cause, the newest ones.
pub(crate) const MAX_OTHER_CRASHES: usize = 128;

/// A crash that counts against a cause.
pub type CountedCrash = (CrashCause, TargetName, u64);

/// What a host knows of crashes whose causes are suspected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// Crashes with the causes against which they count; recent ones also without a cause.
    pub crashes: Vec<CrashReport>,
    /// Those causes that were in complete answers, with the time since the send of the newest such
    /// call.
    pub sound: Vec<(CrashCause, ClockTime)>,
}

impl CrashHistory {
    /// Returns whether no crash counts against a cause.
    pub fn is_empty(&self) -> bool {
        self.crashes.iter().all(|report| report.causes.is_empty())
    }

    /// Returns which crashes count against which causes, whatever their ages.
    pub fn counted(&self) -> BTreeSet<CountedCrash> {
        let crashes = self.crashes.iter().flat_map(|report| {
            let causes = report.causes.iter();
            causes.map(|lost| (lost.cause, report.target.clone(), report.incarnation))
        });
        crashes.collect()
    }

    /// Adds the time for which the history was stored to all ages.
    pub fn add_age(&mut self, stored_time: ClockTime) {
        for report in &mut self.crashes {
            report.age += stored_time;
            for lost in &mut report.causes {
                lost.sent_age += stored_time;
            }
        }
        for (_, sent_age) in &mut self.sound {
            *sent_age += stored_time;
        }
    }
}
