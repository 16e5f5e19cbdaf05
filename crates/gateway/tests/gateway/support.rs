//! Test fixture: an instance without a cluster, and raw connections to it.

use futures_lite::AsyncReadExt;
use lycheehub_auth::DigestKey;
use lycheehub_budget::Budget;
use lycheehub_clock::{Clock, Event};
use lycheehub_gateway::keys::KeyFile;
use lycheehub_gateway::responses::ResponseStore;
use lycheehub_gateway::scheduler::SharedScheduler;
use lycheehub_gateway::serve::ConnectionPool;
use lycheehub_gateway::{Gateway, Settings, http};
use lycheehub_peer::{Control, Views};
use lycheehub_route::{Options, Scheduler};
use metrics_exporter_prometheus::PrometheusBuilder;
use smol::Executor;
use smol::channel::unbounded;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Time limit of a test and of reading a connection until it closes, in milliseconds.
pub const TIMEOUT_MS: u64 = 10_000;
/// The timeouts for receiving requests, in milliseconds.
pub const RECEIVE_TIMEOUT_MS: u64 = 200;
/// The memory for request bodies.
const BODY_MEMORY_BYTES: u64 = 100_000;
/// The maximum number of connections.
pub const CONNECTIONS_MAX: usize = 4;

fn settings(header_timeout_ms: u64) -> Settings {
    Settings {
        instance: "alpha".into(),
        body_max_bytes: 1_000,
        body_memory_bytes: BODY_MEMORY_BYTES,
        answer_max_bytes: 1_000,
        header_timeout_ms,
        body_timeout_ms: RECEIVE_TIMEOUT_MS,
        connections_max: CONNECTIONS_MAX,
        connect_timeout_ms: 300,
        idle_timeout_ms: 1_000,
        answer_retention_ms: 1_000,
        answers_max_bytes: 1_000,
        digest_key: DigestKey::derive(b"test"),
        operator_keys: KeyFile::fixed([]),
        endpoint_keys: KeyFile::fixed([]),
    }
}

/// Returns an incarnation that no other instance of these tests has.
pub fn new_incarnation() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    (u64::from(std::process::id()) << 32) + COUNT.fetch_add(1, Ordering::Relaxed)
}

/// Creates an instance whose control thread is reached by `control`.
pub fn gateway(
    executor: Arc<Executor<'static>>,
    header_timeout_ms: u64,
    control: Control,
) -> Arc<Gateway> {
    let clock = Clock::new();
    Arc::new(Gateway {
        settings: settings(header_timeout_ms),
        clock,
        views: Views::default(),
        control,
        scheduler: SharedScheduler::new(clock, Scheduler::new(Options::default(), 1)),
        responses: Arc::new(ResponseStore::new(clock, 1_000, 1_000)),
        bodies: Budget::new(clock, BODY_MEMORY_BYTES),
        pool: ConnectionPool::default(),
        metrics: PrometheusBuilder::new().build_recorder().handle(),
        executor,
        incarnation: new_incarnation(),
        last_request_number: AtomicU64::new(0),
        connections: AtomicUsize::new(0),
        exchanges: AtomicUsize::new(0),
        request_tasks: AtomicUsize::new(0),
        draining: AtomicBool::new(false),
        stopping: AtomicBool::new(false),
        accepting_ends: Event::default(),
        ending: Event::default(),
    })
}

/// Runs a test against the address of a new instance.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Arc<Gateway>, String) -> F) {
    run_with_header_timeout(RECEIVE_TIMEOUT_MS, test);
}

/// Runs a test against the address of a new instance with this time limit for heads and idle connections.
pub fn run_with_header_timeout<F: Future<Output = ()>>(
    header_timeout_ms: u64,
    test: impl FnOnce(Arc<Gateway>, String) -> F,
) {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        // Nothing takes the requests to a control thread.
        let control = Control::new(unbounded().0);
        let gateway = gateway(executor.clone(), header_timeout_ms, control);
        executor.spawn(http::serve(gateway.clone(), listener)).detach();
        let done = lycheehub_clock::within(TIMEOUT_MS, test(gateway, address)).await;
        done.expect("the test takes too long");
    }));
}

/// Reads until the peer closes the connection; returns `None` if it resets it.
pub async fn read_all(mut stream: TcpStream) -> Option<String> {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.ok()?;
    Some(String::from_utf8_lossy(&received).into_owned())
}
