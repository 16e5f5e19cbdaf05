//! No text makes the parser panic, and each error carries a line within the text.

use lycheehub_estate::parse;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

fn config() -> Config {
    Config {
        cases: 20_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

fn fragment() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("owner = \"a\"\n".to_owned()),
        Just("[service.x]\n".to_owned()),
        Just("kind = \"engine\"\n".to_owned()),
        Just("version = \"v1\"\n".to_owned()),
        Just("[account.y]\nkey_sha256 = ".to_owned()),
        Just("tier = 9\n".to_owned()),
        Just("[move.z]\nservice = \"x\"\nto = \"v2\"\nby = \"2026-12-04T06:00:00Z\"\n".to_owned()),
        "[ -~\n]{0,12}",
        "\\PC{0,6}",
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_is_parsed_or_rejected_with_its_position(parts in proptest::collection::vec(fragment(), 0..8)) {
        let text = parts.concat();
        if let Err(error) = parse(&text) {
            let message = error.to_string();
            let line: usize = message.split(':').next().unwrap_or("").parse().unwrap_or(0);
            prop_assert!(line >= 1 && line <= text.lines().count() + 1, "{message}");
        }
    }
}

#[test]
fn missing_fields_get_defaults() {
    let section =
        parse("owner = \"a\"\n[service.x]\nkind = \"plain\"\nversion = \"v1\"\n").expect("valid");
    let service = &section.services[&"x".into()];
    assert!(!service.idempotent);
    assert_eq!(service.deadline_ms, lycheehub_estate::parse::DEFAULT_DEADLINE_MS);
}
