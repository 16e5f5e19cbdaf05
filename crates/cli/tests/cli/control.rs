//! The replicated control state under failure, with instances as separate processes.

use crate::operators::{Operators, accepted, is_linearizable};
use crate::support::{BINARY, PATIENCE, Site, StopFlag, TRUCK_KEY, document, folder};
use lycheehub_standin::caller::{Call, send};
use lycheehub_standin::cluster::{Cluster, Layout, OPERATOR_KEY, eventually, submit_to};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);

fn leader(cluster: &Cluster, among: &[usize]) -> usize {
    cluster.leader(among).expect("a leader is found")
}

/// Checks that the revision in force at an instance never decreases, also across restarts.
struct RevisionMonitor {
    stop: StopFlag,
    threads: Vec<std::thread::JoinHandle<Vec<u64>>>,
}

impl RevisionMonitor {
    fn start(addresses: &[String]) -> Self {
        let stop = StopFlag::new();
        let monitor = |address: &String| {
            let (address, stop) = (address.clone(), stop.share());
            std::thread::spawn(move || {
                let mut seen = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let reply = smol::block_on(send(&address, &Call::get("/readyz")));
                    // An instance applies its configuration to requests only while it is ready.
                    if let Ok(reply) = reply
                        && reply.status == 200
                    {
                        seen.extend(reply.json()["revision"].as_u64());
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
                seen
            })
        };
        let threads = addresses.iter().map(monitor).collect();
        Self { stop, threads }
    }

    fn finish(self) {
        drop(self.stop);
        for thread in self.threads {
            let seen = thread.join().expect("watch");
            assert!(seen.is_sorted(), "a revision in force decreased");
        }
    }
}

#[test]
fn no_accepted_submission_is_lost_while_leaders_are_killed() {
    let layout = Layout { others: 2, ..Layout::default() };
    let mut site = Site::start("control_kills", &layout);
    let monitor = RevisionMonitor::start(&site.cluster.addresses());
    let operators = Operators::start(4, &site.cluster.addresses(), "race");
    for _ in 0..3 {
        std::thread::sleep(FAULT_INTERVAL);
        let killed = leader(&site.cluster, &[0, 1, 2]);
        site.cluster.kill(killed);
        std::thread::sleep(FAULT_INTERVAL);
        site.cluster.spawn(killed).expect("starts");
        assert!(site.cluster.wait_ready(killed, PATIENCE));
    }
    // An instance that stores no data restarts as well.
    site.cluster.kill(4);
    site.cluster.spawn(4).expect("starts");
    assert!(site.cluster.wait_ready(4, PATIENCE));
    let history = operators.finish();
    let accepted = accepted(&history);
    assert!(accepted.len() > 5, "only {} accepted", accepted.len());
    let newest = site.cluster.read(1, "sections/race").expect("read").json()["revision"].as_u64();
    assert_eq!(newest, accepted.iter().max().copied());
    assert!(is_linearizable(history));
    monitor.finish();
}

#[test]
fn a_second_replica_may_be_lost_right_after_the_first_is_repaired() {
    let mut site = Site::start("control_lost_disk", &Layout::default());
    let before = site.apply("race", 0, "before", "owner = \"operator\"\n");
    site.cluster.kill(0);
    site.cluster.lose_disk(0).expect("removed");
    site.cluster.spawn(0).expect("starts");
    let repaired = |site: &Site, at: usize| {
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        eventually(PATIENCE, || {
            let log = site.cluster.log(leader(&site.cluster, &others));
            log.matches("voters in force { voters=3").count() > 0
        })
    };
    assert!(repaired(&site, 0));
    site.cluster.kill(1);
    site.cluster.lose_disk(1).expect("removed");
    let reply = site.cluster.read(0, "sections/race").expect("read");
    assert_eq!(reply.json()["revision"].as_u64(), Some(before), "{}", reply.json());
    site.cluster.spawn(1).expect("starts");
    assert!(site.cluster.wait_ready(1, PATIENCE));
    site.apply("race", before, "after", "owner = \"operator\"\n# after\n");
}

#[test]
fn an_isolated_leader_commits_nothing_and_serves_no_stale_reads() {
    let layout = Layout { proxied: true, ..Layout::default() };
    let site = Site::start("control_isolated", &layout);
    let base = site.apply("race", 0, "before", "owner = \"operator\"\n");
    let old = leader(&site.cluster, &[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
    site.cluster.isolate(old, true);
    let text = "owner = \"operator\"\n# from the others\n";
    let is_accepted = eventually(PATIENCE, || {
        let reply = site.cluster.submit(others[0], "race", base, "others", text);
        reply.is_ok_and(|reply| reply.status == 200)
    });
    assert!(is_accepted);
    // The isolated leader neither accepts submissions nor serves stale reads.
    let reply = site
        .cluster
        .submit(old, "race", base, "isolated", "owner = \"operator\"\n")
        .expect("answered");
    assert!(matches!(reply.status, 503 | 504), "{}", reply.json());
    let reply = site.cluster.read(old, "sections/race").expect("answered");
    assert_eq!(reply.status, 503, "{}", reply.json());
    let new = leader(&site.cluster, &others);
    let terms = site.cluster.log(new).matches("became the leader").count();
    site.cluster.isolate(old, false);
    let is_synced = eventually(PATIENCE, || {
        let reply = site.cluster.read(old, "sections/race").expect("answered").json();
        reply["text"] == text
    });
    assert!(is_synced);
    // The old leader rejoins without causing an election.
    std::thread::sleep(FAULT_INTERVAL);
    assert_eq!(leader(&site.cluster, &[0, 1, 2]), new);
    assert_eq!(site.cluster.log(new).matches("became the leader").count(), terms);
    // The submission sent during the partition was not accepted, so its resend conflicts.
    let reply = site
        .cluster
        .submit(old, "race", base, "isolated", "owner = \"operator\"\n")
        .expect("answered");
    assert_eq!(reply.status, 409, "{}", reply.json());
}

#[test]
fn an_isolated_instance_stops_serving_with_its_old_configuration() {
    let layout = Layout { others: 1, proxied: true, ..Layout::default() };
    let site = Site::start("control_isolated_entry", &layout);
    site.cluster.isolate(3, true);
    let call = Call::chat("label-writer", "hello", 1, false).key(TRUCK_KEY);
    assert!(eventually(PATIENCE, || site.send(3, &call).code().as_deref() == Some("no_quorum")));
    assert!(site.send(3, &call).not_run());
    // The other instances still serve; the isolated one serves again after the partition.
    assert_eq!(site.send(0, &call).code().as_deref(), Some("no_endpoint"));
    site.cluster.isolate(3, false);
    assert!(site.cluster.wait_ready(3, PATIENCE));
}

#[test]
fn a_one_way_partition_of_the_leader_does_not_stop_the_others() {
    let layout = Layout { proxied: true, ..Layout::default() };
    let site = Site::start("control_one_way", &layout);
    let base = site.apply("race", 0, "before", "owner = \"operator\"\n");
    let leading = leader(&site.cluster, &[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|at| *at != leading).collect();
    // The leader no longer reaches the others, though they reach it.
    others.iter().for_each(|other| site.cluster.cut(leading, *other, true));
    let is_accepted = eventually(PATIENCE, || {
        let reply =
            site.cluster.submit(others[0], "race", base, "one-way", "owner = \"operator\"\n");
        reply.is_ok_and(|reply| reply.status == 200)
    });
    assert!(is_accepted);
}

#[test]
fn a_suspended_leader_is_replaced_and_serves_no_stale_reads_when_resumed() {
    let site = Site::start("control_frozen", &Layout::default());
    let base = site.apply("race", 0, "before", "owner = \"operator\"\n");
    let old = leader(&site.cluster, &[0, 1, 2]);
    let other = (old + 1) % 3;
    site.cluster.signal(old, "STOP");
    let text = "owner = \"operator\"\n# while frozen\n";
    let is_accepted = eventually(PATIENCE, || {
        let reply = site.cluster.submit(other, "race", base, "frozen", text);
        reply.is_ok_and(|reply| reply.status == 200)
    });
    assert!(is_accepted);
    site.cluster.signal(old, "CONT");
    let reply = site.cluster.read(old, "sections/race").expect("answered");
    assert!(reply.status == 503 || reply.json()["text"] == text, "{}", reply.json());
}

#[test]
fn a_resend_gets_the_first_reply_at_every_instance_after_restarts() {
    let mut site = Site::start("control_resend", &Layout::default());
    let revision = site.apply("race", 0, "once", "owner = \"operator\"\n");
    site.apply("race", revision, "later", "owner = \"operator\"\n# later\n");
    for at in 0..3 {
        site.cluster.kill(at);
    }
    for at in 0..3 {
        site.cluster.spawn(at).expect("starts");
    }
    assert!(site.cluster.wait_all_ready(PATIENCE));
    for at in 0..3 {
        let reply =
            site.cluster.submit(at, "race", 0, "once", "owner = \"operator\"\n").expect("answered");
        assert_eq!((reply.status, reply.json()["revision"].as_u64()), (200, Some(revision)));
    }
}

#[test]
fn without_a_quorum_a_submission_fails_promptly_as_not_applied() {
    let mut site = Site::start("control_no_quorum", &Layout::default());
    site.cluster.kill(1);
    site.cluster.kill(2);
    std::thread::sleep(Duration::from_secs(3));
    let started = Instant::now();
    let reply =
        site.cluster.submit(0, "race", 0, "alone", "owner = \"operator\"\n").expect("answered");
    assert_eq!(reply.json()["outcome"], "not_applied", "{}", reply.json());
    assert!(started.elapsed() < Duration::from_secs(8));
}

#[test]
fn a_restart_after_five_thousand_changes_reads_a_small_log() {
    const CHANGES: usize = 5_000;
    const OPERATORS: usize = 8;
    let mut site = Site::start("control_restart", &Layout::default());
    let address = site.cluster.instances[leader(&site.cluster, &[0, 1, 2])].http.clone();
    let write = |number: usize| {
        let address = address.clone();
        std::thread::spawn(move || {
            let section = format!("bulk-{number}");
            let mut base = 0;
            for count in 0..CHANGES / OPERATORS {
                let text = format!("owner = \"operator\"\n# {count}\n");
                let id = format!("{number}-{count}");
                // While a disk is slow the answer may be that the outcome is not known; the same submission is sent
                // again then, as the answer asks for, and must be accepted.
                let is_accepted = eventually(PATIENCE, || {
                    let reply = submit_to(&address, OPERATOR_KEY, &section, base, &id, &text)
                        .expect("answered");
                    if matches!(reply.status, 503 | 504) {
                        return false;
                    }
                    base = reply.json()["revision"].as_u64().expect("accepted");
                    true
                });
                assert!(is_accepted, "submission {id}");
            }
            base
        })
    };
    let writers: Vec<_> = (0..OPERATORS).map(write).collect();
    let newest = writers.into_iter().map(|writer| writer.join().expect("writer")).max();
    let restarted = 0;
    site.cluster.kill(restarted);
    let bytes: u64 = std::fs::read_dir(&site.cluster.instances[restarted].data)
        .expect("folder")
        .map(|file| file.expect("file").metadata().expect("metadata").len())
        .sum();
    assert!(bytes < 4 * 1024 * 1024, "{bytes} bytes to read");
    site.cluster.spawn(restarted).expect("starts");
    assert!(site.cluster.wait_ready(restarted, PATIENCE));
    let health = site.send(restarted, &Call::get("/healthz")).json();
    assert!(health["revision"].as_u64() >= newest, "{health}");
}

#[test]
fn a_full_disk_halts_the_replica_without_data_loss() {
    let folder = folder("control_full_disk");
    let mut cluster =
        Cluster::lay_out(Path::new(BINARY), &folder, &Layout::default()).expect("laid out");
    cluster.spawn(0).expect("starts");
    cluster.spawn(1).expect("starts");
    // The third process has a file size limit, which its log reaches.
    let script = "trap '' XFSZ; ulimit -f 40; exec \"$0\" serve --settings \"$1\"";
    let mut limited = Command::new("sh")
        .args(["-c", script, BINARY])
        .arg(folder.join("entry-3.toml"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    assert!(cluster.wait_all_ready(PATIENCE));
    let text = document() + &format!("# {}\n", "x".repeat(8_000));
    let mut base = 0;
    for count in 0..20 {
        let id = format!("fill-{count}");
        let is_accepted = eventually(PATIENCE, || {
            let reply = cluster.submit(0, "fill", base, &id, &text).expect("answered");
            base = reply.json()["revision"].as_u64().unwrap_or(base);
            reply.status == 200
        });
        assert!(is_accepted);
    }
    let reply = cluster.read(1, "sections/fill").expect("read");
    assert_eq!(reply.json()["revision"].as_u64(), Some(base));
    // Fails if the process has already exited.
    let _ = limited.kill();
    let log = limited.wait_with_output().expect("ended").stderr;
    assert!(String::from_utf8_lossy(&log).contains("control replica halted"));
}
