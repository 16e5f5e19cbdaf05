//! The first claim on a key wins for as long as the claim is retained.

use lycheehub_control::state::{
    ClaimKey, ClaimOutcome, ClaimState, Claimant, Command, Reply, State,
};

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn key() -> ClaimKey {
    ClaimKey { account: "packhouse".into(), key: "invoice-17".into() }
}

fn claimant(request: u64) -> Claimant {
    Claimant { instance: "entry-1".into(), incarnation: 1, request }
}

fn claim(state: &mut State, request: u64, fingerprint: u64, now_unix_ms: u64) -> ClaimOutcome {
    let command =
        Command::Claim { key: key(), claimant: claimant(request), fingerprint, now_unix_ms };
    let Reply::Claim(outcome) = state.apply(1, command) else { panic!("no answer to the claim") };
    outcome
}

fn settle(state: &mut State, request: u64, to: ClaimState) {
    state.apply(1, Command::Settle { key: key(), claimant: claimant(request), state: to });
}

#[test]
fn only_the_first_claimant_may_dispatch() {
    let mut state = State::default();
    assert_eq!(claim(&mut state, 1, 7, 0), ClaimOutcome::Granted);
    // A repeated claim after a lost reply is granted again.
    assert_eq!(claim(&mut state, 1, 7, 1), ClaimOutcome::Granted);
    let taken = ClaimOutcome::Taken { claimant: claimant(1), state: ClaimState::Open };
    assert_eq!(claim(&mut state, 2, 7, 2), taken);
    assert_eq!(claim(&mut state, 2, 8, 2), ClaimOutcome::OtherRequest);
}

#[test]
fn settled_claim_is_not_granted_again() {
    let mut state = State::default();
    claim(&mut state, 1, 7, 0);
    settle(&mut state, 1, ClaimState::Answered);
    let taken = ClaimOutcome::Taken { claimant: claimant(1), state: ClaimState::Answered };
    assert_eq!(claim(&mut state, 1, 7, 1), taken);
}

#[test]
fn key_is_free_again_if_the_request_did_not_run() {
    let mut state = State::default();
    claim(&mut state, 1, 7, 0);
    settle(&mut state, 9, ClaimState::NotRun);
    assert!(matches!(claim(&mut state, 2, 7, 1), ClaimOutcome::Taken { .. }));
    settle(&mut state, 1, ClaimState::NotRun);
    assert_eq!(claim(&mut state, 2, 7, 2), ClaimOutcome::Granted);
}

#[test]
fn claim_carries_the_leaders_time() {
    let command = Command::Claim {
        key: key(),
        claimant: claimant(1),
        fingerprint: 7,
        now_unix_ms: 10 * DAY_MS,
    };
    let Command::Claim { now_unix_ms, .. } = command.with_leader_time(1_000) else {
        panic!("no claim")
    };
    assert_eq!(now_unix_ms, 1_000);
}

#[test]
fn claims_are_retained_for_a_day() {
    let mut state = State::default();
    claim(&mut state, 1, 7, 1_000);
    assert!(matches!(claim(&mut state, 2, 7, 1_000 + DAY_MS - 1), ClaimOutcome::Taken { .. }));
    assert_eq!(claim(&mut state, 2, 7, 1_000 + DAY_MS), ClaimOutcome::Granted);
}
