//! Checks settings files, sections and route documents without a daemon.

use crate::arguments::Check;
use crate::exit::{Code, Error};
use crate::settings;

/// Checks each file; the first that is wrong ends the command.
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
    if let Some(checked) = lycheehub_platform::files::check(&text) {
        return checked.map_err(|error| Error::new(Code::Invalid, format!("{path}: {error}")));
    }
    if is_settings(&text) {
        return settings::load(path).map(drop);
    }
    let section = lycheehub_estate::parse(&text);
    section.map(drop).map_err(|error| Error::new(Code::Invalid, format!("{path}:{error}")))
}

/// A settings file has a table for the instance, a section never has.
fn is_settings(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[instance]")
}
