//! The stream of a caller's connection.

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

/// A stream that remembers whether anything was received on it.
#[derive(Clone, Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    received: Arc<AtomicBool>,
}

impl CallerStream {
    /// Wraps a stream before a request.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream, received: Arc::default() }
    }

    /// Returns whether anything was received since this was created.
    pub(super) fn has_received(&self) -> bool {
        self.received.load(Ordering::Relaxed)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(1..))) {
            self.received.store(true, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
