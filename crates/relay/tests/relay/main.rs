//! Relayed connections between real sockets.

mod odd_frames;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use lycheehub_auth::{Role, prove};
use lycheehub_relay::frames::header;
use lycheehub_relay::{Endpoints, Error, Server, connect};
use lycheehub_types::EndpointName;
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};
use smol_str::SmolStr;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

const KEY: &[u8] = b"secret";

/// Knows one endpoint, `a`.
#[derive(Clone)]
struct Known {
    address: SmolStr,
    is_accepting: Rc<Cell<bool>>,
}

impl Endpoints for Known {
    fn address(&self, endpoint: &EndpointName) -> Option<SmolStr> {
        (endpoint.as_str() == "a").then(|| self.address.clone())
    }

    fn is_path_proven(&self) -> bool {
        true
    }

    fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }
}

/// A relay to an endpoint that echoes what it gets and ends after "end".
struct Fixture {
    executor: Rc<LocalExecutor<'static>>,
    relay: String,
    server: Rc<Server>,
    known: Known,
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let runner = executor.clone();
    smol::block_on(runner.run(async {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = endpoint.local_addr().unwrap().to_string().into();
        executor.spawn(echo(executor.clone(), endpoint)).detach();
        let known = Known { address, is_accepting: Rc::new(Cell::new(true)) };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = listener.local_addr().unwrap().to_string();
        let server = Server::new(KEY.to_vec(), Box::new(known.clone()));
        executor.spawn(server.clone().serve(executor.clone(), listener)).detach();
        let fixture = Fixture { executor, relay, server, known };
        let done = lycheehub_clock::within(10_000, test(fixture)).await;
        done.expect("the test takes too long");
    }));
}

async fn echo(executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let task = async move {
            let mut received = [0; 64];
            while let Ok(count @ 1..) = stream.read(&mut received).await {
                stream.write_all(&received[..count]).await.unwrap();
                if received[..count].ends_with(b"end") {
                    break;
                }
            }
        };
        executor.spawn(task).detach();
    }
}

async fn connect_to(fixture: &Fixture, key: &[u8], endpoint: &str) -> Result<TcpStream, Error> {
    connect(&fixture.relay, key, "entry-1", &endpoint.into()).await
}

async fn sleep_ms(ms: u64) {
    smol::Timer::after(Duration::from_millis(ms)).await;
}

#[gtest]
fn bytes_are_passed_on_and_the_end_is_marked() {
    run(|fixture| async move {
        let mut stream = connect_to(&fixture, KEY, "a").await.unwrap();
        stream.write_all(b"one end").await.unwrap();
        let mut expected = header(7).to_vec();
        expected.extend_from_slice(b"one end");
        expected.extend_from_slice(&header(0));
        let mut received = vec![0; expected.len()];
        stream.read_exact(&mut received).await.unwrap();
        expect_that!(received, eq(&expected));
        drop(stream);
        sleep_ms(50).await;
        expect_that!(fixture.server.connections(), eq(0));
    });
}

#[gtest]
fn only_holders_of_the_key_are_connected_and_only_to_known_endpoints() {
    run(|fixture| async move {
        let forged = connect_to(&fixture, b"other", "a").await;
        expect_that!(matches!(forged, Err(Error::Io(..))), eq(true));
        let unknown = connect_to(&fixture, KEY, "b").await;
        expect_that!(matches!(unknown, Err(Error::Unable(_))), eq(true));
        // Bytes that are no request do no harm.
        let mut garbage = TcpStream::connect(&fixture.relay).await.unwrap();
        garbage.write_all(&[0xff; 4_096]).await.unwrap();
        sleep_ms(50).await;
        expect_that!(connect_to(&fixture, KEY, "a").await.is_ok(), eq(true));
    });
}

#[gtest]
fn an_instance_that_stops_takes_no_connections_and_keeps_those_it_has() {
    run(|fixture| async move {
        let mut stream = connect_to(&fixture, KEY, "a").await.unwrap();
        fixture.known.is_accepting.set(false);
        let refused = connect_to(&fixture, KEY, "a").await;
        expect_that!(matches!(refused, Err(Error::Unable(_))), eq(true));
        expect_that!(fixture.server.connections(), eq(1));
        stream.write_all(b"end").await.unwrap();
        let mut received = [0; 7];
        stream.read_exact(&mut received).await.unwrap();
        expect_that!(received[4..], eq(b"end"));
    });
}

#[gtest]
fn an_endpoint_that_refuses_connections_is_reported_as_unreachable() {
    run(|fixture| async move {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = closed.local_addr().unwrap().to_string().into();
        drop(closed);
        let known = Known { address, ..fixture.known };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = listener.local_addr().unwrap().to_string();
        let server = Server::new(KEY.to_vec(), Box::new(known));
        fixture.executor.spawn(server.serve(fixture.executor.clone(), listener)).detach();
        let unreachable = connect(&relay, KEY, "entry-1", &"a".into()).await;
        expect_that!(matches!(unreachable, Err(Error::Unreachable(_))), eq(true));
    });
}

#[gtest]
fn the_number_of_connections_is_bounded() {
    run(|fixture| async move {
        let mut open = Vec::new();
        for _ in 0..256 {
            open.push(connect_to(&fixture, KEY, "a").await.unwrap());
        }
        expect_that!(connect_to(&fixture, KEY, "a").await.is_err(), eq(true));
        expect_that!(fixture.server.connections(), eq(256));
        open.clear();
        sleep_ms(200).await;
        expect_that!(connect_to(&fixture, KEY, "a").await.is_ok(), eq(true));
    });
}

/// An earlier build beside this one: a request as build 3b461ea lays it out.
#[gtest]
fn a_request_as_an_earlier_build_sends_it_is_accepted() {
    run(|fixture| async move {
        let mut stream = TcpStream::connect(&fixture.relay).await.unwrap();
        let mut server_nonce = [0; 32];
        stream.read_exact(&mut server_nonce).await.unwrap();
        let nonce = [2; 32];
        let mut request = nonce.to_vec();
        request.extend(prove(KEY, Role::Initiator, &server_nonce, &nonce, "entry-1"));
        request.extend(b"\x00\x07entry-1\x00\x01a");
        stream.write_all(&request).await.unwrap();
        stream.write_all(b"end").await.unwrap();
        let mut received = [0xff; 12];
        stream.read_exact(&mut received).await.unwrap();
        expect_that!(&received, eq(b"\x00\x00\x00\x00\x03end\x00\x00\x00\x00"));
    });
}

/// The proofs that build 4f1d2c8 computes for these nonces; peers and relays of all builds check them.
#[gtest]
fn proofs_are_those_of_earlier_builds() {
    let hex = |role| -> String {
        let proof = prove(KEY, role, &[1; 32], &[2; 32], "entry-1");
        proof.iter().map(|byte| format!("{byte:02x}")).collect()
    };
    let initiator = "025cfd2fad174ca45a90ad8d02b7cb86ab40a407d4405f3bceb65a99475136d5";
    let responder = "b844be40191e8fe932b46b272b2076bc76032afc06b1aa5b9f84665de6d77525";
    expect_that!(hex(Role::Initiator), eq(initiator));
    expect_that!(hex(Role::Responder), eq(responder));
}

#[gtest]
fn a_status_that_only_a_newer_build_knows_is_that_of_a_relay_that_cannot_tell() {
    run(|fixture| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = listener.local_addr().unwrap().to_string();
        let answer = async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(&[1; 32]).await.unwrap();
            let mut request = [0; 32 + 32 + 9 + 3];
            stream.read_exact(&mut request).await.unwrap();
            stream.write_all(&[99]).await.unwrap();
        };
        fixture.executor.spawn(answer).detach();
        let result = connect(&relay, KEY, "entry-1", &"a".into()).await;
        expect_that!(matches!(result, Err(Error::Unable(_))), eq(true));
    });
}

/// Serves as an endpoint that responds to the first bytes and resets its connection.
async fn respond_and_reset(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut received = [0; 64];
        stream.read(&mut received).await.unwrap();
        stream.write_all(b"early").await.unwrap();
        sleep_ms(50).await;
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    }
}

// Closing the connection with unread bytes reset it, and the instance could lose the response.
#[gtest]
fn a_response_is_received_although_the_endpoint_resets_its_connection_while_more_is_sent() {
    run(|fixture| async move {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = endpoint.local_addr().unwrap().to_string().into();
        fixture.executor.spawn(respond_and_reset(endpoint)).detach();
        let known = Known { address, ..fixture.known };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = listener.local_addr().unwrap().to_string();
        let server = Server::new(KEY.to_vec(), Box::new(known));
        fixture.executor.spawn(server.clone().serve(fixture.executor.clone(), listener)).detach();
        let mut stream = connect(&relay, KEY, "entry-1", &"a".into()).await.unwrap();
        let mut writer = stream.clone();
        let was_reset = Rc::new(Cell::new(false));
        let recorder = was_reset.clone();
        let send = async move {
            recorder.set(writer.write_all(&vec![b'x'; 16_000_000]).await.is_err());
            smol::future::pending().await
        };
        let receive = async {
            sleep_ms(200).await;
            let mut received = Vec::new();
            let ended = stream.read_to_end(&mut received).await;
            (received, ended.is_ok())
        };
        let (received, has_ended) = smol::future::or(receive, send).await;
        let mut expected = header(5).to_vec();
        expected.extend_from_slice(b"early");
        expect_that!(received, eq(&expected));
        expect_that!((has_ended, was_reset.get()), eq((true, false)));
        drop(stream);
        sleep_ms(50).await;
        expect_that!(server.connections(), eq(0));
    });
}

/// Returns the number of open connections to a port that the operating system probes.
fn probed_to(port: u16) -> usize {
    const ESTABLISHED: &str = "01";
    const PROBES: &str = "02:";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!(":{port:04X}");
    let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    let is_probed = |row: &Vec<&str>| {
        row[2].ends_with(&remote) && row[3] == ESTABLISHED && row[5].starts_with(PROBES)
    };
    rows.filter(is_probed).count()
}

#[gtest]
fn a_relayed_connection_is_probed_on_both_ways() {
    run(|fixture| async move {
        let stream = connect_to(&fixture, KEY, "a").await.unwrap();
        let own = stream.local_addr().unwrap();
        for address in [fixture.relay.as_str(), fixture.known.address.as_str()] {
            let port = address.rsplit(':').next().unwrap().parse().unwrap();
            while probed_to(port) == 0 {
                sleep_ms(10).await;
            }
        }
        // The relay probes the instance as well.
        while probed_to(own.port()) == 0 {
            sleep_ms(10).await;
        }
    });
}
