//! Conversions between messages of the schema and the types of the other crates.

mod consensus;
mod crashes;
mod directory;
mod placement;
mod records;
mod replies;
mod reports;

pub use consensus::{read_message, write_config, write_message};
pub use crashes::{read_begun, read_quarantines, write_begun, write_quarantines};
pub use directory::{read_heard, read_listings, write_heard, write_listings};
pub use placement::{
    read_decision, read_finished, read_in_flight, read_job, read_limit_kind, read_limits,
    read_notice, read_usage, write_decision, write_finished, write_in_flight, write_job,
    write_limits, write_notice, write_usage,
};
pub use records::write_delta;
pub use replies::{write_kept_answer, write_propose_reply};
pub use reports::{write_report, write_report_reply};

use quick_error::quick_error;

quick_error! {
    /// Why a message cannot be decoded.
    #[derive(Debug)]
    pub enum WireError {
        /// The bytes are not a valid Cap'n Proto message.
        Encoding(cause: capnp::Error) {
            display("malformed message: {}", cause)
            source(cause)
            from()
        }
        /// A text is not UTF-8.
        Text(cause: std::str::Utf8Error) {
            display("text is not UTF-8: {}", cause)
            source(cause)
            from()
        }
        /// A union or enum has a variant that this version does not know.
        Unknown(number: u16) {
            display("unknown kind {}", number)
            from(kind: capnp::NotInSchema) -> (kind.0)
        }
        /// A rate is negative or not finite.
        Rate(per_s: f64) {
            display("not a rate: {}", per_s)
        }
        /// A sum is not finite, or beyond all use.
        Sum(value: f64) {
            display("not a sum: {}", value)
        }
        /// A number that only counts up is beyond all use.
        Count(value: u64) {
            display("count out of range: {}", value)
        }
    }
}

impl From<WireError> for capnp::Error {
    fn from(error: WireError) -> Self {
        Self::failed(error.to_string())
    }
}

/// Reads each element of a list that holds `what`. Those that cannot be read, as from a newer build, are
/// skipped and logged; the others are kept.
fn read_each<E, T>(
    what: &'static str,
    elements: impl IntoIterator<Item = E>,
    read: impl Fn(E) -> Result<T, WireError>,
) -> Vec<T> {
    let (mut read_elements, mut skipped) = (Vec::new(), 0_u64);
    let mut first_error = None;
    for element in elements {
        match read(element) {
            Ok(element) => read_elements.push(element),
            Err(error) => {
                skipped += 1;
                first_error.get_or_insert(error);
            }
        }
    }
    if let Some(error) = first_error {
        spdlog::warn!("elements of a peer's message skipped", kv: { what, skipped, error: });
    }
    read_elements
}

/// Returns a value that a peer sent, or `default`, logged, where the peer's build knows more values of
/// this kind than this one.
fn known_or<V, T: From<V>>(
    what: &'static str,
    value: Result<V, capnp::NotInSchema>,
    default: T,
) -> T {
    value.map(T::from).unwrap_or_else(|unknown| {
        spdlog::warn!("unknown value in a peer's message", kv: { what, number = unknown.0 });
        default
    })
}

fn text(reader: capnp::Result<capnp::text::Reader<'_>>) -> Result<&str, WireError> {
    Ok(reader?.to_str()?)
}

/// The highest count that a message can state. Counts go up by one, so that none gets there; the sum of
/// two, and of one and a few, does not overflow.
const COUNT_MAX: u64 = 1 << 62;

fn count(value: u64) -> Result<u64, WireError> {
    if value > COUNT_MAX { Err(WireError::Count(value)) } else { Ok(value) }
}

/// The longest time that a message can state, in milliseconds: three decades. A sum of such times and
/// the current time does not overflow.
const TIME_MAX_MS: u64 = 1_000_000_000_000;

fn bounded_ms(ms: u64) -> u64 {
    ms.min(TIME_MAX_MS)
}
