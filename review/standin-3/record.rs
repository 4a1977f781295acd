//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

pub fn start(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("the record cannot be written");
    FILE.get_or_init(|| Mutex::new(file));
}

/// Time since the start of the run.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}

pub fn line(text: &str) {
    let text = format!("{:8.3} s  {text}\n", now().as_secs_f64());
    if let Some(file) = FILE.get() {
        let _ = file.lock().unwrap().write_all(text.as_bytes());
    }
}
