//! Streams that break off inside an event.

use crocusyard_serving::prelude::*;

/// Guards against forwarding half an event before another target sends the whole event again.
#[test]
fn event_that_was_begun_is_not_forwarded() {
    let mut splitter = EventSplitter::new();
    assert_eq!(
        splitter
            .push(b"id: 1\ndata: a\n\nid: 2\nda")
            .expect("short events"),
        b"id: 1\ndata: a\n\n"
    );
    assert_eq!(splitter.last_id(), Some(1));
    splitter.discard_partial();
    assert_eq!(
        splitter.push(b"id: 2\ndata: b\n\n").expect("short events"),
        b"id: 2\ndata: b\n\n"
    );
    assert_eq!((splitter.last_id(), splitter.event_count()), (Some(2), 2));
}

/// Guards against bytes that are lost or sent twice, however a stream is cut into pieces.
#[test]
fn any_cut_gives_the_same_bytes() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(cuts, data)| {
            let mut text = Vec::new();
            for (number, byte) in data.iter().enumerate() {
                text.extend_from_slice(format!("id: {number}\ndata: {byte}\n\n").as_bytes());
            }
            let mut splitter = EventSplitter::new();
            let mut complete = Vec::new();
            let mut rest = &text[..];
            for cut in cuts {
                let (piece, after) = rest.split_at(usize::from(*cut).min(rest.len()));
                complete.extend(splitter.push(piece).expect("short events"));
                rest = after;
            }
            complete.extend(splitter.push(rest).expect("short events"));
            complete.extend_from_slice(splitter.partial_event());
            assert_eq!(complete, text);
        });
}

/// Guards against a host that runs out of memory, or searches the same bytes again and again,
/// because a target sends an event without end.
#[test]
fn event_without_end_is_an_error() {
    const TOTAL_BYTES: usize = 4 * 1024 * 1024;
    for length in [1, 100, 16 * 1024, TOTAL_BYTES] {
        let mut splitter = EventSplitter::new();
        let piece = vec![b'x'; length];
        let accepted = (0..TOTAL_BYTES / length).find(|_| splitter.push(&piece).is_err());
        let accepted = accepted.expect("an event of 4 MB is not an error") * length;
        assert!(accepted < TOTAL_BYTES / 4, "{accepted} bytes were kept");
    }
    let mut splitter = EventSplitter::new();
    for number in 0..50_000 {
        let event = format!("id: {number}\ndata: many short events are no long one\n\n");
        splitter
            .push(event.as_bytes())
            .expect("the event has an end");
    }
}
