//! Prints what the identity of a request costs, by the size of its body.
//!
//! `cargo run --release -p lycheehub-auth --example digest_cost`

use lycheehub_auth::DigestKey;
use std::hint::black_box;
use std::time::Instant;

const BODY_BYTES: [usize; 4] = [0, 12_000, 100_000, 1_000_000];
const ROUNDS: u32 = 200;

fn main() {
    let key = DigestKey::derive(b"a peer key");
    for bytes in BODY_BYTES {
        let body = vec![b'x'; bytes];
        let started = Instant::now();
        for _ in 0..ROUNDS {
            black_box(key.digest(&[b"POST", b"/path", b"account", black_box(&body)]));
        }
        let each_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        println!("{bytes} bytes: {each_us:.1} us");
    }
}
