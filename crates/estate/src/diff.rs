//! Lists what a new text of a section changes.

/// A line of a difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// The line stands in both texts.
    Same(String),
    /// The line is taken away.
    Removed(String),
    /// The line is added.
    Added(String),
}

/// Compares two texts line by line.
///
/// # Examples
/// ```
/// use lycheehub_estate::diff::{Line, lines};
/// let found = lines("a\nb\n", "a\nc\n");
/// assert_eq!(found, [Line::Same("a".into()), Line::Removed("b".into()), Line::Added("c".into())]);
/// ```
pub fn lines(old: &str, new: &str) -> Vec<Line> {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let same_head = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let tail = old[same_head..].iter().rev().zip(new[same_head..].iter().rev());
    let same_tail = tail.take_while(|(a, b)| a == b).count();
    let mut found = Vec::new();
    found.extend(old[..same_head].iter().map(|line| Line::Same(line.to_string())));
    let removed = &old[same_head..old.len() - same_tail];
    let added = &new[same_head..new.len() - same_tail];
    found.extend(removed.iter().map(|line| Line::Removed(line.to_string())));
    found.extend(added.iter().map(|line| Line::Added(line.to_string())));
    found.extend(old[old.len() - same_tail..].iter().map(|line| Line::Same(line.to_string())));
    found
}
