//! Conversions of jobs that ask for an endpoint, of decisions, and of reported results.

use super::{WireError, bounded_ms, known_or, read_each, text};
use crate::peer_capnp as schema;
use capnp::struct_list;
use lycheehub_dispatch::crashes::{Content, Prompt};
use lycheehub_dispatch::{
    Decision, Finished, InFlight, Job, JobId, Limit, LimitKind, Notice, Outcome, PrefixPart,
    Reason, RefusalBasis, RetryUsage, Rule, StatedLimit, Usage, UsageReport,
};
use lycheehub_types::{AccountName, EndpointName, Region};

/// The most units that one entry of usage can state.
const UNITS_MAX: f64 = 1e15;

/// Reads a job of the instance with the number `instance`.
///
/// # Errors
/// Fails if the message cannot be decoded.
pub fn read_job(instance: u32, reader: schema::job::Reader<'_>) -> Result<Job, WireError> {
    let account = text(reader.get_account())?;
    let declared_tokens = reader.get_told_tokens();
    let prefix = reader.get_prefix()?.iter();
    let mut tried = Vec::new();
    for name in reader.get_tried()? {
        tried.push(EndpointName::from(text(name)?));
    }
    let mut regions = Vec::new();
    for region in reader.get_regions()? {
        regions.push(Region::from(text(region)?));
    }
    Ok(Job {
        job_id: JobId { instance, number: reader.get_number() },
        service: text(reader.get_service())?.into(),
        tier: reader.get_tier(),
        rank: reader.get_rank(),
        account: (!account.is_empty()).then(|| AccountName::from(account)),
        declared_tokens: (declared_tokens > 0).then_some(declared_tokens),
        prompt_tokens: reader.get_prompt_tokens(),
        output_tokens: reader.get_output_tokens(),
        prefix: prefix
            .map(|part| PrefixPart { id: part.get_id(), tokens: part.get_tokens() })
            .collect(),
        digest: super::crashes::read_digest(reader.get_digest()?),
        objective_left_ms: bounded_ms(reader.get_objective_left_ms()),
        patience_left_ms: bounded_ms(reader.get_patience_left_ms()),
        deadline_left_ms: bounded_ms(reader.get_deadline_left_ms()),
        returning: reader.get_returning(),
        resumes_stream: reader.get_goes_on(),
        is_last_attempt: reader.get_is_final(),
        failure_domain: text(reader.get_failure_domain())?.into(),
        tried,
        regions: reader.get_region_bound().then_some(regions),
        repeat: reader.get_repeat(),
    })
}

/// Writes a job.
pub fn write_job(job: &Job, mut builder: schema::job::Builder<'_>) {
    builder.set_number(job.job_id.number);
    builder.set_service(job.service.as_str());
    builder.set_tier(job.tier);
    builder.set_rank(job.rank);
    builder.set_account(job.account.as_ref().map_or("", AccountName::as_str));
    builder.set_told_tokens(job.declared_tokens.unwrap_or_default());
    builder.set_prompt_tokens(job.prompt_tokens);
    builder.set_output_tokens(job.output_tokens);
    builder.set_digest(&super::crashes::digest_bytes(job.digest));
    builder.set_objective_left_ms(job.objective_left_ms);
    builder.set_patience_left_ms(job.patience_left_ms);
    builder.set_deadline_left_ms(job.deadline_left_ms);
    builder.set_returning(job.returning);
    builder.set_goes_on(job.resumes_stream);
    builder.set_is_final(job.is_last_attempt);
    builder.set_failure_domain(job.failure_domain.as_str());
    builder.set_repeat(job.repeat);
    builder.set_region_bound(job.regions.is_some());
    let bound_to = job.regions.as_deref().unwrap_or_default();
    let mut regions = builder.reborrow().init_regions(bound_to.len() as u32);
    for (index, region) in (0..).zip(bound_to) {
        regions.set(index, region.as_str());
    }
    let mut prefix = builder.reborrow().init_prefix(job.prefix.len() as u32);
    for (index, part) in (0..).zip(&job.prefix) {
        let mut entry = prefix.reborrow().get(index);
        entry.set_id(part.id);
        entry.set_tokens(part.tokens);
    }
    let mut tried = builder.init_tried(job.tried.len() as u32);
    for (index, name) in (0..).zip(&job.tried) {
        tried.set(index, name.as_str());
    }
}

/// The delay after a decision that this build does not know, in milliseconds.
const UNKNOWN_DECISION_RETRY_MS: u64 = 1_000;

/// Reads a decision on the job `job_id`. One of a kind or for a reason that only a newer build knows is
/// a refusal as overloaded: the request was not sent to an endpoint.
///
/// # Errors
/// Fails if the message cannot be decoded.
pub fn read_decision(
    job_id: JobId,
    reader: schema::decision::Reader<'_>,
) -> Result<Decision, WireError> {
    use schema::decision::Which;
    let decision = reader.which().inspect_err(|unknown| {
        spdlog::warn!("unknown decision of the leader", kv: { number = unknown.0 });
    });
    Ok(match decision {
        Ok(Which::Place(place)) => {
            let place = place?;
            Decision::Place {
                job_id,
                endpoint: text(place.get_endpoint())?.into(),
                address: text(place.get_address())?.into(),
                first_byte_ms: bounded_ms(place.get_first_byte_ms()),
            }
        }
        Ok(Which::Refuse(refuse)) => {
            let refuse = refuse?;
            Decision::Refuse {
                job_id,
                reason: known_or("reason", refuse.get_reason(), Reason::Overloaded),
                retry_after_ms: bounded_ms(refuse.get_retry_after_ms()),
                basis: read_basis(refuse),
            }
        }
        Err(_) => Decision::Refuse {
            job_id,
            reason: Reason::Overloaded,
            retry_after_ms: UNKNOWN_DECISION_RETRY_MS,
            basis: RefusalBasis::default(),
        },
    })
}

/// Writes a decision.
pub fn write_decision(decision: &Decision, builder: schema::decision::Builder<'_>) {
    match decision {
        Decision::Place { endpoint, address, first_byte_ms, .. } => {
            let mut place = builder.init_place();
            place.set_endpoint(endpoint.as_str());
            place.set_address(&**address);
            place.set_first_byte_ms(*first_byte_ms);
        }
        Decision::Refuse { reason, retry_after_ms, basis, .. } => {
            let mut refuse = builder.init_refuse();
            refuse.set_reason((*reason).into());
            refuse.set_retry_after_ms(*retry_after_ms);
            refuse.set_rule(basis.rule.into());
            refuse.set_mean_ms(basis.mean_ms);
            refuse.set_fastest_ms(basis.fastest_ms);
            refuse.set_backlog_ms(basis.backlog_ms);
        }
    }
}

/// Reads the rule that refused a job, and its inputs; a build that does not state it leaves zeros.
fn read_basis(refuse: schema::refuse::Reader<'_>) -> RefusalBasis {
    RefusalBasis {
        rule: known_or("rule", refuse.get_rule(), Rule::Other),
        mean_ms: bounded_ms(refuse.get_mean_ms()),
        fastest_ms: bounded_ms(refuse.get_fastest_ms()),
        backlog_ms: bounded_ms(refuse.get_backlog_ms()),
    }
}

/// Reads the results of finished jobs of the instance with the number `instance`. An outcome that only a
/// newer build knows is [`Outcome::Abandoned`], which says nothing about the endpoint.
pub fn read_finished(
    instance: u32,
    reader: struct_list::Reader<'_, schema::finished::Owned>,
) -> Vec<Finished> {
    let read = |entry: schema::finished::Reader<'_>| Finished {
        job_id: JobId { instance, number: entry.get_number() },
        outcome: known_or("outcome", entry.get_outcome(), Outcome::Abandoned),
        first_byte_ms: entry.get_has_first_byte().then(|| entry.get_first_byte_ms()),
        rest_ms: entry.get_rest_ms(),
        events: entry.get_events(),
        is_connection_lost: entry.get_connection_lost(),
        is_confirmed: entry.get_confirmed(),
    };
    reader.iter().map(read).collect()
}

/// Writes the results of finished jobs; the builder has the length of `finished`.
pub fn write_finished(
    finished: &[Finished],
    mut builder: struct_list::Builder<'_, schema::finished::Owned>,
) {
    for (index, finished) in (0..).zip(finished) {
        let mut entry = builder.reborrow().get(index);
        entry.set_number(finished.job_id.number);
        entry.set_outcome(finished.outcome.into());
        entry.set_has_first_byte(finished.first_byte_ms.is_some());
        entry.set_first_byte_ms(finished.first_byte_ms.unwrap_or_default());
        entry.set_rest_ms(finished.rest_ms);
        entry.set_events(finished.events);
        entry.set_connection_lost(finished.is_connection_lost);
        entry.set_confirmed(finished.is_confirmed);
    }
}

/// Reads the requests that an instance has in flight; those that cannot be read are skipped.
pub fn read_in_flight(reader: struct_list::Reader<'_, schema::in_flight::Owned>) -> Vec<InFlight> {
    let read = |entry: schema::in_flight::Reader<'_>| {
        Ok(InFlight {
            number: entry.get_number(),
            endpoint: text(entry.get_endpoint())?.into(),
            memory_tokens: entry.get_memory_tokens(),
            is_stream: entry.get_stream(),
            age_ms: bounded_ms(entry.get_age_ms()),
            content: Content::new(
                Prompt::new(entry.get_parts()?),
                super::crashes::read_digest(entry.get_digest()?),
            ),
        })
    };
    read_each("requests in flight", reader, read)
}

/// Writes the requests that an instance has in flight; the builder has the length of `in_flight`.
pub fn write_in_flight(
    in_flight: &[InFlight],
    mut builder: struct_list::Builder<'_, schema::in_flight::Owned>,
) {
    for (index, request) in (0..).zip(in_flight) {
        let mut entry = builder.reborrow().get(index);
        entry.set_number(request.number);
        entry.set_endpoint(request.endpoint.as_str());
        entry.set_memory_tokens(request.memory_tokens);
        entry.set_stream(request.is_stream);
        entry.set_age_ms(request.age_ms);
        entry.set_digest(&super::crashes::digest_bytes(request.content.digest()));
        let parts: Vec<u64> = request.content.prompt().ids().collect();
        super::crashes::write_parts(&parts, entry.init_parts(parts.len() as u32));
    }
}

/// Reads the usage that an instance reports when it enters; elements that cannot be read are skipped.
///
/// # Errors
/// Fails if the message cannot be decoded.
pub fn read_usage(
    reader: schema::peer::enter_params::Reader<'_>,
) -> Result<UsageReport, WireError> {
    let read_quota = |entry: schema::usage::Reader<'_>| {
        Ok(Usage {
            account: text(entry.get_account())?.into(),
            ago_ms: bounded_ms(entry.get_ago_ms()),
            units: entry.get_units(),
        })
    };
    let read_retries = |entry: schema::retry_usage::Reader<'_>| {
        Ok(RetryUsage {
            service: text(entry.get_service())?.into(),
            ago_ms: bounded_ms(entry.get_ago_ms()),
            requests: entry.get_requests(),
            retries: entry.get_retries(),
        })
    };
    // One entry without a sound number must not keep the instance out, nor make every sum unsound.
    let is_sound =
        |entry: &schema::usage::Reader<'_>| (0.0..=UNITS_MAX).contains(&entry.get_units());
    let usage = reader.get_usage()?.iter().filter(is_sound);
    Ok(UsageReport {
        quotas: read_each("usage", usage, read_quota),
        retries: read_each("retries", reader.get_retries()?, read_retries),
        crashes: super::crashes::read_report(reader.get_crashes()?)?,
    })
}

/// Writes the usage that an instance reports when it enters.
pub fn write_usage(usage: &UsageReport, mut builder: schema::peer::enter_params::Builder<'_>) {
    let mut quotas = builder.reborrow().init_usage(usage.quotas.len() as u32);
    for (index, usage) in (0..).zip(&usage.quotas) {
        let mut entry = quotas.reborrow().get(index);
        entry.set_account(usage.account.as_str());
        entry.set_ago_ms(usage.ago_ms);
        entry.set_units(usage.units);
    }
    super::crashes::write_report(&usage.crashes, builder.reborrow().init_crashes());
    let mut retries = builder.init_retries(usage.retries.len() as u32);
    for (index, usage) in (0..).zip(&usage.retries) {
        let mut entry = retries.reborrow().get(index);
        entry.set_service(usage.service.as_str());
        entry.set_ago_ms(usage.ago_ms);
        entry.set_requests(usage.requests);
        entry.set_retries(usage.retries);
    }
}

impl From<schema::Reason> for Reason {
    fn from(reason: schema::Reason) -> Self {
        match reason {
            schema::Reason::Overloaded => Self::Overloaded,
            schema::Reason::NoEndpoint => Self::NoEndpoint,
            schema::Reason::QuotaExceeded => Self::QuotaExceeded,
            schema::Reason::RetriesExhausted => Self::RetriesExhausted,
            schema::Reason::Quarantined => Self::Quarantined,
            schema::Reason::NoEndpointInRegion => Self::NoEndpointInRegion,
        }
    }
}

impl From<Reason> for schema::Reason {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Overloaded => Self::Overloaded,
            Reason::NoEndpoint => Self::NoEndpoint,
            Reason::QuotaExceeded => Self::QuotaExceeded,
            Reason::RetriesExhausted => Self::RetriesExhausted,
            Reason::Quarantined => Self::Quarantined,
            Reason::NoEndpointInRegion => Self::NoEndpointInRegion,
        }
    }
}

impl From<schema::Rule> for Rule {
    fn from(rule: schema::Rule) -> Self {
        match rule {
            schema::Rule::Other => Self::Other,
            schema::Rule::Infeasible => Self::Infeasible,
            schema::Rule::Late => Self::Late,
            schema::Rule::Overdue => Self::Overdue,
            schema::Rule::TierShed => Self::TierShed,
            schema::Rule::QueueFull => Self::QueueFull,
            schema::Rule::Closed => Self::Closed,
        }
    }
}

impl From<Rule> for schema::Rule {
    fn from(rule: Rule) -> Self {
        match rule {
            Rule::Other => Self::Other,
            Rule::Infeasible => Self::Infeasible,
            Rule::Late => Self::Late,
            Rule::Overdue => Self::Overdue,
            Rule::TierShed => Self::TierShed,
            Rule::QueueFull => Self::QueueFull,
            Rule::Closed => Self::Closed,
        }
    }
}

impl From<schema::LimitKind> for LimitKind {
    fn from(kind: schema::LimitKind) -> Self {
        match kind {
            schema::LimitKind::Requests => Self::Requests,
            schema::LimitKind::Rejections => Self::Rejections,
        }
    }
}

impl From<LimitKind> for schema::LimitKind {
    fn from(kind: LimitKind) -> Self {
        match kind {
            LimitKind::Requests => Self::Requests,
            LimitKind::Rejections => Self::Rejections,
        }
    }
}

impl From<schema::Outcome> for Outcome {
    fn from(outcome: schema::Outcome) -> Self {
        match outcome {
            schema::Outcome::Answered => Self::Answered,
            schema::Outcome::Failed => Self::Failed,
            schema::Outcome::Rejected => Self::Rejected,
            schema::Outcome::Broken => Self::Broken,
            schema::Outcome::NotConnected => Self::NotConnected,
            schema::Outcome::Misdirected => Self::Misdirected,
            schema::Outcome::Abandoned => Self::Abandoned,
        }
    }
}

impl From<Outcome> for schema::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered,
            Outcome::Failed => Self::Failed,
            Outcome::Rejected => Self::Rejected,
            Outcome::Broken => Self::Broken,
            Outcome::NotConnected => Self::NotConnected,
            Outcome::Misdirected => Self::Misdirected,
            Outcome::Abandoned => Self::Abandoned,
        }
    }
}

/// Reads the notice of an endpoint about itself, and the incarnation that sent it, if known. A limit that
/// cannot be read is left out.
///
/// # Errors
/// Fails if the message cannot be decoded.
pub fn read_notice(
    reader: schema::placement::heed_params::Reader<'_>,
) -> Result<(Notice, Option<u64>), WireError> {
    let (pause_ms, incarnation) = (bounded_ms(reader.get_pause_ms()), reader.get_incarnation());
    let pause_ms = (pause_ms > 0).then_some(pause_ms);
    let limit = reader.has_limit().then(|| reader.get_limit()).transpose()?;
    let rejections = reader.has_rejections().then(|| reader.get_rejections()).transpose()?;
    let notice = Notice {
        leaving: reader.get_leaving(),
        pause_ms,
        limit: read_each("limit", limit, read_stated).pop(),
        rejections: read_each("limit of rejections", rejections, read_stated).pop(),
    };
    Ok((notice, (incarnation > 0).then_some(incarnation)))
}

/// Writes the notice of an endpoint about itself, and the incarnation that sent it, if known.
pub fn write_notice(
    notice: Notice,
    incarnation: Option<u64>,
    mut builder: schema::placement::heed_params::Builder<'_>,
) {
    builder.set_incarnation(incarnation.unwrap_or_default());
    builder.set_leaving(notice.leaving);
    builder.set_pause_ms(notice.pause_ms.unwrap_or_default());
    if let Some(limit) = notice.limit {
        write_stated(limit, builder.reborrow().init_limit());
    }
    if let Some(rejections) = notice.rejections {
        write_stated(rejections, builder.init_rejections());
    }
}

/// Reads what an endpoint limits. Returns `None`, logged, for a kind that only a newer build knows.
pub fn read_limit_kind(
    reader: schema::placement::unlimited_params::Reader<'_>,
) -> Option<LimitKind> {
    let kind = reader.get_kind().inspect_err(|unknown| {
        spdlog::warn!("end of an unknown limit ignored", kv: { number = unknown.0 });
    });
    kind.ok().map(LimitKind::from)
}

/// Reads the limits of endpoints; those that cannot be read are skipped.
pub fn read_limits(reader: struct_list::Reader<'_, schema::limit::Owned>) -> Vec<Limit> {
    let read = |entry: schema::limit::Reader<'_>| {
        let incarnation = entry.get_incarnation();
        Ok(Limit {
            endpoint: text(entry.get_endpoint())?.into(),
            incarnation: (incarnation > 0).then_some(incarnation),
            stated: read_stated(entry.get_stated()?)?,
        })
    };
    read_each("limits", reader, read)
}

/// Writes the limits of endpoints; the builder has the length of `limits`.
pub fn write_limits(limits: &[Limit], mut builder: struct_list::Builder<'_, schema::limit::Owned>) {
    for (index, limit) in (0..).zip(limits) {
        let mut entry = builder.reborrow().get(index);
        entry.set_endpoint(limit.endpoint.as_str());
        entry.set_incarnation(limit.incarnation.unwrap_or_default());
        write_stated(limit.stated, entry.init_stated());
    }
}

fn read_stated(reader: schema::stated_limit::Reader<'_>) -> Result<StatedLimit, WireError> {
    let per_s = reader.get_per_s();
    if !per_s.is_finite() || per_s < 0.0 {
        return Err(WireError::Rate(per_s));
    }
    Ok(StatedLimit { per_s, age_ms: bounded_ms(reader.get_age_ms()) })
}

fn write_stated(stated: StatedLimit, mut builder: schema::stated_limit::Builder<'_>) {
    builder.set_per_s(stated.per_s);
    builder.set_age_ms(stated.age_ms);
}
