//! A connection with the bytes that were received and not yet used.

use super::{Error, RequestHead, ResponseHead};
use futures_lite::{AsyncRead, AsyncWriteExt, future};
use smol::net::TcpStream;
use std::cell::RefCell;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// How many bytes are read at once, at most.
const READ_BYTES: usize = 16 * 1024;
/// How much room an idle connection keeps for what it receives, in bytes.
const KEPT_BYTES: usize = 1_024;
/// How many header fields a head may have.
const FIELDS_MAX: usize = 96;
/// After how many reads that had something at once others get their turn: a peer that sends faster
/// than its bytes are used would keep the thread from all others, and from its own time limits.
const READS_IN_A_ROW: u32 = 8;
/// The longest head of an answer, in bytes.
const ANSWER_HEAD_MAX_BYTES: usize = 32 * 1024;

thread_local! {
    /// Where bytes are read to first: one for all connections of a thread, since most of them are
    /// idle at any moment.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    /// How many of the received bytes are used.
    used: usize,
    /// How many reads in a row had something at once.
    reads_in_a_row: u32,
}

impl Connection {
    /// Wraps a stream of which nothing was read.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, received: Vec::new(), used: 0, reads_in_a_row: 0 }
    }

    /// Returns another handle of the stream, for writing.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns the bytes that were received and not yet used.
    pub fn unused(&self) -> &[u8] {
        &self.received[self.used..]
    }

    /// Marks bytes as used.
    pub fn consume(&mut self, count: usize) {
        self.used += count;
        if self.used == self.received.len() {
            self.received.clear();
            self.received.shrink_to(KEPT_BYTES);
            self.used = 0;
        }
    }

    /// Receives more bytes; 0 at the end of the stream. Nothing is lost when it is dropped.
    ///
    /// # Errors
    /// Fails where the connection does.
    pub async fn fill(&mut self) -> Result<usize, Error> {
        if self.reads_in_a_row >= READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            future::yield_now().await;
        }
        Ok(future::poll_fn(|context| self.poll_fill(context)).await?)
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<usize>> {
        SCRATCH.with_borrow_mut(|scratch| {
            let read = Pin::new(&mut self.stream).poll_read(context, scratch);
            self.reads_in_a_row = if read.is_ready() { self.reads_in_a_row + 1 } else { 0 };
            let count = ready!(read)?;
            self.received.drain(..self.used);
            self.used = 0;
            self.received.extend_from_slice(&scratch[..count]);
            Poll::Ready(Ok(count))
        })
    }

    /// Waits until the peer has closed the connection, keeping what it sends before, up to
    /// `max_bytes`.
    pub async fn closed(&mut self, max_bytes: usize) {
        while self.unused().len() < max_bytes {
            if !matches!(self.fill().await, Ok(1..)) {
                return;
            }
        }
        future::pending().await
    }

    /// Tells whether the peer has sent nothing, nor closed, since the last message.
    pub async fn is_quiet(&mut self) -> bool {
        if !self.unused().is_empty() {
            return false;
        }
        let read = future::poll_fn(|context| self.poll_fill(context));
        future::poll_once(read).await.is_none()
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// Fails where the connection does.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Error> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// Fails where it is malformed or longer than `max_bytes`, and at the end of the connection.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead, Error> {
        let mut skipped = 0;
        loop {
            skipped += self.skip_empty_lines();
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut parsed = httparse::Request::new(&mut fields);
            let status = parsed.parse(self.unused()).map_err(|error| match error {
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
            if skipped + self.unused().len() > max_bytes {
                return Err(Error::HeadTooLong);
            }
            self.more().await?;
        }
    }

    /// Reads the head of an answer.
    ///
    /// # Errors
    /// Fails where it is malformed, and at the end of the connection.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, Error> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut parsed = httparse::Response::new(&mut fields);
            let status = parsed.parse(self.unused());
            let status = status.map_err(|_| Error::Malformed("response head"))?;
            if let httparse::Status::Complete(length) = status {
                let head = ResponseHead::new(&parsed)?;
                self.consume(length);
                return Ok(head);
            }
            if self.unused().len() > ANSWER_HEAD_MAX_BYTES {
                return Err(Error::HeadTooLong);
            }
            self.more().await?;
        }
    }

    /// Receives more of a message.
    pub(super) async fn more(&mut self) -> Result<(), Error> {
        let had_some = !self.unused().is_empty();
        match self.fill().await? {
            0 if had_some => Err(Error::Cut),
            0 => Err(Error::Closed),
            _ => Ok(()),
        }
    }

    /// Skips empty lines; returns how many bytes they had.
    fn skip_empty_lines(&mut self) -> usize {
        let empty = self.unused().iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.consume(empty);
        empty
    }
}
