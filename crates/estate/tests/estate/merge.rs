//! Sections that contradict each other are rejected.

use lycheehub_estate::merge::Error;
use lycheehub_estate::{merge, parse};
use std::collections::BTreeMap;

fn merged(texts: &[(&str, &str)]) -> Result<lycheehub_estate::MergedSections, Error> {
    let sections: BTreeMap<_, _> =
        texts.iter().map(|(name, text)| ((*name).into(), parse(text).expect("valid"))).collect();
    merge(&sections)
}

const SERVICE: &str = "owner = \"a\"\n[service.x]\nkind = \"engine\"\nversion = \"v1\"\n";

#[test]
fn name_may_be_defined_in_one_section_only() {
    assert!(matches!(merged(&[("one", SERVICE), ("two", SERVICE)]), Err(Error::Duplicate(..))));
}

#[test]
fn two_accounts_cannot_have_the_same_key() {
    let digest = "0".repeat(64);
    let text = |name: &str| {
        format!("owner = \"a\"\n[account.{name}]\nkey_sha256 = \"{digest}\"\ntier = 0\n")
    };
    let result = merged(&[("one", &text("first")), ("two", &text("second"))]);
    assert!(matches!(result, Err(Error::SharedKey(..))));
}

#[test]
fn move_must_refer_to_a_defined_service() {
    let move_text =
        "owner = \"a\"\n[move.m]\nservice = \"x\"\nto = \"v2\"\nby = \"2026-12-04T06:00:00Z\"\n";
    assert!(matches!(merged(&[("one", move_text)]), Err(Error::UnknownService(..))));
    assert!(merged(&[("one", move_text), ("two", SERVICE)]).is_ok());
}
