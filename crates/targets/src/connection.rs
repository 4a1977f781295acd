//! A connection to a target that reports its end as an error.
//!
//! `awc` takes the end of a connection as the end of the body, even if bytes of the stated length or
//! chunks are missing. All bodies that `awc` accepts state where they end, so a complete answer never
//! depends on the end of the connection.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP connection whose end is read as [`ErrorKind::UnexpectedEof`].
#[derive(Debug)]
pub(crate) struct TargetConnection(pub(crate) TcpStream);

impl AsyncRead for TargetConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let result = Pin::new(&mut self.0).poll_read(context, buffer);
        if has_room
            && matches!(result, Poll::Ready(Ok(())))
            && buffer.filled().len() == filled_before
        {
            return Poll::Ready(Err(Error::from(ErrorKind::UnexpectedEof)));
        }
        result
    }
}

impl AsyncWrite for TargetConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

impl ActixStream for TargetConnection {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
