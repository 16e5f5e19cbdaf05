//! Answers of engines that belong to another request, or to none.

use crate::support::{PATIENCE, Site, TRUCK_KEY};
use lycheehub_standin::caller::{Call, send};
use lycheehub_standin::cluster::{ENDPOINT_KEY, Layout, eventually};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

/// How often an engine announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const FIRST_EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"first \"}}]}\n\n";

/// What an engine does with a request.
#[derive(Clone, Debug, Default)]
struct Scripted {
    /// What it sends.
    sent: String,
    /// Whether it closes the connection then.
    closes: bool,
    /// What it sends some time later.
    late: Option<String>,
}

/// Decides by the number of the request, from 0, and whether it came first on its connection.
type Script = Arc<dyn Fn(usize, bool) -> Scripted + Send + Sync>;

fn answer(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn reads_request(reader: &mut BufReader<TcpStream>) -> bool {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return false;
        }
        if line == "\r\n" {
            return reader.read_exact(&mut vec![0; length]).is_ok();
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().expect("a length");
        }
    }
}

fn serve(stream: TcpStream, script: &Script, count: &AtomicUsize, late: &mpsc::Sender<()>) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let mut writer = stream;
    let mut is_first = true;
    while reads_request(&mut reader) {
        let scripted = script(count.fetch_add(1, Ordering::Relaxed), is_first);
        is_first = false;
        if writer.write_all(scripted.sent.as_bytes()).is_err() || scripted.closes {
            return;
        }
        if let Some(bytes) = scripted.late {
            std::thread::sleep(Duration::from_millis(100));
            // The instance may have closed the connection.
            let _ = writer.write_all(bytes.as_bytes());
            late.send(()).expect("the test waits");
        }
    }
}

/// Starts `engines` engines with one script for all their requests; returns a receiver of what they have
/// sent late.
fn start(site: &Site, engines: usize, script: Script) -> mpsc::Receiver<()> {
    let (late, receiver) = mpsc::channel();
    let count = Arc::new(AtomicUsize::new(0));
    for number in 0..engines {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
        let address = listener.local_addr().expect("bound").to_string();
        let (script, count, late) = (script.clone(), count.clone(), late.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, count, late) = (script.clone(), count.clone(), late.clone());
                std::thread::spawn(move || serve(stream, &script, &count, &late));
            }
        });
        announce(site, format!("scripted-{number}"), address);
    }
    let seen = |number: usize| site.granted_slots(0, &format!("scripted-{number}")).is_some();
    assert!(eventually(PATIENCE, || (0..engines).all(seen)), "the engines are not seen");
    receiver
}

/// Announces an engine as long as the test runs.
fn announce(site: &Site, name: String, address: String) {
    let to = site.cluster.instances[0].http.clone();
    std::thread::spawn(move || {
        for sequence in 1_u64.. {
            let record = serde_json::json!({
                "endpoint": name, "address": address, "service": "label-writer", "version": "v1",
                "kind": "engine", "failure_domain": "salto", "slots": 8, "incarnation": 1,
                "sequence": sequence,
            });
            let call = Call::post("/v1/endpoints/announce").key(ENDPOINT_KEY);
            let sent = smol::block_on(send(&to, &call.body(record.to_string().into_bytes())));
            if sent.is_err() {
                return;
            }
            std::thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
}

fn site(test: &str) -> Site {
    Site::start(test, &Layout { replicas: 1, ..Layout::default() })
}

/// Returns all bytes of the instance's answer to a request for a stream.
fn streamed(site: &Site) -> String {
    let body = "{\"model\":\"label-writer\",\"messages\":[],\"max_tokens\":3,\"stream\":true}";
    let mut stream = TcpStream::connect(&site.cluster.instances[0].http).expect("connects");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TRUCK_KEY}\r\n\
         X-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len(),
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut received = Vec::new();
    // A reset ends a broken stream as well as a close does.
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn an_answer_that_is_no_continuation_is_not_found_in_a_broken_stream() {
    let json = "Content-Type: application/json\r\n";
    let events = "Content-Type: text/event-stream\r\n";
    let error = "{\"error\":\"oops\"}\n\n";
    let done = format!("{error}data: [DONE]\n\n");
    let seconds = [
        answer("404 None", json, error),
        answer("409 No", events, &done),
        answer("500 Broke", json, error),
        answer("503 Full", &format!("{json}x-not-run: true\r\n"), error),
        answer("200 OK", json, &done),
        answer("200 OK", events, ""),
    ];
    for (number, second) in seconds.into_iter().enumerate() {
        // Each has its own instance: after such failures an instance refuses requests for a while.
        let site = site(&format!("answers_continuation_{number}"));
        let begun = format!("HTTP/1.1 200 OK\r\n{events}Content-Length: 900\r\n\r\n{FIRST_EVENT}");
        let scripted = second.clone();
        start(
            &site,
            2,
            Arc::new(move |number, _| Scripted {
                sent: if number == 0 { begun.clone() } else { scripted.clone() },
                closes: true,
                late: None,
            }),
        );
        let received = streamed(&site);
        assert!(received.contains(FIRST_EVENT), "{second}\n{received}");
        assert!(!received.contains("oops"), "{second}\n{received}");
        assert!(!received.contains("[DONE]"), "{second}\n{received}");
        assert!(!received.ends_with("0\r\n\r\n"), "{second}\n{received}");
        assert_eq!(received.matches("HTTP/1.1").count(), 1, "{second}\n{received}");
    }
}

#[test]
fn a_refusal_on_a_used_connection_does_not_tell_that_a_request_has_not_run() {
    let site = site("answers_refusal");
    let refused = answer("503 Full", "x-not-run: true\r\n", "");
    start(
        &site,
        1,
        Arc::new(move |_, is_first| Scripted {
            sent: if is_first { answer("200 OK", "", "{}") } else { refused.clone() },
            ..Scripted::default()
        }),
    );
    for _ in 0..3 {
        let reply = site.send(0, &Call::chat("label-writer", "hello", 3, false).key(TRUCK_KEY));
        assert!(reply.status == 200 || !reply.not_run(), "{} {}", reply.status, reply.json());
    }
}

// The request was sent to further endpoints, and its caller was told that it had not run.
#[test]
fn a_success_that_states_that_it_was_not_run_leaves_the_request_unknown() {
    let site = site("answers_success");
    let claimed = answer("200 OK", "x-not-run: true\r\n", "{}");
    start(
        &site,
        1,
        Arc::new(move |_, _| Scripted { sent: claimed.clone(), ..Scripted::default() }),
    );
    let reply = site.send(0, &Call::chat("label-writer", "hello", 3, false).key(TRUCK_KEY));
    assert!(!reply.not_run(), "{} {}", reply.status, reply.json());
    assert_eq!(reply.status, 502, "{}", reply.json());
}

#[test]
fn an_answer_to_an_earlier_request_is_not_given_to_the_next() {
    let site = site("answers_late");
    let late = start(
        &site,
        1,
        Arc::new(move |number, _| Scripted {
            sent: answer("200 OK", "", &format!("{{\"number\":{number}}}")),
            closes: false,
            late: (number == 0).then(|| answer("200 OK", "", "{\"number\":9}")),
        }),
    );
    let call = Call::chat("label-writer", "hello", 3, false).key(TRUCK_KEY);
    assert_eq!(site.send(0, &call).json()["number"], 0);
    late.recv_timeout(PATIENCE).expect("sent late");
    assert_eq!(site.send(0, &call).json()["number"], 1);
}
