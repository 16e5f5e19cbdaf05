//! Generation: tokens that depend on the prompt alone, so that a caller can tell whether an answer
//! is its own and whole.

use super::records::Ran;
use super::server::Shared;
use http_types::{Body, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use smol::Timer;
use smol::io::AsyncWriteExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The bytes of text that a token stands for.
const BYTES_PER_TOKEN: u64 = 4;

#[derive(Deserialize)]
struct Body_<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

struct Work {
    seed: String,
    stream: bool,
    tokens: u64,
    from: u64,
    token_ms: f64,
    prefill_ms: f64,
    cut_after: Option<u64>,
}

/// Returns token `at` of the answer to `prompt`, the JSON text of the messages or the prompt.
pub fn token_text(prompt: &str, at: u64) -> String {
    format!("{}-{at} ", seed_of(prompt))
}

fn seed_of(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..4])
}

/// Counts a request as running as long as it lives.
struct Running(Arc<Shared>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) async fn generate(
    shared: &Arc<Shared>,
    mut request: Request,
) -> http_types::Result<Response> {
    let body = request.body_string().await?;
    let parsed: Body_<'_> = match serde_json::from_str(&body) {
        Ok(parsed) => parsed,
        Err(_) => return Ok(Response::new(StatusCode::BadRequest)),
    };
    let prompt = parsed.messages.or(parsed.prompt).map_or("", RawValue::get);
    let route = if request.url().path().starts_with("/v1/chat") { "chat" } else { "completions" };
    let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    let guard = Running(shared.clone());
    let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
    let from = header("x-resume-from").and_then(|text| text.parse().ok()).unwrap_or(0);
    shared.records.push(Ran {
        request: header("x-request").unwrap_or_default(),
        idempotency_key: header("idempotency-key"),
        endpoint: shared.options.name.clone(),
        version: shared.version(),
        path: request.url().path().to_owned(),
        body: body.clone(),
        resumed_from: from,
    });
    if shared.draws_failure(route, running) {
        return Ok(Response::new(StatusCode::InternalServerError));
    }
    let work = plan(shared, prompt, route, running, from, &parsed);
    Timer::after(Duration::from_secs_f64(work.prefill_ms / 1e3)).await;
    shared.freeze().await;
    if work.stream {
        return Ok(stream(shared.clone(), work, guard));
    }
    whole(shared, &parsed.model, work, guard).await
}

fn plan(
    shared: &Shared,
    prompt: &str,
    route: &str,
    running: u32,
    from: u64,
    parsed: &Body_<'_>,
) -> Work {
    let options = &shared.options;
    let faults = shared.faults();
    let bad = faults.hold(route, running);
    let slow = if bad && faults.slow > 0.0 { faults.slow } else { 1.0 };
    let crowd = 1.0 + options.crowding * f64::from(running) / f64::from(options.slots);
    let overload = (f64::from(running) / f64::from(options.slots)).max(1.0);
    let prefill = shared.prefill(prompt.as_bytes());
    let prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN;
    let uncached = prompt_tokens.saturating_sub(prefill.cached_tokens);
    shared.records.count(|totals| {
        totals.prefilled_tokens += uncached;
        totals.cached_tokens += prompt_tokens - uncached;
        totals.peak_running = totals.peak_running.max(running);
    });
    Work {
        seed: seed_of(prompt),
        stream: parsed.stream,
        tokens: parsed.max_tokens.unwrap_or(16),
        from,
        token_ms: options.token_ms * crowd * overload * slow,
        prefill_ms: uncached as f64 / options.prefill_tokens_per_ms * overload * slow,
        cut_after: faults.cut_after_tokens.filter(|_| bad),
    }
}

fn stream(shared: Arc<Shared>, work: Work, guard: Running) -> Response {
    let (reader, mut writer) = shared.pipe();
    let executor = shared.executor.clone();
    let task = async move {
        let _guard = guard;
        let cut = reader_cut(&work);
        let mut due_ms = 0.0;
        let begun = std::time::Instant::now();
        for at in work.from..work.tokens {
            if cut == Some(at) {
                writer.cut();
                return;
            }
            shared.freeze().await;
            due_ms += work.token_ms;
            let wait_ms = due_ms - begun.elapsed().as_secs_f64() * 1e3;
            if wait_ms > 0.0 {
                Timer::after(Duration::from_secs_f64(wait_ms / 1e3)).await;
            }
            let text = format!("{}-{at} ", work.seed);
            let event =
                format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
            if writer.write_all(event.as_bytes()).await.is_err() {
                return;
            }
            shared.records.count(|totals| totals.generated_tokens += 1);
        }
        // The reader may have gone; then nobody waits for the end.
        let _ = writer.write_all(b"data: [DONE]\n\n").await;
        writer.end();
    };
    executor.spawn(task).detach();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response
}

fn reader_cut(work: &Work) -> Option<u64> {
    work.cut_after.map(|tokens| work.from + tokens)
}

async fn whole(
    shared: &Shared,
    model: &str,
    work: Work,
    _guard: Running,
) -> http_types::Result<Response> {
    let count = work.tokens.saturating_sub(work.from);
    Timer::after(Duration::from_secs_f64(work.token_ms * count as f64 / 1e3)).await;
    shared.freeze().await;
    shared.records.count(|totals| totals.generated_tokens += count);
    let text: String = (work.from..work.tokens).map(|at| format!("{}-{at} ", work.seed)).collect();
    let body = serde_json::json!({
        "model": model,
        "choices": [{ "message": { "role": "assistant", "content": text } }],
        "usage": { "completion_tokens": count },
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(&body)?);
    response.insert_header("content-type", "application/json");
    Ok(response)
}
