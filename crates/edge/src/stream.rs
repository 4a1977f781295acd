//! Forwards streams of events.

use crate::body::{AnswerBody, StreamSender};
use crate::clock;
use crate::decision_log;
use crate::entry::{deliver, log_end, log_send, AnswerAborted, OpenRequest};
use crate::exchange::{attempt, AttemptResult};
use crate::shell::RequestStep;
use bytes::Bytes;
use crocusyard_httpconn::prelude::PooledConn;
use crocusyard_serving::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::{Response, StatusCode};
use serde_json::json;
use std::io;
use std::time::Duration;

/// A stream that is being read.
struct StreamSource {
    body: Incoming,
    conn: PooledConn,
    /// Whether the end of the stream is marked, so that a close is no end.
    framed: bool,
}

impl StreamSource {
    /// Takes an answer apart into its head and its body with the connection.
    fn open(answer: Response<Incoming>, conn: PooledConn) -> (Response<()>, Self) {
        let (parts, body) = answer.into_parts();
        let framed =
            parts.headers.contains_key(TRANSFER_ENCODING) || body.size_hint().exact().is_some();
        (Response::from_parts(parts, ()), Self { body, conn, framed })
    }
}

/// How reading a stream ended.
enum SourceEnd {
    Complete,
    Broken,
    Expired,
    CallerLeft,
}

/// Delivers a stream; goes on at other targets where it may be resumed.
pub(crate) async fn deliver_stream(
    open: OpenRequest,
    answer: Response<Incoming>,
    conn: PooledConn,
) -> Result<Response<AnswerBody>, AnswerAborted> {
    let (head, source) = StreamSource::open(answer, conn);
    let (sender, answer_body) = AnswerBody::stream();
    let response = deliver(&open, head, answer_body);
    actix_rt::spawn(forward(open, source, sender));
    Ok(response)
}

async fn forward(mut open: OpenRequest, mut source: StreamSource, sender: StreamSender) {
    let mut splitter = EventSplitter::new();
    loop {
        let end = pump(&open, &mut source, &sender, &mut splitter).await;
        let outcome = match end {
            SourceEnd::Complete => {
                source.conn.release().await;
                open.end_attempt(AttemptOutcome::Answered { status: 200 });
                return;
            }
            SourceEnd::CallerLeft => {
                decision_log::request(
                    &open.request.call.id,
                    "caller_left",
                    json!({"events": splitter.event_count()}),
                );
                return;
            }
            SourceEnd::Broken => AttemptOutcome::Lost {
                broken: true,
                started: true,
            },
            SourceEnd::Expired => AttemptOutcome::Expired,
        };
        drop(source);
        splitter.discard_partial();
        open.end_attempt(outcome);
        match resume(&mut open, &splitter).await {
            Some(next) => source = next,
            None => {
                break_off(&open, &sender, &splitter).await;
                return;
            }
        }
    }
}

/// Closes the caller's connection without the end of the stream.
async fn break_off(open: &OpenRequest, sender: &StreamSender, splitter: &EventSplitter) {
    decision_log::request(
        &open.request.call.id,
        "broken_off",
        json!({"events": splitter.event_count()}),
    );
    let error = io::Error::new(io::ErrorKind::UnexpectedEof, "the stream broke off");
    // A caller that has left needs no notice.
    let _ = sender.send(Err(error)).await;
}

/// Forwards whole events until the stream ends.
async fn pump(
    open: &OpenRequest,
    source: &mut StreamSource,
    sender: &StreamSender,
    splitter: &mut EventSplitter,
) -> SourceEnd {
    loop {
        let left = open.request.call.deadline.since(clock::now());
        let frame = tokio::select! {
            frame = source.body.frame() => frame,
            () = sender.closed() => return SourceEnd::CallerLeft,
            () = actix_rt::time::sleep(Duration::from_millis(left.as_ms())) => {
                return SourceEnd::Expired;
            }
        };
        let data = match frame {
            None => return finish(source, sender, splitter).await,
            Some(Err(_)) => return SourceEnd::Broken,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        let whole = splitter.push(&data);
        if !whole.is_empty() && sender.send(Ok(Bytes::from(whole))).await.is_err() {
            return SourceEnd::CallerLeft;
        }
    }
}

/// Ends a stream whose target closed it.
async fn finish(
    source: &StreamSource,
    sender: &StreamSender,
    splitter: &mut EventSplitter,
) -> SourceEnd {
    if !source.framed && !splitter.partial_event().is_empty() {
        return SourceEnd::Broken;
    }
    let rest = Bytes::copy_from_slice(splitter.partial_event());
    if !rest.is_empty() && sender.send(Ok(rest)).await.is_err() {
        return SourceEnd::CallerLeft;
    }
    SourceEnd::Complete
}

/// Goes on at another target after the last whole event, if the reducer says so.
async fn resume(open: &mut OpenRequest, splitter: &EventSplitter) -> Option<StreamSource> {
    loop {
        let RequestStep::Send(plan) = open.steps.recv().await? else {
            return None;
        };
        log_send(open, &plan);
        let result = attempt(&open.shell, &open.request, &plan, splitter.last_id()).await;
        let outcome = match result {
            AttemptResult::Stream { answer, conn } if answer.status() == StatusCode::OK => {
                return Some(StreamSource::open(answer, conn).1);
            }
            AttemptResult::Stream { .. } | AttemptResult::Whole { .. } => AttemptOutcome::Lost {
                broken: false,
                started: true,
            },
            AttemptResult::Ended(outcome) => outcome,
        };
        log_end(open, &plan, outcome);
        open.end_attempt(outcome);
    }
}
