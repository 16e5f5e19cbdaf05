//! Checksummed records: a header with the payload length, a checksum of the length and a checksum of
//! the payload, then the payload.

const HEADER_BYTES: usize = 12;
/// The length of a run of zeros that marks unwritten bytes. No record is expected to hold such a run,
/// since a length has at most 3 zero bytes and a checksum at most 4.
const HOLE_BYTES: usize = 9;

/// The result of reading one record.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Read<'a> {
    /// The payload and the offset of the next record.
    Record(&'a [u8], usize),
    /// The record is incomplete.
    Torn,
    /// The record is damaged.
    Corrupt(&'static str),
}

/// Appends a record with `payload` to `out`.
pub(super) fn write(out: &mut Vec<u8>, payload: &[u8]) {
    let length = (payload.len() as u32).to_le_bytes();
    out.extend(length);
    out.extend(crc32fast::hash(&length).to_le_bytes());
    out.extend(crc32fast::hash(payload).to_le_bytes());
    out.extend(payload);
}

/// Reads the record at `offset`.
///
/// A record that fails a checksum is corrupt, unless it is a torn write: its unwritten parts read as
/// zeros, and no valid record follows, since each write waits until the previous one is durable.
pub(super) fn read(bytes: &[u8], offset: usize) -> Read<'_> {
    match read_strictly(bytes, offset) {
        Read::Corrupt(_) if is_torn_write(bytes, offset) => Read::Torn,
        read => read,
    }
}

/// Returns true if the bytes from `offset` on are the last write and a part of it is missing.
fn is_torn_write(bytes: &[u8], offset: usize) -> bool {
    let rest = &bytes[offset..];
    let has_hole = rest.windows(HOLE_BYTES).any(|window| window.iter().all(|byte| *byte == 0));
    let is_valid = |at: &usize| matches!(read_strictly(bytes, *at), Read::Record(..));
    has_hole && !(offset + 1..bytes.len()).any(|at| is_valid(&at))
}

fn read_strictly(bytes: &[u8], offset: usize) -> Read<'_> {
    let rest = &bytes[offset..];
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Read::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
    if crc32fast::hash(&rest[..4]) != word(4) {
        return Read::Corrupt("length checksum mismatch");
    }
    let end = HEADER_BYTES + word(0) as usize;
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return Read::Torn;
    };
    if crc32fast::hash(payload) != word(8) {
        return Read::Corrupt("payload checksum mismatch");
    }
    Read::Record(payload, offset + end)
}
