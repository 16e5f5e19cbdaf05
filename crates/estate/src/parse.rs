//! Parses the text of one section; errors carry the line and column of the fault.

use crate::{Account, MoveSpec, MoveState, Section, Service};
use lycheehub_types::{AccountName, EndpointKind, ServiceName, Tier, Version, name};
use quick_error::quick_error;
use serde::Deserialize;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::ops::Range;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;
use toml::Spanned;

/// The maximum size of a section's text, in bytes.
pub const SECTION_MAX_BYTES: usize = 1024 * 1024;
/// The deadline of a service that does not set one, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// The number of hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

quick_error! {
    /// Why a section's text is rejected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text is invalid at this line and column.
        At(line: usize, column: usize, message: SmolStr) {
            display("{}:{}: {}", line, column, message)
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SectionText {
    owner: Spanned<String>,
    #[serde(default)]
    service: BTreeMap<String, Spanned<ServiceText>>,
    #[serde(default)]
    account: BTreeMap<String, Spanned<AccountText>>,
    #[serde(default, rename = "move")]
    moves: BTreeMap<String, Spanned<MoveText>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceText {
    kind: EndpointKind,
    version: Spanned<String>,
    #[serde(default)]
    idempotent: bool,
    deadline_ms: Option<Spanned<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AccountText {
    key_sha256: Spanned<String>,
    tier: Spanned<u8>,
    weight: Option<Spanned<u32>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MoveText {
    service: Spanned<String>,
    to: Spanned<String>,
    by: Spanned<String>,
    #[serde(default)]
    state: MoveState,
}

/// Parses the text of one section.
///
/// # Errors
/// Returns the line and column of the first fault, and what was expected there.
///
/// # Examples
/// ```
/// let section = lycheehub_estate::parse(
///     "owner = \"labels\"\n[service.writer]\nkind = \"engine\"\nversion = \"v1\"\n",
/// )
/// .unwrap();
/// assert_eq!(section.services.len(), 1);
///
/// let error = lycheehub_estate::parse("owner = 3").unwrap_err();
/// assert!(error.to_string().starts_with("1:9: "));
/// ```
pub fn parse(text: &str) -> Result<Section, Error> {
    let converter = Converter { text };
    if text.len() > SECTION_MAX_BYTES {
        return Err(
            converter.error(&(0..0), format!("a section has at most {SECTION_MAX_BYTES} bytes"))
        );
    }
    let raw: SectionText = toml::from_str(text)
        .map_err(|error| converter.error(&error.span().unwrap_or(0..0), error.message()))?;
    let mut section = Section { owner: converter.name(&raw.owner)?, ..Section::default() };
    for (key, value) in &raw.service {
        converter.check_name(key, value.span())?;
        section
            .services
            .insert(ServiceName::new(key.as_str()), converter.service(value.get_ref())?);
    }
    for (key, value) in &raw.account {
        converter.check_name(key, value.span())?;
        section
            .accounts
            .insert(AccountName::new(key.as_str()), converter.account(value.get_ref())?);
    }
    for (key, value) in &raw.moves {
        converter.check_name(key, value.span())?;
        section.moves.insert(key.as_str().into(), converter.move_spec(value.get_ref())?);
    }
    Ok(section)
}

/// Returns the line and column of a byte offset in a text, both counted from 1.
///
/// # Examples
/// ```
/// assert_eq!(lycheehub_estate::parse::position("a\nbc", 3), (2, 2));
/// ```
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
    (line, column)
}

/// Converts parsed TOML values to the types of a section, and locates errors in the source text.
struct Converter<'a> {
    text: &'a str,
}

impl Converter<'_> {
    fn error(&self, span: &Range<usize>, message: impl Into<SmolStr>) -> Error {
        let (line, column) = position(self.text, span.start);
        Error::At(line, column, message.into())
    }

    fn check_name(&self, key: &str, span: Range<usize>) -> Result<(), Error> {
        if name::is_valid(key) {
            return Ok(());
        }
        Err(self.error(&span, invalid_name_message(key)))
    }

    fn name(&self, value: &Spanned<String>) -> Result<SmolStr, Error> {
        self.check_name(value.get_ref(), value.span())?;
        Ok(value.get_ref().as_str().into())
    }

    fn service(&self, raw: &ServiceText) -> Result<Service, Error> {
        let deadline_ms = match &raw.deadline_ms {
            Some(value) if *value.get_ref() == 0 => {
                return Err(self.error(&value.span(), "expected a deadline above 0 ms"));
            }
            Some(value) => *value.get_ref(),
            None => DEFAULT_DEADLINE_MS,
        };
        let version = Version::new(self.name(&raw.version)?);
        Ok(Service { kind: raw.kind, version, idempotent: raw.idempotent, deadline_ms })
    }

    fn account(&self, raw: &AccountText) -> Result<Account, Error> {
        let digest = raw.key_sha256.get_ref();
        if digest.len() != DIGEST_DIGITS || !digest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(self.error(&raw.key_sha256.span(), "expected 64 hexadecimal digits"));
        }
        let rank = *raw.tier.get_ref();
        if rank >= Tier::COUNT {
            return Err(self.error(&raw.tier.span(), "expected a tier from 0 (highest) to 4"));
        }
        let weight = match &raw.weight {
            Some(value) if *value.get_ref() == 0 => {
                return Err(self.error(&value.span(), "expected a weight of at least 1"));
            }
            Some(value) => *value.get_ref(),
            None => 1,
        };
        Ok(Account {
            key_sha256: digest.to_ascii_lowercase().into(),
            tier: Tier::new(rank),
            weight,
        })
    }

    fn move_spec(&self, raw: &MoveText) -> Result<MoveSpec, Error> {
        let by_unix_ms = OffsetDateTime::parse(raw.by.get_ref(), &Rfc3339)
            .ok()
            .and_then(|time| u64::try_from(time.unix_timestamp_nanos() / 1_000_000).ok())
            .ok_or_else(|| {
                self.error(&raw.by.span(), "expected a time such as \"2026-12-04T06:00:00Z\"")
            })?;
        Ok(MoveSpec {
            service: ServiceName::new(self.name(&raw.service)?),
            to: Version::new(self.name(&raw.to)?),
            by_unix_ms,
            state: raw.state,
        })
    }
}

fn invalid_name_message(name: &str) -> String {
    let max = name::NAME_MAX_BYTES;
    format!("{name:?} is no name: expected 1 to {max} letters, digits, '-', '_' or '.'")
}
