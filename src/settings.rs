//! The settings of one daemon, read from its TOML file.

use std::{net::SocketAddr, path::Path};

use crate::{
    document::{self, Section},
    error::{Error, Findings},
    rows::DaemonId,
};

/// The longest name a daemon or data centre may have; names stand in every ticket and row.
const NAME_LIMIT: usize = 40;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What a daemon must be told; nothing else can be set (brief, "Where it will run").
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's name, unique in the fleet, in letters, digits and dashes.
    pub name: DaemonId,
    /// The data centre the VM stands in.
    pub data_centre: Box<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other daemons connect; others must be able to reach this very address.
    pub peers: SocketAddr,
    /// Where the VM's endpoints and operators connect.
    pub local: SocketAddr,
    /// The platform's store.
    pub platform: SocketAddr,
    /// Daemons to join through when the store is away.
    pub contacts: Vec<SocketAddr>,
    /// The key every call between daemons carries.
    pub peer_key: Box<str>,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// How log lines are written.
    pub log_format: LogFormat,
}

impl Settings {
    /// Reads the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        document::load(path, Self::parse)
    }

    /// Parses `text`; all findings are returned together.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        document::parse_settings(file, text, "the settings", read)
    }
}

fn read(section: &mut Section<'_>) -> Option<Settings> {
    let name = name(section, "name");
    let data_centre = self::name(section, "data_centre");
    let callers = section.required_address("callers");
    let peers = section.required_address("peers");
    let local = section.required_address("local");
    let platform = section.required_address("platform");
    let contacts = contacts(section);
    let peer_key = section.required_text("peer_key");
    if peer_key.as_ref().is_some_and(|it| it.len() < 16) {
        section.add_finding("peer_key", "`peer_key` must have 16 characters or more");
    }
    let log_level = log_level(section);
    let log_format = log_format(section);
    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        callers: callers?,
        peers: peers?,
        local: local?,
        platform: platform?,
        contacts,
        peer_key: peer_key?,
        log_level,
        log_format,
    })
}

fn name(section: &mut Section<'_>, key: &'static str) -> Option<Box<str>> {
    let name = section.required_text(key)?;
    let fits = !name.is_empty() && name.len() <= NAME_LIMIT;
    if fits && name.chars().all(|it| it.is_ascii_alphanumeric() || it == '-') {
        return Some(name);
    }
    section.add_finding(key, format!("`{key}` must have 1 to {NAME_LIMIT} letters, digits or dashes"));
    None
}

fn contacts(section: &mut Section<'_>) -> Vec<SocketAddr> {
    let texts = section.texts("contacts");
    let mut contacts = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(it) => contacts.push(it),
            Err(_) => section.add_finding("contacts", format!("`{text}` is not an IP number and port")),
        }
    }
    contacts
}

fn log_level(section: &mut Section<'_>) -> log::LevelFilter {
    let Some(text) = section.text("log_level") else { return log::LevelFilter::Info };
    text.parse().unwrap_or_else(|_| {
        section.add_finding("log_level", "`log_level` must be off, error, warn, info, debug or trace");
        log::LevelFilter::Info
    })
}

fn log_format(section: &mut Section<'_>) -> LogFormat {
    match section.text("log_format").as_deref() {
        None | Some("text") => LogFormat::Text,
        Some("json") => LogFormat::Json,
        Some(_) => {
            section.add_finding("log_format", "`log_format` must be text or json");
            LogFormat::Text
        }
    }
}
