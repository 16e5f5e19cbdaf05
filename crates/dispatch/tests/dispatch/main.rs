//! Tests of the dispatcher: replays of load at its worst, and its parts.

mod budgets;
mod health;
mod notices;
mod overload;
mod placement;
mod replay;
mod share;
mod versions;
