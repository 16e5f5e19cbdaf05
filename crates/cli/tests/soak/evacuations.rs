//! The operator who evacuates a failure domain without endpoints and takes it back: what was acknowledged
//! last is in force after all faults.

use crate::deployment::{call, control_call};
use crate::history::History;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The failure domain, which the settings name.
const DOMAIN: &str = "montevideo";
/// The port on which control instances list evacuations.
const LIST_PORT: u16 = 9464;
/// How long a call to a control instance may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// For how long a control instance may still try to commit an order without a clear answer, and some
/// more. The opposite order waits for that.
const UNCLEAR: Duration = Duration::from_millis(4_500);
/// How long the list may take to be told after the last fault.
const LIST_TIMEOUT: Duration = Duration::from_secs(15);

/// Gives the orders and remembers the last one.
pub struct Evacuator {
    controls: Vec<String>,
    history: Arc<History>,
    rng: StdRng,
    /// Whether the domain is evacuated by the last order; `None` if that was not acknowledged.
    is_evacuated: Option<bool>,
    /// When an order last got no clear answer.
    unclear: Option<Instant>,
}

impl Evacuator {
    pub fn new(controls: Vec<String>, history: Arc<History>, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(!seed);
        Self { controls, history, rng, is_evacuated: Some(false), unclear: None }
    }

    /// Evacuates the domain and takes it back in turn until `is_stopped` is set.
    pub fn run(mut self, is_stopped: &AtomicBool) -> Self {
        let mut begins = true;
        while !is_stopped.load(Ordering::Relaxed) {
            if self.unclear.is_some_and(|at| at.elapsed() < UNCLEAR) {
                std::thread::sleep(RETRY_DELAY);
                continue;
            }
            self.order(begins, is_stopped);
            begins = !begins;
            let pause_ms = 200 + self.rng.next_u32() % 800;
            std::thread::sleep(Duration::from_millis(u64::from(pause_ms)));
        }
        self
    }

    /// Repeats an order until it is acknowledged.
    fn order(&mut self, begins: bool, is_stopped: &AtomicBool) {
        self.is_evacuated = None;
        let method = if begins { "POST" } else { "DELETE" };
        while !is_stopped.load(Ordering::Relaxed) {
            let path = format!("/-/evacuations/{DOMAIN}");
            let reply = control_call(self.any_control(), method, &path, "", CALL_TIMEOUT);
            match reply.status {
                200 => {
                    self.is_evacuated = Some(begins);
                    self.history.count("evacuation orders acknowledged");
                    return;
                }
                400..=499 => {
                    let violation = format!("CONFIG: a valid order was refused: {reply:?}");
                    return self.history.add_violation(violation);
                }
                _ => {
                    self.unclear = Some(Instant::now());
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        }
    }

    fn any_control(&mut self) -> &str {
        let place = self.rng.next_u32() as usize % self.controls.len();
        &self.controls[place]
    }

    /// Checks that the last acknowledged order is in force.
    pub fn check(&mut self) {
        let Some(is_evacuated) = self.is_evacuated else { return };
        let started = Instant::now();
        while started.elapsed() < LIST_TIMEOUT {
            let address = format!("{}:{LIST_PORT}", self.any_control());
            let request = format!(
                "GET /v1/operators/evacuations HTTP/1.1\r\nHost: {address}\r\n\
                 Connection: close\r\n\r\n"
            );
            let reply = call(&address, &request, CALL_TIMEOUT).unwrap_or_default();
            if reply.status == 200 {
                if reply.body.contains(DOMAIN) != is_evacuated {
                    self.history.add_violation(format!(
                        "LOST: evacuated {is_evacuated} was acknowledged last, listed: {}",
                        reply.body
                    ));
                }
                return;
            }
            std::thread::sleep(RETRY_DELAY);
        }
        self.history.add_violation("LOST: the evacuations could not be read back".to_owned());
    }
}
