//! Load orders: fenced, at most one outstanding per endpoint, and within the weight store's rate
//! limit.

use lycheehub_control::State;
use lycheehub_control::placement::{Leadership, LoadOrder, PlacementController};
use lycheehub_control::state::{Command, MoveStep, Phase, Submission};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord};

fn state() -> State {
    let text = "owner = \"ana\"\n[service.writer]\nkind = \"engine\"\nversion = \"v1\"\n[move.m]\nservice = \"writer\"\nto = \"v2\"\nby = \"2026-12-04T06:00:00Z\"\n";
    let mut state = State::default();
    let submission = Submission {
        section: "labels".into(),
        base_revision: 0,
        request_id: "r".into(),
        operator: "ana".into(),
        text: text.into(),
    };
    state.apply(1, Command::Submit(submission));
    state
}

fn step(state: &mut State, phase: Phase, share_permille: u32) {
    let after_step = state.moves["m"].step;
    let step = MoveStep {
        id: "m".into(),
        after_step,
        phase,
        share_permille,
        reason: "".into(),
        now_unix_ms: 1,
    };
    state.apply(2 + after_step, Command::StepMove(step));
}

fn endpoint(number: usize, version: &str, fencing: bool) -> EndpointRecord {
    EndpointRecord {
        endpoint: format!("engine-{number}").into(),
        address: "127.0.0.1:1".into(),
        service: "writer".into(),
        version: version.into(),
        kind: EndpointKind::Engine,
        hardware: "gen1".into(),
        failure_domain: ["salto", "canelones"][number % 2].into(),
        slots: 8,
        fencing,
        takes_orders: true,
        incarnation: 1,
        sequence: 1,
        leaving: false,
        load: EndpointLoad::default(),
        cold_ms: 0,
    }
}

fn leadership(term: u64, since_ms: u64) -> Leadership {
    Leadership { term, since_ms, lease_until_ms: u64::MAX }
}

fn tick(
    placer: &mut PlacementController,
    now_ms: u64,
    term: u64,
    state: &State,
    live: &[EndpointRecord],
) -> Vec<LoadOrder> {
    let live: Vec<&EndpointRecord> = live.iter().collect();
    placer.tick(now_ms, leadership(term, 0), state, &live)
}

#[test]
fn move_loads_enough_endpoints_for_its_next_share() {
    let mut state = state();
    let mut live: Vec<EndpointRecord> =
        (0..10).map(|number| endpoint(number, "v1", true)).collect();
    let mut placer = PlacementController::default();
    let orders = tick(&mut placer, 10_000, 2, &state, &live);
    assert_eq!(orders.len(), 1, "one endpoint for the canary");
    assert!(tick(&mut placer, 11_000, 2, &state, &live).is_empty(), "while it loads");
    live[0].version = "v2".into();
    step(&mut state, Phase::Canary, 250);
    let mut ordered = 0;
    for second in 0..60 {
        for order in tick(&mut placer, 20_000 + second * 1_000, 2, &state, &live) {
            ordered += 1;
            let loaded = live.iter_mut().find(|record| record.endpoint == order.endpoint);
            loaded.expect("known").version = order.version;
        }
    }
    assert_eq!(ordered, 4, "half of ten for the next share, one is there already");
}

#[test]
fn last_endpoint_of_the_old_version_stays_until_the_move_is_done() {
    let mut state = state();
    step(&mut state, Phase::Ramp, 750);
    let live = [endpoint(0, "v2", true), endpoint(1, "v1", true)];
    assert!(tick(&mut PlacementController::default(), 10_000, 2, &state, &live).is_empty());
    step(&mut state, Phase::Done, 1_000);
    let orders = tick(&mut PlacementController::default(), 10_000, 2, &state, &live);
    assert_eq!(orders.len(), 1);
    assert_eq!((orders[0].endpoint.as_str(), orders[0].version.as_str()), ("engine-1", "v2"));
}

#[test]
fn reverted_move_reloads_the_old_version() {
    let mut state = state();
    step(&mut state, Phase::Reverted, 0);
    let live = [endpoint(0, "v2", true), endpoint(1, "v1", true)];
    let orders = tick(&mut PlacementController::default(), 10_000, 2, &state, &live);
    assert_eq!((orders[0].endpoint.as_str(), orders[0].version.as_str()), ("engine-0", "v1"));
}

#[test]
fn fencing_tokens_increase_within_and_across_terms() {
    let mut state = state();
    step(&mut state, Phase::Ramp, 500);
    let live: Vec<EndpointRecord> = (0..8).map(|number| endpoint(number, "v1", true)).collect();
    let mut placer = PlacementController::default();
    let mut fences = Vec::new();
    for (now_ms, term) in [(10_000, 2), (10_250, 2), (40_000, 2), (40_250, 3), (40_500, 3)] {
        let orders = tick(&mut placer, now_ms, term, &state, &live);
        fences.extend(orders.iter().map(|order| order.fence));
    }
    assert!(fences.len() >= 4);
    assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
}

#[test]
fn new_leader_waits_for_endpoints_that_ignore_fencing_tokens() {
    let live = [endpoint(0, "v1", false), endpoint(1, "v1", false)];
    let live: Vec<&EndpointRecord> = live.iter().collect();
    let mut placer = PlacementController::default();
    assert!(placer.tick(52_900, leadership(2, 50_000), &state(), &live).is_empty());
    assert_eq!(placer.tick(53_000, leadership(2, 50_000), &state(), &live).len(), 1);
}

#[test]
fn loads_stay_within_the_rate_limit() {
    let mut state = state();
    step(&mut state, Phase::Ramp, 750);
    let live: Vec<EndpointRecord> = (0..100).map(|number| endpoint(number, "v1", true)).collect();
    let mut placer = PlacementController::default();
    let ordered: usize =
        (0..600).map(|tenth| tick(&mut placer, 10_000 + tenth * 100, 2, &state, &live).len()).sum();
    assert!((12..=14).contains(&ordered), "{ordered} loads in a minute");
}
