//! Tests of the operators' configuration document.

mod merge;
mod parse;
