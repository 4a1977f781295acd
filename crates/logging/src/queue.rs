//! An appender that never blocks the thread that logs.
//!
//! Lines go through a bounded queue to a thread that writes them. Lines that find the queue full,
//! or exceed the limit per second, are dropped and counted; the count is written with a later line.
//! Only [`flush`](Append::flush), which a process calls before it exits, waits, for 300 ms at most.

use log::Record;
use log4rs::append::Append;
use serde_json::json;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the queue, lines; a busy host writes as many in about two seconds.
const QUEUE_LINES: usize = 1_024;

/// Longest wait for the last lines of a process; less than the 400 ms that a stop reserves.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between attempts to put the flush request into a full queue.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);
/// Initial capacity of a line, bytes; most lines are no longer.
const LINE_BYTES: usize = 256;
/// Log target of decision records, whose message is already a JSON object.
pub const DECISION_TARGET: &str = "crocusyard::decision";

/// Item of the queue to the writer thread.
enum QueueItem {
    /// Line to write, with its line break.
    Line(Vec<u8>),
    /// Request to confirm, on this channel, that all earlier lines are written.
    FlushRequest(SyncSender<()>),
}

/// Appender that queues lines for a writer thread.
#[derive(Debug)]
pub struct QueueAppender {
    sender: SyncSender<QueueItem>,
    limit: LineLimit,
    dropped: AtomicU64,
}

/// Limit on the lines per second, counted from the start of each second.
#[derive(Debug)]
struct LineLimit {
    lines_per_s: u64,
    started: Instant,
    /// Second since the start in which `lines` were counted.
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineLimit {
    /// Counts a line; returns whether it is within the limit of the current second.
    fn allow_line(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < self.lines_per_s
    }
}

impl QueueAppender {
    /// Creates an appender for up to `lines_per_s` lines per second, and starts its writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the writer thread cannot be started.
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

/// Writes queued lines until the appender is dropped.
fn write_lines(receiver: &Receiver<QueueItem>, mut writer: Box<dyn Write + Send>) {
    while let Ok(item) = receiver.recv() {
        // Writing fails if the output is closed, and confirming if the flush has timed out. Neither
        // can be reported elsewhere, since this thread is the log.
        match item {
            QueueItem::Line(line) => {
                let _ = writer.write_all(&line).and_then(|()| writer.flush());
            }
            QueueItem::FlushRequest(confirm) => {
                let _ = confirm.try_send(());
            }
        }
    }
}

/// Appends a line that says how many lines were dropped.
fn append_dropped_count(line: &mut Vec<u8>, count: u64) -> io::Result<()> {
    let dropped = json!({"message": "log lines dropped", "count": count});
    writeln!(line, "{dropped}")
}

/// Appends the line of a record; a decision record is one JSON object already.
fn append_record(line: &mut Vec<u8>, record: &Record<'_>) -> io::Result<()> {
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
        if !self.limit.allow_line() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(LINE_BYTES);
        append_record(&mut line, record)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            append_dropped_count(&mut line, dropped)?;
        }
        if self.sender.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut line = Vec::new();
        if dropped > 0 && append_dropped_count(&mut line, dropped).is_ok() {
            // If the queue is full, the output is not being read and the count is lost with it.
            let _ = self.sender.try_send(QueueItem::Line(line));
        }
        let (confirm, confirmed) = sync_channel(1);
        let mut request = QueueItem::FlushRequest(confirm);
        while let Err(TrySendError::Full(item)) = self.sender.try_send(request) {
            if Instant::now() >= deadline {
                return;
            }
            request = item;
            thread::sleep(FLUSH_PAUSE);
        }
        // The wait is bounded, so lines are lost if nobody reads the output.
        let _ = confirmed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}
