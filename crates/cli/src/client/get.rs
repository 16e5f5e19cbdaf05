//! Shows sections.

use super::{Call, Client, table};
use crate::arguments::Get;
use crate::exit::Error;
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Deserialize)]
struct Sections {
    sections: BTreeMap<String, Section>,
}

#[derive(Deserialize)]
struct Section {
    revision: u64,
    operator: String,
    text: String,
}

/// Shows one section's text, or lists all sections with their revisions.
pub fn run(options: &Get) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    let Some(name) = &options.section else {
        return list(&client, options.json);
    };
    let response = client.call(&Call::get(format!("sections/{name}")))?;
    let section: Section = response.json()?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&response.body));
    } else {
        print!("{}", section.text);
    }
    Ok(())
}

fn list(client: &Client, json: bool) -> Result<(), Error> {
    let response = client.call(&Call::get("sections"))?;
    let sections: Sections = response.json()?;
    if json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let mut rows =
        vec![vec!["SECTION".into(), "REVISION".into(), "OPERATOR".into(), "LINES".into()]];
    for (name, section) in sections.sections {
        let count = section.text.lines().count().to_string();
        rows.push(vec![name, section.revision.to_string(), section.operator, count]);
    }
    table::print(&rows);
    Ok(())
}
