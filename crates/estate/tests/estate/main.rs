//! Tests of the operators' document.

mod merge;
mod parse;
