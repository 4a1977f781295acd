//! Types of the protocols with callers, targets, the platform and operators.
//!
//! The modules in [`generated`] are generated from the schemas in `schemas/` by
//! `cargo run -p crocusyard_border --example generate`. They are committed, so that the build needs
//! no generator; a test fails if they no longer match the schemas.

pub mod admin;

/// Types that are generated from the schemas, one module for each schema.
#[allow(missing_docs, clippy::all, clippy::doc_markdown, unused_qualifications)]
#[allow(clippy::semicolon_if_nothing_returned, clippy::redundant_closure_for_method_calls)]
#[allow(clippy::match_same_arms)]
#[rustfmt::skip]
pub mod generated {
    pub mod callers;
    pub mod engine;
    pub mod platform;
}

/// Types of the protocol with callers.
pub mod callers {
    pub use crate::generated::callers::{
        AddressList, CompletionHead, EntryAddress, OutcomeName, ProblemDocument,
    };
}

/// Types of the management protocol of targets.
pub mod engine {
    pub use crate::generated::engine::{
        CacheChange, CacheEvent, CacheEvents, CallRecord, CopyPhase, CopyStatus, EngineOrder,
        FencingRaise, LoadCounts, LoadStatus, OrderAction, OrderState, OrderStatus,
    };
}

/// Types of the protocol of the platform.
pub mod platform {
    pub use crate::generated::platform::{
        HostListing, ListedHost, RowPage, RowWrite, StoredRow, TableTransaction, TransactionResult,
    };
}
