//! A line diff between two texts of a section.

/// A line of a diff.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// The line is in both texts.
    Same(String),
    /// The line is only in the old text.
    Removed(String),
    /// The line is only in the new text.
    Added(String),
}

/// Compares two texts line by line.
///
/// Only the common lines at the beginning and at the end count as the same; everything between them
/// is reported as removed, then added.
///
/// # Examples
/// ```
/// use lycheehub_estate::diff::{Line, lines};
/// let diff = lines("a\nb\n", "a\nc\n");
/// assert_eq!(diff, [Line::Same("a".into()), Line::Removed("b".into()), Line::Added("c".into())]);
/// ```
pub fn lines(old: &str, new: &str) -> Vec<Line> {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let common_prefix = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let reversed = old[common_prefix..].iter().rev().zip(new[common_prefix..].iter().rev());
    let common_suffix = reversed.take_while(|(a, b)| a == b).count();
    let mut diff = Vec::new();
    diff.extend(old[..common_prefix].iter().map(|line| Line::Same(line.to_string())));
    let removed = &old[common_prefix..old.len() - common_suffix];
    let added = &new[common_prefix..new.len() - common_suffix];
    diff.extend(removed.iter().map(|line| Line::Removed(line.to_string())));
    diff.extend(added.iter().map(|line| Line::Added(line.to_string())));
    diff.extend(old[old.len() - common_suffix..].iter().map(|line| Line::Same(line.to_string())));
    diff
}
