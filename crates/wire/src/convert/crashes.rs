//! Conversions of what instances know of crashes, and of quarantines.

use super::{WireError, bounded_ms, read_each, text};
use crate::peer_capnp as schema;
use capnp::{primitive_list, struct_list};
use lycheehub_dispatch::JobId;
use lycheehub_dispatch::crashes::{
    Answer, Content, Crash, CrashReport, EndpointStart, Prompt, Quarantine, RequestDigest, Suspect,
};

/// Writes the parts of a prompt; the builder has the length of `parts`.
pub(super) fn write_parts(parts: &[u64], mut builder: primitive_list::Builder<'_, u64>) {
    for (index, part) in (0..).zip(parts) {
        builder.set(index, *part);
    }
}

/// Reads the identity of a request. One that is missing or not of our length is not known: the sender is
/// of another build.
pub(super) fn read_digest(bytes: capnp::data::Reader<'_>) -> Option<RequestDigest> {
    RequestDigest::try_from(bytes).ok()
}

/// Returns the bytes of the identity of a request, none if it is not known.
pub(super) fn digest_bytes(digest: Option<RequestDigest>) -> Vec<u8> {
    digest.map_or_else(Vec::new, |digest| digest.to_bytes().to_vec())
}

pub(super) fn read_report(
    reader: schema::crash_report::Reader<'_>,
) -> Result<CrashReport, WireError> {
    let read_part = |entry: schema::part_answer::Reader<'_>| {
        Ok(Answer {
            service: text(entry.get_service())?.into(),
            suspect: Suspect::Part(entry.get_part()),
            ago_ms: bounded_ms(entry.get_ago_ms()),
        })
    };
    let mut answers = read_each("answered parts", reader.get_answers()?, read_part);
    let requests = read_each("answered requests", reader.get_requests()?, read_request_answer);
    answers.extend(requests.into_iter().flatten());
    Ok(CrashReport {
        crashes: read_each("crashes", reader.get_crashes()?, read_crash),
        answers,
        quarantines: read_quarantines(reader.get_quarantines()?),
    })
}

/// Reads when a request was last answered; none if its identity is not known.
fn read_request_answer(
    entry: schema::request_answer::Reader<'_>,
) -> Result<Option<Answer>, WireError> {
    let Some(digest) = read_digest(entry.get_digest()?) else { return Ok(None) };
    Ok(Some(Answer {
        service: text(entry.get_service())?.into(),
        suspect: Suspect::Request(digest),
        ago_ms: bounded_ms(entry.get_ago_ms()),
    }))
}

fn read_crash(entry: schema::crash::Reader<'_>) -> Result<Crash, WireError> {
    let mut contents = Vec::new();
    for content in entry.get_prompts()? {
        let prompt = Prompt::new(content.get_parts()?);
        contents.push(Content::new(prompt, read_digest(content.get_digest()?)));
    }
    Ok(Crash {
        service: text(entry.get_service())?.into(),
        start: EndpointStart {
            endpoint: text(entry.get_endpoint())?.into(),
            incarnation: entry.get_incarnation(),
        },
        ago_ms: bounded_ms(entry.get_ago_ms()),
        contents,
    })
}

pub(super) fn write_report(report: &CrashReport, mut builder: schema::crash_report::Builder<'_>) {
    let mut crashes = builder.reborrow().init_crashes(report.crashes.len() as u32);
    for (index, crash) in (0..).zip(&report.crashes) {
        write_crash(crash, crashes.reborrow().get(index));
    }
    write_answers(&report.answers, builder.reborrow());
    let count = report.quarantines.len() as u32;
    write_quarantines(&report.quarantines, builder.init_quarantines(count));
}

fn write_answers(answers: &[Answer], mut builder: schema::crash_report::Builder<'_>) {
    let parts: Vec<(&Answer, u64)> = answers
        .iter()
        .filter_map(|answer| match answer.suspect {
            Suspect::Part(part) => Some((answer, part)),
            Suspect::Request(_) => None,
        })
        .collect();
    let mut entries = builder.reborrow().init_answers(parts.len() as u32);
    for (index, (answer, part)) in (0..).zip(parts) {
        let mut entry = entries.reborrow().get(index);
        entry.set_service(answer.service.as_str());
        entry.set_part(part);
        entry.set_ago_ms(answer.ago_ms);
    }
    let requests: Vec<(&Answer, RequestDigest)> = answers
        .iter()
        .filter_map(|answer| Some((answer, request_of(&[answer.suspect])?)))
        .collect();
    let mut entries = builder.init_requests(requests.len() as u32);
    for (index, (answer, digest)) in (0..).zip(requests) {
        let mut entry = entries.reborrow().get(index);
        entry.set_service(answer.service.as_str());
        entry.set_digest(&digest.to_bytes());
        entry.set_ago_ms(answer.ago_ms);
    }
}

fn write_crash(crash: &Crash, mut builder: schema::crash::Builder<'_>) {
    builder.set_service(crash.service.as_str());
    builder.set_endpoint(crash.start.endpoint.as_str());
    builder.set_incarnation(crash.start.incarnation);
    builder.set_ago_ms(crash.ago_ms);
    let mut contents = builder.init_prompts(crash.contents.len() as u32);
    for (index, content) in (0..).zip(&crash.contents) {
        let parts: Vec<u64> = content.prompt().ids().collect();
        let mut entry = contents.reborrow().get(index);
        entry.set_digest(&digest_bytes(content.digest()));
        write_parts(&parts, entry.init_parts(parts.len() as u32));
    }
}

fn request_of(suspects: &[Suspect]) -> Option<RequestDigest> {
    suspects.iter().find_map(|suspect| match suspect {
        Suspect::Request(digest) => Some(*digest),
        Suspect::Part(_) => None,
    })
}

fn parts_of(suspects: &[Suspect]) -> Vec<u64> {
    let part = |suspect: &Suspect| match suspect {
        Suspect::Part(part) => Some(*part),
        Suspect::Request(_) => None,
    };
    suspects.iter().filter_map(part).collect()
}

/// Reads quarantines; those that cannot be read are skipped.
pub fn read_quarantines(
    reader: struct_list::Reader<'_, schema::quarantine::Owned>,
) -> Vec<Quarantine> {
    let read = |entry: schema::quarantine::Reader<'_>| {
        let mut suspects: Vec<Suspect> = entry.get_parts()?.iter().map(Suspect::Part).collect();
        if let Some(digest) = read_digest(entry.get_digest()?) {
            suspects.extend(entry.get_request_parts()?.iter().map(Suspect::Part));
            suspects.push(Suspect::Request(digest));
        }
        Ok(Quarantine {
            service: text(entry.get_service())?.into(),
            suspects,
            first_crash_ago_ms: bounded_ms(entry.get_first_crash_ago_ms()),
            next_trial_ms: bounded_ms(entry.get_next_trial_ms()),
            // A count at its maximum could not grow.
            trials: entry.get_trials().min(u32::MAX / 2),
        })
    };
    read_each("quarantines", reader, read)
}

/// Writes quarantines; the builder has the length of `quarantines`.
pub fn write_quarantines(
    quarantines: &[Quarantine],
    mut builder: struct_list::Builder<'_, schema::quarantine::Owned>,
) {
    for (index, quarantine) in (0..).zip(quarantines) {
        let mut entry = builder.reborrow().get(index);
        entry.set_service(quarantine.service.as_str());
        entry.set_first_crash_ago_ms(quarantine.first_crash_ago_ms);
        entry.set_next_trial_ms(quarantine.next_trial_ms);
        entry.set_trials(quarantine.trials);
        let parts = parts_of(&quarantine.suspects);
        let count = parts.len() as u32;
        let Some(digest) = request_of(&quarantine.suspects) else {
            write_parts(&parts, entry.init_parts(count));
            continue;
        };
        entry.set_digest(&digest.to_bytes());
        write_parts(&parts, entry.init_request_parts(count));
    }
}

/// Reads the requests of the instance with the number `instance` whose answers have begun, and how long
/// ago, in milliseconds.
pub fn read_begun(
    instance: u32,
    reader: struct_list::Reader<'_, schema::begun::Owned>,
) -> Vec<(JobId, u64)> {
    let read = |entry: schema::begun::Reader<'_>| {
        let job_id = JobId { instance, number: entry.get_number() };
        (job_id, u64::from(entry.get_ago_ms()))
    };
    reader.iter().map(read).collect()
}

/// Writes the requests whose answers have begun, by number, and how long ago, in milliseconds; the
/// builder has the length of `begun`.
pub fn write_begun(
    begun: &[(u64, u64)],
    mut builder: struct_list::Builder<'_, schema::begun::Owned>,
) {
    for (index, (number, ago_ms)) in (0..).zip(begun) {
        let mut entry = builder.reborrow().get(index);
        entry.set_number(*number);
        entry.set_ago_ms(u32::try_from(*ago_ms).unwrap_or(u32::MAX));
    }
}
