//! Types of the protocols spoken with callers, targets, the platform and operators.
//!
//! The modules below [`generated`] are made from the schemas in `schemas/` by
//! `cargo run -p crocusyard_border --example generate` and are committed, so that the build needs no
//! generator. A test fails if they no longer match the schemas.

pub mod admin;

/// Types generated from the schemas.
#[allow(missing_docs, clippy::all, clippy::doc_markdown, unused_qualifications)]
#[allow(clippy::semicolon_if_nothing_returned, clippy::redundant_closure_for_method_calls)]
#[allow(clippy::match_same_arms)]
#[rustfmt::skip]
pub mod generated {
    pub mod callers;
    pub mod engine;
    pub mod platform;
}

/// Protocol with callers.
pub mod callers {
    pub use crate::generated::callers::{
        AddressList, CompletionHead, EntryAddress, OutcomeName, ProblemDocument,
    };
}

/// Management protocol of targets.
pub mod engine {
    pub use crate::generated::engine::{
        CacheChange, CacheEvent, CacheEvents, CallRecord, CopyPhase, CopyStatus, EngineOrder,
        FencingRaise, LoadCounts, LoadStatus, OrderAction, OrderState, OrderStatus,
    };
}

/// Protocol of the platform.
pub mod platform {
    pub use crate::generated::platform::{
        HostListing, ListedHost, RowPage, RowWrite, StoredRow, TableTransaction, TransactionResult,
    };
}
