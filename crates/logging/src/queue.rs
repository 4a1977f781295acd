//! Log lines that never hold up the process.
//!
//! Lines go through a bounded queue to a thread that writes them. A line that finds the queue full,
//! or comes after the limit of its second, is dropped and counted; the count is written later. Only
//! [`flush`](Append::flush), which a process calls when it ends, waits, and not for long.

use log::Record;
use log4rs::append::Append;
use serde_json::json;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for the writer; about two seconds of a busy host.
const QUEUE_LINES: usize = 1_024;

/// Longest wait of a process that ends for its last lines; below the 400 ms that a stop keeps back.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);
/// Pause between tries to queue the end mark.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);
/// Usual length of a line, bytes.
const LINE_BYTES: usize = 256;
/// Target of lines about decisions.
pub const DECISION_TARGET: &str = "crocusyard::decision";

/// What the writer thread gets.
enum QueueItem {
    /// A line.
    Line(Vec<u8>),
    /// Tells the other end that all earlier lines are written.
    EndMark(SyncSender<()>),
}

/// Appender that hands lines to a writer thread.
#[derive(Debug)]
pub struct QueueAppender {
    sender: SyncSender<QueueItem>,
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

fn write_lines(receiver: &Receiver<QueueItem>, mut writer: Box<dyn Write + Send>) {
    while let Ok(item) = receiver.recv() {
        // Either fails only if nobody reads the log, or waits for it, any more; there is no other
        // place to tell it.
        match item {
            QueueItem::Line(line) => {
                let _ = writer.write_all(&line).and_then(|()| writer.flush());
            }
            QueueItem::EndMark(done) => {
                let _ = done.try_send(());
            }
        }
    }
}

/// Writes how many lines were dropped.
fn write_dropped(line: &mut Vec<u8>, count: u64) -> io::Result<()> {
    let dropped = json!({"message": "log lines dropped", "count": count});
    writeln!(line, "{dropped}")
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
            write_dropped(&mut line, dropped)?;
        }
        if self.sender.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let end = Instant::now() + FLUSH_LIMIT;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut line = Vec::new();
        if dropped > 0 && write_dropped(&mut line, dropped).is_ok() {
            // A full queue means an output that is not read.
            let _ = self.sender.try_send(QueueItem::Line(line));
        }
        let (done, written) = sync_channel(1);
        let mut mark = QueueItem::EndMark(done);
        while let Err(TrySendError::Full(item)) = self.sender.try_send(mark) {
            if Instant::now() >= end {
                return;
            }
            mark = item;
            thread::sleep(FLUSH_PAUSE);
        }
        // The wait is bounded: lines of an output that nobody reads are lost.
        let _ = written.recv_timeout(end.saturating_duration_since(Instant::now()));
    }
}
