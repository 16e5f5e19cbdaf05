//! Summarizes the ends of all requests in log files: which were not served, when, why and for which
//! client accounts; the retry times given to refused callers and the ends of their repeated
//! requests; which sizes were served; and for how long requests held slots.

use super::lines::{self, Line};
use super::sizes::Sizes;
use super::timed_attempts;
use crate::arguments::Summary;
use crate::exit::Error;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The length of an interval of the time tables, in milliseconds.
const SECOND_MS: u64 = 1_000;

/// Prints the summary of the requests in the files.
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

/// Counts of requests by how they ended.
#[derive(Clone, Debug, Default)]
struct EndCounts {
    served: u64,
    /// The requests that were not served, by how they ended.
    unserved: BTreeMap<String, u64>,
}

impl EndCounts {
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

/// The requests of one rank of a service.
#[derive(Clone, Debug, Default)]
struct Rank {
    first: EndCounts,
    /// The requests of callers that return after a refusal.
    returned: EndCounts,
    /// The total time for which they held slots, in milliseconds.
    held_ms: u64,
}

/// The waits and the retry times of requests that were refused for one reason.
#[derive(Clone, Debug, Default)]
struct Refusals {
    waited_ms: Vec<u64>,
    retry_after_ms: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Second {
    ends: EndCounts,
    /// The total time for which requests of each rank held slots, in milliseconds.
    held_ms: BTreeMap<u64, u64>,
}

#[derive(Debug, Default)]
struct Totals {
    ranks: BTreeMap<(String, u64), Rank>,
    accounts: BTreeMap<String, EndCounts>,
    refusals: BTreeMap<String, Refusals>,
    sizes: Sizes,
    /// By second of arrival since the Unix epoch.
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
        self.sizes.add(line);
        let retry_after_ms = line.number("retry_after_ms");
        if retry_after_ms > 0 {
            let refusals = self.refusals.entry(end.to_owned()).or_default();
            refusals.waited_ms.push(line.number("waited_ms"));
            refusals.retry_after_ms.push(retry_after_ms);
        }
        let arrived_ms = line.time_ms.saturating_sub(line.number("total_ms"));
        self.seconds.entry(arrived_ms / SECOND_MS).or_default().ends.add(end);
        let mut ended_ms = line.time_ms;
        let attempts: Vec<u64> = timed_attempts(line).map(|(_, _, took_ms)| took_ms).collect();
        for took_ms in attempts.into_iter().rev() {
            rank.held_ms += took_ms;
            let started_ms = ended_ms.saturating_sub(took_ms);
            add_held(&mut self.seconds, rank_number, started_ms, ended_ms);
            ended_ms = started_ms;
        }
    }

    /// Returns the seconds, numbered from the first one.
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
        for (end, refusals) in &self.refusals {
            let (waited, after) =
                (quartiles(&refusals.waited_ms), quartiles(&refusals.retry_after_ms));
            let count = refusals.waited_ms.len();
            println!("{end:>16}: {count:>6}; waited {waited:?}, told {after:?} (quartiles)");
        }
        self.sizes.print();
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
        let refusals = self.refusals.iter().map(|(end, refusals)| {
            let quartiles = json!({
                "count": refusals.waited_ms.len(),
                "waited_ms": quartiles(&refusals.waited_ms),
                "retry_after_ms": quartiles(&refusals.retry_after_ms),
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
            "refusals": refusals.collect::<serde_json::Map<_, _>>(),
            "sizes": self.sizes.json(),
            "seconds": seconds.collect::<Vec<_>>(),
        })
    }
}

/// Divides the time from `started_ms` to `ended_ms`, for which a request held a slot, among the
/// seconds in which it lies.
fn add_held(seconds: &mut BTreeMap<u64, Second>, rank: u64, started_ms: u64, ended_ms: u64) {
    let mut at_ms = started_ms;
    while at_ms < ended_ms {
        let next_ms = ((at_ms / SECOND_MS + 1) * SECOND_MS).min(ended_ms);
        let second = seconds.entry(at_ms / SECOND_MS).or_default();
        *second.held_ms.entry(rank).or_default() += next_ms - at_ms;
        at_ms = next_ms;
    }
}

/// Returns the lower quartile, the median and the upper quartile; zeros if there are no values.
fn quartiles(values: &[u64]) -> [u64; 3] {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = |quarter: usize| sorted.get((sorted.len() * quarter / 4).min(sorted.len() - 1));
    if sorted.is_empty() { [0; 3] } else { [1, 2, 3].map(|quarter| *at(quarter).unwrap_or(&0)) }
}
