//! What became of all requests in log files: what was not served, when, whose and why; what refused
//! callers were told and what they found; where slots were held.

use super::attempts_timed;
use super::lines::{self, Line};
use crate::arguments::Summary;
use crate::exit::Error;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The unit of time of the tables, in milliseconds.
const SECOND_MS: u64 = 1_000;

/// Prints what became of the requests in the files.
pub fn run(options: &Summary) -> Result<(), Error> {
    let mut totals = Totals::default();
    lines::for_each(&options.files, |line| {
        if line.message == "request" {
            totals.add(&line);
        }
    })?;
    if options.json {
        println!("{}", totals.json());
    } else {
        totals.print();
    }
    Ok(())
}

/// How requests ended.
#[derive(Clone, Debug, Default)]
struct Ends {
    served: u64,
    /// Those that were not, by how they ended.
    unserved: BTreeMap<String, u64>,
}

impl Ends {
    fn add(&mut self, end: &str) {
        if end.starts_with('2') {
            self.served += 1;
        } else {
            *self.unserved.entry(end.to_owned()).or_default() += 1;
        }
    }

    fn count(&self) -> u64 {
        self.served + self.unserved.values().sum::<u64>()
    }

    fn text(&self) -> String {
        let unserved = self.unserved.iter().map(|(end, count)| format!("{end} {count}"));
        unserved.collect::<Vec<_>>().join(", ")
    }

    fn json(&self) -> Value {
        json!({ "served": self.served, "unserved": self.unserved })
    }
}

/// Requests of one rank of a service.
#[derive(Clone, Debug, Default)]
struct Rank {
    first: Ends,
    /// Those that had been refused before.
    returned: Ends,
    /// For how long they held slots, in milliseconds.
    held_ms: u64,
}

/// What callers were told that were refused for one reason.
#[derive(Clone, Debug, Default)]
struct Told {
    waited_ms: Vec<u64>,
    retry_after_ms: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Second {
    ends: Ends,
    /// For how long requests of each rank held slots, in milliseconds.
    held_ms: BTreeMap<u64, u64>,
}

#[derive(Debug, Default)]
struct Totals {
    ranks: BTreeMap<(String, u64), Rank>,
    accounts: BTreeMap<String, Ends>,
    told: BTreeMap<String, Told>,
    /// By second since the Unix epoch in which they came.
    seconds: BTreeMap<u64, Second>,
}

impl Totals {
    fn add(&mut self, line: &Line) {
        let end = line.text("end");
        let rank_number = line.number("rank");
        let key = (line.text("service").to_owned(), rank_number);
        let rank = self.ranks.entry(key).or_default();
        let is_returned = line.fields.get("returning").and_then(Value::as_bool) == Some(true);
        if is_returned {
            rank.returned.add(end)
        } else {
            rank.first.add(end)
        }
        self.accounts.entry(line.text("account").to_owned()).or_default().add(end);
        let retry_after_ms = line.number("retry_after_ms");
        if retry_after_ms > 0 {
            let told = self.told.entry(end.to_owned()).or_default();
            told.waited_ms.push(line.number("waited_ms"));
            told.retry_after_ms.push(retry_after_ms);
        }
        let came_ms = line.time_ms.saturating_sub(line.number("total_ms"));
        self.seconds.entry(came_ms / SECOND_MS).or_default().ends.add(end);
        let mut ended_ms = line.time_ms;
        let attempts: Vec<u64> = attempts_timed(line).map(|(_, _, took_ms)| took_ms).collect();
        for took_ms in attempts.into_iter().rev() {
            rank.held_ms += took_ms;
            let began_ms = ended_ms.saturating_sub(took_ms);
            hold(&mut self.seconds, rank_number, began_ms, ended_ms);
            ended_ms = began_ms;
        }
    }

    /// Returns the tables' rows by second, numbered from the first one.
    fn rows(&self) -> impl Iterator<Item = (u64, &Second)> {
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        self.seconds.iter().map(move |(second, row)| (second - first, row))
    }

    fn print(&self) {
        println!("requests by service and rank (slots held as a mean over each second: below)");
        for ((service, number), rank) in &self.ranks {
            let (first, returned) = (&rank.first, &rank.returned);
            println!(
                "{service} rank {number}: {} came, {} not served ({}); {} came back, {} not served ({}); \
                 slots held for {:.1} s",
                first.count(),
                first.count() - first.served,
                first.text(),
                returned.count(),
                returned.count() - returned.served,
                returned.text(),
                rank.held_ms as f64 / 1e3,
            );
        }
        println!("\nrequests by client account");
        for (account, ends) in &self.accounts {
            println!("{account:>16}: {:>6} served; {}", ends.served, ends.text());
        }
        println!("\nrefusals: how long they waited and when they were told to come back, in ms");
        for (end, told) in &self.told {
            let (waited, after) = (quartiles(&told.waited_ms), quartiles(&told.retry_after_ms));
            let count = told.waited_ms.len();
            println!("{end:>16}: {count:>6}; waited {waited:?}, told {after:?} (quartiles)");
        }
        println!("\nby second: slots held by rank 0, 1, ...; not served of those that came");
        for (second, row) in self.rows() {
            let held: Vec<String> = row
                .held_ms
                .values()
                .map(|held_ms| format!("{:.0}", *held_ms as f64 / SECOND_MS as f64))
                .collect();
            let (count, text) = (row.ends.count(), row.ends.text());
            println!("{second:>4} s: {:>20}; {count:>5} came; {text}", held.join(" "));
        }
    }

    fn json(&self) -> Value {
        let ranks = self.ranks.iter().map(|((service, number), rank)| {
            json!({
                "service": service, "rank": number, "first": rank.first.json(),
                "returned": rank.returned.json(), "held_ms": rank.held_ms,
            })
        });
        let accounts = self.accounts.iter().map(|(name, ends)| (name.clone(), ends.json()));
        let told = self.told.iter().map(|(end, told)| {
            let quartiles = json!({
                "count": told.waited_ms.len(),
                "waited_ms": quartiles(&told.waited_ms),
                "retry_after_ms": quartiles(&told.retry_after_ms),
            });
            (end.clone(), quartiles)
        });
        let seconds = self.rows().map(|(second, row)| {
            let held_ms: BTreeMap<String, u64> =
                row.held_ms.iter().map(|(rank, ms)| (rank.to_string(), *ms)).collect();
            json!({ "second": second, "ends": row.ends.json(), "held_ms_by_rank": held_ms })
        });
        json!({
            "ranks": ranks.collect::<Vec<_>>(),
            "accounts": accounts.collect::<serde_json::Map<_, _>>(),
            "refusals": told.collect::<serde_json::Map<_, _>>(),
            "seconds": seconds.collect::<Vec<_>>(),
        })
    }
}

/// Adds the time from `began_ms` to `ended_ms` to the seconds in which it lies.
fn hold(seconds: &mut BTreeMap<u64, Second>, rank: u64, began_ms: u64, ended_ms: u64) {
    let mut at_ms = began_ms;
    while at_ms < ended_ms {
        let next_ms = ((at_ms / SECOND_MS + 1) * SECOND_MS).min(ended_ms);
        let second = seconds.entry(at_ms / SECOND_MS).or_default();
        *second.held_ms.entry(rank).or_default() += next_ms - at_ms;
        at_ms = next_ms;
    }
}

/// Returns the quartiles, and the median between them.
fn quartiles(values: &[u64]) -> [u64; 3] {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = |quarter: usize| sorted.get((sorted.len() * quarter / 4).min(sorted.len() - 1));
    if sorted.is_empty() { [0; 3] } else { [1, 2, 3].map(|quarter| *at(quarter).unwrap_or(&0)) }
}
