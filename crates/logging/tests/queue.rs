//! Lines on their way to a slow or stuck output.

use crocusyard_logging::queue::QueueAppender;
use log::{Level, Record};
use log4rs::append::Append;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the output takes for a line.
const LINE_TIME: Duration = Duration::from_millis(1);
/// Longest time for which a process that ends may wait for its last lines.
const END_LIMIT: Duration = Duration::from_secs(1);

/// Output that is slow, or writes nothing at all.
#[derive(Clone, Default)]
struct SlowOutput {
    lines: Arc<Mutex<String>>,
    stuck: bool,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.stuck {
            loop {
                thread::park();
            }
        }
        thread::sleep(LINE_TIME);
        let text = String::from_utf8_lossy(bytes);
        self.lines.lock().expect("lines").push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SlowOutput {
    fn text(&self) -> String {
        self.lines.lock().expect("lines").clone()
    }
}

fn append(appender: &QueueAppender, text: &str) {
    let line = format_args!("{text}");
    let record = Record::builder().level(Level::Info).args(line).build();
    appender.append(&record).expect("appended");
}

/// Guards against a process that ends before its last lines are written, such as the one that says
/// that it stopped.
#[test]
fn last_lines_are_written_at_the_end() {
    let output = SlowOutput::default();
    let appender = QueueAppender::start(500, Box::new(output.clone())).expect("started");
    for number in 0..20 {
        append(&appender, &format!("line {number}"));
    }
    appender.flush();
    assert!(output.text().contains("line 19"), "{}", output.text());
}

/// Guards against a process that cannot end, or a call that waits, since nobody reads the output.
#[test]
fn stuck_output_holds_nothing_up() {
    let output = SlowOutput {
        stuck: true,
        ..SlowOutput::default()
    };
    let appender = QueueAppender::start(10_000, Box::new(output)).expect("started");
    let begun = Instant::now();
    for number in 0..3_000 {
        append(&appender, &format!("line {number}"));
    }
    appender.flush();
    assert!(begun.elapsed() < END_LIMIT, "{:?}", begun.elapsed());
}

/// Guards against lines that are dropped and never counted, also when no further line comes.
#[test]
fn dropped_lines_are_counted() {
    let output = SlowOutput::default();
    let appender = QueueAppender::start(5, Box::new(output.clone())).expect("started");
    for number in 0..8 {
        append(&appender, &format!("line {number}"));
    }
    appender.flush();
    let text = output.text();
    assert_eq!(text.matches("line ").count(), 5, "{text}");
    assert!(text.contains("\"count\":3"), "{text}");
}
