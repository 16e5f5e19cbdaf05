//! Validates settings files, sections and route documents without a daemon.

use crate::arguments::Check;
use crate::exit::{Code, Error};
use crate::settings;

/// Checks the files in order and stops at the first invalid one.
pub fn run(options: &Check) -> Result<(), Error> {
    for path in &options.files {
        check(path)?;
        println!("{path}: ok");
    }
    Ok(())
}

fn check(path: &str) -> Result<(), Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::new(Code::Invalid, format!("cannot read {path}: {error}")))?;
    if let Some(result) = lycheehub_platform::files::check(&text) {
        return result.map_err(|error| Error::new(Code::Invalid, format!("{path}: {error}")));
    }
    if is_settings(&text) {
        return settings::load(path).map(drop);
    }
    let section = lycheehub_estate::parse(&text);
    section.map(drop).map_err(|error| Error::new(Code::Invalid, format!("{path}:{error}")))
}

/// Tells settings files from sections: only a settings file has an `[instance]` table.
fn is_settings(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[instance]")
}
