//! Findings with their place in a file, and the error type of the commands.

use std::{fmt, io};

use thiserror::Error;

use crate::store::StoreError;

/// A position in a file an operator wrote. Lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file's name as the operator gave it.
    pub file: Box<str>,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

impl Place {
    /// The place of byte `offset` in `text`.
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

/// One thing wrong with an operator's input.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where it stands.
    pub place: Place,
    /// What is wrong and what would be right.
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

    /// The findings, in the order of their places.
    pub fn sorted(mut self) -> Self {
        self.list.sort();
        self
    }

    /// The findings as a slice.
    pub fn as_slice(&self) -> &[Finding] {
        &self.list
    }

    /// Whether nothing was found.
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

/// What a command can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// The input has findings.
    #[error("{0}")]
    Findings(Findings),
    /// A file or socket could not be used.
    #[error("{context}: {source}")]
    Io {
        /// What was being done.
        context: Box<str>,
        /// The system's error.
        source: io::Error,
    },
    /// The platform's store could not be used.
    #[error("{context}: {source}")]
    Store {
        /// What was being done.
        context: Box<str>,
        /// The store's error.
        source: StoreError,
    },
    /// Another operator's change was accepted first; nothing was changed by this one.
    #[error("not applied: {0}")]
    Conflict(Box<str>),
    /// A stored object could not be understood.
    #[error("{context}: {message}")]
    Corrupt {
        /// Which object.
        context: Box<str>,
        /// What is wrong with it.
        message: Box<str>,
    },
    /// A daemon could not be asked, or it refused.
    #[error("daemon at {address}: {message}")]
    Daemon {
        /// The daemon's address.
        address: Box<str>,
        /// What went wrong.
        message: Box<str>,
    },
    /// The command line is incomplete.
    #[error("{0}")]
    Usage(Box<str>),
    /// A wait ended before what was waited for.
    #[error("{0}")]
    TimedOut(Box<str>),
}

impl Error {
    /// Wraps a system error with what was being done.
    pub fn io(context: impl Into<Box<str>>, source: io::Error) -> Self {
        Self::Io { context: context.into(), source }
    }

    /// Wraps a platform error with what was being done.
    pub fn platform(context: impl Into<Box<str>>, source: StoreError) -> Self {
        Self::Store { context: context.into(), source }
    }

    /// The process's exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::TimedOut(_) => 4,
            Self::Io { .. } | Self::Store { .. } | Self::Corrupt { .. } | Self::Daemon { .. } => 1,
        }
    }
}
