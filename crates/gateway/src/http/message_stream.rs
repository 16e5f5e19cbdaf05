//! A stream that hands out one message at a time.

use super::chunks::Chunks;
use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// The end of a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";
/// Maximum number of bytes per read.
const READ_BYTES: usize = 8 * 1024;
/// Time in milliseconds for which the rest of a body is received after the response, so that the connection
/// can be used again.
const DISCARD_MS: u64 = 1_000;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// After this many bytes.
    Length(usize),
    /// After its last chunk and the trailers.
    Chunked,
    /// With its connection.
    UntilClose,
}

/// Which part of a message is handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The head, of whose end this many bytes were handed out.
    Head(usize),
    /// The body, of which this many bytes remain.
    Body(usize),
    /// The body in chunks, which tell where it ends.
    Chunks(Chunks),
    /// The body, which ends with the connection.
    UntilClose,
}

#[derive(Debug)]
struct Received {
    /// Bytes that were received and not handed out.
    bytes: Vec<u8>,
    part: Part,
    /// When the first bytes of the current message were handed out.
    begun: Option<Instant>,
    /// Whether the request has its response, so that the rest of its body is only discarded.
    has_response: bool,
    /// Ends the wait for the rest of a body that is only discarded.
    discard_timer: Option<Timer>,
}

/// A stream that hands out one message at a time: bytes that were received behind it are kept for the next.
#[derive(Clone, Debug)]
pub(crate) struct MessageStream {
    stream: TcpStream,
    received: Arc<Mutex<Received>>,
}

impl MessageStream {
    /// Wraps the stream of a new connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let received = Received {
            bytes: Vec::new(),
            part: Part::Head(0),
            begun: None,
            has_response: false,
            discard_timer: None,
        };
        Self { stream, received: Arc::new(Mutex::new(received)) }
    }

    fn lock(&self) -> MutexGuard<'_, Received> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins with the head of the next message.
    pub(crate) fn begin_head(&self) {
        let mut received = self.lock();
        received.part = Part::Head(0);
        received.begun = None;
        received.has_response = false;
        received.discard_timer = None;
    }

    /// Returns whether the head was handed out completely, and nothing behind it.
    pub(crate) fn has_whole_head(&self) -> bool {
        let received = self.lock();
        matches!(received.part, Part::Head(_)) && received.is_at_end()
    }

    /// Continues with the body after a head.
    pub(crate) fn begin_body(&self, framing: Framing) {
        self.lock().part = match framing {
            Framing::Length(length) => Part::Body(length),
            Framing::Chunked => Part::Chunks(Chunks::BEGIN),
            Framing::UntilClose => Part::UntilClose,
        };
    }

    /// The request has its response: the rest of its body is waited for a limited time.
    pub(super) fn begin_response(&self) {
        self.lock().has_response = true;
    }

    /// Returns whether any bytes of the current message were received.
    pub(super) fn has_received(&self) -> bool {
        self.begun().is_some()
    }

    /// Returns when the first bytes of the current message were received.
    pub(super) fn begun(&self) -> Option<Instant> {
        self.lock().begun
    }

    /// Returns whether bytes were received that are not handed out.
    pub(crate) fn has_unread(&self) -> bool {
        !self.lock().bytes.is_empty()
    }

    /// Returns the stream.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl Received {
    /// Returns whether the time for the rest of a body that is only discarded has passed.
    fn poll_discard_timer(&mut self, context: &mut Context<'_>) -> bool {
        if !self.has_response {
            return false;
        }
        let new_timer = || Timer::after(Duration::from_millis(DISCARD_MS));
        let timer = self.discard_timer.get_or_insert_with(new_timer);
        Pin::new(timer).poll(context).is_ready()
    }

    /// Returns whether the current part was handed out completely.
    fn is_at_end(&self) -> bool {
        match self.part {
            Part::Head(matched) => matched == HEAD_END.len(),
            Part::Body(left) => left == 0,
            Part::Chunks(chunks) => chunks == Chunks::End,
            Part::UntilClose => false,
        }
    }

    /// Returns what a read at the end of the stream returns.
    fn end(&self) -> io::Result<usize> {
        match self.part {
            // The decoder takes trailers that do not come for none.
            Part::Chunks(_) => Err(io::ErrorKind::UnexpectedEof.into()),
            Part::Head(_) | Part::Body(_) | Part::UntilClose => Ok(0),
        }
    }

    /// Moves received bytes of the current part to `buffer`; returns how many.
    fn hand_out(&mut self, buffer: &mut [u8]) -> usize {
        let available = self.bytes.len().min(buffer.len());
        let count = match &mut self.part {
            Part::Head(matched) => count_of_head(&self.bytes[..available], matched),
            Part::Chunks(chunks) => chunks.count(&self.bytes[..available]),
            Part::UntilClose => available,
            Part::Body(left) => {
                let count = available.min(*left);
                *left -= count;
                count
            }
        };
        buffer[..count].copy_from_slice(&self.bytes[..count]);
        self.bytes.drain(..count);
        if count > 0 {
            self.begun.get_or_insert_with(Instant::now);
        }
        count
    }
}

/// Returns how many of `bytes` belong to the head, and updates how many bytes of its end were seen.
fn count_of_head(bytes: &[u8], matched: &mut usize) -> usize {
    for (position, byte) in bytes.iter().enumerate() {
        if *matched == HEAD_END.len() {
            return position;
        }
        *matched = match *byte == HEAD_END[*matched] {
            true => *matched + 1,
            false => usize::from(*byte == HEAD_END[0]),
        };
    }
    bytes.len()
}

impl AsyncRead for MessageStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            let handed_out = self.lock().hand_out(buffer);
            if handed_out > 0 || buffer.is_empty() || self.lock().is_at_end() {
                return Poll::Ready(Ok(handed_out));
            }
            if self.lock().poll_discard_timer(context) {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            let mut bytes = [0; READ_BYTES];
            let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut bytes))?;
            if count == 0 {
                return Poll::Ready(self.lock().end());
            }
            self.lock().bytes.extend_from_slice(&bytes[..count]);
        }
    }
}

impl AsyncWrite for MessageStream {
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
