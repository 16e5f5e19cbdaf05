//! One run through all features with three processes, compared with a golden file.

use crate::support::{PATIENCE, Site, TRUCK_KEY, document, rfc3339_in, stdout};
use goldenfile::Mint;
use lycheehub_standin::caller::{Call, Streamed, chat_messages, stream};
use lycheehub_standin::cluster::{Layout, eventually};
use lycheehub_standin::endpoint::{Faults, Options, token_text};
use lycheehub_types::EndpointKind;
use std::fmt::Write as _;
use std::io::Write as _;

fn text_of(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|at| token_text(&chat_messages(prompt), at)).collect()
}

#[test]
fn an_end_to_end_run_matches_the_golden_file() {
    let mut transcript = String::new();
    let mut site = Site::start("whole_path", &Layout::default());
    writeln!(transcript, "apply: accepted and in force on 3 instances").unwrap();
    site.add(Options::default());
    let plain = Options {
        name: "invoices-1".into(),
        kind: EndpointKind::Plain,
        service: "invoices".into(),
        ..Options::default()
    };
    site.add(plain);
    writeln!(transcript, "announce: engine-1 and invoices-1 seen by 3 instances").unwrap();
    streamed_request(&site, &mut transcript);
    buffered_request(&site, &mut transcript);
    plain_service(&site, &mut transcript);
    version_move(&mut site, &mut transcript);
    endpoint_leaving(&site, &mut transcript);
    graceful_stop(&mut site, &mut transcript);
    let mut mint = Mint::new("tests/cli/golden");
    let mut golden = mint.new_goldenfile("whole_path.txt").expect("golden file");
    golden.write_all(transcript.as_bytes()).expect("written");
}

fn streamed_request(site: &Site, transcript: &mut String) {
    for at in 0..3 {
        let prompt = format!("label for crate {at}");
        let call = Call::chat("label-writer", &prompt, 5, true).key(TRUCK_KEY);
        let mut streamed = Streamed::default();
        let address = &site.cluster.instances[at].http;
        smol::block_on(stream(address, &call, &mut streamed)).expect("streamed");
        let whole = streamed.done && streamed.text == text_of(&prompt, 5);
        writeln!(transcript, "stream at instance {at}: {} tokens, whole: {whole}", streamed.tokens)
            .unwrap();
    }
}

fn buffered_request(site: &Site, transcript: &mut String) {
    let call = Call::chat("label-writer", "declare lot 7", 4, false).key(TRUCK_KEY);
    let reply = site.send(1, &call);
    let text = reply.json()["choices"][0]["message"]["content"].as_str().unwrap_or("").to_owned();
    let whole = text == text_of("declare lot 7", 4);
    writeln!(transcript, "whole answer: status {}, whole: {whole}", reply.status).unwrap();
}

fn plain_service(site: &Site, transcript: &mut String) {
    let call = Call::post("/v1/services/invoices/invoice/17").key(TRUCK_KEY);
    let call = call.header("idempotency-key", "invoice-17").body(b"{\"crates\":40}".to_vec());
    let first = site.send(0, &call);
    let resend = site.send(2, &call);
    let ran = site.records.ran().iter().filter(|ran| ran.path == "/invoice/17").count();
    writeln!(
        transcript,
        "invoice: status {}, resend elsewhere: status {}, same answer: {}, ran {ran} time",
        first.status,
        resend.status,
        first.body == resend.body
    )
    .unwrap();
}

fn version_move(site: &mut Site, transcript: &mut String) {
    let next = Options { name: "engine-2".into(), version: "v2".into(), ..Options::default() };
    site.add(next);
    let order = format!(
        "\n[move.writer-v2]\nservice = \"label-writer\"\nto = \"v2\"\nby = \"{}\"\n",
        rfc3339_in(8)
    );
    let base = site.cluster.read(0, "sections/labels").expect("read").json()["revision"].as_u64();
    site.apply("labels", base.expect("revision"), "second", &(document() + &order));
    let shown = stdout(&site.command(&["moves", "--wait", "writer-v2"]));
    let last =
        shown.lines().last().and_then(|line| line.split(' ').next()).unwrap_or("").to_owned();
    writeln!(transcript, "move writer-v2: {last}").unwrap();
    let call = Call::chat("label-writer", "after the move", 2, false).key(TRUCK_KEY);
    site.send(0, &call);
    let by = site.records.ran().last().map(|ran| ran.version.clone()).unwrap_or_default();
    writeln!(transcript, "served after the move by {by}").unwrap();
}

fn endpoint_leaving(site: &Site, transcript: &mut String) {
    let leaving = &site.endpoints[1];
    leaving.set_faults(Faults { leaving: true, ..Faults::default() });
    let gone = eventually(PATIENCE, || {
        (0..3).all(|at| {
            let reply = site.cluster.read(at, "endpoints").expect("read").json();
            let endpoints = reply["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints
                .iter()
                .any(|entry| entry["endpoint"] == "invoices-1" && entry["leaving"] == true)
        })
    });
    let before = site.records.ran().len();
    let reply = site.send(1, &Call::post("/v1/services/invoices/invoice/18").key(TRUCK_KEY));
    let ran = site.records.ran().len() - before;
    writeln!(
        transcript,
        "invoices-1 leaving, seen by 3: {gone}; next request: {} not run: {}, ran {ran}",
        reply.code().unwrap_or_default(),
        reply.not_run()
    )
    .unwrap();
}

fn graceful_stop(site: &mut Site, transcript: &mut String) {
    let address = site.cluster.instances[0].http.clone();
    let running = std::thread::spawn(move || {
        let call = Call::chat("label-writer", "a long label", 300, true).key(TRUCK_KEY);
        let mut streamed = Streamed::default();
        let end = smol::block_on(stream(&address, &call, &mut streamed));
        (end.is_ok(), streamed)
    });
    let started = || site.endpoints.iter().any(|endpoint| endpoint.running() > 0);
    assert!(eventually(PATIENCE, started));
    site.cluster.signal(0, "TERM");
    let exit = site.cluster.wait_exit(0, PATIENCE);
    let (ended, streamed) = running.join().expect("caller");
    let whole = ended && streamed.text == text_of("a long label", 300);
    writeln!(transcript, "stop in the middle of a stream: exit {exit:?}, answer whole: {whole}")
        .unwrap();
    let call = Call::chat("label-writer", "after the stop", 2, false).key(TRUCK_KEY);
    writeln!(transcript, "other instance serves: status {}", site.send(1, &call).status).unwrap();
}
