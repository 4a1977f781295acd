//! Lines on standard output about calls that begin, which outlive a process that is killed.

use std::sync::atomic::{AtomicBool, Ordering};

static PRINTED: AtomicBool = AtomicBool::new(false);

/// Lets the targets of this program print a line `run TEXT` before they carry out a call.
pub fn print_runs() {
    PRINTED.store(true, Ordering::Relaxed);
}

/// Prints what is about to run; `text` stays on one line.
pub(crate) fn note_run(text: &str) {
    if PRINTED.load(Ordering::Relaxed) {
        println!("run {}", text.escape_debug());
    }
}
