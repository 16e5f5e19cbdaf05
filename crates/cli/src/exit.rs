//! Exit codes, and the error that ends a command.

use quick_error::quick_error;
use std::process::ExitCode;

/// What the process ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command could not be carried out.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file or document breaks a rule.
    Invalid = 3,
    /// Another submission came first.
    Conflict = 4,
    /// Nothing was changed: no quorum, or no instance could be reached.
    NotApplied = 5,
    /// It is not known whether anything was changed.
    Unknown = 6,
    /// The move was taken back or superseded.
    Reverted = 7,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

quick_error! {
    /// The error that ends a command.
    #[derive(Debug)]
    pub enum Error {
        /// A message for the operator, with the exit code.
        Ended(code: Code, message: String) {
            display("{}", message)
        }
    }
}

impl Error {
    /// Makes an error that ends the process with `code`.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self::Ended(code, message.into())
    }

    /// Returns the exit code.
    pub fn code(&self) -> Code {
        let Self::Ended(code, _) = self;
        *code
    }
}
