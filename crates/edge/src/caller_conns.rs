//! The connections of callers: their number, their phases, and the closing of those that hold
//! resources without progress.
//!
//! Each connection is read and written through a [`GuardedStream`], which records what the caller
//! does. The bytes of a head are charged to the memory budget before the HTTP library gets them.

use crate::body::AnswerBody;
use crate::clock;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_intake::prelude::*;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Memory of a connection whose head is being read, besides the bytes of the head.
const CONN_BYTES: usize = 8 * 1_024;
/// Interval at which the connections are examined.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Number of examinations in a row at which a caller has taken nothing of what is ready for it,
/// before it is cut off: 15 s. Examinations are counted and not time, since a caller can take
/// nothing while this process is suspended.
const STALLED_SWEEPS: u32 = 60;
/// Time that a head may take beyond the limit of the configuration, as its first byte may have
/// waited here.
const HEAD_MARGIN: ClockTime = ClockTime::from_secs(1);
/// Interval at which a full table is examined for a connection to close.
const FULL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a connection waits to be served while no other one can be closed.
const FULL_TIMEOUT: ClockTime = ClockTime::from_ms(500);
/// Time without a byte after which a body is given up if its connection is needed.
const IDLE_BODY_TIME: ClockTime = ClockTime::from_secs(2);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for a request.
    Idle,
    /// A head is being read.
    Head,
    /// A request is in progress.
    Request,
}

/// State of one connection.
pub(crate) struct ConnState {
    phase: Cell<Phase>,
    /// When the phase began.
    since: Cell<ClockTime>,
    /// Whether the caller does not take what is ready for it.
    is_blocked: Cell<bool>,
    blocked_sweeps: Cell<u32>,
    is_closing: Cell<bool>,
    close: Notify,
    charge: RefCell<Option<IntakeGuard>>,
    /// Whether there was no room for bytes of the head. The caller gets an answer if they complete it.
    lacks_room: Cell<bool>,
    budget: IntakeBudget,
}

impl ConnState {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(clock::now());
    }

    /// Records that a whole head has been read; its bytes stay charged until the request ends.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestInProgress {
        self.enter(Phase::Request);
        RequestInProgress { conn: self.clone() }
    }

    /// Charges the bytes of a head. One read without room is let through, which is bounded by the
    /// buffer of the connection: most heads are complete with it, so that they can be answered.
    fn record_read(&self, count: usize) -> Result<(), IntakeRefusal> {
        match self.charge_read(count) {
            Err(IntakeRefusal::Full) if !self.lacks_room.replace(true) => Ok(()),
            result => result,
        }
    }

    fn charge_read(&self, count: usize) -> Result<(), IntakeRefusal> {
        if self.phase.get() == Phase::Request {
            return Ok(());
        }
        let now = clock::now();
        let mut charge = self.charge.borrow_mut();
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
            let mut guard = self.budget.open(IntakeUse::Incoming, now);
            guard.charge_memory(CONN_BYTES, 0, now)?;
            *charge = Some(guard);
        }
        match charge.as_mut() {
            Some(charge) => charge.charge(count, now),
            None => Ok(()),
        }
    }

    fn request_close(&self) {
        if !self.is_closing.replace(true) {
            self.close.notify_one();
        }
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }

    /// Returns why the connection has to be closed, if it does.
    fn fault(&self, head_timeout: ClockTime, now: ClockTime) -> Option<&'static str> {
        if self.is_closing.get() {
            return None;
        }
        let blocked = self.blocked_sweeps.get() + 1;
        self.blocked_sweeps
            .set(if self.is_blocked.get() { blocked } else { 0 });
        if self.blocked_sweeps.get() >= STALLED_SWEEPS {
            return Some("reads_nothing");
        }
        if self.phase.get() != Phase::Head {
            return None;
        }
        let charge = self.charge.borrow();
        let is_evicted = charge.as_ref().is_some_and(|charge| {
            let check = charge.check(now);
            check == Err(IntakeRefusal::Evicted)
        });
        if is_evicted {
            return Some("head_evicted");
        }
        let age = now.since(self.since.get());
        (age > head_timeout + HEAD_MARGIN).then_some("head_too_slow")
    }
}

/// A request on a connection; when this value is dropped, the connection is idle.
pub(crate) struct RequestInProgress {
    conn: Rc<ConnState>,
}

impl RequestInProgress {
    /// Keeps the head of the request in the memory budget.
    ///
    /// # Errors
    ///
    /// Fails if there was no room for it, or if it has given way to others.
    pub(crate) fn hold_head(&self) -> Result<(), IntakeRefusal> {
        if self.conn.lacks_room.get() {
            return Err(IntakeRefusal::Full);
        }
        if let Some(charge) = self.conn.charge.borrow_mut().as_mut() {
            charge.complete()?;
            // From here on the memory of the connection is part of what connections take.
            charge.release(CONN_BYTES);
        }
        Ok(())
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.conn.charge.borrow_mut().take();
        self.conn.lacks_room.set(false);
        self.conn.enter(Phase::Idle);
    }
}

/// Body of an answer whose connection is idle again once the body has been taken.
pub(crate) struct TrackedBody {
    body: AnswerBody,
    _request: RequestInProgress,
}

impl TrackedBody {
    pub(crate) fn new(body: AnswerBody, request: RequestInProgress) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The connections of callers.
pub(crate) struct CallerConns {
    conns: RefCell<BTreeMap<u64, Rc<ConnState>>>,
    next_id: Cell<u64>,
    limit: usize,
    budget: IntakeBudget,
}

/// Removes a connection from the table when it is dropped.
pub(crate) struct ConnEntry {
    id: u64,
    pub(crate) state: Rc<ConnState>,
    table: Rc<CallerConns>,
}

impl Drop for ConnEntry {
    fn drop(&mut self) {
        self.table.conns.borrow_mut().remove(&self.id);
    }
}

impl CallerConns {
    pub(crate) fn new(limit: usize, budget: IntakeBudget) -> Rc<Self> {
        Rc::new(Self {
            conns: RefCell::default(),
            next_id: Cell::new(0),
            limit,
            budget,
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Adds a connection.
    pub(crate) fn add(self: &Rc<Self>) -> ConnEntry {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = Rc::new(ConnState {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock::now()),
            is_blocked: Cell::new(false),
            blocked_sweeps: Cell::new(0),
            is_closing: Cell::new(false),
            close: Notify::new(),
            charge: RefCell::default(),
            lacks_room: Cell::default(),
            budget: self.budget.clone(),
        });
        self.conns.borrow_mut().insert(id, state.clone());
        ConnEntry {
            id,
            state,
            table: self.clone(),
        }
    }

    /// Waits until there is room for one more connection, and closes others for it; returns whether
    /// there is room.
    pub(crate) async fn make_room(&self) -> bool {
        let start = clock::now();
        while self.count() >= self.limit {
            let is_closing = |conn: &Rc<ConnState>| conn.is_closing.get();
            let has_closing = self.conns.borrow().values().any(is_closing);
            if !has_closing && !self.close_one() && clock::now().since(start) > FULL_TIMEOUT {
                return false;
            }
            actix_rt::time::sleep(FULL_INTERVAL).await;
        }
        true
    }

    /// Closes the connection that has been idle for longest, else the one whose head has taken
    /// longest, else the slowest body.
    fn close_one(&self) -> bool {
        let conns = self.conns.borrow();
        let oldest = |phase: Phase| {
            let found = conns
                .values()
                .filter(|conn| conn.phase.get() == phase && !conn.is_blocked.get());
            found.min_by_key(|conn| conn.since.get())
        };
        if let Some(conn) = oldest(Phase::Idle).or_else(|| oldest(Phase::Head)) {
            conn.request_close();
            return true;
        }
        self.budget.evict_idle(IDLE_BODY_TIME, clock::now())
    }

    /// Closes the connections that hold resources without progress; returns the reasons.
    pub(crate) fn sweep(&self, head_timeout: ClockTime) -> Vec<&'static str> {
        let now = clock::now();
        let conns = self.conns.borrow();
        let mut reasons = Vec::new();
        for conn in conns.values() {
            if let Some(reason) = conn.fault(head_timeout, now) {
                conn.request_close();
                reasons.push(reason);
            }
        }
        reasons
    }
}

/// Socket of a caller that records what it reads and writes.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    conn: Rc<ConnState>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, conn: Rc<ConnState>) -> Self {
        Self { stream, conn }
    }

    fn record_write<T>(&self, result: &Poll<io::Result<T>>) {
        self.conn.is_blocked.set(result.is_pending());
        if result.is_ready() {
            self.conn.blocked_sweeps.set(0);
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 && self.conn.record_read(count).is_err() {
            let error = io::Error::other("no memory is left for the head of the request");
            return Poll::Ready(Err(error));
        }
        result
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
