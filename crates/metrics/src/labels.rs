//! Label sets, and the limit on the number of their values.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use std::collections::BTreeSet;
use std::fmt::{self, Write};
use std::sync::{Arc, PoisonError, RwLock};

/// Tenants that have series of their own.
pub const TENANTS_MAX: usize = 64;
/// Classes that have series of their own.
pub const CLASSES_MAX: usize = 8;
/// Label value of all further and undeclared names.
pub const OTHER_LABEL: &str = "other";

/// Labels of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Tenant.
    pub tenant: Arc<str>,
    /// Class.
    pub class: Arc<str>,
}

macro_rules! label_words {
    ($($(#[$doc:meta])* $name:ident { $($(#[$item_doc:meta])* $item:ident = $word:literal,)* })*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$item_doc])* $item,)*
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
                encoder.write_str(match self {
                    $(Self::$item => $word,)*
                })
            }
        }
    )*};
}

label_words! {
    /// How a request ended.
    OutcomeLabel {
        /// It ran, and its caller has the whole answer.
        Completed = "completed",
        /// No target ran it.
        NotRun = "not_run",
        /// A target may have run it.
        Unknown = "unknown",
    }
    /// What a move does.
    MoveAction {
        /// Loads a model or adapter.
        Load = "load",
        /// Unloads one.
        Unload = "unload",
    }
    /// How a move ended.
    MoveResult {
        /// The engine confirmed it.
        Done = "done",
        /// The engine refused it or failed.
        Failed = "failed",
        /// Its end could not be learnt, or it was made void by a higher fencing number.
        Void = "void",
    }
    /// State of another entry host.
    MemberState {
        /// It answers.
        Alive = "alive",
        /// It does not answer and may refute.
        Suspect = "suspect",
        /// It is leaving.
        Leaving = "leaving",
        /// It counts as dead.
        Dead = "dead",
    }
    /// Direction of control traffic.
    TrafficDirection {
        /// To other hosts.
        Sent = "sent",
        /// From other hosts.
        Received = "received",
    }
}

/// Names that have series of their own.
///
/// Names are added as catalogues declare them and stay, since a series that comes and goes looks
/// like a restart. The limit therefore holds for the life of the process.
#[derive(Debug)]
pub(crate) struct NameLimit {
    names: RwLock<BTreeSet<Arc<str>>>,
    other: Arc<str>,
    max: usize,
}

impl NameLimit {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            names: RwLock::default(),
            other: Arc::from(OTHER_LABEL),
            max,
        }
    }

    /// Adds a declared name if the limit allows it.
    pub(crate) fn add(&self, name: &str) {
        let mut names = self.names.write().unwrap_or_else(PoisonError::into_inner);
        if names.len() < self.max {
            names.insert(Arc::from(name));
        }
    }

    /// Returns the label value of a name.
    pub(crate) fn label_of(&self, name: &str) -> Arc<str> {
        let names = self.names.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(names.get(name).unwrap_or(&self.other))
    }
}
