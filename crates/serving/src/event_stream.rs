//! Splits a stream of bytes into whole events.
//!
//! Only whole events are forwarded, so that a stream that breaks off inside an event can go on at
//! another target.

use std::mem;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Field that carries the identifier of an event.
const ID_FIELD: &[u8] = b"id:";

/// Splitter of one stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventSplitter {
    /// Makes a splitter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = find_last(&self.rest, EVENT_END) else {
            return Vec::new();
        };
        let rest = self.rest.split_off(end + EVENT_END.len());
        let whole = mem::replace(&mut self.rest, rest);
        self.note_ids(&whole);
        whole
    }

    /// Forgets the event that was begun; another target sends it again.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
    }

    /// Returns the bytes after the last whole event.
    pub fn partial_event(&self) -> &[u8] {
        &self.rest
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whole events so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    fn note_ids(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
            if line.is_empty() {
                continue;
            }
            let Some(value) = line.strip_prefix(ID_FIELD) else {
                continue;
            };
            self.event_count += 1;
            let text = std::str::from_utf8(value).unwrap_or("").trim();
            if let Ok(id) = text.parse() {
                self.last_id = Some(id);
            }
        }
    }
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}
