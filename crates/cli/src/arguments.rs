//! Commands and options of the command line.

use gumdrop::Options;

/// A request scheduler for heterogeneous model engines.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Shows the version.
    #[options(help = "show the version", no_short)]
    pub version: bool,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs an instance.
    #[options(help = "run an instance: lycheehub serve [--settings FILE]")]
    Serve(Serve),
    /// Runs an entry instance on the deployment platform.
    #[options(help = "run an entry instance with the platform's settings file: lycheehub entry")]
    Entry(Role),
    /// Runs a control instance on the deployment platform.
    #[options(help = "run a control instance with the platform's settings file: lycheehub control")]
    Control(Role),
    /// Checks a file.
    #[options(help = "check a settings file or a section: lycheehub check FILE")]
    Check(Check),
    /// Submits a section.
    #[options(help = "submit a section: lycheehub apply --section labels labels.toml")]
    Apply(Apply),
    /// Shows sections.
    #[options(help = "show one section, or all with their revisions: lycheehub get [SECTION]")]
    Get(Get),
    /// Shows version moves.
    #[options(help = "show version moves, or wait for one: lycheehub moves [--wait ID]")]
    Moves(Moves),
    /// Shows endpoints.
    #[options(help = "show live endpoints: lycheehub endpoints")]
    Endpoints(List),
    /// Shows instances.
    #[options(help = "show instances and what each has in force: lycheehub instances")]
    Instances(List),
    /// Shows evacuations, begins or ends one.
    #[options(
        help = "show, begin or end evacuations: lycheehub evacuations [--begin DOMAIN | --end DOMAIN]"
    )]
    Evacuations(Evacuations),
    /// Shows quarantines, or ends one.
    #[options(
        help = "show what is quarantined, or end a quarantine: lycheehub quarantines [--end ID]"
    )]
    Quarantines(Quarantines),
    /// Follows a request through log files.
    #[options(help = "follow a request's id through log files: lycheehub trace ID FILE...")]
    Trace(Trace),
    /// Summarizes the ends of all requests in log files.
    #[options(
        help = "summarize how requests in log files ended, by cause, rank, account and second"
    )]
    Summary(Summary),
}

/// Options of `trace`.
#[derive(Debug, Options)]
pub struct Trace {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    /// The request's id.
    #[options(free, required, help = "the request's id")]
    pub id: String,
    /// The log files.
    #[options(free, required, help = "log files of entry and control instances")]
    pub files: Vec<String>,
}

/// Options of `summary`.
#[derive(Debug, Options)]
pub struct Summary {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    /// The log files.
    #[options(free, required, help = "log files of entry instances")]
    pub files: Vec<String>,
}

/// Options of `serve`.
#[derive(Debug, Default, Options)]
pub struct Serve {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The settings file.
    #[options(
        help = "the settings file (default: built-in settings of a single instance on loopback)"
    )]
    pub settings: Option<String>,
}

/// Options of `entry` and `control`.
#[derive(Debug, Default, Options)]
pub struct Role {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct Check {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The files.
    #[options(free, required, help = "settings files or sections")]
    pub files: Vec<String>,
}

/// Options of `apply`.
#[derive(Debug, Default, Options)]
pub struct Apply {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The instances to try in turn.
    #[options(help = "instances to try in turn, as address:port[,...] (or LYCHEEHUB_TO)")]
    pub to: Option<String>,
    /// The file with the operator's key.
    #[options(help = "file with the operator's key (or LYCHEEHUB_KEY_FILE)")]
    pub key_file: Option<String>,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    /// The section's name.
    #[options(help = "the section's name", required)]
    pub section: String,
    /// The revision that the text is based on.
    #[options(help = "the revision that the text is based on (default: the current one)")]
    pub base: Option<u64>,
    /// The id of this submission.
    #[options(help = "the id of this submission; a resend uses the same id", no_short)]
    pub request_id: Option<String>,
    /// Shows the difference without submitting.
    #[options(help = "show the difference and submit nothing", no_short)]
    pub dry_run: bool,
    /// Waits until the section is in force everywhere.
    #[options(help = "wait until the section is in force on every live instance", no_short)]
    pub wait: bool,
    /// The file with the section's text.
    #[options(free, required, help = "file with the section's text")]
    pub file: String,
}

/// Options of `get`.
#[derive(Debug, Default, Options)]
pub struct Get {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The instances to try in turn.
    #[options(help = "instances to try in turn, as address:port[,...] (or LYCHEEHUB_TO)")]
    pub to: Option<String>,
    /// The file with the operator's key.
    #[options(help = "file with the operator's key (or LYCHEEHUB_KEY_FILE)")]
    pub key_file: Option<String>,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    /// The section.
    #[options(free, help = "the section to show (default: list all sections)")]
    pub section: Option<String>,
}

/// Options of `moves`.
#[derive(Debug, Default, Options)]
pub struct Moves {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The instances to try in turn.
    #[options(help = "instances to try in turn, as address:port[,...] (or LYCHEEHUB_TO)")]
    pub to: Option<String>,
    /// The file with the operator's key.
    #[options(help = "file with the operator's key (or LYCHEEHUB_KEY_FILE)")]
    pub key_file: Option<String>,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    /// The move to wait for.
    #[options(help = "wait until this move is done, reverted or superseded, and show each step")]
    pub wait: Option<String>,
}

/// Options of commands that list something.
#[derive(Debug, Default, Options)]
pub struct List {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The instances to try in turn.
    #[options(help = "instances to try in turn, as address:port[,...] (or LYCHEEHUB_TO)")]
    pub to: Option<String>,
    /// The file with the operator's key.
    #[options(help = "file with the operator's key (or LYCHEEHUB_KEY_FILE)")]
    pub key_file: Option<String>,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
}

/// Options of `quarantines`.
#[derive(Debug, Default, Options)]
pub struct Quarantines {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The instances to try in turn.
    #[options(help = "control instances to try in turn until one leads (or LYCHEEHUB_TO)")]
    pub to: Option<String>,
    /// The file with the operator's key.
    #[options(help = "file with the operator's key (or LYCHEEHUB_KEY_FILE)")]
    pub key_file: Option<String>,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    /// The quarantine to end.
    #[options(help = "end the quarantine with this id; requests are placed again", no_short)]
    pub end: Option<String>,
}

/// Options of `evacuations`.
#[derive(Debug, Default, Options)]
pub struct Evacuations {
    /// Shows help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The instances to try in turn.
    #[options(help = "instances to try in turn, as address:port[,...] (or LYCHEEHUB_TO)")]
    pub to: Option<String>,
    /// The file with the operator's key.
    #[options(help = "file with the operator's key (or LYCHEEHUB_KEY_FILE)")]
    pub key_file: Option<String>,
    /// Prints JSON.
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    /// The failure domain to evacuate.
    #[options(help = "send nothing new to the endpoints of this failure domain", no_short)]
    pub begin: Option<String>,
    /// The failure domain to take back into use.
    #[options(help = "take this failure domain back into use", no_short)]
    pub end: Option<String>,
}

/// Returns the help text, including the exit codes.
pub fn help() -> String {
    format!(
        "Usage: lycheehub COMMAND [OPTIONS]\n\n{}\n\nCommands:\n{}\n\n{EXIT_CODES}",
        Arguments::usage(),
        Arguments::command_list().unwrap_or_default()
    )
}

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid file or \
document,\n4 conflict, 5 not applied, 6 outcome unknown, 7 move reverted or superseded";
