//! On the own interface, a request on which endpoints crash is kept from them.

use crate::support::{PATIENCE, Site, StopFlag, TRUCK_KEY};
use googletest::prelude::*;
use lycheehub_standin::caller::{Call, Reply};
use lycheehub_standin::cluster::{ENDPOINT_KEY, Layout, eventually};
use lycheehub_standin::endpoint::{Endpoint, Options, Ran};
use lycheehub_types::EndpointKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The path that crashes an endpoint.
const CRASHING: &str = "/crashing";
const ENDPOINTS: u32 = 5;
/// How long an endpoint is down after a crash, and how long the requests are repeated.
const DOWN_TIME: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_secs(30);
/// The crashes until the request is quarantined, and the trials in the time of the test.
const CRASHES: usize = 3;
const TRIALS: usize = 2;

/// Endpoints of a plain service that crash with all their connections on one path.
struct CrashingEndpoints {
    stop: StopFlag,
    crashes: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl CrashingEndpoints {
    fn start(site: &Site) -> Self {
        let stop = StopFlag::new();
        let crashes = Arc::new(AtomicUsize::new(0));
        let run = |number: u32| {
            let (stop, crashes) = (stop.share(), crashes.clone());
            let (records, announce_to) = (site.records.clone(), site.cluster.addresses());
            std::thread::spawn(move || {
                let mut options = Options {
                    name: format!("invoices-{number}"),
                    kind: EndpointKind::Plain,
                    service: "invoices".into(),
                    token_ms: 60.0,
                    announce_to,
                    announce_ms: 100,
                    key: ENDPOINT_KEY.to_owned(),
                    seed: u64::from(number),
                    ..Options::default()
                };
                let ran = |name: &str| {
                    let ran = records.ran();
                    let is_hit = |one: &&Ran| one.endpoint == name && one.path == CRASHING;
                    ran.iter().filter(is_hit).count()
                };
                while !stop.load(Ordering::Relaxed) {
                    let before = ran(&options.name);
                    let endpoint = Endpoint::start(options.clone(), records.clone()).unwrap();
                    options.listen = endpoint.address();
                    while ran(&options.name) == before && !stop.load(Ordering::Relaxed) {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                    drop(endpoint);
                    if !stop.load(Ordering::Relaxed) {
                        crashes.fetch_add(1, Ordering::Relaxed);
                        std::thread::sleep(DOWN_TIME);
                    }
                }
            })
        };
        let threads = (0..ENDPOINTS).map(run).collect();
        Self { stop, crashes, threads }
    }

    fn finish(self) -> usize {
        drop(self.stop);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        self.crashes.load(Ordering::Relaxed)
    }
}

fn send(site: &Site, path: &str) -> Reply {
    let call = Call::post(&format!("/v1/services/invoices{path}"))
        .key(TRUCK_KEY)
        .header("x-deadline-ms", "4000")
        .body(b"the same body".to_vec());
    site.send(0, &call)
}

#[gtest]
fn a_request_that_crashes_endpoints_of_the_own_interface_is_kept_from_them() {
    let layout = Layout { replicas: 1, ..Layout::default() };
    let site = Site::start("crashing-requests", &layout);
    let endpoints = CrashingEndpoints::start(&site);
    expect_that!(eventually(PATIENCE, || send(&site, "/sound").status == 200), eq(true));
    let until = Instant::now() + RUN_TIME;
    let (mut refused, mut sent, mut served) = (Vec::new(), 0, 0);
    while Instant::now() < until {
        let reply = send(&site, CRASHING);
        if reply.json()["error"]["code"] == "quarantined" {
            refused.push(reply);
        }
        for number in 0..3 {
            sent += 1;
            served += usize::from(send(&site, &format!("/sound/{sent}-{number}")).status == 200);
        }
    }
    let crashes = endpoints.finish();
    expect_that!(crashes, ge(CRASHES));
    expect_that!(crashes, le(CRASHES + TRIALS));
    expect_that!(served * 10, ge(sent * 9), "{served} of {sent}");
    expect_that!(refused, not(is_empty()));
    for reply in &refused {
        expect_that!(reply.status, eq(503));
    }
    let log = site.cluster.log(0);
    expect_that!(log, contains_substring("request quarantined"));
}
