//! Summarizes by size which requests of a rank were served, and which rules refused the others.
//!
//! The sizes are those of the prompts and of the expected responses, in tokens. Each is divided into
//! classes at fixed fractions of the requests, the largest last.

use super::lines::Line;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The upper bounds of the classes, as fractions of the requests ordered by size.
const CLASS_ENDS: [f64; 5] = [0.25, 0.5, 0.7, 0.9, 1.0];
/// A refusal after at most this time was made at once, in milliseconds.
const AT_ONCE_MS: u64 = 8;

/// A size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Measure {
    Prompt,
    Output,
}

impl Measure {
    const ALL: [Self; 2] = [Self::Prompt, Self::Output];

    fn field(self) -> &'static str {
        match self {
            Self::Prompt => "prompt_tokens",
            Self::Output => "output_tokens",
        }
    }
}

/// A request with its size and its end.
#[derive(Clone, Debug)]
struct SizedRequest {
    tokens: u64,
    is_served: bool,
    refused_at_once: bool,
    rule: String,
}

/// The requests of one class of size.
#[derive(Clone, Debug, Default)]
pub(super) struct SizeClass {
    tokens_max: u64,
    count: u64,
    served: u64,
    refused_at_once: u64,
    /// The refused requests, by the rule that refused them.
    refused: BTreeMap<String, u64>,
}

impl SizeClass {
    fn of(requests: &[SizedRequest]) -> Self {
        let mut class = Self::default();
        for request in requests {
            class.tokens_max = class.tokens_max.max(request.tokens);
            class.count += 1;
            class.served += u64::from(request.is_served);
            class.refused_at_once += u64::from(request.refused_at_once);
            if !request.rule.is_empty() {
                *class.refused.entry(request.rule.clone()).or_default() += 1;
            }
        }
        class
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.count.max(1) as f64
    }

    fn text(&self) -> String {
        let refused = self.refused.iter().map(|(rule, count)| format!("{rule} {count}"));
        format!(
            "{:.2} of {} up to {} (at once {}; {})",
            self.share(),
            self.count,
            self.tokens_max,
            self.refused_at_once,
            refused.collect::<Vec<_>>().join(", "),
        )
    }

    fn json(&self) -> Value {
        json!({
            "tokens_max": self.tokens_max, "count": self.count, "served": self.served,
            "refused_at_once": self.refused_at_once, "refused_by_rule": self.refused,
        })
    }
}

/// The requests with a size, by service, rank and measure.
#[derive(Debug, Default)]
pub(super) struct Sizes {
    requests: BTreeMap<(String, u64, Measure), Vec<SizedRequest>>,
}

impl Sizes {
    /// Adds the line of a request; those without a size, and those refused by a quota, are left out.
    pub(super) fn add(&mut self, line: &Line) {
        let has_size = Measure::ALL.iter().any(|measure| line.number(measure.field()) > 0);
        if !has_size || line.text("end") == "quota_exceeded" {
            return;
        }
        let rule = line.text("rule").to_owned();
        for measure in Measure::ALL {
            let key = (line.text("service").to_owned(), line.number("rank"), measure);
            self.requests.entry(key).or_default().push(SizedRequest {
                tokens: line.number(measure.field()),
                is_served: line.text("end").starts_with('2'),
                refused_at_once: !rule.is_empty() && line.number("waited_ms") <= AT_ONCE_MS,
                rule: rule.clone(),
            });
        }
    }

    /// Returns the classes of each service, rank and measure, the smallest first.
    fn rows(&self) -> impl Iterator<Item = (&(String, u64, Measure), Vec<SizeClass>)> {
        self.requests.iter().map(|(key, requests)| (key, classes_of(requests)))
    }

    pub(super) fn print(&self) {
        println!("\nserved share by size in tokens, without refusals by a quota");
        for ((service, rank, measure), classes) in self.rows() {
            println!("{service} rank {rank} by {}", measure.field());
            for class in classes {
                println!("    {}", class.text());
            }
        }
    }

    pub(super) fn json(&self) -> Value {
        let rows = self.rows().map(|((service, rank, measure), classes)| {
            let classes: Vec<Value> = classes.iter().map(SizeClass::json).collect();
            json!({ "service": service, "rank": rank, "by": measure.field(), "classes": classes })
        });
        Value::Array(rows.collect())
    }
}

fn classes_of(requests: &[SizedRequest]) -> Vec<SizeClass> {
    let mut sorted = requests.to_vec();
    sorted.sort_by_key(|request| request.tokens);
    let mut start = 0;
    let mut classes = Vec::new();
    for fraction in CLASS_ENDS {
        let end = (sorted.len() as f64 * fraction).round() as usize;
        classes.push(SizeClass::of(&sorted[start..end]));
        start = end;
    }
    classes
}
