//! Checksummed records: a header with the payload's length and two checksums, then the payload.

const HEADER_BYTES: usize = 12;
/// As many zeros in a row as no record holds: lengths have at most three, and checksums four.
const HOLE_BYTES: usize = 9;

/// The result of reading one record.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Read<'a> {
    /// The payload, and where the next record starts.
    Record(&'a [u8], usize),
    /// The bytes end before the record does.
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
/// A record that is complete but wrong counts as damage, unless parts of it were never written:
/// those read as zeros, and no whole record follows, since each write waits for the one before.
pub(super) fn read(bytes: &[u8], offset: usize) -> Read<'_> {
    match read_strictly(bytes, offset) {
        Read::Corrupt(_) if is_unwritten(bytes, offset) => Read::Torn,
        read => read,
    }
}

/// Tells whether what begins at `offset` is the last write, of which a part is missing.
fn is_unwritten(bytes: &[u8], offset: usize) -> bool {
    let rest = &bytes[offset..];
    let has_hole = rest.windows(HOLE_BYTES).any(|window| window.iter().all(|byte| *byte == 0));
    let is_whole = |at: &usize| matches!(read_strictly(bytes, *at), Read::Record(..));
    has_hole && !(offset + 1..bytes.len()).any(|at| is_whole(&at))
}

fn read_strictly(bytes: &[u8], offset: usize) -> Read<'_> {
    let rest = &bytes[offset..];
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Read::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
    if crc32fast::hash(&rest[..4]) != word(4) {
        return Read::Corrupt("the length's checksum differs");
    }
    let end = HEADER_BYTES + word(0) as usize;
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return Read::Torn;
    };
    if crc32fast::hash(payload) != word(8) {
        return Read::Corrupt("the content's checksum differs");
    }
    Read::Record(payload, offset + end)
}
