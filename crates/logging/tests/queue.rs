//! Tests of the queue appender with a slow or blocked output.

use crocusyard_logging::queue::QueueAppender;
use log::{Level, Record};
use log4rs::append::Append;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the output takes to write a line.
const LINE_DELAY: Duration = Duration::from_millis(1);
/// Longest time for which a process may wait for its last lines before it exits.
const EXIT_LIMIT: Duration = Duration::from_secs(1);

/// Output that is slow, or blocks forever.
#[derive(Clone, Default)]
struct SlowOutput {
    lines: Arc<Mutex<String>>,
    blocked: bool,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.blocked {
            loop {
                thread::park();
            }
        }
        thread::sleep(LINE_DELAY);
        let text = String::from_utf8_lossy(bytes);
        self.lines
            .lock()
            .expect("no panic while the lines are locked")
            .push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SlowOutput {
    fn text(&self) -> String {
        self.lines
            .lock()
            .expect("no panic while the lines are locked")
            .clone()
    }
}

fn append(appender: &QueueAppender, text: &str) {
    let line = format_args!("{text}");
    let record = Record::builder().level(Level::Info).args(line).build();
    appender
        .append(&record)
        .expect("the appender accepts a record");
}

/// Guards against a process that exits before its last lines are written, such as the line that
/// reports the stop.
#[test]
fn last_lines_are_written_at_the_end() {
    let output = SlowOutput::default();
    let appender =
        QueueAppender::start(500, Box::new(output.clone())).expect("the writer thread starts");
    for number in 0..20 {
        append(&appender, &format!("line {number}"));
    }
    appender.flush();
    assert!(output.text().contains("line 19"), "{}", output.text());
}

/// Guards against a process that cannot exit, or a log call that blocks, because nobody reads the
/// output.
#[test]
fn blocked_output_delays_nothing() {
    let output = SlowOutput {
        blocked: true,
        ..SlowOutput::default()
    };
    let appender =
        QueueAppender::start(10_000, Box::new(output)).expect("the writer thread starts");
    let started = Instant::now();
    for number in 0..3_000 {
        append(&appender, &format!("line {number}"));
    }
    appender.flush();
    assert!(
        started.elapsed() < EXIT_LIMIT,
        "appending and flushing took {:?}",
        started.elapsed()
    );
}

/// Guards against dropped lines that are never counted, in particular if no further line follows.
#[test]
fn dropped_lines_are_counted() {
    let output = SlowOutput::default();
    let appender =
        QueueAppender::start(5, Box::new(output.clone())).expect("the writer thread starts");
    for number in 0..8 {
        append(&appender, &format!("line {number}"));
    }
    appender.flush();
    let text = output.text();
    assert_eq!(text.matches("line ").count(), 5, "{text}");
    assert!(text.contains("\"count\":3"), "{text}");
}
