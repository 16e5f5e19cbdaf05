//! Load shedding across instances.

use crate::support::{BATCH_KEY, NO_REPLY_PAUSE, Site, StopFlag, TRUCK_KEY};
use lycheehub_standin::caller::{Call, send};
use lycheehub_standin::cluster::{Layout, eventually};
use lycheehub_standin::endpoint::Options;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long another instance may still admit a lower tier after one instance sheds a higher tier.
const FLOOR_BOUND: Duration = Duration::from_secs(2);

#[test]
fn a_lower_tier_is_not_admitted_elsewhere_once_a_higher_one_is_shed() {
    let layout = Layout { limits: "drain_ms = 200\nqueue_max = 6\n".into(), ..Layout::default() };
    let mut site = Site::start("floors", &layout);
    site.add(Options { slots: 3, token_ms: 40.0, ..Options::default() });
    // The top tier alone overloads instance 0, so that the instance sheds the top tier as well.
    let stop = StopFlag::new();
    let flood: Vec<_> = (0..20)
        .map(|number| {
            let (stop, address) = (stop.share(), site.cluster.instances[0].http.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let prompt = format!("flood {number}");
                    let call = Call::chat("label-writer", &prompt, 10, false).key(TRUCK_KEY);
                    // The flood continues whether the request is served or shed.
                    if smol::block_on(send(&address, &call)).is_err() {
                        std::thread::sleep(NO_REPLY_PAUSE);
                    }
                }
            })
        })
        .collect();
    let low = Call::chat("label-writer", "low", 1, false).key(BATCH_KEY);
    let shed_at = |at: usize| site.send(at, &low).code().as_deref() == Some("overloaded");
    assert!(eventually(FLOOR_BOUND * 5, || shed_at(0)));
    assert!(eventually(FLOOR_BOUND, || shed_at(1) && shed_at(2)), "a lower tier is still admitted");
    drop(stop);
    flood.into_iter().for_each(|caller| caller.join().expect("caller"));
    // Once shedding stops, the lower tier is served again.
    let served = |at: usize| site.send(at, &low).status == 200;
    assert!(eventually(FLOOR_BOUND * 10, || (0..3).all(served)));
}
