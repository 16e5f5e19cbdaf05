//! Counts the bytes sent on connections between instances.

use smol::io::AsyncWrite;
use smol::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The write half of a connection, which counts the bytes written.
pub(crate) struct CountingWriter(pub(crate) TcpStream);

impl AsyncWrite for CountingWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = std::task::ready!(Pin::new(&mut self.0).poll_write(context, bytes))?;
        metrics::counter!("lycheehub_peer_sent_bytes_total").increment(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(context)
    }
}
