//! Reads an endpoint's response, either as a stream of events that is relayed as it arrives, or
//! whole.

use super::endpoint::{Failure, exchange_error, with_timeout};
use super::events::EventSplitter;
use crate::Gateway;
use crate::responses::ResponseBuffer;
use http_types::Response;
use lycheehub_types::PeerError;
use serde::Deserialize;
use smol::io::AsyncReadExt;

/// The size of the buffer for reads from an endpoint, in bytes.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// How long to wait for the end of the body after the last event of a stream, in milliseconds.
const STREAM_END_TIMEOUT_MS: u64 = 500;
/// The assumed number of body bytes per token, if an engine does not report its token count.
const BYTES_PER_TOKEN: u64 = 4;

/// How far a response has been relayed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Progress {
    /// The number of tokens relayed.
    pub(super) tokens: u64,
    /// When the first token arrived, in milliseconds with fractions by the local clock.
    pub(super) first_token_ms: Option<f64>,
    /// When the newest token arrived, in milliseconds with fractions by the local clock.
    pub(super) last_token_ms: f64,
}

#[derive(Deserialize)]
struct CompletionBody {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Limits of reading from an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadLimits {
    pub(super) deadline_ms: u64,
    pub(super) idle_timeout_ms: u64,
}

impl ReadLimits {
    fn next_timeout_ms(&self, now_ms: u64) -> u64 {
        self.idle_timeout_ms.min(self.deadline_ms.saturating_sub(now_ms))
    }
}

/// Returns whether a response is a successful stream of events.
pub(super) fn is_event_stream(response: &Response) -> bool {
    let content_type = response.header("content-type").map(|values| values.as_str());
    let media_type = content_type.and_then(|value| value.split(';').next()).unwrap_or_default();
    response.status().is_success() && media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Relays a stream of events; only complete events are passed on.
///
/// Returns whether the body was read to its end, so that the connection can be reused.
///
/// # Errors
/// Fails if the stream ends before its last event; `progress` holds how far it was relayed.
pub(super) async fn relay_stream(
    gateway: &Gateway,
    address: &str,
    mut response: Response,
    limits: ReadLimits,
    output: &ResponseBuffer,
    progress: &mut Progress,
) -> Result<bool, PeerError> {
    let mut body = response.take_body();
    let mut events = EventSplitter::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while !events.is_done() {
        let wait_ms = limits.next_timeout_ms(gateway.clock.now_ms());
        let read = async {
            body.read(&mut buffer).await.map_err(|error| exchange_error("relay", address, &error))
        };
        let count = with_timeout("relay", address, wait_ms, read).await?;
        if count == 0 {
            return Err(PeerError::failed(
                "relay",
                address,
                "the stream ended before its last event",
            ));
        }
        let batch = events.push(&buffer[..count]);
        if batch.tokens > 0 {
            progress.last_token_ms = gateway.clock.now_ms_f64();
            progress.first_token_ms.get_or_insert(progress.last_token_ms);
            progress.tokens += batch.tokens;
        }
        if !batch.bytes.is_empty() {
            output.start(200, "text/event-stream", None);
            output.append(&batch.bytes).await;
        }
    }
    output.finish();
    let read_end = async {
        body.read(&mut buffer).await.map_err(|error| exchange_error("relay", address, &error))
    };
    Ok(with_timeout("relay", address, STREAM_END_TIMEOUT_MS, read_end)
        .await
        .is_ok_and(|count| count == 0))
}

/// Reads a whole response body.
///
/// # Errors
/// Fails if the body is truncated or too long.
pub(super) async fn read_whole(
    gateway: &Gateway,
    address: &str,
    mut response: Response,
    limits: ReadLimits,
) -> Result<Vec<u8>, Failure> {
    let max_bytes = gateway.settings.answer_max_bytes;
    let expected_length = response.len();
    let body = response.take_body();
    let mut bytes = Vec::new();
    let read = async {
        let read = body.take(max_bytes as u64 + 1).read_to_end(&mut bytes).await;
        read.map_err(|error| exchange_error("read answer", address, &error))
    };
    let left_ms = limits.deadline_ms.saturating_sub(gateway.clock.now_ms());
    with_timeout("read answer", address, left_ms, read).await.map_err(Failure::of_exchange)?;
    if bytes.len() > max_bytes {
        let cause = format!("it has more than {max_bytes} bytes");
        return Err(Failure::Unknown(PeerError::failed("read answer", address, cause)));
    }
    if expected_length.is_some_and(|length| length != bytes.len()) {
        let cause = "it was cut short";
        return Err(Failure::Lost(PeerError::failed("read answer", address, cause)));
    }
    Ok(bytes)
}

/// Returns the number of completion tokens in an engine's whole response.
pub(super) fn count_tokens(body: &[u8]) -> u64 {
    let usage =
        serde_json::from_slice::<CompletionBody>(body).ok().and_then(|completion| completion.usage);
    usage.map_or(body.len() as u64 / BYTES_PER_TOKEN, |usage| usage.completion_tokens)
}
