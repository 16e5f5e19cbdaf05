//! Shortens log lines that are longer than one write takes.

use serde_json::Value;

/// The end of a value that was shortened.
const CUT_MARK: &str = "…";

/// Returns a line, which ends with a line feed, in at most `max_bytes`. The longest value of a JSON line is
/// shortened until it fits, so that all of its fields are kept; another line loses its end.
pub(super) fn shorten(line: &str, max_bytes: usize) -> String {
    let Ok(mut value) = serde_json::from_str::<Value>(line) else {
        let end = line.floor_char_boundary(max_bytes.saturating_sub(CUT_MARK.len() + 1));
        return format!("{}{CUT_MARK}\n", line[..end].trim_end());
    };
    loop {
        let shorter = format!("{value}\n");
        let excess_bytes = shorter.len().saturating_sub(max_bytes);
        let Some(text) = longest_text(&mut value) else { return shorter };
        if excess_bytes == 0 || text.len() <= CUT_MARK.len() {
            return shorter;
        }
        cut(text, excess_bytes);
    }
}

/// Returns the longest string in a value.
fn longest_text(value: &mut Value) -> Option<&mut String> {
    match value {
        Value::String(text) => Some(text),
        Value::Array(values) => longest(values.iter_mut()),
        Value::Object(fields) => longest(fields.values_mut()),
        _ => None,
    }
}

fn longest<'a>(values: impl Iterator<Item = &'a mut Value>) -> Option<&'a mut String> {
    values.filter_map(longest_text).max_by_key(|text| text.len())
}

/// Removes the end of a text, at least half of which is kept at a time: other texts may be longer then.
fn cut(text: &mut String, excess_bytes: usize) {
    let kept = text.len().saturating_sub(excess_bytes + CUT_MARK.len()).max(text.len() / 2);
    let kept = text.floor_char_boundary(kept.min(text.len() - CUT_MARK.len()));
    text.truncate(kept);
    text.push_str(CUT_MARK);
}
