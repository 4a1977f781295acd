//! Checks of what must always hold.
//!
//! A violated invariant panics in debug builds, so that tests and randomised runs stop at the first
//! one. In release builds the check returns `false`, the caller refuses the action, and the
//! violation is counted for the metrics.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

static VIOLATIONS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());
static PANIC_ALWAYS: AtomicBool = AtomicBool::new(false);

/// Makes violations panic in release builds too, for long randomised runs.
pub fn panic_on_violation() {
    PANIC_ALWAYS.store(true, Ordering::Relaxed);
}

/// Returns how often each invariant was violated in this process.
pub fn violation_counts() -> BTreeMap<&'static str, u64> {
    VIOLATIONS
        .lock()
        .map(|counts| counts.clone())
        .unwrap_or_default()
}

/// Records a violation; called by [`invariant!`](crate::invariant).
pub fn record_violation(name: &'static str, detail: &str) {
    if cfg!(debug_assertions) || PANIC_ALWAYS.load(Ordering::Relaxed) {
        panic!("invariant {name} violated: {detail}");
    }
    if let Ok(mut counts) = VIOLATIONS.lock() {
        *counts.entry(name).or_insert(0) += 1;
    }
}

/// Checks an invariant and returns whether it holds; the caller refuses the action if it does not.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $name:literal, $($detail:tt)+) => {{
        let holds: bool = $holds;
        if !holds {
            $crate::invariants::record_violation($name, &format!($($detail)+));
        }
        holds
    }};
}
