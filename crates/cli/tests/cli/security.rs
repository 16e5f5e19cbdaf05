//! Peers, operators, endpoints and callers without the right key are refused, and keys are not logged.

use crate::support::{PATIENCE, Site};
use lycheehub_standin::caller::{Call, send};
use lycheehub_standin::cluster::{Layout, OTHER_OPERATOR_KEY, eventually, submit_to};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn an_instance_with_a_wrong_peer_key_cannot_join() {
    let mut site = Site::start("security_peer", &Layout { others: 1, ..Layout::default() });
    site.cluster.kill(3);
    std::fs::write(site.cluster.folder().join("peer.key"), "quite another peer key\n")
        .expect("written");
    site.cluster.spawn(3).expect("starts");
    assert!(eventually(PATIENCE, || site.cluster.log(0).contains("peer refused: wrong key")
        || site.cluster.log(1).contains("peer refused: wrong key")
        || site.cluster.log(2).contains("peer refused: wrong key")));
    assert!(!site.cluster.wait_ready(3, Duration::from_secs(1)));
}

#[test]
fn a_key_of_one_kind_is_refused_for_another() {
    let site = Site::start("security_kinds", &Layout { replicas: 1, ..Layout::default() });
    let address = &site.cluster.instances[0].http;
    for key in [crate::support::TRUCK_KEY, lycheehub_standin::cluster::ENDPOINT_KEY, ""] {
        let reply =
            submit_to(address, key, "mine", 0, "r", "owner = \"operator\"\n").expect("answered");
        assert_eq!(reply.status, 401);
    }
    // Another operator is authorized to submit, but not to change a section with a different owner.
    let reply = submit_to(address, OTHER_OPERATOR_KEY, "labels", 1, "r", "owner = \"other\"\n")
        .expect("answered");
    assert!(matches!(reply.status, 409 | 422), "{}", reply.json());
    let announce =
        Call::post("/v1/endpoints/announce").key(crate::support::TRUCK_KEY).body(b"{}".to_vec());
    assert_eq!(smol::block_on(send(address, &announce)).expect("answered").status, 401);
}

#[test]
fn an_operators_key_is_replaced_without_a_restart() {
    let site = Site::start("security_rotate", &Layout { replicas: 1, ..Layout::default() });
    let address = &site.cluster.instances[0].http;
    std::fs::write(site.cluster.folder().join("operators.keys"), "operator a-new-key\n")
        .expect("written");
    let read = |key: &str| {
        let call = Call::get("/v1/operators/sections").key(key);
        smol::block_on(send(address, &call)).expect("answered").status
    };
    assert!(eventually(PATIENCE, || read("a-new-key") == 200));
    assert_eq!(read(lycheehub_standin::cluster::OPERATOR_KEY), 401);
}

#[test]
fn keys_are_not_logged() {
    let site = Site::start("security_log", &Layout { replicas: 1, ..Layout::default() });
    let call = Call::chat("label-writer", "hello", 1, false).key(crate::support::TRUCK_KEY);
    site.send(0, &call);
    let log = site.cluster.log(0);
    for key in [
        crate::support::TRUCK_KEY,
        lycheehub_standin::cluster::OPERATOR_KEY,
        "a peer key for tests only",
    ] {
        assert!(!log.contains(key));
    }
}

#[test]
fn random_bytes_on_either_port_do_not_stop_the_instance() {
    let site = Site::start("security_rubbish", &Layout { replicas: 1, ..Layout::default() });
    let instance = &site.cluster.instances[0];
    for round in 0..200_u64 {
        let bytes: Vec<u8> = (0..512)
            .map(|at| (round.wrapping_mul(6_364_136_223_846_793_005).rotate_left(at) >> 7) as u8)
            .collect();
        for address in [&instance.http, &instance.peer] {
            let mut stream = TcpStream::connect(address).expect("connects");
            // The write fails if the instance closes the connection at the first invalid byte.
            let _ = stream.write_all(&bytes);
        }
    }
    assert!(site.cluster.wait_ready(0, PATIENCE));
    assert!(!site.cluster.log(0).contains("panicked"));
}
