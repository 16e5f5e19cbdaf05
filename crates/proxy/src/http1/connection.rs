//! A TCP connection with a receive buffer.

use super::{Body, Error, RequestHead, ResponseHead};
use futures_lite::{AsyncRead, AsyncWriteExt, future};
use lycheehub_budget::Room;
use lycheehub_clock::within;
use lycheehub_net::keep_alive;
use lycheehub_relay::FrameDecoder;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Maximum number of bytes per read.
pub(super) const READ_BYTES: usize = 16 * 1024;
/// Capacity that an empty receive buffer keeps, in bytes.
const EMPTY_BUFFER_BYTES: usize = 1_024;
/// Maximum number of header fields in a head.
const FIELDS_MAX: usize = 96;
/// Number of consecutive reads that complete immediately after which the task yields. Without it, a
/// peer that sends faster than its bytes are processed would starve all other tasks of the thread
/// and the timeouts of its own connection.
const CONSECUTIVE_READS_MAX: u32 = 8;
/// Time for which a caller may take to read the last response and to close its side, in milliseconds.
const LINGER_MS: u64 = 1_000;
/// Maximum number of bytes that are discarded meanwhile: several windows of a connection. A caller that
/// sends more does not read.
const LINGER_MAX_BYTES: usize = 1024 * 1024;
/// Interim response for a caller that sent `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Maximum size of a response head, in bytes.
const RESPONSE_HEAD_MAX_BYTES: usize = 32 * 1024;

thread_local! {
    /// Read buffer shared by all connections of a thread, since most of them are idle at any moment.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A connection to a caller or an endpoint.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    /// Number of received bytes that are consumed.
    used: usize,
    /// Number of consecutive reads that completed immediately.
    consecutive_reads: u32,
    /// Set if another instance relays the connection in frames.
    frames: Option<FrameDecoder>,
}

impl Connection {
    /// Wraps a stream from which nothing was read.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, received: Vec::new(), used: 0, consecutive_reads: 0, frames: None }
    }

    /// Wraps a stream to another instance that relays a connection.
    pub fn relayed(stream: TcpStream) -> Self {
        Self { frames: Some(FrameDecoder::default()), ..Self::new(stream) }
    }

    /// Returns whether another instance relays the connection.
    pub fn is_relayed(&self) -> bool {
        self.frames.is_some()
    }

    /// Returns another handle to the stream, for writing.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns the bytes that were received and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.received[self.used..]
    }

    /// Consumes `count` buffered bytes.
    pub fn consume(&mut self, count: usize) {
        self.used += count;
        if self.used == self.received.len() {
            self.received.clear();
            self.received.shrink_to(EMPTY_BUFFER_BYTES);
            self.used = 0;
        }
    }

    /// Receives more bytes into the buffer; returns 0 at the end of the stream. Cancel safe: no bytes
    /// are lost if the future is dropped.
    ///
    /// # Errors
    /// Fails on an I/O error.
    pub async fn fill(&mut self) -> Result<usize, Error> {
        if self.consecutive_reads >= CONSECUTIVE_READS_MAX {
            self.consecutive_reads = 0;
            future::yield_now().await;
        }
        Ok(future::poll_fn(|context| self.poll_fill(context)).await?)
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<usize>> {
        SCRATCH.with_borrow_mut(|scratch| {
            loop {
                if self.frames.is_some_and(|frames| frames.has_ended()) {
                    return Poll::Ready(Ok(0));
                }
                let read = Pin::new(&mut self.stream).poll_read(context, scratch);
                self.consecutive_reads =
                    if read.is_ready() { self.consecutive_reads + 1 } else { 0 };
                let count = ready!(read)?;
                self.received.drain(..self.used);
                self.used = 0;
                let length_before = self.received.len();
                let Some(frames) = &mut self.frames else {
                    self.received.extend_from_slice(&scratch[..count]);
                    return Poll::Ready(Ok(count));
                };
                frames.decode(&scratch[..count], &mut self.received);
                let received = self.received.len() - length_before;
                if received > 0 {
                    return Poll::Ready(Ok(received));
                }
                if count == 0 && !frames.has_ended() {
                    // The relay ended before the endpoint did.
                    return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
                }
            }
        })
    }

    /// Waits until the peer closes the connection. Bytes that arrive before are buffered, up to
    /// `max_bytes`; beyond that the close is not detected.
    pub async fn wait_closed(&mut self, max_bytes: usize) {
        while self.buffered().len() < max_bytes {
            if !matches!(self.fill().await, Ok(1..)) {
                return;
            }
        }
        future::pending().await
    }

    /// Makes the connection end if the peer's host does not confirm a request of this length.
    ///
    /// # Errors
    /// Fails if the connection has ended.
    pub fn require_confirmation(&self, request_bytes: usize) -> Result<(), Error> {
        Ok(keep_alive::require_confirmation(&self.stream, request_bytes)?)
    }

    /// Closes the sending side; what the peer still sends can be received.
    ///
    /// # Errors
    /// Fails on an I/O error.
    pub fn close_sending(&self) -> Result<(), Error> {
        Ok(self.stream.shutdown(Shutdown::Write)?)
    }

    /// Discards what the peer still sends until it closes its side, up to `max_bytes`.
    pub async fn discard_until_closed(&mut self, max_bytes: usize) {
        let mut discarded = self.buffered().len();
        self.consume(discarded);
        while discarded <= max_bytes {
            let Ok(received @ 1..) = self.fill().await else { return };
            self.consume(received);
            discarded += received;
        }
    }

    /// Closes the connection after its last response.
    ///
    /// Closing a connection with unread bytes resets it, and the caller may lose the response. Therefore
    /// the sending side is closed first, and what still arrives is discarded for a limited time.
    pub async fn close_gracefully(&mut self) {
        if let Err(error) = self.close_sending() {
            // The caller has closed or reset the connection already.
            return spdlog::debug!("connection not open any more", kv: { error: });
        }
        if within(LINGER_MS, self.discard_until_closed(LINGER_MAX_BYTES)).await.is_none() {
            spdlog::debug!("the caller kept its side of the connection open");
        }
    }

    /// Returns whether the connection is open and nothing was received since the last message.
    pub async fn is_idle(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return false;
        }
        let read = future::poll_fn(|context| self.poll_fill(context));
        future::poll_once(read).await.is_none()
    }

    /// Sends all of `bytes`.
    ///
    /// # Errors
    /// Fails on an I/O error.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Error> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Reads a request head.
    ///
    /// # Errors
    /// Fails if it is malformed or longer than `max_bytes`, or if the connection ends.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead, Error> {
        let mut skipped = 0;
        loop {
            skipped += self.skip_empty_lines();
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut parsed = httparse::Request::new(&mut fields);
            let status = parsed.parse(self.buffered()).map_err(|error| match error {
                httparse::Error::TooManyHeaders => Error::HeadTooLong,
                _ => Error::Malformed("request head"),
            })?;
            if let httparse::Status::Complete(length) = status {
                if length > max_bytes {
                    return Err(Error::HeadTooLong);
                }
                let head = RequestHead::new(&parsed)?;
                self.consume(length);
                return Ok(head);
            }
            if skipped + self.buffered().len() > max_bytes {
                return Err(Error::HeadTooLong);
            }
            self.receive_more().await?;
        }
    }

    /// Reads the body that follows a request head within a time, each part of it once there is `room`.
    ///
    /// # Errors
    /// Fails if the body is longer than `max_bytes`, truncated, malformed or late, or if there is no room
    /// for it.
    pub async fn read_request_body(
        &mut self,
        head: &RequestHead,
        max_bytes: usize,
        timeout_ms: u64,
        room: &Room,
    ) -> Result<Vec<u8>, Error> {
        if head.expects_continue() {
            self.send(CONTINUE_RESPONSE).await?;
        }
        let read = Body::new(head.framing).read_charged(self, max_bytes, room);
        within(timeout_ms, read).await.ok_or(Error::TimedOut)?
    }

    /// Reads a response head.
    ///
    /// # Errors
    /// Fails if it is malformed or too long, or if the connection ends.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, Error> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut parsed = httparse::Response::new(&mut fields);
            let status = parsed.parse(self.buffered());
            let status = status.map_err(|_| Error::Malformed("response head"))?;
            if let httparse::Status::Complete(length) = status {
                let head = ResponseHead::new(&parsed)?;
                self.consume(length);
                return Ok(head);
            }
            if self.buffered().len() > RESPONSE_HEAD_MAX_BYTES {
                return Err(Error::HeadTooLong);
            }
            self.receive_more().await?;
        }
    }

    /// Receives more bytes of a head; fails at the end of the stream.
    pub(super) async fn receive_more(&mut self) -> Result<(), Error> {
        let is_partial = !self.buffered().is_empty();
        match self.fill().await? {
            0 if is_partial => Err(Error::Truncated),
            0 => Err(Error::Closed),
            _ => Ok(()),
        }
    }

    /// Skips empty lines; returns the number of bytes skipped.
    fn skip_empty_lines(&mut self) -> usize {
        let empty = self.buffered().iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.consume(empty);
        empty
    }
}
