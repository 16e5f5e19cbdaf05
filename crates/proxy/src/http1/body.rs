//! Bodies: read piece by piece, without the bytes that frame them.

use super::{Connection, Error};

/// The longest line with a chunk's length, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 256;
/// The longest trailer, in bytes.
const TRAILER_MAX_BYTES: usize = 8 * 1024;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// This many bytes of the body follow, and then its end.
    Rest(u64),
    /// The line with a chunk's length follows.
    ChunkLine,
    /// This many bytes of a chunk follow.
    Chunk(u64),
    /// The line end after a chunk follows.
    ChunkEnd,
    /// The trailer follows, of which so many bytes were read.
    Trailer(usize),
    /// All up to the end of the connection.
    UntilClose,
    /// Nothing.
    End,
}

/// A body that is being read.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    place: Place,
}

impl Body {
    /// Begins to read a body.
    pub fn new(framing: Framing) -> Self {
        let place = match framing {
            Framing::Length(0) => Place::End,
            Framing::Length(length) => Place::Rest(length),
            Framing::Chunked => Place::ChunkLine,
            Framing::UntilClose => Place::UntilClose,
        };
        Self { place }
    }

    /// Tells whether the body was read to its end.
    pub fn is_at_end(&self) -> bool {
        self.place == Place::End
    }

    /// Appends the next piece to `out`; tells whether there was one, or the body is at its end.
    /// Nothing is lost when it is dropped.
    ///
    /// # Errors
    /// Fails where the body is cut off or malformed.
    pub async fn next(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
    ) -> Result<bool, Error> {
        let had = out.len();
        loop {
            if self.step(connection, out)? {
                continue;
            }
            if out.len() > had {
                return Ok(true);
            }
            if self.place == Place::End {
                return Ok(false);
            }
            match connection.fill().await? {
                0 if self.place == Place::UntilClose => self.place = Place::End,
                0 => return Err(Error::Cut),
                _ => {}
            }
        }
    }

    /// Reads a whole body of at most `max_bytes`.
    ///
    /// # Errors
    /// Fails where the body is longer, cut off or malformed.
    pub async fn read_whole(
        mut self,
        connection: &mut Connection,
        max_bytes: usize,
    ) -> Result<Vec<u8>, Error> {
        if matches!(self.place, Place::Rest(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let mut whole = Vec::new();
        while self.next(connection, &mut whole).await? {
            if whole.len() > max_bytes {
                return Err(Error::BodyTooLong);
            }
        }
        Ok(whole)
    }

    /// Uses received bytes up to the next border; tells whether the place changed without a piece.
    fn step(&mut self, connection: &mut Connection, out: &mut Vec<u8>) -> Result<bool, Error> {
        match self.place {
            Place::End => Ok(false),
            Place::Rest(left) => {
                let left = left - take(connection, left, out);
                self.place = if left == 0 { Place::End } else { Place::Rest(left) };
                Ok(false)
            }
            Place::UntilClose => {
                take(connection, u64::MAX, out);
                Ok(false)
            }
            Place::Chunk(left) => {
                let taken = take(connection, left, out);
                self.place =
                    if taken == left { Place::ChunkEnd } else { Place::Chunk(left - taken) };
                Ok(taken == left)
            }
            Place::ChunkLine => self.chunk_line(connection),
            Place::ChunkEnd => self.chunk_end(connection),
            Place::Trailer(read) => self.trailer(connection, read),
        }
    }

    fn chunk_line(&mut self, connection: &mut Connection) -> Result<bool, Error> {
        let Some(line) = line(connection.unused(), CHUNK_LINE_MAX_BYTES)? else { return Ok(false) };
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let is_number =
            (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
        let length = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        let length = length.ok_or(Error::Malformed("chunk length"))?;
        let used = line.len() + 2;
        connection.consume(used);
        self.place = if length == 0 { Place::Trailer(0) } else { Place::Chunk(length) };
        Ok(true)
    }

    fn chunk_end(&mut self, connection: &mut Connection) -> Result<bool, Error> {
        let Some(bytes) = connection.unused().get(..2) else { return Ok(false) };
        if bytes != b"\r\n" {
            return Err(Error::Malformed("chunk end"));
        }
        connection.consume(2);
        self.place = Place::ChunkLine;
        Ok(true)
    }

    fn trailer(&mut self, connection: &mut Connection, read: usize) -> Result<bool, Error> {
        let max_bytes = TRAILER_MAX_BYTES - read;
        let Some(line) = line(connection.unused(), max_bytes)? else { return Ok(false) };
        let is_last = line.is_empty();
        let used = line.len() + 2;
        connection.consume(used);
        self.place = if is_last { Place::End } else { Place::Trailer(read + used) };
        Ok(!is_last)
    }
}

/// Moves up to `most` received bytes to `out`; returns how many.
fn take(connection: &mut Connection, most: u64, out: &mut Vec<u8>) -> u64 {
    let unused = connection.unused();
    let count = unused.len().min(usize::try_from(most).unwrap_or(usize::MAX));
    out.extend_from_slice(&unused[..count]);
    connection.consume(count);
    count as u64
}

/// Returns the first line without its end; nothing where it is not there yet.
fn line(bytes: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, Error> {
    let Some(end) = bytes.iter().take(max_bytes).position(|byte| *byte == b'\n') else {
        if bytes.len() >= max_bytes {
            return Err(Error::Malformed("line too long"));
        }
        return Ok(None);
    };
    let line = bytes[..end].strip_suffix(b"\r");
    line.map(Some).ok_or(Error::Malformed("line end"))
}
