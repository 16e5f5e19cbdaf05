//! Replicated sections and moves.

use lycheehub_control::State;
use lycheehub_control::state::{
    ApplyOutcome, Command, MoveStep, Phase, Reply, RolloutEvidence, RolloutOrder, RolloutState,
    RolloutStep, Submission,
};

const BASE: &str = "owner = \"ana\"\n[service.writer]\nkind = \"engine\"\nversion = \"v1\"\n";

fn order(id: &str, to: &str, state: &str) -> String {
    format!(
        "[move.{id}]\nservice = \"writer\"\nto = \"{to}\"\nby = \"2026-12-04T06:00:00Z\"\nstate = \"{state}\"\n"
    )
}

fn submit(state: &mut State, index: u64, base: u64, operator: &str, text: &str) -> ApplyOutcome {
    let submission = Submission {
        section: "labels".into(),
        base_revision: base,
        request_id: format!("request-{index}").into(),
        operator: operator.into(),
        text: text.into(),
    };
    let Reply::Apply(outcome) = state.apply(index, Command::Submit(submission)) else {
        panic!("no answer to the submission")
    };
    outcome
}

fn step(state: &mut State, index: u64, after_step: u64, phase: Phase, share_permille: u32) -> bool {
    let step = MoveStep {
        id: "m1".into(),
        after_step,
        phase,
        share_permille,
        reason: "".into(),
        now_unix_ms: index,
    };
    state.apply(index, Command::StepMove(step)) == Reply::Stepped(true)
}

#[test]
fn first_of_two_submissions_with_one_base_wins() {
    let mut state = State::default();
    assert_eq!(submit(&mut state, 5, 0, "ana", BASE), ApplyOutcome::Accepted { revision: 5 });
    let lost = ApplyOutcome::Conflict {
        revision: 5,
        operator: "ana".into(),
        request_id: "request-5".into(),
    };
    assert_eq!(submit(&mut state, 6, 0, "ana", BASE), lost);
}

#[test]
fn only_the_owner_may_change_a_section() {
    let mut state = State::default();
    submit(&mut state, 5, 0, "ana", BASE);
    assert!(matches!(submit(&mut state, 6, 5, "eva", BASE), ApplyOutcome::Invalid { .. }));
}

#[test]
fn step_based_on_an_older_state_is_ignored() {
    let mut state = State::default();
    submit(&mut state, 5, 0, "ana", &(BASE.to_owned() + &order("m1", "v2", "run")));
    assert!(step(&mut state, 6, 0, Phase::Canary, 20));
    assert!(!step(&mut state, 7, 0, Phase::Ramp, 500));
    assert!(step(&mut state, 8, 1, Phase::Reverted, 0));
    assert!(!step(&mut state, 9, 2, Phase::Canary, 20));
}

#[test]
fn reverted_move_stays_reverted_after_a_resubmission() {
    let mut state = State::default();
    let with_move = BASE.to_owned() + &order("m1", "v2", "run");
    submit(&mut state, 5, 0, "ana", &with_move);
    step(&mut state, 6, 0, Phase::Reverted, 0);
    submit(&mut state, 7, 5, "ana", &(with_move + "# again\n"));
    assert_eq!(state.moves["m1"].phase, Phase::Reverted);
    let restored = State::decode(&state.encode()).expect("decodes");
    assert_eq!(restored, state);
}

#[test]
fn later_move_of_a_service_supersedes_the_earlier_one() {
    let mut state = State::default();
    let first = BASE.to_owned() + &order("m1", "v2", "run");
    submit(&mut state, 5, 0, "ana", &first);
    submit(&mut state, 6, 5, "ana", &(first + &order("m2", "v3", "run")));
    assert_eq!(state.moves["m1"].phase, Phase::Superseded);
    assert_eq!(state.moves["m2"].from, "v1".into());
}

#[test]
fn feed_updates_a_state_without_a_log() {
    let mut state = State::default();
    submit(&mut state, 5, 0, "ana", &(BASE.to_owned() + &order("m1", "v2", "run")));
    let mut follower = State::default();
    assert!(follower.apply_feed(state.feed_after(0)));
    step(&mut state, 8, 0, Phase::Canary, 20);
    let feed = state.feed_after(follower.revision);
    assert!(feed.sections.is_empty());
    assert!(follower.apply_feed(feed));
    assert_eq!((&follower.moves, &follower.estate), (&state.moves, &state.estate));
    // An older feed changes nothing.
    assert!(!follower.apply_feed(state.feed_after(0)));
}

/// Guards against evidence of a rollout that is lost with its leader, or that an earlier build cannot read over
/// (review/7).
#[test]
fn what_a_rollout_has_shown_is_kept_behind_the_bytes_of_earlier_builds() {
    let order = RolloutOrder {
        service: "writer".into(),
        target: "v2".into(),
        duration_ms: 12_000,
        now_unix_ms: 5,
    };
    let evidence = RolloutEvidence {
        stated_unix_ms: 7,
        new_requests: 24,
        old_requests: 300,
        passed: 1,
        failed: 0,
    };
    let step = |evidence| {
        Command::StepRollout(RolloutStep {
            service: "writer".into(),
            after_revision: 1,
            state: RolloutState::Running,
            share_permille: 900,
            reason: "trial".into(),
            now_unix_ms: 7,
            evidence,
        })
    };
    let bytes = step(evidence).encode();
    assert_eq!(Command::decode(&bytes), Ok(step(evidence)));
    // An earlier build reads the first form, and nothing behind a mark that it doesn't know.
    assert!(bytes.starts_with(&step(RolloutEvidence::default()).encode()));
    let mut state = State::default();
    state.apply(1, Command::StartRollout(order));
    let earlier = state.encode();
    state.apply(2, step(evidence));
    assert_eq!(State::decode(&state.encode()).unwrap(), state);
    assert_eq!(state.rollouts[&"writer".into()].evidence, evidence);
    assert_eq!(State::decode(&earlier).unwrap().rollouts[&"writer".into()].evidence.passed, 0);
}
