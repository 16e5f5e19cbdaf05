//! Tests of the route document and its lookups.

use googletest::prelude::*;
use lycheehub_routes::check::{Error, check};
use lycheehub_routes::table::choose_target;
use lycheehub_routes::{
    AccountSpec, Document, RequestKind, RouteSpec, RouteTable, ServiceSpec, Target,
};

fn route(name: &str, host: &str, path_prefix: &str) -> RouteSpec {
    RouteSpec {
        regions: vec![],
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
        cold_start: None,
        name: "labels".into(),
        health_path: "/health".into(),
        connections_max: None,
        engine: None,
    };
    Document { version: 1, routes, services: vec![labels], ..Document::default() }
}

fn account(name: &str, keys: &[&str]) -> AccountSpec {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    AccountSpec { regions: vec![], name: name.into(), keys, tier: None, quota: None }
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
fn each_violated_rule_is_reported() {
    let mut unknown = route("a", "h", "/a/");
    unknown.targets[0].service = "gone".into();
    let mut zero_weight = route("a", "h", "/a/");
    zero_weight.targets[0].weight = 0;
    let mut zero_timeout = route("a", "h", "/a/");
    zero_timeout.timeout_ms = 0;
    let duplicate = vec![route("a", "h", "/a/"), route("b", "H", "/a/")];
    let mut shared = document(vec![]);
    shared.accounts = vec![account("x", &["k1"]), account("y", &["k2", "k1"])];

    expect_that!(
        check(&document(vec![unknown])),
        err(eq(&Error::UnknownService("a".into(), "gone".into())))
    );
    expect_that!(check(&document(vec![zero_weight])), err(eq(&Error::NoWeight("a".into()))));
    expect_that!(check(&document(vec![zero_timeout])), err(eq(&Error::NoTimeout("a".into()))));
    expect_that!(
        check(&document(duplicate)),
        err(eq(&Error::DuplicateRoute("a".into(), "b".into())))
    );
    expect_that!(check(&shared), err(eq(&Error::SharedKey("x".into(), "y".into()))));
}

#[gtest]
fn key_is_looked_up_to_its_account() {
    let mut document = document(vec![]);
    document.accounts = vec![account("x", &["k1"]), account("y", &["k2"])];
    let table = RouteTable::new(document);
    expect_that!(table.account_of("k2").map(|account| account.name.as_str()), some(eq("y")));
    expect_that!(table.account_of("k3").is_none(), eq(true));
}

#[gtest]
fn requests_are_distributed_by_weight() {
    let targets = [
        Target { service: "old".into(), weight: 90 },
        Target { service: "new".into(), weight: 10 },
        Target { service: "none".into(), weight: 0 },
    ];
    let chosen = |n: u32| choose_target(&targets, &format!("r{n}")).map(|s| s.to_string());
    let new = (0..10_000).filter(|n| chosen(*n).as_deref() == Some("new")).count();
    expect_that!(new, all![gt(850), lt(1_150)]);
    expect_that!((0..10_000).any(|n| chosen(n).as_deref() == Some("none")), eq(false));
}
