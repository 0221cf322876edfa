//! Findings in an operator's files, with their places, and the error type of the commands.

use std::{fmt, io};

use thiserror::Error;

use crate::store::StoreError;

/// Position in an operator's file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Name of the file as the operator gave it.
    pub file: Box<str>,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl Place {
    /// Position of byte `offset` in `text`.
    pub fn at(file: &str, text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |it| it + 1);
        Self {
            file: file.into(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One problem in an operator's file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Position of the problem.
    pub place: Place,
    /// The problem and what is expected instead.
    pub message: Box<str>,
}

/// All findings of one file, reported together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, place: Place, message: impl Into<Box<str>>) {
        self.list.push(Finding { place, message: message.into() });
    }

    /// Returns the findings in the order of their places.
    pub fn sorted(mut self) -> Self {
        self.list.sort();
        self
    }

    /// The findings as a slice.
    pub fn as_slice(&self) -> &[Finding] {
        &self.list
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{}: {}", finding.place, finding.message)?;
        }
        write!(f, "{} finding(s)", self.list.len())
    }
}

/// Why a command failed. [`Error::exit_code`] gives the exit code for each.
#[derive(Debug, Error)]
pub enum Error {
    /// The operator's file has findings.
    #[error("{0}")]
    Findings(Findings),
    /// An operation on a file or a socket failed.
    #[error("{context}: {source}")]
    Io {
        /// The operation, or the file or key it concerns.
        context: Box<str>,
        /// The operating system's error.
        source: io::Error,
    },
    /// A request to the platform's store failed.
    #[error("{context}: {source}")]
    Store {
        /// The operation, or the file or key it concerns.
        context: Box<str>,
        /// The store's error.
        source: StoreError,
    },
    /// Another operator's change was accepted first, so this one changed nothing.
    #[error("not applied: {0}")]
    Conflict(Box<str>),
    /// A stored object is missing or malformed.
    #[error("{context}: {message}")]
    Corrupt {
        /// The object's key.
        context: Box<str>,
        /// What is wrong with the object.
        message: Box<str>,
    },
    /// A request to a daemon failed, or the daemon refused it.
    #[error("daemon at {address}: {message}")]
    Daemon {
        /// The daemon's address.
        address: Box<str>,
        /// The failure, or the daemon's response.
        message: Box<str>,
    },
    /// The command line is incomplete.
    #[error("{0}")]
    Usage(Box<str>),
    /// The time limit passed before the expected condition held.
    #[error("{0}")]
    TimedOut(Box<str>),
}

impl Error {
    /// Wraps a system error; `context` names the operation or the file.
    pub fn io(context: impl Into<Box<str>>, source: io::Error) -> Self {
        Self::Io { context: context.into(), source }
    }

    /// Wraps a store error; `context` names the operation or the key.
    pub fn store(context: impl Into<Box<str>>, source: StoreError) -> Self {
        Self::Store { context: context.into(), source }
    }

    /// Exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::TimedOut(_) => 4,
            Self::Io { .. } | Self::Store { .. } | Self::Corrupt { .. } | Self::Daemon { .. } => 1,
        }
    }
}
