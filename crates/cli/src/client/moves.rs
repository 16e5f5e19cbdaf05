//! Shows version moves.

use super::{Call, Client, table};
use crate::arguments::Moves;
use crate::exit::{Code, Error};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often `--wait` looks again, in milliseconds.
const LOOK_MS: u64 = 250;

#[derive(Deserialize)]
struct Reply {
    moves: BTreeMap<String, Move>,
}

#[derive(Clone, Deserialize)]
struct Move {
    spec: Spec,
    from: String,
    phase: String,
    share_permille: u32,
    step: u64,
    reason: String,
    in_time: bool,
}

#[derive(Clone, Deserialize)]
struct Spec {
    service: String,
    to: String,
}

/// Shows all moves, or waits for one.
pub fn run(options: &Moves) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    if let Some(id) = &options.wait {
        return wait(&client, id);
    }
    let reply = client.call(&Call::get("moves"))?;
    let found: Reply = reply.json()?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&reply.body));
        return Ok(());
    }
    let head = ["MOVE", "SERVICE", "FROM", "TO", "PHASE", "SHARE", "IN TIME", "REASON"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for (id, entry) in found.moves {
        rows.push(vec![
            id,
            entry.spec.service,
            entry.from,
            entry.spec.to,
            entry.phase,
            share(entry.share_permille),
            if entry.in_time { "yes" } else { "no" }.to_owned(),
            entry.reason,
        ]);
    }
    table::print(&rows);
    Ok(())
}

fn share(permille: u32) -> String {
    format!("{}.{}%", permille / 10, permille % 10)
}

fn wait(client: &Client, id: &str) -> Result<(), Error> {
    let mut shown = None;
    loop {
        let found: Reply = client.call(&Call::get("moves"))?.json()?;
        let Some(entry) = found.moves.get(id) else {
            return Err(Error::new(Code::Failed, format!("no move is named {id:?}")));
        };
        if shown != Some(entry.step) {
            println!("{} {} {}", entry.phase, share(entry.share_permille), entry.reason);
            shown = Some(entry.step);
        }
        match entry.phase.as_str() {
            "done" => return Ok(()),
            "reverted" | "superseded" => {
                return Err(Error::new(
                    Code::Reverted,
                    format!("{id} was {}: {}", entry.phase, entry.reason),
                ));
            }
            _ => std::thread::sleep(Duration::from_millis(LOOK_MS)),
        }
    }
}
