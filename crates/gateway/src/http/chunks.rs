//! Finds the end of a body in chunks. Whether the chunks are well formed is for their decoder to say.

/// Length of an incomplete trailer section from which on it is handed out, in bytes.
const TRAILER_HELD_MAX_BYTES: usize = 4 * 1024;

/// What follows in a body in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Chunks {
    /// The rest of a line with the length of a chunk; `is_digits` until something else follows the digits.
    Line { length: usize, is_digits: bool },
    /// The data of a chunk, of which this many bytes remain.
    Data(usize),
    /// The end of the line after the data.
    DataEnd,
    /// The trailer section; whether its current line is empty so far.
    Trailer { is_empty: bool },
    /// Nothing: the body is complete.
    End,
}

impl Chunks {
    /// The beginning of a body.
    pub(super) const BEGIN: Self = Self::Line { length: 0, is_digits: true };

    /// Returns how many of `bytes` belong to the body, and advances past them. A trailer section is counted
    /// when it is complete: the decoder stops reading for good at a part of one.
    pub(super) fn count(&mut self, bytes: &[u8]) -> usize {
        let before_trailer = self.advance(bytes, |state| !state.is_trailer());
        let mut after = *self;
        let trailer = after.advance(&bytes[before_trailer..], |_| true);
        let is_held = after.is_trailer() && trailer < TRAILER_HELD_MAX_BYTES;
        if is_held {
            return before_trailer;
        }
        *self = after;
        before_trailer + trailer
    }

    fn is_trailer(self) -> bool {
        matches!(self, Self::Trailer { .. })
    }

    /// Advances past `bytes` while `goes_on` holds and the body is not complete; returns how many were passed.
    fn advance(&mut self, bytes: &[u8], goes_on: impl Fn(Self) -> bool) -> usize {
        let mut count = 0;
        while *self != Self::End && goes_on(*self) && count < bytes.len() {
            if let Self::Data(left) = *self {
                let taken = left.min(bytes.len() - count);
                count += taken;
                *self = if taken == left { Self::DataEnd } else { Self::Data(left - taken) };
            } else {
                *self = self.after(bytes[count]);
                count += 1;
            }
        }
        count
    }

    /// Returns what follows after a byte that is no data.
    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Line { length: 0, .. }, b'\n') => Self::Trailer { is_empty: true },
            (Self::Line { length, .. }, b'\n') => Self::Data(length),
            (Self::Line { length, is_digits: true }, _) if byte.is_ascii_hexdigit() => {
                let digit = (byte as char).to_digit(16).unwrap_or_default() as usize;
                let length = length.saturating_mul(16).saturating_add(digit);
                Self::Line { length, is_digits: true }
            }
            (Self::Line { length, .. }, _) => Self::Line { length, is_digits: false },
            (Self::DataEnd, b'\n') => Self::BEGIN,
            (Self::Trailer { is_empty: true }, b'\n') => Self::End,
            (Self::Trailer { .. }, b'\n') => Self::Trailer { is_empty: true },
            (Self::Trailer { .. }, b'\r') => self,
            (Self::Trailer { .. }, _) => Self::Trailer { is_empty: false },
            _ => self,
        }
    }
}
