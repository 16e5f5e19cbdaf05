//! Tests of the route document.

use googletest::prelude::*;
use lycheehub_routes::check::{Error, check};
use lycheehub_routes::table::draw_target;
use lycheehub_routes::{
    AccountSpec, Document, RequestKind, RouteSpec, RouteTable, ServiceSpec, Target,
};

fn route(name: &str, host: &str, path_prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RequestKind::Unsafe,
        timeout_ms: 800,
        objective_ms: 100,
        gap_objective_ms: None,
        patience_ms: None,
        rank: 2,
        targets: vec![Target { service: "labels".into(), weight: 1 }],
        attempts_max: 1,
        anonymous: false,
    }
}

fn document(routes: Vec<RouteSpec>) -> Document {
    let labels = ServiceSpec {
        name: "labels".into(),
        health_path: "/health".into(),
        connections_max: None,
        engine: None,
    };
    Document { version: 1, routes, services: vec![labels], ..Document::default() }
}

fn account(name: &str, keys: &[&str]) -> AccountSpec {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    AccountSpec { name: name.into(), keys, tier: None, quota: None }
}

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("all", "salto.example", "/"),
        route("print", "salto.example", "/print/"),
        route("other", "canelones.example", "/print/commit/"),
    ];
    let table = RouteTable::new(document(routes));
    let name = |host: &str, path: &str| table.route(host, path).map(|route| route.name.clone());
    expect_that!(name("salto.example", "/print/commit/1"), some(eq("print")));
    expect_that!(name("SALTO.example:8080", "/printed"), some(eq("all")));
    expect_that!(name("canelones.example", "/print/"), none());
    expect_that!(name("unknown.example", "/print/"), none());
}

#[gtest]
fn each_broken_rule_is_named() {
    let mut unknown = route("a", "h", "/a/");
    unknown.targets[0].service = "gone".into();
    let mut weightless = route("a", "h", "/a/");
    weightless.targets[0].weight = 0;
    let mut hurried = route("a", "h", "/a/");
    hurried.timeout_ms = 0;
    let twice = vec![route("a", "h", "/a/"), route("b", "H", "/a/")];
    let mut shared = document(vec![]);
    shared.accounts = vec![account("x", &["k1"]), account("y", &["k2", "k1"])];

    expect_that!(
        check(&document(vec![unknown])),
        err(eq(&Error::UnknownService("a".into(), "gone".into())))
    );
    expect_that!(check(&document(vec![weightless])), err(eq(&Error::NoWeight("a".into()))));
    expect_that!(check(&document(vec![hurried])), err(eq(&Error::NoTimeout("a".into()))));
    expect_that!(check(&document(twice)), err(eq(&Error::SamePlace("a".into(), "b".into()))));
    expect_that!(check(&shared), err(eq(&Error::SharedKey("x".into(), "y".into()))));
}

#[gtest]
fn a_key_leads_to_its_account() {
    let mut document = document(vec![]);
    document.accounts = vec![account("x", &["k1"]), account("y", &["k2"])];
    let table = RouteTable::new(document);
    expect_that!(table.account_of("k2").map(|account| account.name.as_str()), some(eq("y")));
    expect_that!(table.account_of("k3").is_none(), eq(true));
}

#[gtest]
fn weights_part_the_requests() {
    let targets = [
        Target { service: "old".into(), weight: 90 },
        Target { service: "new".into(), weight: 10 },
        Target { service: "none".into(), weight: 0 },
    ];
    let drawn = |n: u32| draw_target(&targets, &format!("r{n}")).map(|s| s.to_string());
    let new = (0..10_000).filter(|n| drawn(*n).as_deref() == Some("new")).count();
    expect_that!(new, all![gt(850), lt(1_150)]);
    expect_that!((0..10_000).any(|n| drawn(n).as_deref() == Some("none")), eq(false));
}
