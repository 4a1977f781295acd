//! Checks of invariants at run time.
//!
//! A violated invariant panics in debug builds, so that tests and randomised runs stop at the first
//! violation. In release builds the check returns `false`, the code that called it refuses the
//! action, and the violation is counted for the metrics.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// Number of violations in this process, by the name of the invariant.
static VIOLATIONS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());
/// Whether violations panic in release builds too.
static PANIC_ALWAYS: AtomicBool = AtomicBool::new(false);

/// Makes violations panic in release builds too; long randomised runs call this.
pub fn panic_on_violation() {
    PANIC_ALWAYS.store(true, Ordering::Relaxed);
}

/// Returns the number of violations of each invariant in this process.
pub fn violation_counts() -> BTreeMap<&'static str, u64> {
    VIOLATIONS
        .lock()
        .map(|counts| counts.clone())
        .unwrap_or_default()
}

/// Counts a violation of the invariant `name`, or panics; called by
/// [`invariant!`](crate::invariant).
///
/// # Panics
///
/// In debug builds, and after [`panic_on_violation`].
pub fn record_violation(name: &'static str, detail: &str) {
    if cfg!(debug_assertions) || PANIC_ALWAYS.load(Ordering::Relaxed) {
        panic!("invariant {name} violated: {detail}");
    }
    if let Ok(mut counts) = VIOLATIONS.lock() {
        *counts.entry(name).or_insert(0) += 1;
    }
}

/// Checks an invariant and returns whether it holds; if not, the calling code must refuse the action.
///
/// Takes the condition, the name under which violations are counted, and a message with format
/// arguments.
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
