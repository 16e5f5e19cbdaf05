//! What the end of a request means, by its own line and those that bear on it.

use super::lines::Line;
use super::{BEFORE_S, attempts};

/// Says why a request ended as it did.
///
/// `around` are the lines that bear on it, `beside` the ends of other requests of that time.
pub(super) fn of(end: &Line, around: &[&Line], beside: &[&Line]) -> String {
    match end.text("end") {
        "overloaded" => overloaded(end, around, beside),
        "quota_exceeded" => quota_exceeded(end, beside),
        "no_endpoint" => no_endpoint(end, around),
        "not_ready" => "the instance had no route document that a quorum had confirmed".to_owned(),
        "unauthorized" | "not_found" => not_allowed(end, around),
        "outcome_unknown" | "cut" | "timed_out" | "timed out in its stream" | "endpoint_failed" => {
            failed_in_the_middle(end, beside)
        }
        status if status.starts_with('2') => "none: it was answered with success".to_owned(),
        status if status.starts_with(|first: char| first.is_ascii_digit()) => {
            format!("the endpoint itself answered {status}: {}", end.text("attempts"))
        }
        other => format!("it ended as {other:?}; the lines above say what came before"),
    }
}

fn overloaded(end: &Line, around: &[&Line], beside: &[&Line]) -> String {
    let service = end.text("service");
    let same = beside.iter().filter(|line| line.text("service") == service);
    let (refused, all) = same.fold((0, 0), |(refused, all), line| {
        (refused + u32::from(line.text("end") == "overloaded"), all + 1)
    });
    let mut cause = format!(
        "{service} had no room in time: {refused} of {all} other requests for it were refused in \
         the {BEFORE_S} s before, this one after {} ms of waiting",
        end.number("waited_ms")
    );
    if attempts(end).any(|(_, outcome)| outcome == "Rejected") {
        cause += "; its endpoint turned it away first";
    }
    let lost = count(around, "endpoint lost: its lease has ended");
    if lost > 0 {
        cause += &format!("; {lost} endpoints were lost meanwhile");
    }
    if last(around, "leader lost", "requests are placed by the leader").is_some() {
        cause += "; no leader placed requests, the instance did by itself";
    }
    cause
}

fn quota_exceeded(end: &Line, beside: &[&Line]) -> String {
    let account = end.text("account");
    let same = beside.iter().filter(|line| line.text("account") == account);
    let served = same.filter(|line| line.text("end").starts_with('2'));
    let tokens: u64 = served.map(|line| line.number("tokens")).sum();
    format!(
        "{account} had used its quota: {tokens} tokens in the {BEFORE_S} s before, by these files"
    )
}

fn no_endpoint(end: &Line, around: &[&Line]) -> String {
    let lost = count(around, "endpoint lost: its lease has ended")
        + count(around, "endpoint withdrawn")
        + count(around, "endpoint forgotten: nobody watches over it");
    format!("no endpoint of {} took work; {lost} were lost or left before", end.text("service"))
}

fn not_allowed(end: &Line, around: &[&Line]) -> String {
    let what = match end.text("end") {
        "unauthorized" => "its key is in no client account",
        _ => "no route has its host and path",
    };
    let revision = end.number("revision");
    let newer = around.iter().filter(|line| line.message == "state taken");
    let newest = newer.map(|line| line.number("revision")).max().unwrap_or(revision);
    if newest > revision {
        return format!("{what} by revision {revision}, but {newest} was known elsewhere by then");
    }
    format!("{what} by revision {revision}, the newest in these files")
}

fn failed_in_the_middle(end: &Line, beside: &[&Line]) -> String {
    let Some((endpoint, outcome)) = attempts(end).last() else {
        return "its time was over before it was sent to an endpoint".to_owned();
    };
    let others = beside.iter().flat_map(|line| attempts(line));
    let (failed, all) = others
        .filter(|(other, _)| *other == endpoint)
        .fold((0, 0), |(failed, all), (_, outcome)| {
            (failed + u32::from(outcome != "Answered"), all + 1)
        });
    format!(
        "endpoint {endpoint} ended it as {outcome}; {failed} of {all} other requests there failed \
         in the {BEFORE_S} s before"
    )
}

fn count(lines: &[&Line], message: &str) -> usize {
    lines.iter().filter(|line| line.message == message).count()
}

/// Returns the last line that begins with `message`, unless one of `ending` came after it.
fn last<'a>(lines: &[&'a Line], message: &str, ending: &str) -> Option<&'a Line> {
    let mut found = lines.iter().rev().take_while(|line| line.message != ending);
    found.find(|line| line.message.starts_with(message)).copied()
}
