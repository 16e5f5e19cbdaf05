//! Access log: one line and the metrics of each request, written when it ends.

use super::filters::ResolvedRequest;
use crate::Entry;
use crate::caller::Caller;
use lycheehub_dispatch::crashes::RequestDigest;
use lycheehub_dispatch::{Job, Outcome, PrefixPart, RefusalBasis, Rule};
use lycheehub_types::{EndpointName, Refusal, RefusalKind};
use smol_str::{SmolStr, format_smolstr};
use std::cell::{Cell, RefCell};
use std::fmt::Write;

/// The access log record of a request.
#[derive(Debug)]
pub(super) struct AccessLog {
    id: SmolStr,
    caller: Caller,
    started_ms: u64,
    route: SmolStr,
    service: SmolStr,
    account: SmolStr,
    tier: u8,
    rank: u8,
    waited_ms: u64,
    first_byte_ms: Option<u64>,
    /// Time taken to receive the request.
    read_ms: u64,
    /// The longest write to the caller.
    write_ms: u64,
    /// The longest time between two events of a stream.
    pause_ms: u64,
    attempts: RefCell<String>,
    /// The parts of the prompt, if an attempt broke off before the first event.
    parts: String,
    /// The identity of the request, if an attempt broke off or it is quarantined.
    digest: String,
    /// The last limit that an endpoint stated, in requests per second.
    limit_per_s: Cell<Option<f64>>,
    end: SmolStr,
    retry_after_ms: u64,
    /// The rule that refused the request, and its inputs.
    basis: RefusalBasis,
    /// Number of stream events relayed.
    events: u32,
    /// The declared tokens, by which the quota is charged.
    tokens: u64,
    /// Prompt length, in tokens.
    prompt_tokens: u32,
    /// Expected output length, in tokens.
    output_tokens: u32,
    deadline_ms: u64,
    returning: bool,
}

impl AccessLog {
    pub(super) fn new(id: &SmolStr, started_ms: u64, read_ms: u64, caller: Caller) -> Self {
        Self {
            id: id.clone(),
            caller,
            started_ms,
            route: SmolStr::default(),
            service: SmolStr::default(),
            account: SmolStr::default(),
            tier: 0,
            rank: 0,
            waited_ms: 0,
            first_byte_ms: None,
            read_ms,
            write_ms: 0,
            pause_ms: 0,
            attempts: RefCell::default(),
            parts: String::new(),
            digest: String::new(),
            limit_per_s: Cell::new(None),
            end: SmolStr::new("unanswered"),
            retry_after_ms: 0,
            basis: RefusalBasis::default(),
            events: 0,
            tokens: 0,
            prompt_tokens: 0,
            output_tokens: 0,
            deadline_ms: 0,
            returning: false,
        }
    }

    pub(super) fn record_route(&mut self, resolved: &ResolvedRequest) {
        self.route = resolved.route.name.clone();
        self.service = resolved.service.as_str().into();
        self.account = resolved.account.as_ref().map_or("", |name| name.as_str()).into();
        self.tier = resolved.tier;
        self.rank = resolved.route.rank;
    }

    /// Records the inputs of the placement decision.
    pub(super) fn record_job(&mut self, job: &Job) {
        self.tokens = job.declared_tokens.unwrap_or_default();
        self.prompt_tokens = job.prompt_tokens;
        self.output_tokens = job.output_tokens;
        self.deadline_ms = job.deadline_left_ms;
        self.returning = job.returning;
    }

    /// Records which rule refused the request.
    pub(super) fn record_basis(&mut self, basis: RefusalBasis) {
        self.basis = basis;
    }

    pub(super) fn record_wait(&mut self, waited_ms: u64) {
        self.waited_ms += waited_ms;
    }

    pub(super) fn record_attempt(&self, endpoint: &EndpointName, outcome: Outcome, took_ms: u64) {
        // Writing to a string cannot fail.
        let _ = write!(self.attempts.borrow_mut(), "{endpoint}={outcome:?}@{took_ms}ms ");
    }

    /// Records the parts of a prompt on which an endpoint broke off before the first event.
    pub(super) fn record_parts(&mut self, prefix: &[PrefixPart]) {
        const PARTS_MAX: usize = 16;
        let ids = prefix.iter().take(PARTS_MAX).map(|part| format!("{:x}", part.id));
        self.parts = ids.collect::<Vec<_>>().join(",");
    }

    /// Records the identity of a request on which an endpoint broke off.
    pub(super) fn record_digest(&mut self, digest: Option<RequestDigest>) {
        self.digest = digest.map(|digest| digest.to_string()).unwrap_or_default();
    }

    /// Records the limit that an endpoint stated in its response.
    pub(super) fn record_limit(&self, limit_per_s: f64) {
        self.limit_per_s.set(Some(limit_per_s));
    }

    pub(super) fn record_first_byte(&mut self, now_ms: u64) {
        self.first_byte_ms.get_or_insert(now_ms - self.started_ms);
    }

    pub(super) fn record_events(&mut self, events: u32, pause_ms: u64) {
        self.events += events;
        self.pause_ms = self.pause_ms.max(pause_ms);
    }

    pub(super) fn record_write(&mut self, took_ms: u64) {
        self.write_ms = self.write_ms.max(took_ms);
    }

    pub(super) fn record_refusal(&mut self, refusal: &Refusal) {
        self.end = SmolStr::new(refusal.kind().code());
        self.retry_after_ms = refusal.retry_after_ms().unwrap_or_default();
    }

    pub(super) fn record_status(&mut self, status: u16) {
        self.end = format_smolstr!("{status}");
    }

    pub(super) fn record_end(&mut self, end: &'static str) {
        self.end = SmolStr::new_static(end);
    }

    /// Returns the name of the rule that refused the request; empty if none did.
    fn rule(&self) -> &'static str {
        if self.basis.rule == Rule::Other { "" } else { self.basis.rule.name() }
    }

    /// Counts the request as served or not by class of size.
    fn count_sizes(&self) {
        if self.prompt_tokens == 0 && self.output_tokens == 0 {
            return;
        }
        let is_served = self.end.starts_with('2');
        for (of, tokens) in [("prompt", self.prompt_tokens), ("output", self.output_tokens)] {
            let labels = [
                ("service", self.service.to_string()),
                ("rank", self.rank.to_string()),
                ("of", of.to_owned()),
                ("tokens", size_class(tokens).to_string()),
                ("served", is_served.to_string()),
            ];
            metrics::counter!("lycheehub_sized_requests_total", &labels).increment(1);
        }
    }

    /// Writes the log line and updates the metrics; `keeps_alive` states whether the connection stays open.
    pub(super) fn log(&self, entry: &Entry, revision: u64, keeps_alive: bool) {
        let total_ms = entry.clock.now_ms() - self.started_ms;
        if self.end == RefusalKind::QuotaExceeded.code() {
            entry.count_quota_refusal(&self.account);
        }
        let labels = [
            ("service", self.service.to_string()),
            ("tier", self.tier.to_string()),
            ("rank", self.rank.to_string()),
            ("end", self.end.to_string()),
        ];
        metrics::counter!("lycheehub_requests_total", &labels).increment(1);
        self.count_sizes();
        let service_labels =
            [("service", self.service.to_string()), ("rank", self.rank.to_string())];
        if self.limit_per_s.get().is_some() {
            let service = [("service", self.service.to_string())];
            metrics::counter!("lycheehub_limited_requests_total", &service).increment(1);
        }
        metrics::histogram!("lycheehub_request_ms", &service_labels).record(total_ms as f64);
        metrics::histogram!("lycheehub_request_wait_ms", &service_labels)
            .record(self.waited_ms as f64);
        spdlog::info!("request", kv: {
            id: = self.id,
            end: = self.end,
            route: = self.route,
            service: = self.service,
            account: = self.account,
            tier = u64::from(self.tier),
            rank = u64::from(self.rank),
            read_ms = self.read_ms,
            waited_ms = self.waited_ms,
            first_byte_ms:serde = self.first_byte_ms,
            pause_ms = self.pause_ms,
            write_ms = self.write_ms,
            total_ms,
            attempts: = self.attempts.borrow().trim_end(),
            parts: = self.parts,
            digest: = self.digest,
            limit_per_s:serde = self.limit_per_s.get(),
            retry_after_ms = self.retry_after_ms,
            rule: = self.rule(),
            mean_ms = self.basis.mean_ms,
            fastest_ms = self.basis.fastest_ms,
            backlog_ms = self.basis.backlog_ms,
            events = u64::from(self.events),
            tokens = self.tokens,
            prompt_tokens = u64::from(self.prompt_tokens),
            output_tokens = u64::from(self.output_tokens),
            deadline_ms = self.deadline_ms,
            returning = self.returning,
            revision,
            caller: = self.caller.address,
            connection = self.caller.connection,
            keeps_alive,
        });
    }
}

/// Returns the upper bound of the class of size of a prompt or response, in tokens: a power of four.
fn size_class(tokens: u32) -> u64 {
    let exponent = u64::from(tokens).max(1).ilog2() / 2 + 1;
    1 << (2 * exponent)
}
