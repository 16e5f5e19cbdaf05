//! Explains the end of a request from its own line and the related ones.

use super::lines::Line;
use super::{LOOKBACK_S, attempts, is_quarantine};

/// Explains why a request ended as it did.
///
/// `related` are the lines related to the request, `concurrent` the ends of other requests in the
/// same time span.
pub(super) fn explain(end: &Line, related: &[&Line], concurrent: &[&Line]) -> String {
    match end.text("end") {
        "overloaded" => overloaded(end, related, concurrent),
        "quota_exceeded" => quota_exceeded(end, concurrent),
        "no_endpoint" => no_endpoint(end, related),
        "quarantined" => quarantined(end, related),
        "not_ready" => "the instance had no route document that a quorum had confirmed".to_owned(),
        "unauthorized" | "not_found" => not_admitted(end, related),
        "outcome_unknown" | "cut" | "timed_out" | "timed out in its stream" | "endpoint_failed" => {
            failed_in_flight(end, concurrent)
        }
        "stopped in its stream" => {
            "its instance was being stopped and exited before the stream had ended".to_owned()
        }
        status if status.starts_with('2') => "none: it was answered with success".to_owned(),
        status if status.starts_with(|first: char| first.is_ascii_digit()) => {
            format!("the endpoint itself answered {status}: {}", end.text("attempts"))
        }
        other => format!("it ended as {other:?}; the lines above say what came before"),
    }
}

fn overloaded(end: &Line, related: &[&Line], concurrent: &[&Line]) -> String {
    let service = end.text("service");
    let same = concurrent.iter().filter(|line| line.text("service") == service);
    let (refused, all) = same.fold((0, 0), |(refused, all), line| {
        (refused + u32::from(line.text("end") == "overloaded"), all + 1)
    });
    let mut cause = format!(
        "{service} had no room in time: {refused} of {all} other requests for it were refused in \
         the {LOOKBACK_S} s before, this one after {} ms of waiting",
        end.number("waited_ms")
    );
    if attempts(end).any(|(_, outcome)| outcome == "Rejected") {
        cause += "; its endpoint turned it away first";
    }
    let lost = count(related, "endpoint lost: its lease has ended");
    if lost > 0 {
        cause += &format!("; {lost} endpoints were lost meanwhile");
    }
    if last_unended(related, "leader lost", "requests are placed by the leader").is_some() {
        cause += "; no leader placed requests, the instance did by itself";
    }
    cause
}

fn quota_exceeded(end: &Line, concurrent: &[&Line]) -> String {
    let account = end.text("account");
    let same = concurrent.iter().filter(|line| line.text("account") == account);
    let served = same.filter(|line| line.text("end").starts_with('2'));
    let tokens: u64 = served.map(|line| line.number("tokens")).sum();
    format!(
        "{account} had used its quota: {tokens} tokens in the {LOOKBACK_S} s before, by these files"
    )
}

fn no_endpoint(end: &Line, related: &[&Line]) -> String {
    let lost = count(related, "endpoint lost: its lease has ended")
        + count(related, "endpoint withdrawn")
        + count(related, "endpoint forgotten: nobody watches over it");
    format!("no endpoint of {} took work; {lost} were lost or left before", end.text("service"))
}

fn quarantined(end: &Line, related: &[&Line]) -> String {
    let (parts, digest) = (end.text("parts"), end.text("digest"));
    let Some(began) = related.iter().rfind(|line| is_quarantine(line)) else {
        return match parts {
            "" => format!("an endpoint crashed on this request: {digest}"),
            _ => format!("an endpoint crashed on a prompt with a part of its own: {parts}"),
        };
    };
    let (parts, endpoints) = (began.text("parts"), began.text("endpoints"));
    match began.text("digest") {
        "" => format!("endpoints crashed on prompts with the parts {parts}: {endpoints}"),
        digest => format!("endpoints crashed on the request {digest}: {endpoints}"),
    }
}

fn not_admitted(end: &Line, related: &[&Line]) -> String {
    let what = match end.text("end") {
        "unauthorized" => "its key is in no client account",
        _ => "no route has its host and path",
    };
    let revision = end.number("revision");
    let newer = related.iter().filter(|line| line.message == "state taken");
    let newest = newer.map(|line| line.number("revision")).max().unwrap_or(revision);
    if newest > revision {
        return format!("{what} by revision {revision}, but {newest} was known elsewhere by then");
    }
    format!("{what} by revision {revision}, the newest in these files")
}

fn failed_in_flight(end: &Line, concurrent: &[&Line]) -> String {
    let Some((endpoint, outcome)) = attempts(end).last() else {
        return "its time was over before it was sent to an endpoint".to_owned();
    };
    let others = concurrent.iter().flat_map(|line| attempts(line));
    let (failed, all) = others
        .filter(|(other, _)| *other == endpoint)
        .fold((0, 0), |(failed, all), (_, outcome)| {
            (failed + u32::from(outcome != "Answered"), all + 1)
        });
    format!(
        "endpoint {endpoint} ended it as {outcome}; {failed} of {all} other requests there failed \
         in the {LOOKBACK_S} s before"
    )
}

fn count(lines: &[&Line], message: &str) -> usize {
    lines.iter().filter(|line| line.message == message).count()
}

/// Returns the last line whose message starts with `prefix`, unless a line with the message
/// `ending` follows it.
fn last_unended<'a>(lines: &[&'a Line], prefix: &str, ending: &str) -> Option<&'a Line> {
    let mut found = lines.iter().rev().take_while(|line| line.message != ending);
    found.find(|line| line.message.starts_with(prefix)).copied()
}
