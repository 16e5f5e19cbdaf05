//! Response buffers, written by the task of a request and read by its caller and by resends.

use http_types::Body;
use lycheehub_peer::{Answer, AnswerSource, KeptAnswer};
use lycheehub_types::Refusal;
use smol::io::{AsyncBufRead, AsyncRead};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// The writer waits for a slow caller once this many bytes are buffered.
const WINDOW_BYTES: usize = 64 * 1024;

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Head {
    /// The response has a status and a content type.
    Started {
        /// The HTTP status.
        status: u16,
        /// The value of the `Content-Type` header.
        content_type: SmolStr,
        /// The length of the body in bytes, if known.
        length: Option<usize>,
    },
    /// The request was refused.
    Refused(Refusal),
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    bytes: Vec<u8>,
    /// The number of bytes that were read and removed from the front of `bytes`.
    dropped: usize,
    /// `None` while the response arrives, `Some(true)` once it is complete, `Some(false)` if it was
    /// truncated.
    complete: Option<bool>,
    /// All bytes are retained, for resends.
    retain_all: bool,
    readers: usize,
    wakers: Vec<Waker>,
}

/// A response that is being received.
#[derive(Debug, Default)]
pub struct ResponseBuffer {
    state: Mutex<State>,
}

impl ResponseBuffer {
    /// Creates an empty buffer; with `retain_all`, bytes stay after they are read, for resends.
    pub fn new(retain_all: bool) -> Arc<Self> {
        let state = State { retain_all, ..State::default() };
        Arc::new(Self { state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, update: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        update(&mut state);
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    async fn wait_for<T>(&self, mut condition: impl FnMut(&State) -> Option<T>) -> T {
        std::future::poll_fn(|context| {
            let mut state = self.lock();
            match condition(&state) {
                Some(value) => Poll::Ready(value),
                None => {
                    state.wakers.push(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Sets the head of the response, unless it is already set.
    pub fn start(&self, status: u16, content_type: &str, length: Option<usize>) {
        self.update(|state| {
            let content_type = content_type.into();
            state.head.get_or_insert(Head::Started { status, content_type, length });
        });
    }

    /// Refuses the request, or truncates the response if its head is already set. Does nothing once
    /// the response has ended.
    pub fn refuse(&self, refusal: Refusal) {
        self.update(|state| {
            if state.complete.is_some() {
                return;
            }
            state.complete = Some(false);
            state.head.get_or_insert(Head::Refused(refusal));
        });
    }

    /// Appends bytes, after waiting for room if the caller reads slowly.
    pub async fn append(&self, bytes: &[u8]) {
        self.wait_for(|state| {
            let room = state.retain_all || state.readers == 0 || state.bytes.len() < WINDOW_BYTES;
            room.then_some(())
        })
        .await;
        self.update(|state| {
            if state.retain_all || state.readers > 0 {
                state.bytes.extend_from_slice(bytes);
            }
        });
    }

    /// Marks the response as complete, unless it has ended.
    pub fn finish(&self) {
        self.update(|state| state.complete = state.complete.or(Some(true)));
    }

    /// Returns whether the head is set or the request was refused.
    pub fn has_started(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Waits for the head of the response.
    pub async fn head(&self) -> Head {
        self.wait_for(|state| state.head.clone()).await
    }

    /// Waits until the buffer has no readers.
    pub async fn abandoned(&self) {
        self.wait_for(|state| (state.readers == 0).then_some(())).await;
    }

    /// Returns a reader that starts at the first byte. A buffer that does not retain its bytes
    /// supports only one reader.
    pub fn reader(self: &Arc<Self>) -> ResponseReader {
        self.lock().readers += 1;
        ResponseReader { response: self.clone(), offset: 0, chunk: Vec::new(), consumed: 0 }
    }

    /// Returns the state of the response, with its body if it is complete and retained.
    pub fn kept_answer(&self) -> KeptAnswer {
        let state = self.lock();
        match (&state.head, state.complete) {
            (_, None) => KeptAnswer::Running,
            (Some(Head::Started { status, content_type, .. }), Some(true)) if state.retain_all => {
                KeptAnswer::Answered(Answer {
                    status: *status,
                    content_type: content_type.clone(),
                    body: state.bytes.clone(),
                })
            }
            _ => KeptAnswer::Gone,
        }
    }

    fn len(&self) -> usize {
        self.lock().bytes.len()
    }

    fn has_ended(&self) -> bool {
        self.lock().complete.is_some()
    }
}

/// Reads a response as it arrives; fails if the response is truncated.
#[derive(Debug)]
pub struct ResponseReader {
    response: Arc<ResponseBuffer>,
    offset: usize,
    chunk: Vec<u8>,
    consumed: usize,
}

impl ResponseReader {
    /// Converts the reader into an HTTP body.
    pub fn into_body(self, length: Option<usize>) -> Body {
        Body::from_reader(self, length)
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        self.response.update(|state| state.readers -= 1);
    }
}

impl AsyncBufRead for ResponseReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        if reader.consumed < reader.chunk.len() {
            return Poll::Ready(Ok(&reader.chunk[reader.consumed..]));
        }
        let response = reader.response.clone();
        let mut state = response.lock();
        let start = reader.offset - state.dropped;
        if start >= state.bytes.len() {
            return match state.complete {
                Some(true) => Poll::Ready(Ok(&[])),
                Some(false) => {
                    let message = "the answer was cut short";
                    Poll::Ready(Err(io::Error::new(io::ErrorKind::UnexpectedEof, message)))
                }
                None => {
                    state.wakers.push(context.waker().clone());
                    Poll::Pending
                }
            };
        }
        reader.chunk = state.bytes[start..].to_vec();
        reader.consumed = 0;
        reader.offset += reader.chunk.len();
        if !state.retain_all {
            state.dropped += state.bytes.len();
            state.bytes.clear();
            let wakers = std::mem::take(&mut state.wakers);
            drop(state);
            wakers.into_iter().for_each(Waker::wake);
        }
        Poll::Ready(Ok(&reader.chunk))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().consumed += count;
    }
}

impl AsyncRead for ResponseReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = std::task::ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

/// The responses kept for resends, by request number.
#[derive(Debug)]
pub struct ResponseStore {
    retention_ms: u64,
    max_bytes: usize,
    clock: lycheehub_clock::Clock,
    responses: Mutex<BTreeMap<u64, (Arc<ResponseBuffer>, u64)>>,
}

impl ResponseStore {
    /// Creates a store that keeps responses for `retention_ms` and evicts the oldest ended ones
    /// while all of them together hold more than `max_bytes`.
    pub fn new(clock: lycheehub_clock::Clock, retention_ms: u64, max_bytes: usize) -> Self {
        Self { retention_ms, max_bytes, clock, responses: Mutex::default() }
    }

    /// Stores the response to a request, then removes expired responses and those over the size
    /// limit.
    pub fn insert(&self, request_number: u64, response: Arc<ResponseBuffer>) {
        let now_ms = self.clock.now_ms();
        let mut responses = self.responses.lock().unwrap_or_else(PoisonError::into_inner);
        responses.insert(request_number, (response, now_ms + self.retention_ms));
        responses.retain(|_, (response, expires_ms)| now_ms < *expires_ms || !response.has_ended());
        let mut total_bytes: usize = responses.values().map(|(response, _)| response.len()).sum();
        while total_bytes > self.max_bytes {
            let oldest = responses.iter().find(|(_, (response, _))| response.has_ended());
            let Some((oldest, (response, _))) = oldest else { return };
            total_bytes -= response.len();
            let oldest = *oldest;
            responses.remove(&oldest);
        }
    }
}

impl AnswerSource for ResponseStore {
    fn answer(&self, request_number: u64) -> KeptAnswer {
        let responses = self.responses.lock().unwrap_or_else(PoisonError::into_inner);
        responses
            .get(&request_number)
            .map_or(KeptAnswer::Gone, |(response, _)| response.kept_answer())
    }
}
