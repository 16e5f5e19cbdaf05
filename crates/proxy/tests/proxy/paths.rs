//! An instance that has lost its path to endpoints reaches them through another one, and directly again
//! once the path is back.

use crate::support::{Fixture, get, read_all, read_request, reset, run, sleep_ms, stream};
use futures_lite::AsyncWriteExt;
use googletest::prelude::*;
use lycheehub_dispatch::Outcome;
use lycheehub_relay::{Endpoints, Server};
use lycheehub_types::EndpointName;
use rustix::net::{self, AddressFamily, SocketType};
use smol::net::{TcpListener, TcpStream};
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// The endpoints as another instance knows them.
#[derive(Clone, Default)]
pub struct Known {
    address: Rc<RefCell<Option<String>>>,
    is_proven: Rc<Cell<bool>>,
}

impl Endpoints for Known {
    fn address(&self, _: &EndpointName) -> Option<SmolStr> {
        self.address.borrow().as_deref().map(SmolStr::new)
    }

    fn is_path_proven(&self) -> bool {
        self.is_proven.get()
    }

    fn is_accepting(&self) -> bool {
        true
    }
}

thread_local! {
    /// The addresses at which nothing listens, each with the socket that keeps it from others.
    static RESERVED: RefCell<BTreeMap<String, OwnedFd>> = RefCell::default();
}

/// Returns an address at which nothing listens.
pub async fn closed_address() -> String {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    net::bind(&socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = SocketAddr::try_from(net::getsockname(&socket).unwrap()).unwrap();
    // Stays bound, so that no other test listens there.
    RESERVED.with_borrow_mut(|reserved| reserved.insert(address.to_string(), socket));
    address.to_string()
}

/// Listens at a reserved address.
fn listen_at(address: &str) -> TcpListener {
    let socket = RESERVED.with_borrow_mut(|reserved| reserved.remove(address)).unwrap();
    net::listen(&socket, 16).unwrap();
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true).unwrap();
    listener.try_into().unwrap()
}

/// Starts another instance that relays connections, and cuts the instance off from `endpoints`
/// endpoints; the other instance connects to one that answers with `script`.
pub async fn cut_off<F: Future<Output = ()> + 'static>(
    fixture: &Fixture,
    endpoints: usize,
    script: impl Fn(TcpStream, u32) -> F + 'static,
) -> Known {
    fixture.add_endpoint(script).await;
    let reached = fixture.placement.addresses.borrow_mut().pop();
    for _ in 0..endpoints {
        let address = closed_address().await;
        fixture.placement.addresses.borrow_mut().push(address);
    }
    let known = Known::default();
    *known.address.borrow_mut() = reached;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    *fixture.relays.address.borrow_mut() = Some(listener.local_addr().unwrap().to_string());
    let server = Server::new(b"key".to_vec(), Box::new(known.clone()));
    let executor = fixture.executor.clone();
    fixture.executor.spawn(server.serve(executor, listener)).detach();
    known
}

async fn answer(mut stream: TcpStream, _: u32) {
    read_request(&mut stream).await;
    let response = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
    stream.write_all(response.as_bytes()).await.unwrap();
}

fn safe() -> String {
    get("/safe/")
}

fn unsafe_request() -> String {
    get("/unsafe/")
}

#[gtest]
fn requests_are_served_through_another_instance_without_waiting_for_the_lost_path_each_time() {
    run(|fixture| async move {
        cut_off(&fixture, 3, answer).await;
        for _ in 0..6 {
            expect_that!(fixture.request(&safe()).await, ends_with("ok"));
        }
        expect_that!(fixture.entry.paths.all_lost(), eq(true));
        expect_that!(*fixture.placement.path_lost.borrow(), elements_are![eq(&true)]);
        let outcomes = fixture.placement.outcomes.borrow();
        expect_that!(*outcomes, each(eq(&Outcome::Answered)));
    });
}

#[gtest]
fn the_way_back_is_direct() {
    run(|fixture| async move {
        cut_off(&fixture, 2, answer).await;
        for _ in 0..4 {
            fixture.request(&safe()).await;
        }
        expect_that!(fixture.entry.paths.all_lost(), eq(true));
        // Both endpoints listen again where the instance expects them.
        let addresses = fixture.placement.addresses.borrow().clone();
        for address in addresses {
            let listener = listen_at(&address);
            let task = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    answer(stream, 0).await;
                }
            };
            fixture.executor.spawn(task).detach();
        }
        sleep_ms(1_200).await;
        let asked = fixture.relays.asked.get();
        for _ in 0..4 {
            expect_that!(fixture.request(&safe()).await, ends_with("ok"));
        }
        expect_that!(fixture.relays.asked.get(), eq(asked));
        expect_that!(*fixture.placement.path_lost.borrow(), elements_are![eq(&true), eq(&false)]);
    });
}

#[gtest]
fn an_endpoint_that_others_do_not_reach_either_is_reported_so() {
    run(|fixture| async move {
        let known = cut_off(&fixture, 1, answer).await;
        *known.address.borrow_mut() = Some(closed_address().await);
        for is_proven in [false, true] {
            known.is_proven.set(is_proven);
            fixture.request(&safe()).await;
            let outcomes = fixture.placement.outcomes.borrow().clone();
            expect_that!(outcomes, each(eq(&Outcome::NotConnected)));
            expect_that!(fixture.placement.confirmed.take(), each(eq(&is_proven)));
        }
        expect_that!(fixture.entry.paths.all_lost(), eq(false));
    });
}

#[gtest]
fn without_another_instance_nothing_gets_worse() {
    run(|fixture| async move {
        let address = closed_address().await;
        fixture.placement.addresses.borrow_mut().push(address);
        let response = fixture.request(&safe()).await;
        expect_that!(response, starts_with("HTTP/1.1 503"));
        expect_that!(fixture.entry.paths.all_lost(), eq(false));
    });
}

#[gtest]
fn an_answer_whose_connection_is_lost_on_the_way_is_not_complete() {
    run(|fixture| async move {
        // The endpoint's answer has no length; its connection is reset in the middle.
        cut_off(&fixture, 1, |mut stream, _| async move {
            read_request(&mut stream).await;
            let part = "HTTP/1.1 200 OK\r\nid: r1\r\n\r\nhalf of";
            stream.write_all(part.as_bytes()).await.unwrap();
            sleep_ms(50).await;
            reset(stream);
        })
        .await;
        let response = fixture.request(&unsafe_request()).await;
        expect_that!(response, starts_with("HTTP/1.1 502"));
    });
}

#[gtest]
fn an_answer_without_length_is_complete_after_an_orderly_end() {
    run(|fixture| async move {
        cut_off(&fixture, 1, |mut stream, _| async move {
            read_request(&mut stream).await;
            let whole = "HTTP/1.1 200 OK\r\nid: r1\r\n\r\nwhole";
            stream.write_all(whole.as_bytes()).await.unwrap();
        })
        .await;
        expect_that!(fixture.request(&unsafe_request()).await, ends_with("whole"));
    });
}

#[gtest]
fn a_request_that_may_have_run_is_not_sent_again() {
    run(|fixture| async move {
        let arrived = Rc::new(Cell::new(0));
        let counted = arrived.clone();
        cut_off(&fixture, 2, move |mut stream, _| {
            let counted = counted.clone();
            async move {
                read_request(&mut stream).await;
                counted.set(counted.get() + 1);
            }
        })
        .await;
        let response = fixture.request(&unsafe_request()).await;
        expect_that!(response, starts_with("HTTP/1.1 502"));
        expect_that!(arrived.get(), eq(1));
    });
}

#[gtest]
fn the_callers_leaving_reaches_the_endpoint() {
    run(|fixture| async move {
        let closed = Rc::new(Cell::new(false));
        let noted = closed.clone();
        cut_off(&fixture, 1, move |mut endpoint, _| {
            let noted = noted.clone();
            async move {
                read_request(&mut endpoint).await;
                read_all(&mut endpoint).await;
                noted.set(true);
            }
        })
        .await;
        let mut caller = fixture.connect().await;
        caller.write_all(stream("/stream/").as_bytes()).await.unwrap();
        sleep_ms(200).await;
        expect_that!(closed.get(), eq(false));
        drop(caller);
        sleep_ms(300).await;
        expect_that!(closed.get(), eq(true));
    });
}

#[gtest]
fn a_relay_that_is_paused_costs_no_more_than_its_timeout() {
    run(|fixture| async move {
        let address = closed_address().await;
        fixture.placement.addresses.borrow_mut().push(address);
        // It accepts connections, as the kernel does for a paused process, and says nothing.
        let paused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        *fixture.relays.address.borrow_mut() = Some(paused.local_addr().unwrap().to_string());
        let started = std::time::Instant::now();
        let response = fixture.request(&unsafe_request()).await;
        expect_that!(response, starts_with("HTTP/1.1 503"));
        expect_that!(started.elapsed().as_millis(), lt(1_800));
        expect_that!(fixture.entry.paths.all_lost(), eq(false));
    });
}

#[gtest]
fn a_sound_endpoint_that_is_silent_for_a_second_loses_no_request_and_is_not_cut_off() {
    run(|fixture| async move {
        fixture
            .add_endpoint(|mut endpoint, _| async move {
                read_request(&mut endpoint).await;
                sleep_ms(1_200).await;
                let response = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nok";
                endpoint.write_all(response.as_bytes()).await.unwrap();
            })
            .await;
        expect_that!(fixture.request(&unsafe_request()).await, ends_with("ok"));
        expect_that!(fixture.relays.asked.get(), eq(0));
    });
}

#[gtest]
fn a_stream_that_broke_off_at_the_relay_is_not_continued_by_an_error() {
    let events = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Type: text/event-stream\r\n";
    let error = "{\"error\":\"oops\"}\n\n";
    let length = format!("Content-Length: {}\r\n\r\n", error.len());
    let seconds = [
        format!("HTTP/1.1 500 Broke\r\nid: r1\r\n{length}{error}"),
        format!("HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\n{length}{error}"),
        format!("HTTP/1.1 200 OK\r\nid: r1\r\n{length}{error}"),
        format!("{events}{length}{error}"),
        format!("{events}\r\n"),
    ];
    for second in seconds {
        run(|fixture| async move {
            let sent = second.clone();
            cut_off(&fixture, 2, move |mut stream, number| {
                let sent = sent.clone();
                async move {
                    read_request(&mut stream).await;
                    let first = format!("{events}\r\nid: 1\ndata: a\n\n");
                    let bytes = if number == 1 { first } else { sent };
                    stream.write_all(bytes.as_bytes()).await.unwrap();
                    sleep_ms(50).await;
                    if number == 1 {
                        reset(stream);
                    }
                }
            })
            .await;
            let response = fixture.request(&stream("/resume/")).await;
            expect_that!(response, ends_with("\r\nid: 1\ndata: a\n\n\r\n"), "{second}");
        });
    }
}
