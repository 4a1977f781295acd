//! Log lines that never hold up the process.
//!
//! Lines go through a bounded queue to a thread that writes them. A line that finds the queue full,
//! or comes after the limit of its second, is dropped and counted; the count is written later.

use log::Record;
use log4rs::append::Append;
use serde_json::json;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Instant;

/// Lines that wait for the writer; about two seconds of a busy host.
const QUEUE_LINES: usize = 1_024;

/// Usual length of a line, bytes.
const LINE_BYTES: usize = 256;
/// Target of lines about decisions.
pub const DECISION_TARGET: &str = "crocusyard::decision";

/// Appender that hands lines to a writer thread.
#[derive(Debug)]
pub struct QueueAppender {
    sender: SyncSender<Vec<u8>>,
    limit: LineLimit,
    dropped: AtomicU64,
}

/// Limit of lines a second.
#[derive(Debug)]
struct LineLimit {
    lines_per_s: u64,
    started: Instant,
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineLimit {
    fn take(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < self.lines_per_s
    }
}

impl QueueAppender {
    /// Makes an appender and starts its writer.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(lines_per_s: u64, writer: Box<dyn Write + Send>) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, writer))?;
        Ok(Self {
            sender,
            limit: LineLimit {
                lines_per_s,
                started: Instant::now(),
                second: AtomicU64::new(0),
                lines: AtomicU64::new(0),
            },
            dropped: AtomicU64::new(0),
        })
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, mut writer: Box<dyn Write + Send>) {
    while let Ok(line) = receiver.recv() {
        // Nobody reads the log any more; there is no other place to tell it.
        let _ = writer.write_all(&line).and_then(|()| writer.flush());
    }
}

/// Writes a line; a decision is one JSON object already.
fn write_record(line: &mut Vec<u8>, record: &Record<'_>) -> io::Result<()> {
    if record.target() == DECISION_TARGET {
        return writeln!(line, "{}", record.args());
    }
    let other = json!({
        "level": record.level().as_str(),
        "module": record.module_path(),
        "message": record.args().to_string(),
    });
    writeln!(line, "{other}")
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.limit.take() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(LINE_BYTES);
        write_record(&mut line, record)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            writeln!(
                line,
                "{{\"message\":\"log lines dropped\",\"count\":{dropped}}}"
            )?;
        }
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}
