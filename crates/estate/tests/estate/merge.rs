//! Sections must fit together.

use lycheehub_estate::merge::Error;
use lycheehub_estate::{merge, parse};
use std::collections::BTreeMap;

fn merged(texts: &[(&str, &str)]) -> Result<lycheehub_estate::Estate, Error> {
    let sections: BTreeMap<_, _> =
        texts.iter().map(|(name, text)| ((*name).into(), parse(text).expect("valid"))).collect();
    merge(&sections)
}

const SERVICE: &str = "owner = \"a\"\n[service.x]\nkind = \"engine\"\nversion = \"v1\"\n";

#[test]
fn a_name_stands_in_one_section_only() {
    assert!(matches!(merged(&[("one", SERVICE), ("two", SERVICE)]), Err(Error::Duplicate(..))));
}

#[test]
fn two_accounts_never_share_a_key() {
    let digest = "0".repeat(64);
    let text = |name: &str| {
        format!("owner = \"a\"\n[account.{name}]\nkey_sha256 = \"{digest}\"\ntier = 0\n")
    };
    let found = merged(&[("one", &text("first")), ("two", &text("second"))]);
    assert!(matches!(found, Err(Error::SharedKey(..))));
}

#[test]
fn a_move_names_a_service_that_is_there() {
    let order =
        "owner = \"a\"\n[move.m]\nservice = \"x\"\nto = \"v2\"\nby = \"2026-12-04T06:00:00Z\"\n";
    assert!(matches!(merged(&[("one", order)]), Err(Error::UnknownService(..))));
    assert!(merged(&[("one", order), ("two", SERVICE)]).is_ok());
}
