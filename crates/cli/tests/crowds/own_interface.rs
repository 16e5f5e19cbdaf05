//! The same crowds at an instance of the project's own interface.

use crate::crowd::{Crowd, Form};
use crate::deployment::{descriptors_of, memory_of};
use crate::site::{Site, TRUCK_KEY};
use crate::{MIB, OTHER_DESCRIPTORS, turn};
use googletest::prelude::*;
use lycheehub_standin::caller::{Call, Reply};
use lycheehub_standin::cluster::Layout;
use lycheehub_standin::endpoint::Options;
use lycheehub_types::EndpointKind;

/// The memory of the machine of the instance.
const MEMORY_MIB: u64 = 320;
/// The largest body that the settings allow, in bytes.
const BODY_MAX_BYTES: usize = 2 * 1024 * 1024;
/// The connections of a crowd: a fifth more than the machine has memory for.
const CROWD: usize = 192;

/// Starts an instance and an endpoint.
fn start(test: &str) -> Site {
    let limits = format!("drain_ms = 200\nbody_max_bytes = {BODY_MAX_BYTES}\n");
    let layout = Layout { replicas: 1, limits, ..Layout::default() };
    let mut site = Site::start(test, &layout);
    site.add(Options {
        name: "invoices-1".to_owned(),
        kind: EndpointKind::Plain,
        service: "invoices".into(),
        ..Options::default()
    });
    site
}

/// Sends a request that an endpoint answers.
fn send(site: &Site, body: Vec<u8>) -> Reply {
    let call = Call::post("/v1/services/invoices/lots").key(TRUCK_KEY);
    site.send(0, &call.body(body))
}

/// Lets a crowd send bodies of this form, and then an ordinary caller a request.
fn crowd_at(test: &str, form: Form) {
    let _turn = turn();
    let site = start(test);
    let process = site.cluster.process(0).unwrap();
    let address = &site.cluster.instances[0].http;
    let head = format!(
        "POST /v1/services/invoices/crowd HTTP/1.1\r\nHost: crates.example\r\n\
         Authorization: Bearer {TRUCK_KEY}\r\n"
    );
    let crowd = Crowd::start(address, &head, form, CROWD, BODY_MAX_BYTES);
    let most_bytes = crowd.most_memory_while_sending(|| memory_of(process));
    expect_that!(most_bytes / MIB, le(MEMORY_MIB), "memory in MiB");
    // While all of them are still open.
    expect_that!(send(&site, b"lot 7".to_vec()).status, eq(200));
    expect_that!(memory_of(process) / MIB, le(MEMORY_MIB), "memory in MiB");
    expect_that!(descriptors_of(process), le(2 * CROWD + OTHER_DESCRIPTORS));
    drop(crowd);
}

#[gtest]
fn own_interface_whole_large_bodies_at_once_stay_within_memory() {
    crowd_at("crowd_whole", Form::Whole);
}

#[gtest]
fn own_interface_large_bodies_that_stop_short_stay_within_memory() {
    crowd_at("crowd_short", Form::Short);
}

#[gtest]
fn own_interface_large_bodies_in_pieces_that_stop_short_stay_within_memory() {
    crowd_at("crowd_pieces", Form::Pieces);
}

#[gtest]
fn own_interface_bodies_in_large_chunks_that_stop_short_stay_within_memory() {
    crowd_at("crowd_large_chunks", Form::LargeChunks);
}

#[gtest]
fn own_interface_bodies_in_small_chunks_that_stop_short_stay_within_memory() {
    crowd_at("crowd_small_chunks", Form::SmallChunks);
}

#[gtest]
fn own_interface_bodies_that_announce_far_too_much_stay_within_memory() {
    crowd_at("crowd_announced", Form::AnnouncedTooLong);
}

#[gtest]
fn own_interface_bodies_that_send_far_too_much_stay_within_memory() {
    crowd_at("crowd_sent", Form::SentTooLong);
}

#[gtest]
fn own_interface_one_request_of_the_largest_size_is_served_in_calm() {
    let _turn = turn();
    let site = start("crowd_calm");
    expect_that!(send(&site, vec![b'a'; BODY_MAX_BYTES]).status, eq(200));
}
