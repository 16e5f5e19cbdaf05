//! Relays an endpoint's answer to the caller, whole or as it comes.

use super::endpoint::bounded;
use super::events::Events;
use crate::Gateway;
use crate::answers::AnswerBuffer;
use http_types::Response;
use lycheehub_types::PeerError;
use serde::Deserialize;
use smol::io::AsyncReadExt;

/// The bytes read from an endpoint at once.
const READ_BYTES: usize = 4 * 1024;
/// How long the end of a stream may take after its last event, in milliseconds.
const END_MS: u64 = 500;
/// The bytes of text that a token stands for, where an engine does not say how many there are.
const BYTES_PER_TOKEN: u64 = 4;

/// What came of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Progress {
    /// Tokens relayed.
    pub(super) tokens: u64,
    /// When the first token came, by the fine clock in milliseconds.
    pub(super) first_ms: Option<f64>,
    /// When the newest token came, by the fine clock in milliseconds.
    pub(super) last_ms: f64,
}

#[derive(Deserialize)]
struct Whole {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Bounds of reading from an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) deadline_ms: u64,
    pub(super) idle_timeout_ms: u64,
}

impl Bounds {
    fn next_ms(&self, now_ms: u64) -> u64 {
        self.idle_timeout_ms.min(self.deadline_ms.saturating_sub(now_ms))
    }
}

/// Relays a stream of events; only whole events are passed on.
///
/// Tells whether all was read, so that the connection may be used again.
///
/// # Errors
/// Fails where the stream ends before its last event; `progress` tells how far it came.
pub(super) async fn stream(
    gateway: &Gateway,
    address: &str,
    mut response: Response,
    bounds: Bounds,
    answer: &AnswerBuffer,
    progress: &mut Progress,
) -> Result<bool, PeerError> {
    let mut body = response.take_body();
    let mut events = Events::default();
    let mut buffer = vec![0; READ_BYTES];
    while !events.is_done() {
        let wait_ms = bounds.next_ms(gateway.clock.now_ms());
        let read = async {
            body.read(&mut buffer).await.map_err(|error| PeerError::failed("relay", address, error))
        };
        let count = bounded("relay", address, wait_ms, read).await?;
        if count == 0 {
            return Err(PeerError::failed(
                "relay",
                address,
                "the stream ended before its last event",
            ));
        }
        let batch = events.push(&buffer[..count]);
        if batch.tokens > 0 {
            progress.last_ms = gateway.clock.now_ms_f64();
            progress.first_ms.get_or_insert(progress.last_ms);
            progress.tokens += batch.tokens;
        }
        if !batch.bytes.is_empty() {
            answer.begin(200, "text/event-stream", None);
            answer.append(&batch.bytes).await;
        }
    }
    answer.finish();
    let rest = async {
        body.read(&mut buffer).await.map_err(|error| PeerError::failed("relay", address, error))
    };
    Ok(bounded("relay", address, END_MS, rest).await.is_ok_and(|count| count == 0))
}

/// Reads an answer whole.
///
/// # Errors
/// Fails where the answer is cut short or too long.
pub(super) async fn whole(
    gateway: &Gateway,
    address: &str,
    mut response: Response,
    bounds: Bounds,
) -> Result<Vec<u8>, PeerError> {
    let max_bytes = gateway.settings.answer_max_bytes;
    let expected = response.len();
    let body = response.take_body();
    let mut bytes = Vec::new();
    let read = async {
        let read = body.take(max_bytes as u64 + 1).read_to_end(&mut bytes).await;
        read.map_err(|error| PeerError::failed("read answer", address, error))
    };
    let left_ms = bounds.deadline_ms.saturating_sub(gateway.clock.now_ms());
    bounded("read answer", address, left_ms, read).await?;
    if bytes.len() > max_bytes {
        let cause = format!("it has more than {max_bytes} bytes");
        return Err(PeerError::failed("read answer", address, cause));
    }
    if expected.is_some_and(|length| length != bytes.len()) {
        return Err(PeerError::failed("read answer", address, "it was cut short"));
    }
    Ok(bytes)
}

/// Returns how many tokens a whole answer of an engine holds.
pub(super) fn tokens_of(body: &[u8]) -> u64 {
    let usage = serde_json::from_slice::<Whole>(body).ok().and_then(|whole| whole.usage);
    usage.map_or(body.len() as u64 / BYTES_PER_TOKEN, |usage| usage.completion_tokens)
}
