//! TCP stream with a write timeout.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use super::Counters;

/// TCP stream whose writes and flushes fail if they make no progress within a timeout. Without the
/// timeout, a client that does not read its response would occupy a connection and the memory of
/// the response forever, and block a shutdown.
#[derive(Debug)]
pub(super) struct WriteTimeoutStream {
    stream: TcpStream,
    timeout: Duration,
    /// Running while a write or flush is pending.
    stall_timer: Option<Timer>,
    counters: Arc<Counters>,
}

impl WriteTimeoutStream {
    pub(super) fn new(stream: TcpStream, timeout: Duration, counters: Arc<Counters>) -> Self {
        Self {
            stream,
            timeout,
            stall_timer: None,
            counters,
        }
    }

    fn enforce_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.stall_timer = None;
            return progress;
        }
        let timeout = self.timeout;
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Timer::after(timeout));
        ready!(timer.poll(context));
        self.stall_timer = None;
        self.counters.write_timeouts.increment();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.enforce_timeout(context, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.enforce_timeout(context, progress)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.enforce_timeout(context, progress)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
