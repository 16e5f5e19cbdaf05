//! The lycheehub daemon and its command line for operators.
//!
//! * [`arguments`] defines the commands and their options.
//! * [`settings`] reads the settings file.
//! * [`serve`] runs a standalone instance; [`roles`] runs entry and control instances on the
//!   deployment platform.
//! * [`client`] implements the commands that call instances.
//! * [`check`] validates files without a daemon.
//! * [`trace`] follows a request through log files.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod arguments;
mod check;
mod client;
mod exit;
mod poll;
mod roles;
mod serve;
mod settings;
mod trace;

use arguments::{Arguments, Command};
use gumdrop::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("lycheehub {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match arguments.command {
        Some(Command::Serve(options)) => serve::run(&options),
        Some(Command::Entry(_)) => roles::run_entry(),
        Some(Command::Control(_)) => roles::run_control(),
        Some(Command::Check(options)) => check::run(&options),
        Some(Command::Apply(options)) => client::apply::run(&options),
        Some(Command::Get(options)) => client::get::run(&options),
        Some(Command::Moves(options)) => client::moves::run(&options),
        Some(Command::Endpoints(options)) => client::lists::endpoints(&options),
        Some(Command::Instances(options)) => client::lists::instances(&options),
        Some(Command::Evacuations(options)) => client::evacuations::run(&options),
        Some(Command::Quarantines(options)) => client::quarantines::run(&options),
        Some(Command::Trace(options)) => trace::run(&options),
        Some(Command::Summary(options)) => trace::summary::run(&options),
        None => {
            println!("{}", arguments::help());
            return exit::Code::Usage.into();
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lycheehub: {error}");
            error.code().into()
        }
    }
}
