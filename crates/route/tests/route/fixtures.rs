//! Views, jobs and helpers that the tests share.

use lycheehub_control::View;
use lycheehub_control::state::Phase;
use lycheehub_control::view::{Candidate, LiveEndpoint, VersionShare};
use lycheehub_route::{Decision, Job, JobKey};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord, Tier};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

pub const SERVICE: &str = "writer";

pub fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

pub fn job(tier: u8, account: &str, deadline_ms: u64) -> Job {
    Job {
        service: SERVICE.into(),
        route: "chat".into(),
        tier: Tier::new(tier),
        account: account.into(),
        weight: 1,
        prompt_tokens: 0,
        max_tokens: 10,
        prefix: Vec::new(),
        digest: None,
        deadline_ms,
    }
}

pub fn endpoint(name: &str, version: &str, slots: u32, lease_until_ms: u64) -> LiveEndpoint {
    let record = EndpointRecord {
        endpoint: name.into(),
        address: "127.0.0.1:1".into(),
        service: SERVICE.into(),
        version: version.into(),
        kind: EndpointKind::Engine,
        hardware: "gen1".into(),
        failure_domain: "salto".into(),
        slots,
        fencing: false,
        takes_orders: false,
        incarnation: 1,
        sequence: 1,
        leaving: false,
        load: EndpointLoad::default(),
        cold_ms: 0,
    };
    LiveEndpoint { record, lease_until_ms, granted_slots: slots }
}

pub fn view(endpoints: Vec<LiveEndpoint>) -> View {
    let mut view = View { ready: true, ..View::default() };
    for live in endpoints {
        view.endpoints.insert(live.record.endpoint.clone(), live);
    }
    view.shares.insert(SERVICE.into(), VersionShare { stable: "v1".into(), candidate: None });
    view
}

pub fn with_candidate(mut view: View, version: &str, share_permille: u32) -> View {
    let candidate = Candidate {
        move_id: "move".into(),
        version: version.into(),
        share_permille,
        phase: Phase::Canary,
        step: 1,
    };
    let share = VersionShare { stable: "v1".into(), candidate: Some(candidate) };
    view.shares.insert(SERVICE.into(), share);
    view
}

pub fn dispatched(decisions: &[Decision]) -> Vec<JobKey> {
    let key = |decision: &Decision| match decision {
        Decision::Dispatch(key, _) => Some(*key),
        Decision::Refuse(..) => None,
    };
    decisions.iter().filter_map(key).collect()
}

pub fn refused(decisions: &[Decision]) -> Vec<JobKey> {
    let key = |decision: &Decision| match decision {
        Decision::Refuse(key, _) => Some(*key),
        Decision::Dispatch(..) => None,
    };
    decisions.iter().filter_map(key).collect()
}
