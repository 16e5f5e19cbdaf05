//! Test fixture: callers, scripted endpoints and a placement that rotates over them.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lycheehub_auth::DigestKey;
use lycheehub_clock::Clock;
use lycheehub_dispatch::crashes::RequestDigest;
use lycheehub_dispatch::placement::DecisionFuture;
use lycheehub_dispatch::{
    Decision, Finished, Job, JobId, LimitKind, Notice, Outcome, Placement, Reason, RefusalBasis,
};
use lycheehub_proxy::dialect::{Dialect, ForwardedFields, RequestFields, ResponseFields};
use lycheehub_proxy::http1::{Headers, RequestHead, ResponseHead};
use lycheehub_proxy::{
    Entry, Options, RelayError, RelayFuture, Relays, Snapshot, Snapshots, server,
};
use lycheehub_routes::{
    ClientLimits, Document, RequestKind, RouteSpec, RouteTable, ServiceSpec, Target,
};
use lycheehub_types::EndpointName;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for reading a connection until it closes, in milliseconds. A whole test may take twice
/// as long.
const READ_TIMEOUT_MS: u64 = 5_000;

/// Header fields used by these tests.
#[derive(Debug)]
struct TestDialect;

impl Dialect for TestDialect {
    fn read_request(&self, head: &RequestHead) -> RequestFields {
        RequestFields {
            id: head.headers.text("id").unwrap_or_default().into(),
            deadline_ms: head.headers.text("deadline").and_then(|text| text.parse().ok()),
            prompt_tokens: head.headers.text("tokens").and_then(|text| text.parse().ok()),
            output_max_tokens: head.headers.text("tokens").map(|_| 100),
            last_event_id: head.headers.text("last-event-id").map(Into::into),
            ..RequestFields::default()
        }
    }

    fn is_stripped(&self, name: &str) -> bool {
        matches!(name.to_ascii_lowercase().as_str(), "deadline" | "last-event-id" | "endpoint")
    }

    fn add_forwarded(&self, headers: &mut Headers, fields: &ForwardedFields) {
        headers.push("deadline", fields.deadline_left_ms.to_string());
        headers.push("endpoint", fields.endpoint.as_str());
        if let Some(id) = &fields.last_event_id {
            headers.push("last-event-id", id.as_str());
        }
    }

    fn read_response(&self, head: &ResponseHead) -> ResponseFields {
        ResponseFields {
            id: head.headers.text("id").map(Into::into),
            not_run: head.headers.text("not-run").is_some(),
            misdirected: head.status == 421,
            leaving: head.headers.text("leaving").is_some(),
            limit_per_s: head.headers.text("limit").and_then(|text| text.parse().ok()),
            rejections_per_s: head.headers.text("rejections").and_then(|text| text.parse().ok()),
        }
    }

    fn add_local(&self, headers: &mut Headers, id: &str) {
        headers.push("id", id);
    }
}

/// Another instance that relays connections, if there is one.
#[derive(Default)]
pub struct TestRelays {
    pub address: RefCell<Option<String>>,
    /// Where connections lead on which bytes arrive before the request is sent, if anywhere.
    pub early_address: RefCell<Option<String>>,
    /// Where connections lead whose content the test frames itself, if anywhere.
    pub framed_address: RefCell<Option<String>>,
    /// How many connections were asked for.
    pub asked: Cell<u32>,
}

impl Relays for TestRelays {
    fn connect<'a>(&'a self, endpoint: &'a EndpointName) -> RelayFuture<'a> {
        self.asked.set(self.asked.get() + 1);
        let address = self.address.borrow().clone();
        let early_address = self.early_address.borrow().clone();
        let framed_address = self.framed_address.borrow().clone();
        Box::pin(async move {
            if let Some(address) = framed_address {
                return Ok(TcpStream::connect(address).await.unwrap());
            }
            if let Some(address) = early_address {
                let stream = TcpStream::connect(address).await.unwrap();
                stream.peek(&mut [0; 1]).await.unwrap();
                return Ok(stream);
            }
            let Some(address) = address else { return Err(RelayError::Unable) };
            let connected = lycheehub_relay::connect(&address, b"key", "entry-1", endpoint).await;
            connected.map_err(|error| match error {
                lycheehub_relay::Error::Unreachable(_) => RelayError::Unreachable,
                _ => RelayError::Unable,
            })
        })
    }
}

/// Places requests on the endpoints in turn and records all reports.
#[derive(Default)]
pub struct RotatingPlacement {
    pub addresses: RefCell<Vec<String>>,
    next: Cell<usize>,
    number: Cell<u64>,
    pub outcomes: RefCell<Vec<Outcome>>,
    /// For each result, whether another instance did not reach the endpoint either.
    pub confirmed: RefCell<Vec<bool>>,
    pub withdrawn: Cell<u32>,
    /// For each request, whether it is marked as a retry after a refusal.
    pub returning: RefCell<Vec<bool>>,
    /// The identity of each request.
    pub digests: RefCell<Vec<Option<RequestDigest>>>,
    /// For each request, the time that its caller still waits for the first byte, in milliseconds.
    pub patience_left_ms: RefCell<Vec<u64>>,
    /// Whether decisions are never made.
    pub never_decides: Cell<bool>,
    /// How long decisions take, in milliseconds.
    pub decides_after_ms: Cell<u64>,
    /// Whether repeated attempts are refused.
    pub refuses_repeats: Cell<bool>,
    /// Whether all requests are refused because of the quota.
    pub over_quota: Cell<bool>,
    /// The reported notices, by endpoint.
    pub notices: RefCell<Vec<(String, Notice)>>,
    /// The requests whose responses were reported to state no limit, by number.
    pub unlimited: RefCell<Vec<u64>>,
    /// The number of instances; 0 stands for one.
    pub instances: Cell<u32>,
    /// The reports that the path to endpoints was lost or found.
    pub path_lost: RefCell<Vec<bool>>,
    /// The endpoints reported as excluded.
    pub excluded: RefCell<Vec<String>>,
    /// The expected time to the first byte, in milliseconds; 0 stands for 10.
    pub first_byte_ms: Cell<u64>,
}

impl Placement for RotatingPlacement {
    fn next_job_id(&self) -> JobId {
        self.number.set(self.number.get() + 1);
        JobId { instance: 0, number: self.number.get() }
    }

    fn place(&self, job: Job) -> DecisionFuture<'_> {
        Box::pin(async move {
            let job_id = job.job_id;
            self.returning.borrow_mut().push(job.returning);
            self.digests.borrow_mut().push(job.digest);
            self.patience_left_ms.borrow_mut().push(job.patience_left_ms);
            if self.never_decides.get() {
                smol::future::pending::<()>().await;
            }
            if self.decides_after_ms.get() > 0 {
                sleep_ms(self.decides_after_ms.get()).await;
            }
            let refused = match job.repeat && self.refuses_repeats.get() {
                true => Some(Reason::RetriesExhausted),
                false => self.over_quota.get().then_some(Reason::QuotaExceeded),
            };
            if let Some(reason) = refused {
                return Decision::Refuse {
                    job_id,
                    reason,
                    retry_after_ms: 700,
                    basis: RefusalBasis::default(),
                };
            }
            let addresses = self.addresses.borrow();
            let index = self.next.get();
            self.next.set(index + 1);
            let address = &addresses[index % addresses.len()];
            let endpoint = format!("endpoint-{}", index % addresses.len()).into();
            Decision::Place {
                job_id,
                endpoint,
                address: address.as_str().into(),
                first_byte_ms: match self.first_byte_ms.get() {
                    0 => 10,
                    first_byte_ms => first_byte_ms,
                },
            }
        })
    }

    fn record_answer_begun(&self, _: JobId) {}

    fn set_path_lost(&self, is_lost: bool) {
        self.path_lost.borrow_mut().push(is_lost);
    }

    fn finish(&self, finished: Finished) {
        self.outcomes.borrow_mut().push(finished.outcome);
        self.confirmed.borrow_mut().push(finished.is_confirmed);
    }

    fn report_stall(&self, _: JobId) {}

    fn withdraw(&self, _: JobId) {
        self.withdrawn.set(self.withdrawn.get() + 1);
    }

    fn record_notice(&self, endpoint: &EndpointName, notice: Notice) {
        self.notices.borrow_mut().push((endpoint.to_string(), notice));
    }

    fn record_unlimited(&self, job_id: JobId, kind: LimitKind) {
        if kind == LimitKind::Requests {
            self.unlimited.borrow_mut().push(job_id.number);
        }
    }

    fn instances(&self) -> u32 {
        self.instances.get().max(1)
    }

    fn is_excluded(&self, endpoint: &EndpointName) -> bool {
        self.excluded.borrow().iter().any(|excluded| excluded == endpoint.as_str())
    }
}

/// Serves the document that the test has set; `is_ready` controls whether it counts as recent.
struct TestSnapshots {
    table: Rc<RefCell<Arc<RouteTable>>>,
    is_ready: Rc<Cell<bool>>,
}

impl Snapshots for TestSnapshots {
    fn latest(&self) -> Snapshot {
        let table = self.table.borrow().clone();
        let revision = table.document().version;
        Snapshot { table, revision, is_ready: self.is_ready.get() }
    }
}

fn route(name: &str, kind: RequestKind, attempts_max: u32) -> RouteSpec {
    RouteSpec {
        regions: vec![],
        name: name.into(),
        host: "salto.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind,
        timeout_ms: 2_000,
        objective_ms: 500,
        gap_objective_ms: None,
        patience_ms: None,
        rank: 0,
        targets: vec![Target { service: "labels".into(), weight: 1 }],
        attempts_max,
        anonymous: true,
    }
}

/// The document with which each test begins.
pub fn document() -> Document {
    let stream = |resumable| RequestKind::Stream { resumable };
    Document {
        version: 1,
        limits: ClientLimits { body_max_bytes: 16 * 1024 * 1024, ..ClientLimits::default() },
        routes: vec![
            route("unsafe", RequestKind::Unsafe, 2),
            route("safe", RequestKind::Idempotent, 2),
            route("stream", stream(false), 2),
            RouteSpec { patience_ms: Some(10), ..route("resume", stream(true), 2) },
        ],
        services: vec![ServiceSpec {
            cold_start: None,
            name: "labels".into(),
            health_path: "/health".into(),
            connections_max: Some(100),
            engine: None,
        }],
        ..Document::default()
    }
}

/// An entry instance under test.
pub struct Fixture {
    pub executor: Rc<LocalExecutor<'static>>,
    pub placement: Rc<RotatingPlacement>,
    pub relays: Rc<TestRelays>,
    pub entry: Rc<Entry>,
    /// Whether the document counts as recent.
    pub is_ready: Rc<Cell<bool>>,
    table: Rc<RefCell<Arc<RouteTable>>>,
    pub address: String,
}

/// Runs a test against a new instance.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let runner = executor.clone();
    smol::block_on(runner.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let placement = Rc::new(RotatingPlacement::default());
        let table = Rc::new(RefCell::new(Arc::new(RouteTable::new(document()))));
        let is_ready = Rc::new(Cell::new(true));
        let relays = Rc::new(TestRelays::default());
        let entry = Entry::new(
            Options {
                body_memory_bytes: 64 * 1024 * 1024,
                has_several_regions: false,
                instance: "entry-1".into(),
                failure_domain: "salto".into(),
                connections_max: 100,
                connect_timeout_ms: 300,
                body_timeout_ms: 500,
                digest_key: DigestKey::derive(b"test"),
            },
            Clock::new(),
            Box::new(TestDialect),
            Box::new(TestSnapshots { table: table.clone(), is_ready: is_ready.clone() }),
            placement.clone(),
            relays.clone(),
            executor.clone(),
        );
        executor.spawn(server::serve(entry.clone(), listener)).detach();
        let fixture = Fixture { executor, placement, relays, entry, is_ready, table, address };
        lycheehub_clock::within(READ_TIMEOUT_MS * 2, test(fixture))
            .await
            .expect("the test takes too long");
    }));
}

impl Fixture {
    /// Adds an endpoint; `script` handles each connection and gets its number, starting at 1.
    pub async fn add_endpoint<F: Future<Output = ()> + 'static>(
        &self,
        script: impl Fn(TcpStream, u32) -> F + 'static,
    ) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        self.placement.addresses.borrow_mut().push(address);
        let executor = self.executor.clone();
        let accept = async move {
            let mut count = 0;
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                count += 1;
                executor.spawn(script(stream, count)).detach();
            }
        };
        self.executor.spawn(accept).detach();
    }

    /// Adds `count` endpoints that refuse connections.
    pub fn add_unreachable_endpoints(&self, count: usize) {
        let addresses = &self.placement.addresses;
        addresses.borrow_mut().extend(vec!["127.0.0.1:1".to_owned(); count]);
    }

    /// Adds an endpoint that responds to every request with `bytes`.
    pub async fn add_responding_endpoint(&self, bytes: &'static str) {
        self.add_endpoint(move |mut stream, _| async move {
            while read_request(&mut stream).await.is_some() {
                stream.write_all(bytes.as_bytes()).await.unwrap();
            }
        })
        .await;
    }

    /// Adds an endpoint that reads a request, sends `bytes` and resets the connection.
    pub async fn add_resetting_endpoint(&self, bytes: impl Into<String>) {
        let bytes = bytes.into();
        self.add_endpoint(move |mut stream, _| {
            let bytes = bytes.clone();
            async move {
                read_request(&mut stream).await;
                if !bytes.is_empty() {
                    stream.write_all(bytes.as_bytes()).await.unwrap();
                    sleep_ms(20).await;
                }
                reset(stream);
            }
        })
        .await;
    }

    /// Adds an endpoint that reads a request and sends `bytes`; returns a flag that is set once the
    /// connection is closed.
    pub async fn add_close_detecting_endpoint(&self, bytes: &'static str) -> Rc<Cell<bool>> {
        let closed = Rc::new(Cell::new(false));
        let recorder = closed.clone();
        self.add_endpoint(move |mut stream, _| {
            let recorder = recorder.clone();
            async move {
                read_request(&mut stream).await;
                stream.write_all(bytes.as_bytes()).await.unwrap();
                let is_closed = !matches!(stream.read(&mut [0; 16]).await, Ok(1..));
                recorder.set(is_closed);
            }
        })
        .await;
        closed
    }

    /// Replaces the document.
    pub fn set_document(&self, document: Document) {
        *self.table.borrow_mut() = Arc::new(RouteTable::new(document));
    }

    /// Refuses new connections and closes all that are idle.
    pub fn close_idle(&self) {
        self.entry.refuse_new_connections();
        self.entry.close_longest_idle(usize::MAX, 0);
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.unwrap()
    }

    /// Sends a request over a new connection; returns everything received until it is closed.
    pub async fn request(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        read_all(&mut stream).await
    }
}

/// Returns a GET request with `Connection: close`.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: salto.example\r\nid: r1\r\nConnection: close\r\n\r\n")
}

/// Returns a POST request with a body and `Connection: close`.
pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: salto.example\r\nid: r1\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns a request for a stream.
pub fn stream(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: salto.example\r\nid: r1\r\ntokens: 50\r\n\
         Connection: close\r\n\r\n"
    )
}

/// Reads until the peer closes or resets the connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let mut chunk = [0; 4_096];
    let read = async {
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            all.extend_from_slice(&chunk[..count]);
        }
    };
    lycheehub_clock::within(READ_TIMEOUT_MS, read).await.expect("the connection stays open");
    String::from_utf8_lossy(&all).into_owned()
}

/// Reads one request with a body of `Content-Length` bytes; returns `None` at the end of the
/// connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut all: Vec<u8> = Vec::new();
    let mut byte = [0; 1];
    while !all.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte).await, Ok(1)) {
            return None;
        }
        all.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&all).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().unwrap())
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

pub async fn sleep_ms(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}
