//! Lists version moves, or waits for one.

use super::{Call, Client, table};
use crate::arguments::Moves;
use crate::exit::{Code, Error};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The polling interval of `--wait`, in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;

#[derive(Deserialize)]
struct MoveList {
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

/// Lists all moves, or waits for one to end.
pub fn run(options: &Moves) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    if let Some(id) = &options.wait {
        return wait(&client, id);
    }
    let response = client.call(&Call::get("moves"))?;
    let list: MoveList = response.json()?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let header = ["MOVE", "SERVICE", "FROM", "TO", "PHASE", "SHARE", "IN TIME", "REASON"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for (id, entry) in list.moves {
        rows.push(vec![
            id,
            entry.spec.service,
            entry.from,
            entry.spec.to,
            entry.phase,
            format_share(entry.share_permille),
            if entry.in_time { "yes" } else { "no" }.to_owned(),
            entry.reason,
        ]);
    }
    table::print(&rows);
    Ok(())
}

fn format_share(permille: u32) -> String {
    format!("{}.{}%", permille / 10, permille % 10)
}

fn wait(client: &Client, id: &str) -> Result<(), Error> {
    let mut shown_step = None;
    loop {
        let list: MoveList = client.call(&Call::get("moves"))?.json()?;
        let Some(entry) = list.moves.get(id) else {
            return Err(Error::new(Code::Failed, format!("no move is named {id:?}")));
        };
        if shown_step != Some(entry.step) {
            println!("{} {} {}", entry.phase, format_share(entry.share_permille), entry.reason);
            shown_step = Some(entry.step);
        }
        match entry.phase.as_str() {
            "done" => return Ok(()),
            "reverted" | "superseded" => {
                return Err(Error::new(
                    Code::Reverted,
                    format!("{id} was {}: {}", entry.phase, entry.reason),
                ));
            }
            _ => std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS)),
        }
    }
}
