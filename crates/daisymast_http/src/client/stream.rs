//! Socket of a connection that writes nothing of a request that has become too old.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use daisymast_types::time;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Time from which on a connection writes no more of its request.
#[derive(Clone, Debug)]
pub(super) struct SendLimit {
    /// In milliseconds of the client's clock.
    millis: Arc<AtomicU64>,
    clock: fn() -> time::Monotonic,
}

impl SendLimit {
    pub(super) fn new(clock: fn() -> time::Monotonic) -> Self {
        Self {
            millis: Arc::new(AtomicU64::new(u64::MAX)),
            clock,
        }
    }

    pub(super) fn set(&self, send_by: time::Monotonic) {
        self.millis.store(send_by.as_millis(), Ordering::Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        if (self.clock)().as_millis() < self.millis.load(Ordering::Relaxed) {
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "request is too old to be sent",
        ))
    }
}

/// A socket that checks the limit right before each write: the process may be paused or suspended
/// after the client has passed the request to the connection.
#[derive(Debug)]
pub(super) struct LimitedStream {
    pub(super) stream: TcpStream,
    pub(super) limit: SendLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.limit.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.limit.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
