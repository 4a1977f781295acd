//! Forwards streams of events from targets to callers.

use crate::attempt_log::{log_attempt_ended, log_attempt_sent};
use crate::body::{AnswerBody, StreamSender, LONG_CHUNK_BYTES};
use crate::clock;
use crate::decision_log;
use crate::entry::{deliver, AnswerAborted, OpenRequest};
use crate::exchange::{attempt, AttemptResult};
use crate::shell::RequestStep;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_httpconn::prelude::{is_malformed, PooledConn};
use crocusyard_intake::prelude::*;
use crocusyard_serving::prelude::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use serde_json::json;
use std::io;
use std::time::Duration;

/// A target's stream that is being read.
struct StreamSource {
    body: Incoming,
    conn: PooledConn,
}

impl StreamSource {
    /// Splits an answer into its head and its body with the connection.
    fn open(answer: Response<Incoming>, conn: PooledConn) -> (Response<()>, Self) {
        let (parts, body) = answer.into_parts();
        (Response::from_parts(parts, ()), Self { body, conn })
    }
}

/// End of the reading of a target's stream.
enum SourceEnd {
    Complete,
    Broken,
    /// The target sends bytes that are no event.
    Malformed,
    Expired,
    CallerLeft,
}

/// Answers a request with a stream, which is resumed at other targets if the route allows it.
pub(crate) async fn deliver_stream(
    mut open: OpenRequest,
    plan: AttemptPlan,
    answer: Response<Incoming>,
    conn: PooledConn,
) -> Result<Response<AnswerBody>, AnswerAborted> {
    if !open.request.call.route.kind.may_repeat() {
        // The body is not needed for a second attempt.
        open.request.body = Bytes::new();
    }
    let (head, source) = StreamSource::open(answer, conn);
    let (sender, answer_body) = AnswerBody::stream();
    let response = deliver(&open, head, answer_body);
    actix_rt::spawn(forward_stream(open, plan, source, sender));
    Ok(response)
}

/// Forwards a stream to its end, over as many targets as the reducer allows.
async fn forward_stream(
    mut open: OpenRequest,
    mut plan: AttemptPlan,
    mut source: StreamSource,
    sender: StreamSender,
) {
    let mut splitter = EventSplitter::new();
    let mut timing = StreamTiming::new(open.arrived);
    let mut partial = open.shell.intake.open(IntakeUse::Held, clock::now());
    loop {
        let mut events = EventForward {
            open: &open,
            sender: &sender,
            splitter: &mut splitter,
            timing: &mut timing,
            is_new_attempt: true,
            partial: &mut partial,
        };
        let end = events.run(&mut source).await;
        let outcome = match end {
            SourceEnd::Complete => {
                record_result(&open, &timing, true);
                if let Some(mean_gap_ms) = timing.mean_gap_ms() {
                    let key = open.key;
                    let event = ServingEvent::StreamEnded { key, mean_gap_ms };
                    open.shell.dispatch(event);
                }
                source.conn.release().await;
                open.end_attempt(AttemptOutcome::Answered { status: 200 });
                return;
            }
            SourceEnd::CallerLeft => {
                log_caller_left(&open, &splitter);
                return;
            }
            SourceEnd::Broken => AttemptOutcome::Lost {
                broken: true,
                started: true,
            },
            SourceEnd::Malformed => AttemptOutcome::Lost {
                broken: false,
                started: true,
            },
            SourceEnd::Expired => AttemptOutcome::Expired,
        };
        drop(source);
        splitter.discard_partial();
        partial.release(partial.bytes());
        log_attempt_ended(&open, &plan, outcome);
        open.end_attempt(outcome);
        let resumed = tokio::select! {
            biased;
            // The wait for another target may last for seconds.
            () = sender.closed() => {
                log_caller_left(&open, &splitter);
                return;
            }
            resumed = resume(&mut open, &splitter) => resumed,
        };
        match resumed {
            Some(next) => (plan, source) = next,
            None => {
                record_result(&open, &timing, false);
                abort_stream(&open, &sender, &splitter).await;
                return;
            }
        }
    }
}

/// Counts a stream that has ended, and logs what made it late.
fn record_result(open: &OpenRequest, timing: &StreamTiming, is_complete: bool) {
    if is_complete && timing.first_event_time().is_none() {
        // A target's failure, which is passed on as it is.
        return;
    }
    let call = &open.request.call;
    let result = timing.result(&call.route, is_complete);
    open.shell.metrics.count_stream(&call.route.name, result);
    if matches!(result, StreamResult::OnTime | StreamResult::Cut) {
        return;
    }
    let (pause, events_before) = timing.longest_pause();
    decision_log::log_decision(
        &call.id,
        "late",
        json!({
            "cause": result.label(),
            "first_event_ms": timing.first_event_time().map(ClockTime::as_ms),
            "longest_pause_ms": pause.as_ms(),
            "events_before": events_before,
            "prompt_tokens": call.prompt_tokens,
        }),
    );
}

/// Closes the caller's connection without ending the stream.
async fn abort_stream(open: &OpenRequest, sender: &StreamSender, splitter: &EventSplitter) {
    decision_log::log_decision(
        &open.request.call.id,
        "broken_off",
        json!({"events": splitter.event_count()}),
    );
    let error = io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the stream of the target broke off",
    );
    // Sending fails only if the caller has left; it then needs no error.
    let _ = sender.send(Err(error)).await;
}

/// Logs that the caller has left; dropping the request then cancels what is left of it.
fn log_caller_left(open: &OpenRequest, splitter: &EventSplitter) {
    let call = &open.request.call;
    decision_log::log_decision(
        &call.id,
        "caller_left",
        json!({"events": splitter.event_count(), "age_ms": clock::now().since(open.arrived).as_ms()}),
    );
}

fn log_overlong_event(open: &OpenRequest, error: &EventTooLong) {
    decision_log::log_decision(
        &open.request.call.id,
        "malformed_stream",
        json!({"cause": error.to_string()}),
    );
}

/// Forwards the events of one target's stream.
struct EventForward<'a> {
    open: &'a OpenRequest,
    sender: &'a StreamSender,
    splitter: &'a mut EventSplitter,
    timing: &'a mut StreamTiming,
    /// Whether no event of the current target has arrived.
    is_new_attempt: bool,
    /// Charge of the incomplete event in the splitter.
    partial: &'a mut IntakeGuard,
}

impl EventForward<'_> {
    /// Forwards complete events until the target's stream ends.
    async fn run(&mut self, source: &mut StreamSource) -> SourceEnd {
        loop {
            let time_left = self.open.request.call.deadline.since(clock::now());
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                () = self.sender.closed() => return SourceEnd::CallerLeft,
                () = actix_rt::time::sleep(Duration::from_millis(time_left.as_ms())) => {
                    return SourceEnd::Expired;
                }
            };
            let data = match frame {
                None => return self.finish(),
                Some(Err(error)) if is_malformed(&error) => return SourceEnd::Malformed,
                Some(Err(_)) => return SourceEnd::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            if let Some(end) = self.charge(data.len()).await {
                return end;
            }
            let complete = match self.splitter.push(&data) {
                Ok(complete) => complete,
                Err(error) => {
                    log_overlong_event(self.open, &error);
                    return SourceEnd::Malformed;
                }
            };
            if complete.is_empty() {
                continue;
            }
            let events = self.splitter.event_count();
            if self.is_new_attempt {
                self.is_new_attempt = false;
                let key = self.open.key;
                self.open.shell.dispatch(ServingEvent::FirstEvent { key });
            }
            self.timing.record_events(events, clock::now());
            if let Some(end) = self.forward(complete).await {
                return end;
            }
        }
    }

    /// Charges bytes of the stream to the memory budget, and waits for room if necessary; meanwhile
    /// the target is not read. Returns the end of the stream if it ends instead.
    async fn charge(&mut self, length: usize) -> Option<SourceEnd> {
        let time_left = self.open.request.call.deadline.since(clock::now());
        let mut wait = RoomWait::new(time_left);
        tokio::select! {
            () = self.sender.closed() => Some(SourceEnd::CallerLeft),
            charged = wait.retry(clock::now, |now| self.partial.charge(length, now)) => {
                charged.err().map(|_| SourceEnd::Expired)
            }
        }
    }

    /// Sends complete events to the caller. Their charge moves from the incomplete event to them.
    async fn forward(&mut self, complete: Vec<u8>) -> Option<SourceEnd> {
        let length = complete.len();
        self.partial.release(length);
        let mut charge = self.open.shell.intake.open(IntakeUse::Held, clock::now());
        // The bytes have just been released, and no other task ran in between.
        let _ = charge.charge(length, clock::now());
        let chunk = charge.attach(complete);
        let places = if length > LONG_CHUNK_BYTES {
            self.sender.max_capacity()
        } else {
            1
        };
        let time_left = self.open.request.call.deadline.since(clock::now());
        let permits = tokio::select! {
            permits = self.sender.reserve_many(places) => permits,
            () = actix_rt::time::sleep(Duration::from_millis(time_left.as_ms())) => {
                return Some(SourceEnd::Expired);
            }
        };
        let Some(permit) = permits.ok().and_then(|mut permits| permits.next()) else {
            return Some(SourceEnd::CallerLeft);
        };
        permit.send(Ok(chunk));
        None
    }

    /// Returns the end of a stream that the target has ended: broken if it was cut inside an event,
    /// whether or not the end of the body was marked.
    fn finish(&self) -> SourceEnd {
        if self.splitter.partial_event().is_empty() {
            SourceEnd::Complete
        } else {
            SourceEnd::Broken
        }
    }
}

/// Resumes the stream at another target after the last complete event, if the reducer decides so.
async fn resume(
    open: &mut OpenRequest,
    splitter: &EventSplitter,
) -> Option<(AttemptPlan, StreamSource)> {
    loop {
        let RequestStep::Send(plan) = open.steps.recv().await? else {
            return None;
        };
        log_attempt_sent(open, &plan);
        let result = attempt(&open.shell, &open.request, &plan, splitter.last_id()).await;
        let outcome = match result {
            AttemptResult::Stream { answer, conn } if answer.status() == StatusCode::OK => {
                return Some((plan, StreamSource::open(answer, conn).1));
            }
            AttemptResult::Stream { .. } | AttemptResult::Complete { .. } => AttemptOutcome::Lost {
                broken: false,
                started: true,
            },
            AttemptResult::Ended(outcome) => outcome,
        };
        log_attempt_ended(open, &plan, outcome);
        open.end_attempt(outcome);
    }
}
