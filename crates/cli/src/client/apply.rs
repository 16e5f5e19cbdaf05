//! Submits a section.

use super::{Call, Client};
use crate::arguments::Apply;
use crate::exit::{Code, Error};
use http_types::Method;
use lycheehub_estate::diff::{Line, lines};
use rand::RngCore;
use serde::Deserialize;
use std::time::Duration;

/// The polling interval of `--wait`, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

#[derive(Deserialize)]
struct CurrentSection {
    revision: u64,
    text: String,
}

#[derive(Deserialize)]
struct Accepted {
    revision: u64,
}

#[derive(Deserialize)]
struct Instances {
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
struct Instance {
    instance: String,
    live: bool,
    revision_in_force: u64,
}

/// Submits a section, or shows what a submission would change.
pub fn run(options: &Apply) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    let text = std::fs::read_to_string(&options.file).map_err(|error| {
        Error::new(Code::Invalid, format!("cannot read {}: {error}", options.file))
    })?;
    lycheehub_estate::parse(&text)
        .map_err(|error| Error::new(Code::Invalid, format!("{}:{error}", options.file)))?;
    if options.dry_run {
        let current = fetch_current(&client, &options.section)?;
        return print_diff(&current.text, &text, options.json);
    }
    let base = match options.base {
        Some(base) => base,
        None => fetch_current(&client, &options.section)?.revision,
    };
    let request_id =
        options.request_id.clone().unwrap_or_else(|| format!("{:016x}", rand::rng().next_u64()));
    submit(&client, options, base, &request_id, text)
}

fn submit(
    client: &Client,
    options: &Apply,
    base: u64,
    request_id: &str,
    text: String,
) -> Result<(), Error> {
    let call = Call {
        method: Method::Put,
        path: format!("sections/{}", options.section),
        headers: vec![
            ("x-base-revision", base.to_string()),
            ("x-request-id", request_id.to_owned()),
        ],
        body: text.into_bytes(),
    };
    let resend = format!(
        "lycheehub apply --section {} --base {base} --request-id {request_id} {}",
        options.section, options.file
    );
    let with_resend = |error: Error| error.with_repeat(&resend);
    let response = client.call(&call).map_err(with_resend)?;
    let accepted: Accepted = response.json().map_err(with_resend)?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&response.body));
    } else {
        println!("accepted as revision {}", accepted.revision);
    }
    if options.wait { wait_in_force(client, accepted.revision) } else { Ok(()) }
}

fn fetch_current(client: &Client, section: &str) -> Result<CurrentSection, Error> {
    let response = client.call(&Call::get(format!("sections/{section}")))?;
    if response.status == 404 {
        return Ok(CurrentSection { revision: 0, text: String::new() });
    }
    response.json()
}

fn print_diff(old: &str, new: &str, json: bool) -> Result<(), Error> {
    let diff = lines(old, new);
    if json {
        let changed: Vec<String> = diff.iter().filter_map(format_change).collect();
        println!("{}", serde_json::json!({ "changed": changed }));
        return Ok(());
    }
    for line in &diff {
        match line {
            Line::Same(text) => println!("  {text}"),
            changed => println!("{}", format_change(changed).unwrap_or_default()),
        }
    }
    Ok(())
}

fn format_change(line: &Line) -> Option<String> {
    match line {
        Line::Same(_) => None,
        Line::Removed(text) => Some(format!("- {text}")),
        Line::Added(text) => Some(format!("+ {text}")),
    }
}

fn wait_in_force(client: &Client, revision: u64) -> Result<(), Error> {
    loop {
        let instances: Instances = client.call(&Call::get("instances"))?.json()?;
        let behind: Vec<&str> = instances
            .instances
            .iter()
            .filter(|instance| instance.live && instance.revision_in_force < revision)
            .map(|instance| instance.instance.as_str())
            .collect();
        if behind.is_empty() {
            println!("in force on every live instance");
            return Ok(());
        }
        println!("not yet in force on {}", behind.join(", "));
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}
