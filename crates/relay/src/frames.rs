//! Marks the end of what an endpoint sends: each frame has a length of four bytes, and one of length 0
//! is the last.

/// The length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 4;

/// Returns the header of a frame with `length` bytes, or of the last one for 0.
pub fn header(length: usize) -> [u8; HEADER_BYTES] {
    (length as u32).to_be_bytes()
}

/// Removes the headers of frames.
///
/// # Examples
/// ```
/// use lycheehub_relay::frames::{FrameDecoder, header};
///
/// let mut decoder = FrameDecoder::default();
/// let mut out = Vec::new();
/// decoder.decode(&header(2), &mut out);
/// decoder.decode(b"ok", &mut out);
/// assert!(!decoder.has_ended());
/// decoder.decode(&header(0), &mut out);
/// assert!(out == b"ok" && decoder.has_ended());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameDecoder {
    header: [u8; HEADER_BYTES],
    header_bytes: usize,
    /// The bytes of the current frame that have not been received.
    left: usize,
    has_ended: bool,
}

impl FrameDecoder {
    /// Appends the content of received bytes to `out`. Bytes after the last frame are discarded.
    pub fn decode(&mut self, mut received: &[u8], out: &mut Vec<u8>) {
        while !received.is_empty() && !self.has_ended {
            if self.left > 0 {
                let (content, rest) = received.split_at(self.left.min(received.len()));
                out.extend_from_slice(content);
                self.left -= content.len();
                received = rest;
                continue;
            }
            self.header[self.header_bytes] = received[0];
            self.header_bytes += 1;
            received = &received[1..];
            if self.header_bytes == HEADER_BYTES {
                self.header_bytes = 0;
                self.left = u32::from_be_bytes(self.header) as usize;
                self.has_ended = self.left == 0;
            }
        }
    }

    /// Returns whether the last frame was received.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }
}
