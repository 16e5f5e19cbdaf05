//! Tests of the dispatcher: replays of extreme load, and tests of its parts.

mod accounts;
mod budgets;
mod cold;
mod crash_evidence;
mod crashes;
mod crashing_requests;
mod documents;
mod evacuations;
mod health;
mod limits;
mod notices;
mod odd_numbers;
mod overload;
mod paths;
mod pauses;
mod placement;
mod rejections;
mod replay;
mod share;
mod silence;
mod sizes;
mod versions;
