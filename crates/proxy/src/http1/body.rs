//! Reads message bodies incrementally and removes their framing.

use super::connection::READ_BYTES;
use super::{Connection, Error};
use lycheehub_budget::Room;

/// Maximum length of a chunk size line, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 256;
/// Maximum length of the trailer section, in bytes.
const TRAILER_MAX_BYTES: usize = 8 * 1024;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length` framing: this many bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of the body remain.
    Rest(u64),
    /// A chunk size line follows.
    ChunkLine,
    /// This many bytes of the current chunk remain.
    Chunk(u64),
    /// The CRLF after a chunk follows.
    ChunkEnd,
    /// The trailer section, of which this many bytes have been read.
    Trailer(usize),
    /// Everything until the connection closes.
    UntilClose,
    /// The body is complete.
    End,
}

/// Reader of a message body.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    state: State,
}

impl Body {
    /// Creates a reader for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::End,
            Framing::Length(length) => State::Rest(length),
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body was read completely.
    pub fn is_at_end(&self) -> bool {
        self.state == State::End
    }

    /// Appends the next bytes of the body to `out`; returns false at the end of the body. Cancel safe:
    /// no bytes are lost if the future is dropped.
    ///
    /// # Errors
    /// Fails if the body is truncated or malformed.
    pub async fn next(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
    ) -> Result<bool, Error> {
        let length_before = out.len();
        loop {
            if self.step(connection, out)? {
                continue;
            }
            if out.len() > length_before {
                return Ok(true);
            }
            if self.state == State::End {
                return Ok(false);
            }
            match connection.fill().await? {
                0 if self.state == State::UntilClose => self.state = State::End,
                0 => return Err(Error::Truncated),
                _ => {}
            }
        }
    }

    /// Reads a complete body of at most `max_bytes`.
    ///
    /// # Errors
    /// Fails if the body is longer, truncated or malformed.
    pub async fn read_whole(
        mut self,
        connection: &mut Connection,
        max_bytes: usize,
    ) -> Result<Vec<u8>, Error> {
        if matches!(self.state, State::Rest(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let mut body = Vec::new();
        while self.next(connection, &mut body).await? {
            if body.len() > max_bytes {
                return Err(Error::BodyTooLong);
            }
        }
        Ok(body)
    }

    /// Reads a complete body of at most `max_bytes`, each part of it once there is `room`.
    ///
    /// # Errors
    /// Fails if the body is longer, truncated or malformed, or if there is no room for it.
    pub async fn read_charged(
        self,
        connection: &mut Connection,
        max_bytes: usize,
        room: &Room,
    ) -> Result<Vec<u8>, Error> {
        let most_bytes = match self.state {
            State::Rest(length) if length > max_bytes as u64 => return Err(Error::BodyTooLong),
            State::Rest(length) => length,
            _ => max_bytes as u64,
        };
        room.receive(self.read_parts(connection, most_bytes, room)).await?
    }

    async fn read_parts(
        mut self,
        connection: &mut Connection,
        most_bytes: u64,
        room: &Room,
    ) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        loop {
            let next_bytes = (body.len() + READ_BYTES) as u64;
            room.hold(next_bytes.min(most_bytes), most_bytes).await?;
            if !self.next(connection, &mut body).await? {
                return Ok(body);
            }
            if body.len() as u64 > most_bytes {
                return Err(Error::BodyTooLong);
            }
        }
    }

    /// Consumes buffered bytes up to the next state change; returns whether to call it again at once.
    fn step(&mut self, connection: &mut Connection, out: &mut Vec<u8>) -> Result<bool, Error> {
        match self.state {
            State::End => Ok(false),
            State::Rest(left) => {
                let left = left - take_buffered(connection, left, out);
                self.state = if left == 0 { State::End } else { State::Rest(left) };
                Ok(false)
            }
            State::UntilClose => {
                take_buffered(connection, u64::MAX, out);
                Ok(false)
            }
            State::Chunk(left) => {
                let taken = take_buffered(connection, left, out);
                self.state =
                    if taken == left { State::ChunkEnd } else { State::Chunk(left - taken) };
                Ok(taken == left)
            }
            State::ChunkLine => self.chunk_line(connection),
            State::ChunkEnd => self.chunk_end(connection),
            State::Trailer(read) => self.trailer(connection, read),
        }
    }

    fn chunk_line(&mut self, connection: &mut Connection) -> Result<bool, Error> {
        let Some(line) = first_line(connection.buffered(), CHUNK_LINE_MAX_BYTES)? else {
            return Ok(false);
        };
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let is_number =
            (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
        let length = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        let length = length.ok_or(Error::Malformed("chunk length"))?;
        let used = line.len() + 2;
        connection.consume(used);
        self.state = if length == 0 { State::Trailer(0) } else { State::Chunk(length) };
        Ok(true)
    }

    fn chunk_end(&mut self, connection: &mut Connection) -> Result<bool, Error> {
        let Some(bytes) = connection.buffered().get(..2) else { return Ok(false) };
        if bytes != b"\r\n" {
            return Err(Error::Malformed("chunk end"));
        }
        connection.consume(2);
        self.state = State::ChunkLine;
        Ok(true)
    }

    fn trailer(&mut self, connection: &mut Connection, read: usize) -> Result<bool, Error> {
        let max_bytes = TRAILER_MAX_BYTES - read;
        let Some(line) = first_line(connection.buffered(), max_bytes)? else { return Ok(false) };
        let is_last_attempt = line.is_empty();
        let used = line.len() + 2;
        connection.consume(used);
        self.state = if is_last_attempt { State::End } else { State::Trailer(read + used) };
        Ok(!is_last_attempt)
    }
}

/// Moves up to `max` buffered bytes to `out`; returns how many.
fn take_buffered(connection: &mut Connection, max: u64, out: &mut Vec<u8>) -> u64 {
    let buffered = connection.buffered();
    let count = buffered.len().min(usize::try_from(max).unwrap_or(usize::MAX));
    out.extend_from_slice(&buffered[..count]);
    connection.consume(count);
    count as u64
}

/// Returns the first line without its CRLF, or `None` if it is incomplete.
fn first_line(bytes: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, Error> {
    let Some(end) = bytes.iter().take(max_bytes).position(|byte| *byte == b'\n') else {
        if bytes.len() >= max_bytes {
            return Err(Error::Malformed("line too long"));
        }
        return Ok(None);
    };
    let line = bytes[..end].strip_suffix(b"\r");
    line.map(Some).ok_or(Error::Malformed("line end"))
}
