//! The record of what was sent, answered and run.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }
    /// Returns the ms since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
    pub fn add(&self, text: &str) {
        let line = format!("{:7} {text}", self.now());
        self.lines.lock().expect("the record").push(line);
    }
    /// Adds a line to the record and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.add(text);
    }
    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().expect("the record").clone();
        lines.sort();
        std::fs::write(path, lines.join("\n") + "\n").expect("the record file");
    }
}

impl Record {
    /// Returns the lines that contain a text, in the order of their times.
    pub fn matching(&self, text: &str) -> Vec<String> {
        let mut lines = self.lines.lock().expect("the record").clone();
        lines.retain(|line| line.contains(text));
        lines.sort();
        lines
    }
    /// Returns the times of those lines, ms.
    pub fn times(&self, text: &str) -> Vec<u64> {
        let lines = self.matching(text);
        let time = |line: &String| line.split_whitespace().next()?.parse().ok();
        lines.iter().filter_map(time).collect()
    }
}
