//! Evacuations and the later parts of documents: they are stored after what earlier builds read.

use googletest::prelude::*;
use lycheehub_control::room::{ServiceRoom, room_by_service};
use lycheehub_control::state::{
    Command, DocumentRecord, EvacuationOrder, Feed, Reply, RolloutOrder, State,
};
use lycheehub_routes::{AccountSpec, ColdStart, Document, ServiceSpec};
use lycheehub_types::EndpointRecord;

fn order(domain: &str, begins: bool, now_unix_ms: u64) -> Command {
    let by = "10.0.0.1:40000".into();
    Command::Evacuate(EvacuationOrder { domain: domain.into(), begins, by, now_unix_ms })
}

fn evacuated(state: &State) -> Vec<&str> {
    state.evacuations.keys().map(|domain| domain.as_str()).collect()
}

fn document() -> DocumentRecord {
    let service = ServiceSpec {
        name: "writer".into(),
        health_path: "/health".into(),
        connections_max: None,
        engine: None,
        cold_start: Some(ColdStart { duration_ms: 3_000, per_s: 9.0 }),
    };
    let account = AccountSpec {
        name: "ana".into(),
        keys: vec!["k".into()],
        tier: None,
        quota: None,
        regions: vec!["south".into()],
    };
    let document = Document {
        version: 3,
        services: vec![service],
        accounts: vec![account],
        ..Document::default()
    };
    DocumentRecord { revision: 0, document, source: b"{}".to_vec() }
}

#[gtest]
fn an_evacuation_is_begun_once_and_ended_once() {
    let mut state = State::default();
    expect_that!(state.apply(1, order("salto", true, 100)), eq(&Reply::Evacuation));
    // A resend and an order for what is not evacuated are acknowledged and change nothing.
    let first = state.clone();
    expect_that!(state.apply(2, order("salto", true, 999)), eq(&Reply::Evacuation));
    expect_that!(state.apply(3, order("montevideo", false, 999)), eq(&Reply::Evacuation));
    expect_that!(state == first, eq(true));
    state.apply(4, order("montevideo", true, 200));
    expect_that!(evacuated(&state), elements_are![eq(&"montevideo"), eq(&"salto")]);
    expect_that!(state.evacuations[&"salto".into()].since_unix_ms, eq(100));
    state.apply(5, order("salto", false, 300));
    expect_that!(evacuated(&state), elements_are![eq(&"montevideo")]);
    expect_that!(state.revision, eq(5));
}

#[gtest]
fn evacuations_survive_a_snapshot_and_reach_followers() {
    let mut state = State::default();
    state.apply(1, Command::ReplaceDocument(document()));
    state.apply(2, order("salto", true, 100));
    let restored = State::decode(&state.encode()).unwrap();
    expect_that!(restored == state, eq(true));
    let mut follower = State::default();
    let feed = Feed::decode(&state.feed_after(0).encode()).unwrap();
    expect_that!(follower.apply_feed(feed), eq(true));
    expect_that!(follower.evacuations, eq(&state.evacuations));
    expect_that!(follower.document, eq(&state.document));
    // A feed without the document leaves its later parts as they are, and an end arrives too.
    state.apply(3, order("salto", false, 200));
    let feed = Feed::decode(&state.feed_after(2).encode()).unwrap();
    expect_that!(follower.apply_feed(feed), eq(true));
    expect_that!(evacuated(&follower), is_empty());
    expect_that!(follower.document, eq(&state.document));
}

#[gtest]
fn later_parts_of_a_document_pass_through_the_log() {
    let command = Command::ReplaceDocument(document());
    expect_that!(Command::decode(&command.encode()), ok(eq(&command)));
}

// Earlier builds read what they know and ignore the bytes behind it.
#[gtest]
fn bytes_with_later_parts_begin_like_those_of_earlier_builds() {
    let mut plain = document();
    plain.document.services[0].cold_start = None;
    plain.document.accounts[0].regions.clear();
    let first = Command::ReplaceDocument(plain.clone()).encode();
    let with_later = Command::ReplaceDocument(document()).encode();
    expect_that!(with_later.len(), gt(first.len()));
    expect_that!(with_later[..first.len()], eq(&first));
    let mut state = State::default();
    state.apply(1, Command::ReplaceDocument(plain));
    let first = state.encode();
    state.apply(2, order("salto", true, 100));
    // The revision, which comes first, is one byte here.
    expect_that!(state.encode()[1..first.len()], eq(&first[1..]));
}

#[gtest]
fn later_parts_that_do_not_decode_are_refused_and_foreign_bytes_ignored() {
    let command = Command::ReplaceDocument(document());
    let bytes = command.encode();
    expect_that!(Command::decode(&bytes[..bytes.len() - 1]), err(anything()));
    let rollout = Command::StartRollout(RolloutOrder {
        service: "writer".into(),
        target: "v2".into(),
        duration_ms: 1,
        now_unix_ms: 1,
    });
    let bytes = [rollout.encode(), vec![1, 2, 3]].concat();
    expect_that!(Command::decode(&bytes), ok(eq(&rollout)));
}

#[gtest]
fn the_room_of_services_beside_evacuations_is_told() {
    let endpoint = |name: &str, domain: &str, leaving| EndpointRecord {
        failure_domain: domain.into(),
        leaving,
        ..crate::directory::record(name, 1, 1)
    };
    let endpoints = [
        endpoint("a", "salto", false),
        endpoint("b", "north", false),
        endpoint("c", "north", true),
    ];
    let rooms = room_by_service(endpoints.iter(), &["salto".into()].into());
    let expected = ServiceRoom { slots: 18, slots_left: 9 };
    expect_that!(rooms[&"writer".into()], eq(expected));
}
