//! Version moves and load orders with real processes, while leaders are killed.

use crate::support::{
    NO_REPLY_PAUSE, PATIENCE, Site, StopFlag, TRUCK_KEY, document, rfc3339_in, stdout,
};
use lycheehub_standin::caller::{Call, send};
use lycheehub_standin::cluster::{Cluster, Layout, eventually};
use lycheehub_standin::endpoint::{Faults, Options};
use std::sync::atomic::Ordering;
use std::time::Duration;

fn order(id: &str, to: &str, seconds: u64) -> String {
    let by = rfc3339_in(seconds);
    format!("\n[move.{id}]\nservice = \"label-writer\"\nto = \"{to}\"\nby = \"{by}\"\n")
}

/// Starts callers that send requests until the returned flag is dropped.
fn start_traffic(site: &Site) -> (StopFlag, Vec<std::thread::JoinHandle<()>>) {
    let stop = StopFlag::new();
    let caller = |number: usize| {
        let (stop, addresses) = (stop.share(), site.cluster.addresses());
        std::thread::spawn(move || {
            let mut turn = number;
            while !stop.load(Ordering::Relaxed) {
                turn += 1;
                let call = Call::chat("label-writer", &format!("{number} {turn}"), 4, false)
                    .key(TRUCK_KEY);
                // The test checks the records of the endpoints, not the replies.
                if smol::block_on(send(&addresses[turn % addresses.len()], &call)).is_err() {
                    std::thread::sleep(NO_REPLY_PAUSE);
                }
            }
        })
    };
    let threads = (0..6).map(caller).collect();
    (stop, threads)
}

fn phase(site: &Site, at: usize, id: &str) -> String {
    let reply = site.cluster.read(at, "moves").map(|reply| reply.json()).unwrap_or_default();
    reply["moves"][id]["phase"].as_str().unwrap_or("").to_owned()
}

fn kill_leader(cluster: &mut Cluster) -> usize {
    let leader = cluster.leader(&[0, 1, 2]).expect("a leader is found");
    cluster.kill(leader);
    leader
}

#[test]
fn a_bad_version_is_reverted_and_stays_reverted_after_a_leader_kill() {
    let mut site = Site::start("moves_bad", &Layout::default());
    site.add(Options::default());
    site.add(Options { name: "engine-2".into(), version: "v2".into(), ..Options::default() });
    site.endpoints[1].set_faults(Faults { fail: 1.0, ..Faults::default() });
    let (stop, threads) = start_traffic(&site);
    site.apply("labels", labels_revision(&site), "bad", &(document() + &order("bad", "v2", 60)));
    assert!(eventually(PATIENCE, || phase(&site, 0, "bad") == "reverted"));
    std::thread::sleep(Duration::from_secs(1));
    let to_bad = || site.records.ran().iter().filter(|ran| ran.version == "v2").count();
    let after_revert = to_bad();
    let killed = kill_leader(&mut site.cluster);
    std::thread::sleep(Duration::from_secs(3));
    site.cluster.spawn(killed).expect("starts");
    assert!(site.cluster.wait_ready(killed, PATIENCE));
    for at in 0..3 {
        assert!(eventually(PATIENCE, || phase(&site, at, "bad") == "reverted"));
    }
    drop(stop);
    threads.into_iter().for_each(|thread| thread.join().expect("caller"));
    let to_bad = site.records.ran().iter().filter(|ran| ran.version == "v2").count();
    assert_eq!(to_bad, after_revert, "requests after the revert");
    assert!(to_bad <= 40, "{to_bad} requests to a version that always fails");
}

fn labels_revision(site: &Site) -> u64 {
    let reply = site.cluster.read(0, "sections/labels").expect("read");
    reply.json()["revision"].as_u64().expect("revision")
}

#[test]
fn a_good_version_is_loaded_by_orders_and_done_in_time_despite_a_leader_kill() {
    let mut site = Site::start("moves_orders", &Layout::default());
    for number in 1..=3 {
        let fencing = number != 2;
        let name = format!("engine-{number}");
        site.add(Options { name, fencing, takes_orders: true, seed: number, ..Options::default() });
    }
    let (stop, threads) = start_traffic(&site);
    site.apply("labels", labels_revision(&site), "good", &(document() + &order("good", "v2", 45)));
    assert!(eventually(PATIENCE, || phase(&site, 0, "good") == "canary"
        || phase(&site, 0, "good") == "ramp"));
    let killed = kill_leader(&mut site.cluster);
    site.cluster.spawn(killed).expect("starts");
    assert!(site.cluster.wait_ready(killed, PATIENCE));
    let shown = stdout(&site.command(&["moves", "--wait", "good"]));
    assert!(shown.lines().last().is_some_and(|line| line.starts_with("done")), "{shown}");
    // The last endpoint of the old version loads the new one only after the move is done.
    let loaded = || {
        let reply = site.cluster.read(0, "endpoints").expect("read").json();
        let endpoints = reply["endpoints"].as_array().cloned().unwrap_or_default();
        endpoints.len() == 3 && endpoints.iter().all(|endpoint| endpoint["version"] == "v2")
    };
    assert!(eventually(PATIENCE, loaded));
    drop(stop);
    threads.into_iter().for_each(|thread| thread.join().expect("caller"));
    let orders = site.records.ordered();
    for number in 1..=3 {
        let name = format!("engine-{number}");
        let fences: Vec<_> =
            orders.iter().filter(|order| order.endpoint == name).map(|order| order.fence).collect();
        assert!(fences.is_sorted(), "orders out of sequence at {name}: {fences:?}");
    }
    assert!(orders.iter().all(|order| order.version == "v2"));
}
