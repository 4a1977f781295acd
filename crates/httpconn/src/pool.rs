//! A pool of idle connections by address, and the exchange of requests and answers over them.

use crate::socket::set_stream_options;
use bytes::Bytes;
use crocusyard_base::http_status::is_final_status;
use crocusyard_base::prelude::*;
use crocusyard_intake::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest time for a connection to become ready for the next request after a complete answer.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest head of an answer, bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest body that is collected, bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Memory for the bodies that a pool without a budget of its process collects at a time, bytes; the
/// smallest hosts have 120 MB.
const MAX_COLLECTED_BYTES: usize = 32 * 1024 * 1024;
/// Longest wait of one body for room in the memory budget; answers that are waiting for slow callers are given up
/// after 15 s at most.
const ROOM_TIMEOUT: ClockTime = ClockTime::from_secs(2);

/// Failure to send a request or to receive its answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("no connection could be opened: {reason}"))]
    NoConnection {
        /// Error of the operating system or of the handshake.
        reason: String,
    },
    /// This process has no connection left, and none that is idle; nothing was sent.
    #[snafu(display("{open} connections are open, which is the limit"))]
    NoSlot {
        /// Number of open connections.
        open: usize,
    },
    /// The connection closed before the request was written, or was not used; nothing was sent.
    #[snafu(display("the request was not sent: {reason}"))]
    Unsent {
        /// Why nothing was written.
        reason: String,
    },
    /// The request was written, at least in part, and no complete answer arrived.
    #[snafu(display("no complete answer arrived: {reason}"))]
    Lost {
        /// Error of the HTTP library.
        reason: String,
        /// Whether bytes arrived that are not a valid HTTP answer, or more than an answer may have.
        malformed: bool,
    },
    /// The peer answers, and this process has no memory for the answer.
    #[snafu(display("no memory is left for the answer"))]
    NoRoom,
}

impl SendError {
    /// Returns whether the peer cannot have seen the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::Lost { .. } | Self::NoRoom)
    }

    /// Returns whether the peer sent bytes that are no valid answer, rather than breaking off.
    pub fn is_malformed(&self) -> bool {
        matches!(
            self,
            Self::Lost {
                malformed: true,
                ..
            }
        )
    }
}

/// Returns whether an error means that the peer sent bytes that are no valid answer, rather than
/// breaking off. Within a body, the HTTP library reports them as invalid input or data.
pub fn is_malformed(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let kind = source
        .and_then(|source| source.downcast_ref::<io::Error>())
        .map(io::Error::kind);
    error.is_parse()
        || matches!(
            kind,
            Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData)
        )
}

/// Limits on the connections of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Longest time for opening a connection.
    pub connect_timeout: Duration,
    /// Longest time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Largest number of idle connections kept for one address.
    pub max_idle: usize,
}

/// An open connection; dropping it closes the socket.
struct OpenConn {
    sender: SendRequest<Full<Bytes>>,
    /// Task that reads from and writes to the socket.
    driver: JoinHandle<()>,
    /// When the last answer was complete, or when the connection was opened.
    idle_since: Instant,
}

impl Drop for OpenConn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Default)]
struct PoolState {
    idle: HashMap<SocketAddr, Vec<OpenConn>>,
    /// Number of connections that were opened, including failed attempts.
    opened: u64,
    /// Number of connections that are open, idle ones included.
    open: usize,
}

/// Counts an open connection until it is dropped with its socket.
struct OpenCount(Rc<RefCell<PoolState>>);

impl OpenCount {
    fn new(state: Rc<RefCell<PoolState>>) -> Self {
        state.borrow_mut().open += 1;
        Self(state)
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.borrow_mut().open -= 1;
    }
}

/// Pool of idle connections; clones share it.
#[derive(Clone)]
pub struct ConnPool {
    limits: PoolLimits,
    /// Largest number of open connections.
    max_open: usize,
    /// Memory for the bodies that are collected.
    budget: IntakeBudget,
    state: Rc<RefCell<PoolState>>,
}

/// Connection that was acquired from a pool for one request; dropping it closes the socket.
pub struct PooledConn {
    conn: OpenConn,
    address: SocketAddr,
    pool: ConnPool,
    /// Whether the connection has carried a request before.
    pub reused: bool,
    /// Whether the peer closes the connection after the present answer.
    closing: bool,
}

impl ConnPool {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        let budget = IntakeBudget::new(IntakeLimits {
            total_bytes: MAX_COLLECTED_BYTES,
            small_reserve_bytes: 0,
            ..IntakeLimits::for_memory(0)
        });
        Self {
            limits,
            max_open: usize::MAX,
            budget,
            state: Rc::default(),
        }
    }

    /// Charges the bodies that are collected to the budget of the process.
    #[must_use]
    pub fn with_budget(mut self, budget: IntakeBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Limits the number of open connections.
    #[must_use]
    pub fn with_max_open(mut self, max_open: usize) -> Self {
        self.max_open = max_open;
        self
    }

    /// Returns the number of connections opened so far, including failed attempts.
    pub fn opened_count(&self) -> u64 {
        self.state.borrow().opened
    }

    /// Returns the charge of the bodies that are being collected or in use, bytes.
    pub fn collected_bytes(&self) -> usize {
        self.budget.counts().held_bytes
    }

    /// Closes an idle connection if no further one may be opened; fails if there is none.
    fn make_room(&self) -> Result<(), SendError> {
        let mut state = self.state.borrow_mut();
        if state.open < self.max_open {
            return Ok(());
        }
        let oldest = state.idle.iter().filter(|(_, conns)| !conns.is_empty());
        let oldest = oldest.min_by_key(|(_, conns)| conns[0].idle_since);
        let Some(address) = oldest.map(|(address, _)| *address) else {
            return Err(SendError::NoSlot { open: state.open });
        };
        let closed = state.idle.get_mut(&address).map(|conns| conns.remove(0));
        // A connection that is dropped changes the state.
        drop(state);
        drop(closed);
        Ok(())
    }

    /// Returns the idle connection that was used last, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if no connection could be opened in time.
    pub async fn acquire(&self, address: SocketAddr) -> Result<PooledConn, SendError> {
        if let Some(conn) = self.acquire_idle(address) {
            return Ok(conn);
        }
        self.open(address).await
    }

    /// Returns a usable idle connection, if there is one, and closes unusable ones on the way.
    fn acquire_idle(&self, address: SocketAddr) -> Option<PooledConn> {
        let mut state = self.state.borrow_mut();
        let idle = state.idle.get_mut(&address)?;
        while let Some(conn) = idle.pop() {
            let fresh = conn.idle_since.elapsed() < self.limits.idle_timeout;
            if fresh && !conn.sender.is_closed() && conn.sender.is_ready() {
                return Some(PooledConn {
                    conn,
                    address,
                    pool: self.clone(),
                    reused: true,
                    closing: false,
                });
            }
        }
        None
    }

    /// Opens a new connection, whether or not there is an idle one.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses or does not answer in time.
    pub async fn open(&self, address: SocketAddr) -> Result<PooledConn, SendError> {
        let no_connection = |reason: String| SendError::NoConnection { reason };
        self.make_room()?;
        self.state.borrow_mut().opened += 1;
        let counted = OpenCount::new(self.state.clone());
        let stream = timeout(self.limits.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| no_connection("timed out".to_owned()))?
            .map_err(|error| no_connection(error.to_string()))?;
        set_stream_options(&stream).map_err(|error| no_connection(error.to_string()))?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| no_connection(error.to_string()))?;
        let driver = actix_rt::spawn(async move {
            let _counted = counted;
            // The error is also returned to the task that waits for the answer.
            let _ = driver.await;
        });
        Ok(PooledConn {
            conn: OpenConn {
                sender,
                driver,
                idle_since: Instant::now(),
            },
            address,
            pool: self.clone(),
            reused: false,
            closing: false,
        })
    }

    /// Closes the idle connections to an address. After a call without an answer, others that were
    /// open at that time may be silent as well.
    pub fn close_idle(&self, address: SocketAddr) {
        self.state.borrow_mut().idle.remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        let limit = self.limits.idle_timeout;
        let mut state = self.state.borrow_mut();
        state.idle.retain(|_, conns| {
            conns.retain(|conn| !conn.sender.is_closed() && conn.idle_since.elapsed() < limit);
            !conns.is_empty()
        });
    }
}

impl PooledConn {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The error shows whether the request was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if let Err(error) = self.conn.sender.ready().await {
            return Err(SendError::Unsent {
                reason: error.to_string(),
            });
        }
        let answer = self.conn.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let error = error.into_error();
            let reason = error.to_string();
            if unsent {
                SendError::Unsent { reason }
            } else {
                SendError::Lost {
                    reason,
                    malformed: is_malformed(&error),
                }
            }
        })?;
        let status = answer.status().as_u16();
        if !is_final_status(status) {
            return Err(SendError::Lost {
                reason: format!("{status} is no status of a final answer"),
                malformed: true,
            });
        }
        Ok(answer)
    }

    /// Sends a request, reads the complete answer and returns the connection to its pool.
    ///
    /// # Errors
    ///
    /// The error shows whether the request was written.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let answer = self.send(request).await?;
        let status = answer.status();
        let body = self.read_body(answer.into_body()).await?;
        self.release().await;
        Ok((status, body))
    }

    /// Reads the body of an answer on this connection to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut off or too long.
    pub async fn read_body(&self, mut body: Incoming) -> Result<Bytes, SendError> {
        let announced = body.size_hint().exact().unwrap_or(0);
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > MAX_BODY_BYTES {
            return Err(too_long(announced));
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let budget = &self.pool.budget;
        // The budget compares no times of charges of this kind.
        let start = Instant::now();
        let clock = || ClockTime::from_ms(start.elapsed().as_millis() as u64);
        let no_room = |_| SendError::NoRoom;
        let mut wait = RoomWait::new(ROOM_TIMEOUT);
        let open = |now| BodyIntake::open(budget, IntakeUse::Held, announced, now);
        let mut intake = wait.retry(clock, open).await.map_err(no_room)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| SendError::Lost {
                reason: error.to_string(),
                malformed: is_malformed(&error),
            })?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let length = intake.len() + data.len();
            if length > MAX_BODY_BYTES {
                return Err(too_long(length));
            }
            let pushed = wait.retry(clock, |now| intake.push(data, now)).await;
            pushed.map_err(no_room)?;
        }
        intake.finish().map_err(no_room)
    }

    /// Records that the peer closes the connection after this answer, so that it is not reused.
    pub fn close_after_answer(&mut self) {
        self.closing = true;
    }

    /// Returns the connection to the pool after a complete answer.
    pub async fn release(mut self) {
        if self.closing {
            return;
        }
        let limit = self.pool.limits.max_idle;
        // Unread bytes after the answer make the connection fail here instead of at its next use.
        let ready = timeout(READY_TIMEOUT, self.conn.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        self.conn.idle_since = Instant::now();
        let pool = self.pool.clone();
        let mut state = pool.state.borrow_mut();
        let idle = state.idle.entry(self.address).or_default();
        if idle.len() < limit {
            idle.push(self.conn);
        }
    }
}

fn too_long(length: usize) -> SendError {
    SendError::Lost {
        reason: format!("the body is too long: {length} bytes"),
        malformed: true,
    }
}
