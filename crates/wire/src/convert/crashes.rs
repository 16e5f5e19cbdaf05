//! Conversions of what instances know of crashes, and of quarantines.

use super::{WireError, bounded_ms, read_each, text};
use crate::peer_capnp as schema;
use capnp::{primitive_list, struct_list};
use lycheehub_dispatch::JobId;
use lycheehub_dispatch::crashes::{
    Crash, CrashReport, EndpointStart, PartAnswer, Prompt, Quarantine,
};

/// Writes the parts of a prompt; the builder has the length of `parts`.
pub(super) fn write_parts(parts: &[u64], mut builder: primitive_list::Builder<'_, u64>) {
    for (index, part) in (0..).zip(parts) {
        builder.set(index, *part);
    }
}

pub(super) fn read_report(
    reader: schema::crash_report::Reader<'_>,
) -> Result<CrashReport, WireError> {
    let read_answer = |entry: schema::part_answer::Reader<'_>| {
        Ok(PartAnswer {
            service: text(entry.get_service())?.into(),
            part: entry.get_part(),
            ago_ms: bounded_ms(entry.get_ago_ms()),
        })
    };
    Ok(CrashReport {
        crashes: read_each("crashes", reader.get_crashes()?, read_crash),
        answers: read_each("answers", reader.get_answers()?, read_answer),
        quarantines: read_quarantines(reader.get_quarantines()?),
    })
}

fn read_crash(entry: schema::crash::Reader<'_>) -> Result<Crash, WireError> {
    let mut prompts = Vec::new();
    for prompt in entry.get_prompts()? {
        prompts.push(Prompt::new(prompt.get_parts()?));
    }
    Ok(Crash {
        service: text(entry.get_service())?.into(),
        start: EndpointStart {
            endpoint: text(entry.get_endpoint())?.into(),
            incarnation: entry.get_incarnation(),
        },
        ago_ms: bounded_ms(entry.get_ago_ms()),
        prompts,
    })
}

pub(super) fn write_report(report: &CrashReport, mut builder: schema::crash_report::Builder<'_>) {
    let mut crashes = builder.reborrow().init_crashes(report.crashes.len() as u32);
    for (index, crash) in (0..).zip(&report.crashes) {
        write_crash(crash, crashes.reborrow().get(index));
    }
    let mut answers = builder.reborrow().init_answers(report.answers.len() as u32);
    for (index, answer) in (0..).zip(&report.answers) {
        let mut entry = answers.reborrow().get(index);
        entry.set_service(answer.service.as_str());
        entry.set_part(answer.part);
        entry.set_ago_ms(answer.ago_ms);
    }
    let count = report.quarantines.len() as u32;
    write_quarantines(&report.quarantines, builder.init_quarantines(count));
}

fn write_crash(crash: &Crash, mut builder: schema::crash::Builder<'_>) {
    builder.set_service(crash.service.as_str());
    builder.set_endpoint(crash.start.endpoint.as_str());
    builder.set_incarnation(crash.start.incarnation);
    builder.set_ago_ms(crash.ago_ms);
    let mut prompts = builder.init_prompts(crash.prompts.len() as u32);
    for (index, prompt) in (0..).zip(&crash.prompts) {
        let parts: Vec<u64> = prompt.ids().collect();
        let entry = prompts.reborrow().get(index);
        write_parts(&parts, entry.init_parts(parts.len() as u32));
    }
}

/// Reads quarantines; those that cannot be read are skipped.
pub fn read_quarantines(
    reader: struct_list::Reader<'_, schema::quarantine::Owned>,
) -> Vec<Quarantine> {
    let read = |entry: schema::quarantine::Reader<'_>| {
        Ok(Quarantine {
            service: text(entry.get_service())?.into(),
            parts: entry.get_parts()?.iter().collect(),
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
        write_parts(&quarantine.parts, entry.init_parts(quarantine.parts.len() as u32));
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
