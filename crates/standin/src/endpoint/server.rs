//! The stand-in's server.

use super::cache::{Cache, Prefill};
use super::{Faults, Options, Records, announce, generate, orders, plain};
use http_types::{Method, Request, Response, StatusCode};
use lycheehub_types::EndpointKind;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::channel::{Receiver, Sender, bounded};
use smol::io::{AsyncBufRead, AsyncRead, AsyncWrite};
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Timer};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The bytes that wait in a stream's pipe.
const PIPE_BYTES: usize = 64 * 1024;

/// What all requests of a stand-in share.
pub(super) struct Shared {
    pub(super) options: Options,
    pub(super) address: SocketAddr,
    pub(super) incarnation: u64,
    pub(super) records: Records,
    pub(super) running: AtomicU32,
    pub(super) executor: Arc<Executor<'static>>,
    faults: Mutex<Faults>,
    /// The connections taken, which end with the stand-in.
    streams: Mutex<Vec<TcpStream>>,
    cache: Mutex<Cache>,
    loaded: Mutex<String>,
    newest_fence: Mutex<(u64, u64)>,
    /// Cache events that are not published yet.
    events: Mutex<Vec<Prefill>>,
    rng: Mutex<SmallRng>,
}

impl Shared {
    pub(super) fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn draws_failure(&self, route: &str, running: u32) -> bool {
        let faults = self.faults();
        let drawn: f64 = self.rng.lock().unwrap_or_else(PoisonError::into_inner).random();
        faults.hold(route, running) && drawn < faults.fail
    }

    pub(super) fn prefill(&self, prompt: &[u8]) -> Prefill {
        let prefill = self.cache.lock().unwrap_or_else(PoisonError::into_inner).prefill(prompt);
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push(prefill.clone());
        prefill
    }

    /// Returns the version that is loaded.
    pub(super) fn version(&self) -> String {
        self.loaded.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_version(&self, version: String) {
        *self.loaded.lock().unwrap_or_else(PoisonError::into_inner) = version;
    }

    /// Tells whether an order with this fencing number is carried out.
    pub(super) fn pass_fence(&self, fence: (u64, u64)) -> bool {
        let mut newest = self.newest_fence.lock().unwrap_or_else(PoisonError::into_inner);
        let old = fence < *newest;
        *newest = fence.max(*newest);
        !(self.options.fencing && old)
    }

    /// Takes the cache events that are not published yet.
    pub(super) fn take_events(&self) -> Vec<Prefill> {
        std::mem::take(&mut *self.events.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits while the stand-in is frozen.
    pub(super) async fn freeze(&self) {
        const LOOK_MS: u64 = 20;
        while self.faults().frozen {
            Timer::after(Duration::from_millis(LOOK_MS)).await;
        }
    }

    pub(super) fn pipe(&self) -> (PipeReader, PipeWriter) {
        let (reader, writer) = piper::pipe(PIPE_BYTES);
        let cut = Arc::new(AtomicBool::new(true));
        (
            PipeReader { reader, cut: cut.clone(), chunk: Vec::new(), taken: 0 },
            PipeWriter { writer, cut },
        )
    }
}

/// The body of a stream; it fails at its end where the stream was cut.
pub(super) struct PipeReader {
    reader: piper::Reader,
    cut: Arc<AtomicBool>,
    chunk: Vec<u8>,
    taken: usize,
}

pub(super) struct PipeWriter {
    writer: piper::Writer,
    cut: Arc<AtomicBool>,
}

impl PipeWriter {
    /// Ends the stream whole.
    pub(super) fn end(&mut self) {
        self.cut.store(false, Ordering::Release);
    }

    /// Ends the stream in its middle.
    pub(super) fn cut(&mut self) {
        self.cut.store(true, Ordering::Release);
    }
}

impl AsyncWrite for PipeWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_close(context)
    }
}

impl AsyncRead for PipeReader {
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

impl AsyncBufRead for PipeReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        const CHUNK_BYTES: usize = 4 * 1024;
        let this = self.get_mut();
        if this.taken == this.chunk.len() {
            let mut chunk = vec![0; CHUNK_BYTES];
            let count =
                std::task::ready!(Pin::new(&mut this.reader).poll_read(context, &mut chunk))?;
            if count == 0 && this.cut.load(Ordering::Acquire) {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            chunk.truncate(count);
            this.chunk = chunk;
            this.taken = 0;
        }
        Poll::Ready(Ok(&this.chunk[this.taken..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().taken += count;
    }
}

/// A stand-in that runs on threads of its own until it is dropped.
pub struct Endpoint {
    shared: Arc<Shared>,
    stop: Option<Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Endpoint {
    /// Starts a stand-in that records into `records`.
    ///
    /// # Errors
    /// Fails where it cannot listen.
    pub fn start(options: Options, records: Records) -> io::Result<Self> {
        let listener = smol::block_on(TcpListener::bind(options.listen.as_str()))?;
        let address = listener.local_addr()?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            address,
            incarnation: since.map_or(0, |since| since.as_micros() as u64),
            records,
            running: AtomicU32::new(0),
            executor: Arc::new(Executor::new()),
            faults: Mutex::default(),
            streams: Mutex::default(),
            cache: Mutex::new(Cache::new(options.cache_blocks)),
            loaded: Mutex::new(options.version.clone()),
            newest_fence: Mutex::default(),
            events: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            options,
        });
        let (stop, stopped) = bounded::<()>(1);
        let served = shared.clone();
        let thread = std::thread::spawn(move || run(&served, listener, &stopped));
        Ok(Self { shared, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns where the stand-in listens.
    pub fn address(&self) -> String {
        self.shared.address.to_string()
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Gives it faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns how many requests it runs.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has ended as well.
            let _ = thread.join();
        }
    }
}

fn run(shared: &Arc<Shared>, listener: TcpListener, stopped: &Receiver<()>) {
    let executor = shared.executor.clone();
    let served = shared.clone();
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Latency alone suffers where this fails.
            let _ = stream.set_nodelay(true);
            served.streams.lock().unwrap_or_else(PoisonError::into_inner).push(stream.clone());
            let shared = served.clone();
            let connection = async move {
                let answer = |request| {
                    let shared = shared.clone();
                    async move { answer(&shared, request).await }
                };
                // A caller that leaves ends its connection.
                let _ = async_h1::accept(stream, answer).await;
            };
            served.executor.spawn(connection).detach();
        }
    };
    let accept = executor.spawn(accept);
    let announce = executor.spawn(announce::run(shared.clone()));
    smol::block_on(executor.run(async {
        // The channel closes when the stand-in is dropped.
        let _ = stopped.recv().await;
    }));
    // A cancelled task is dropped, with the listener, only when the executor runs once more.
    smol::block_on(executor.run(async {
        accept.cancel().await;
        announce.cancel().await;
    }));
    for stream in shared.streams.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        // A connection that has ended cannot be shut down.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

async fn answer(shared: &Arc<Shared>, mut request: Request) -> http_types::Result<Response> {
    if request.method() == Method::Put && request.url().path() == "/faults" {
        let faults = request.body_json().await?;
        *shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
        return Ok(Response::new(StatusCode::Ok));
    }
    if request.method() == Method::Post && request.url().path() == "/v1/orders" {
        return orders::take(shared, request).await;
    }
    match shared.options.kind {
        EndpointKind::Engine => generate::generate(shared, request).await,
        EndpointKind::Plain => plain::answer(shared, request).await,
    }
}
