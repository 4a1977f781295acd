//! Labels of the metrics, and the limit on the number of their values.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use std::collections::BTreeSet;
use std::fmt::{self, Write};
use std::sync::{Arc, PoisonError, RwLock};

/// Largest number of tenants with their own series.
pub const TENANTS_MAX: usize = 64;
/// Largest number of classes with their own series.
pub const CLASSES_MAX: usize = 8;
/// Label value of all tenants and classes without their own series.
pub const OTHER_LABEL: &str = "other";

/// Labels of the metrics of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the tenant, or [`OTHER_LABEL`].
    pub tenant: Arc<str>,
    /// Name of the class, or [`OTHER_LABEL`].
    pub class: Arc<str>,
}

/// Declares an enum whose variants are label values with the given texts.
macro_rules! label_values {
    ($($(#[$doc:meta])* $name:ident { $($(#[$item_doc:meta])* $item:ident = $text:literal,)* })*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$item_doc])* $item,)*
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
                encoder.write_str(match self {
                    $(Self::$item => $text,)*
                })
            }
        }
    )*};
}

label_values! {
    /// How a request ended.
    OutcomeLabel {
        /// The request ran, and its caller has the complete answer.
        Completed = "completed",
        /// No target ran the request.
        NotRun = "not_run",
        /// A target may have run the request.
        Unknown = "unknown",
    }
    /// What a move does.
    MoveAction {
        /// Loads a model or adapter.
        Load = "load",
        /// Unloads a model or adapter.
        Unload = "unload",
    }
    /// How a move ended.
    MoveResult {
        /// The engine confirmed the move.
        Done = "done",
        /// The engine refused the move or failed.
        Failed = "failed",
        /// The result could not be determined, or a higher fencing number made the move void.
        Void = "void",
    }
    /// State of another entry host, as this host knows it.
    MemberState {
        /// The host answers.
        Alive = "alive",
        /// The host does not answer, and can still refute the suspicion.
        Suspect = "suspect",
        /// The host is leaving.
        Leaving = "leaving",
        /// The host counts as dead.
        Dead = "dead",
    }
    /// Direction of control traffic.
    TrafficDirection {
        /// Bytes sent to other hosts.
        Sent = "sent",
        /// Bytes received from other hosts.
        Received = "received",
    }
}

/// Names that have their own series, up to a limit.
///
/// Names are added when a catalogue declares them and are never removed, since a series that comes
/// and goes looks like a restart. The limit therefore counts all names since the process started.
#[derive(Debug)]
pub(crate) struct SeriesNames {
    names: RwLock<BTreeSet<Arc<str>>>,
    other: Arc<str>,
    max: usize,
}

impl SeriesNames {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            names: RwLock::default(),
            other: Arc::from(OTHER_LABEL),
            max,
        }
    }

    /// Adds a declared name unless the limit is reached.
    pub(crate) fn add(&self, name: &str) {
        let mut names = self.names.write().unwrap_or_else(PoisonError::into_inner);
        if names.len() < self.max {
            names.insert(Arc::from(name));
        }
    }

    /// Returns the label value of a name: the name itself, or [`OTHER_LABEL`].
    pub(crate) fn label_of(&self, name: &str) -> Arc<str> {
        let names = self.names.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(names.get(name).unwrap_or(&self.other))
    }
}
