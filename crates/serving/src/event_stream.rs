//! Splits a byte stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so that a stream that breaks off inside an event can be
//! resumed at another target.

use snafu::Snafu;
use std::mem;

/// Empty line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line with the identifier of an event.
const ID_FIELD: &[u8] = b"id:";

/// Longest event, bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event of a stream does not end.
#[derive(Debug, Snafu)]
#[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// Splits one stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    partial: Vec<u8>,
    /// Identifier of the last complete event.
    last_id: Option<u64>,
    /// Complete events with an identifier line.
    event_count: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream from its beginning.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails if the event that the bytes leave incomplete is already too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        // The end of an event may have begun with the last byte before.
        let search_from = self.partial.len().saturating_sub(EVENT_END.len() - 1);
        self.partial.extend_from_slice(bytes);
        let complete = match find_last(&self.partial[search_from..], EVENT_END) {
            None => Vec::new(),
            Some(end) => {
                let partial = self.partial.split_off(search_from + end + EVENT_END.len());
                mem::replace(&mut self.partial, partial)
            }
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.read_ids(&complete);
        Ok(complete)
    }

    /// Discards the bytes of an incomplete event; another target sends the event again.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the bytes after the last complete event.
    pub fn partial_event(&self) -> &[u8] {
        &self.partial
    }

    /// Returns the numeric identifier of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events so far, counted by their identifier lines.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Counts the identifier lines of complete events and keeps the last number.
    fn read_ids(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
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

/// Returns the position of the last occurrence of `pattern`.
fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}
