//! The command line: output, exit codes and error messages.

use crate::support::{BINARY, Site, document, folder, stdout};
use lycheehub_standin::cluster::{Cluster, Layout};
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().expect("the binary runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn the_examples_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut files = Vec::new();
    for site in ["barreiro", "silverbath"] {
        for file in std::fs::read_dir(examples.join(site)).expect("folder") {
            let path = file.expect("file").path();
            if path.extension().is_some_and(|extension| extension == "toml") {
                files.push(path.to_string_lossy().into_owned());
            }
        }
    }
    assert_eq!(files.len(), 8);
    let mut arguments = vec!["check"];
    arguments.extend(files.iter().map(String::as_str));
    stdout(&run(&arguments));
}

#[test]
fn errors_in_files_are_reported_with_line_and_column() {
    let folder = folder("command_line_files");
    std::fs::create_dir_all(&folder).expect("made");
    let cases = [
        ("owner = 3\n", ":1:9:"),
        ("owner = \"a\"\n[service.x]\nkind = \"engine\"\nversion = \"v 1\"\n", ":4:11:"),
        ("owner = \"a\"\ncolour = 1\n", ":2:1:"),
        ("owner = \"a\"\n[account.b]\nkey_sha256 = \"12\"\ntier = 0\n", ":3:14:"),
        ("owner = \"a\"\n[move.m]\nservice = \"s\"\nto = \"v\"\nby = \"tomorrow\"\n", ":5:6:"),
        (
            "[instance]\nname = \"a\"\nfailure_domain = \"b\"\nhttp = \"here\"\npeer = \"127.0.0.1:1\"\n[keys]\npeer_file=\"p\"\noperators_file=\"o\"\nendpoints_file=\"e\"\n",
            "cannot read keys",
        ),
    ];
    for (at, (text, expected)) in cases.iter().enumerate() {
        let path = folder.join(format!("{at}.toml"));
        std::fs::write(&path, text).expect("written");
        let output = run(&["check", &path.to_string_lossy()]);
        assert_eq!(output.status.code(), Some(3));
        assert!(stderr(&output).contains(expected), "{}", stderr(&output));
    }
}

#[test]
fn errors_in_platform_files_are_reported_with_line_and_column() {
    let folder = folder("command_line_platform");
    std::fs::create_dir_all(&folder).expect("made");
    let settings = "node_name = \"entry-1\"\nip = \"10.1.0.25\"\nzone = \"salto\"\n\
                    internal_port_range = [7600, 7615]\n[limits]\nmax_fds = 1000\n";
    let route = r#"{"hostname": "a", "path_prefix": "/a/", "kind": "safe", "timeout_ms": 0,
                    "service": "s"}"#;
    let document = |route: &str| {
        format!(r#"{{"version": 3, "services": [{{"name": "s"}}], "routes": [{route}]}}"#)
    };
    let cases = [
        ("good.toml", settings.to_owned(), None),
        ("bad.toml", settings.replace("7615]", "\"x\"]"), Some("line 4, column 30")),
        ("good.json", document(&route.replace("ms\": 0", "ms\": 900")), None),
        ("bad.json", document(route), Some("timeout")),
        ("cut.json", document(route)[..40].to_owned(), Some("line 1 column 40")),
    ];
    for (name, text, expected) in cases {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("written");
        let output = run(&["check", &path.to_string_lossy()]);
        let code = if expected.is_some() { 3 } else { 0 };
        assert_eq!(output.status.code(), Some(code), "{name}: {}", stderr(&output));
        assert!(stderr(&output).contains(expected.unwrap_or("")), "{name}: {}", stderr(&output));
    }
}

#[test]
fn a_daemon_that_cannot_start_reports_the_cause() {
    let folder = folder("command_line_start");
    let cluster =
        Cluster::lay_out(Path::new(BINARY), &folder, &Layout { replicas: 1, ..Layout::default() })
            .expect("laid out");
    let settings = folder.join("entry-1.toml").to_string_lossy().into_owned();
    let held = std::net::TcpListener::bind(&cluster.instances[0].http).expect("free");
    let output = run(&["serve", "--settings", &settings]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("is another instance running there?"), "{}", stderr(&output));
    drop(held);
    std::fs::write(&cluster.instances[0].data, "not a folder").expect("written");
    let output = run(&["serve", "--settings", &settings]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("cannot open the data folder"), "{}", stderr(&output));
    let output = run(&["serve", "--settings", "/nowhere.toml"]);
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn operators_apply_read_and_compare() {
    let site = Site::start("command_line_operators", &Layout { replicas: 1, ..Layout::default() });
    let file = site.cluster.folder().join("labels.toml");
    let path = file.to_string_lossy().into_owned();
    std::fs::write(&file, document() + "# new\n").expect("written");
    let shown = stdout(&site.command(&["apply", "--section", "labels", "--dry-run", &path]));
    assert!(shown.lines().any(|line| line == "+ # new"), "{shown}");
    let shown = stdout(&site.command(&["apply", "--section", "labels", "--wait", &path]));
    assert!(shown.contains("in force on every live instance"), "{shown}");
    assert_eq!(stdout(&site.command(&["get", "labels"])), document() + "# new\n");
    assert!(stdout(&site.command(&["get"])).starts_with("SECTION"));
    assert!(stdout(&site.command(&["instances"])).contains("entry-1"));
    assert!(stdout(&site.command(&["instances", "--json"])).starts_with('{'));
    assert!(stdout(&site.command(&["endpoints"])).starts_with("ENDPOINT"));
    assert!(stdout(&site.command(&["moves"])).starts_with("MOVE"));
    let output = site.command(&["apply", "--section", "labels", "--base", "1", &path]);
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
    std::fs::write(&file, "owner = \"somebody\"\n").expect("written");
    let output = site.command(&["apply", "--section", "mine", &path]);
    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
    assert!(stderr(&output).contains("belongs to"), "{}", stderr(&output));
}

#[test]
fn an_unreachable_instance_is_reported_with_the_failed_step() {
    let output = Command::new(BINARY)
        .args(["get", "--to", "127.0.0.1:1"])
        .output()
        .expect("the binary runs");
    assert_eq!(output.status.code(), Some(5));
    assert!(stderr(&output).contains("connect at 127.0.0.1:1"), "{}", stderr(&output));
}
