//! Answers: filled by the request's task, read by its caller and by resends.

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

/// How many bytes may wait for a caller that reads slowly.
const WINDOW_BYTES: usize = 64 * 1024;

/// How an answer begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Head {
    /// With a status and a content type.
    Begun {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: SmolStr,
        /// The length in bytes, where it is known.
        length: Option<usize>,
    },
    /// Not at all.
    Refused(Refusal),
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    bytes: Vec<u8>,
    /// How many bytes were dropped in front of `bytes`.
    dropped: usize,
    /// `Some(true)` where the answer is whole, `Some(false)` where it was cut short.
    end: Option<bool>,
    /// All bytes stay, for resends.
    keep: bool,
    readers: usize,
    wakers: Vec<Waker>,
}

/// An answer that comes in.
#[derive(Debug, Default)]
pub struct AnswerBuffer {
    state: Mutex<State>,
}

impl AnswerBuffer {
    /// Makes an empty answer; with `keep`, all of it stays for resends.
    pub fn new(keep: bool) -> Arc<Self> {
        let state = State { keep, ..State::default() };
        Arc::new(Self { state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        change(&mut state);
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    async fn until<T>(&self, mut ready: impl FnMut(&State) -> Option<T>) -> T {
        std::future::poll_fn(|context| {
            let mut state = self.lock();
            match ready(&state) {
                Some(value) => Poll::Ready(value),
                None => {
                    state.wakers.push(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Begins the answer, unless it has begun.
    pub fn begin(&self, status: u16, content_type: &str, length: Option<usize>) {
        self.change(|state| {
            let content_type = content_type.into();
            state.head.get_or_insert(Head::Begun { status, content_type, length });
        });
    }

    /// Refuses the request, or cuts the answer short where it has begun.
    pub fn refuse(&self, refusal: Refusal) {
        self.change(|state| {
            if state.end.is_some() {
                return;
            }
            state.end = Some(false);
            state.head.get_or_insert(Head::Refused(refusal));
        });
    }

    /// Adds bytes, after waiting for room where the caller reads slowly.
    pub async fn append(&self, bytes: &[u8]) {
        self.until(|state| {
            let room = state.keep || state.readers == 0 || state.bytes.len() < WINDOW_BYTES;
            room.then_some(())
        })
        .await;
        self.change(|state| {
            if state.keep || state.readers > 0 {
                state.bytes.extend_from_slice(bytes);
            }
        });
    }

    /// Ends the answer: it is whole.
    pub fn finish(&self) {
        self.change(|state| state.end = state.end.or(Some(true)));
    }

    /// Tells whether any byte of the answer has been taken in.
    pub fn has_begun(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Waits until the answer begins.
    pub async fn head(&self) -> Head {
        self.until(|state| state.head.clone()).await
    }

    /// Waits until nobody reads the answer any more.
    pub async fn abandoned(&self) {
        self.until(|state| (state.readers == 0).then_some(())).await;
    }

    /// Returns a reader from the answer's beginning.
    pub fn reader(self: &Arc<Self>) -> AnswerReader {
        self.lock().readers += 1;
        AnswerReader { answer: self.clone(), at: 0, chunk: Vec::new(), taken: 0 }
    }

    /// Returns what is known of the answer.
    pub fn kept(&self) -> KeptAnswer {
        let state = self.lock();
        match (&state.head, state.end) {
            (_, None) => KeptAnswer::Running,
            (Some(Head::Begun { status, content_type, .. }), Some(true)) if state.keep => {
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
        self.lock().end.is_some()
    }
}

/// Reads an answer as it comes in; fails where the answer is cut short.
#[derive(Debug)]
pub struct AnswerReader {
    answer: Arc<AnswerBuffer>,
    at: usize,
    chunk: Vec<u8>,
    taken: usize,
}

impl AnswerReader {
    /// Makes a response body of the reader.
    pub fn into_body(self, length: Option<usize>) -> Body {
        Body::from_reader(self, length)
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.answer.change(|state| state.readers -= 1);
    }
}

impl AsyncBufRead for AnswerReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        if reader.taken < reader.chunk.len() {
            return Poll::Ready(Ok(&reader.chunk[reader.taken..]));
        }
        let answer = reader.answer.clone();
        let mut state = answer.lock();
        let from = reader.at - state.dropped;
        if from >= state.bytes.len() {
            return match state.end {
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
        reader.chunk = state.bytes[from..].to_vec();
        reader.taken = 0;
        reader.at += reader.chunk.len();
        if !state.keep {
            state.dropped += state.bytes.len();
            state.bytes.clear();
            let wakers = std::mem::take(&mut state.wakers);
            drop(state);
            wakers.into_iter().for_each(Waker::wake);
        }
        Poll::Ready(Ok(&reader.chunk))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().taken += count;
    }
}

impl AsyncRead for AnswerReader {
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

/// The answers kept for resends, by request number.
#[derive(Debug)]
pub struct KeptAnswers {
    retention_ms: u64,
    max_bytes: usize,
    clock: lycheehub_clock::Clock,
    answers: Mutex<BTreeMap<u64, (Arc<AnswerBuffer>, u64)>>,
}

impl KeptAnswers {
    /// Makes a store that keeps at most `max_bytes` of ended answers, each for `retention_ms`.
    pub fn new(clock: lycheehub_clock::Clock, retention_ms: u64, max_bytes: usize) -> Self {
        Self { retention_ms, max_bytes, clock, answers: Mutex::default() }
    }

    /// Keeps the answer of a request.
    pub fn insert(&self, request: u64, answer: Arc<AnswerBuffer>) {
        let now_ms = self.clock.now_ms();
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(request, (answer, now_ms + self.retention_ms));
        answers.retain(|_, (answer, until_ms)| now_ms < *until_ms || !answer.has_ended());
        let mut total: usize = answers.values().map(|(answer, _)| answer.len()).sum();
        while total > self.max_bytes {
            let oldest = answers.iter().find(|(_, (answer, _))| answer.has_ended());
            let Some((oldest, (answer, _))) = oldest else { return };
            total -= answer.len();
            let oldest = *oldest;
            answers.remove(&oldest);
        }
    }
}

impl AnswerSource for KeptAnswers {
    fn answer(&self, request: u64) -> KeptAnswer {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.get(&request).map_or(KeptAnswer::Gone, |(answer, _)| answer.kept())
    }
}
