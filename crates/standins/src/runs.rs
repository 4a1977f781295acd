//! Prints a line on standard output for each call that starts.
//!
//! The lines remain when the process is killed, unlike counts that it keeps in memory.

use std::sync::atomic::{AtomicBool, Ordering};

static RUN_LINES_ENABLED: AtomicBool = AtomicBool::new(false);

/// Makes the stand-ins of this process print a line `run TEXT` before they carry out a call.
pub fn print_runs() {
    RUN_LINES_ENABLED.store(true, Ordering::Relaxed);
}

/// Prints a `run` line if [`print_runs`] was called. Escapes in `text` keep it on one line.
pub(crate) fn print_run(text: &str) {
    if RUN_LINES_ENABLED.load(Ordering::Relaxed) {
        println!("run {}", text.escape_debug());
    }
}
