//! Sends requests at given rates and measures what comes back.

use crate::caller::{Call, Streamed, stream};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::channel::unbounded;
use smol::{Executor, Timer};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where to, in turn, as `address:port`.
    pub addresses: Vec<String>,
    /// The service.
    pub service: String,
    /// The keys of client accounts, by tier rank, with the share of requests of each.
    pub keys: Vec<(u8, String, f64)>,
    /// Requests per second.
    pub rate: f64,
    /// How long to send, in milliseconds.
    pub duration_ms: u64,
    /// The fewest and the most tokens of a request; drawn evenly by logarithm.
    pub tokens: (u64, u64),
    /// How many prompts' beginnings are shared, and how many bytes each has.
    pub prefixes: (usize, usize),
    /// The deadline of a request: this many milliseconds and as many more per token.
    pub deadline_ms: (u64, f64),
    /// The seed of all draws.
    pub seed: u64,
    /// How many threads send.
    pub threads: usize,
}

/// What came of one request.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The tier rank.
    pub tier: u8,
    /// Tokens that it asked for.
    pub tokens: u64,
    /// It was answered whole before its deadline.
    pub good: bool,
    /// The time to the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// The times between tokens, in milliseconds.
    pub between_ms: Vec<f64>,
    /// The code of its refusal, or `cut` where the connection failed.
    pub refused: Option<String>,
}

struct Drawn {
    at_ms: f64,
    tier: u8,
    call: Call,
    tokens: u64,
    deadline_ms: u64,
    address: String,
}

fn draw(plan: &Plan) -> Vec<Drawn> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut drawn = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let pause: f64 = rng.random_range(f64::EPSILON..1.0);
        at_ms += -pause.ln() / plan.rate * 1e3;
        if at_ms >= plan.duration_ms as f64 {
            return drawn;
        }
        let (low, high) = (plan.tokens.0 as f64, plan.tokens.1 as f64);
        let tokens = rng.random_range(low.ln()..=high.ln()).exp() as u64;
        let deadline_ms = plan.deadline_ms.0 + (plan.deadline_ms.1 * tokens as f64) as u64;
        let (tier, key) = draw_key(plan, rng.random());
        let prompt = draw_prompt(plan, &mut rng, drawn.len());
        let call = Call::chat(&plan.service, &prompt, tokens, true)
            .key(&key)
            .header("x-deadline-ms", &deadline_ms.to_string());
        let address = plan.addresses[drawn.len() % plan.addresses.len()].clone();
        drawn.push(Drawn { at_ms, tier, call, tokens, deadline_ms, address });
    }
}

fn draw_key(plan: &Plan, mut part: f64) -> (u8, String) {
    for (tier, key, share) in &plan.keys {
        if part < *share {
            return (*tier, key.clone());
        }
        part -= share;
    }
    plan.keys.last().map(|(tier, key, _)| (*tier, key.clone())).unwrap_or_default()
}

fn draw_prompt(plan: &Plan, rng: &mut SmallRng, number: usize) -> String {
    if plan.prefixes.0 == 0 {
        return format!("request {number}");
    }
    let prefix = rng.random_range(0..plan.prefixes.0);
    let line = format!("lot history {prefix:04} of the packhouse; ");
    let mut text = line.repeat(plan.prefixes.1 / line.len() + 1);
    text.truncate(plan.prefixes.1);
    text + &format!("request {number}")
}

/// Sends all requests at their times, whether earlier ones were answered or not.
pub fn run(plan: &Plan) -> Vec<Sent> {
    let executor = Arc::new(Executor::new());
    let (done, results) = unbounded();
    let begun = Instant::now();
    let drawn = draw(plan);
    let count = drawn.len();
    let sender = executor.clone();
    let send_all = executor.spawn(async move {
        for one in drawn {
            let wait_ms = one.at_ms - begun.elapsed().as_secs_f64() * 1e3;
            if wait_ms > 0.5 {
                Timer::after(Duration::from_secs_f64(wait_ms / 1e3)).await;
            }
            let done = done.clone();
            let task = async move {
                // The receiver waits for all results.
                let _ = done.send(send(one).await).await;
            };
            sender.spawn(task).detach();
        }
    });
    let (stop, stopped) = unbounded::<()>();
    let threads: Vec<_> = (0..plan.threads)
        .map(|_| {
            let (executor, stopped) = (executor.clone(), stopped.clone());
            std::thread::spawn(move || {
                smol::block_on(executor.run(async {
                    // The channel closes when all is sent and answered.
                    let _ = stopped.recv().await;
                }));
            })
        })
        .collect();
    let mut sent = Vec::with_capacity(count);
    while sent.len() < count {
        match results.recv_blocking() {
            Ok(result) => sent.push(result),
            Err(_) => break,
        }
    }
    drop((stop, send_all));
    for thread in threads {
        // A thread that panicked has ended as well.
        let _ = thread.join();
    }
    sent
}

async fn send(one: Drawn) -> Sent {
    let begun = Instant::now();
    let mut streamed = Streamed::default();
    let end = stream(&one.address, &one.call, &mut streamed).await;
    let took_ms = begun.elapsed().as_secs_f64() * 1e3;
    let times = &streamed.token_times_ms;
    let between_ms = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let refused = match end {
        Ok(()) => None,
        Err(None) => Some("cut".to_owned()),
        Err(Some(reply)) => Some(reply.code().unwrap_or_default()),
    };
    Sent {
        tier: one.tier,
        tokens: one.tokens,
        good: refused.is_none() && took_ms <= one.deadline_ms as f64,
        first_token_ms: times.first().copied(),
        between_ms,
        refused,
    }
}

/// What a run amounts to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// By tier rank: requests sent, and those answered whole before their deadline.
    pub tiers: BTreeMap<u8, (u64, u64)>,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// The time to the first token at the median and at 95 and 99 in 100, in milliseconds.
    pub first_token_ms: [f64; 3],
    /// The time between tokens at the median and at 95 and 99 in 100, in milliseconds.
    pub between_ms: [f64; 3],
}

/// Sums a run up.
pub fn summarize(sent: &[Sent]) -> Summary {
    let mut summary = Summary::default();
    for one in sent {
        let (count, good) = summary.tiers.entry(one.tier).or_default();
        *count += 1;
        *good += u64::from(one.good);
        if let Some(code) = &one.refused {
            *summary.refused.entry(code.clone()).or_default() += 1;
        }
    }
    summary.first_token_ms = quantiles(sent.iter().filter_map(|one| one.first_token_ms));
    summary.between_ms = quantiles(sent.iter().flat_map(|one| one.between_ms.iter().copied()));
    summary
}

/// Returns the median and the values that 95 and 99 in 100 do not pass.
pub fn quantiles(values_ms: impl Iterator<Item = f64>) -> [f64; 3] {
    const PER_MS: f64 = 1e3;
    const LONGEST: u64 = 3_600_000_000;
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST, 3) else {
        return [0.0; 3];
    };
    for value_ms in values_ms {
        histogram.saturating_record((value_ms * PER_MS) as u64);
    }
    [0.5, 0.95, 0.99].map(|part| histogram.value_at_quantile(part) as f64 / PER_MS)
}
