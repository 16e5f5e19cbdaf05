//! Exit codes, and the error that ends a command.

use quick_error::quick_error;
use std::process::ExitCode;

/// The exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command could not be carried out.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file or document is invalid.
    Invalid = 3,
    /// Another submission was committed first.
    Conflict = 4,
    /// Nothing was changed: there was no quorum, or no instance could be reached.
    NotApplied = 5,
    /// It is not known whether anything was changed.
    Unknown = 6,
    /// The move was reverted or superseded.
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
        /// The command failed: exit code and message for the operator.
        Exit(code: Code, message: String) {
            display("{}", message)
        }
    }
}

impl Error {
    /// Returns an error that ends the process with `code`.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self::Exit(code, message.into())
    }

    /// Returns the exit code.
    pub fn code(&self) -> Code {
        let Self::Exit(code, _) = self;
        *code
    }

    /// Adds the command that learns the outcome, if it is not known.
    pub fn with_repeat(self, command: &str) -> Self {
        match self.code() {
            Code::Unknown => {
                Self::new(Code::Unknown, format!("{self}\nto learn the outcome: {command}"))
            }
            _ => self,
        }
    }
}
