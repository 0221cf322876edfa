//! Settings of one daemon, read from its TOML file.

use std::{net::SocketAddr, path::Path};

use crate::{
    document::{self, Section},
    error::{Error, Findings},
    rows::DaemonId,
};

/// Maximum length of the name of a daemon or data centre, in bytes; each ticket and membership row contains names.
const MAX_NAME_LENGTH: usize = 40;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of one daemon. Unknown keys in the file are refused.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's name, unique in the fleet: ASCII letters, digits and dashes.
    pub name: DaemonId,
    /// Data centre of the daemon's VM.
    pub data_centre: Box<str>,
    /// Address on which the daemon listens for callers.
    pub callers: SocketAddr,
    /// Address on which the daemon listens for other daemons; they connect to this same address.
    pub peers: SocketAddr,
    /// Address on which the daemon listens for the endpoints of its VM and for operators.
    pub local: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Peer addresses of daemons through which it joins the fleet, in addition to those found in the store.
    pub contacts: Vec<SocketAddr>,
    /// Key that all daemons share and send with each call to another daemon.
    pub peer_key: Box<str>,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// How log lines are written.
    pub log_format: LogFormat,
}

impl Settings {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// The file can't be read, or it has findings.
    pub fn load(path: &Path) -> Result<Self, Error> {
        document::load(path, Self::parse)
    }

    /// Parses the text of a settings file; findings name it as `file`.
    ///
    /// # Errors
    ///
    /// All findings in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        document::parse_settings(file, text, "the settings", read_settings)
    }
}

fn read_settings(section: &mut Section<'_>) -> Option<Settings> {
    let name = read_name(section, "name");
    let data_centre = read_name(section, "data_centre");
    let callers = section.required_address("callers");
    let peers = section.required_address("peers");
    let local = section.required_address("local");
    let platform = section.required_address("platform");
    let contacts = read_contacts(section);
    let peer_key = section.required_text("peer_key");
    if peer_key.as_ref().is_some_and(|it| it.len() < 16) {
        section.add_finding("peer_key", "`peer_key` must have 16 characters or more");
    }
    let log_level = read_log_level(section);
    let log_format = read_log_format(section);
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

fn read_name(section: &mut Section<'_>, key: &'static str) -> Option<Box<str>> {
    let name = section.required_text(key)?;
    let is_length_valid = !name.is_empty() && name.len() <= MAX_NAME_LENGTH;
    if is_length_valid && name.chars().all(|it| it.is_ascii_alphanumeric() || it == '-') {
        return Some(name);
    }
    section.add_finding(key, format!("`{key}` must have 1 to {MAX_NAME_LENGTH} letters, digits or dashes"));
    None
}

fn read_contacts(section: &mut Section<'_>) -> Vec<SocketAddr> {
    let texts = section.texts("contacts");
    let mut contacts = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(it) => contacts.push(it),
            Err(_) => section.add_finding("contacts", format!("`{text}` is not an IP address and port")),
        }
    }
    contacts
}

fn read_log_level(section: &mut Section<'_>) -> log::LevelFilter {
    let Some(text) = section.text("log_level") else { return log::LevelFilter::Info };
    text.parse().unwrap_or_else(|_| {
        section.add_finding("log_level", "`log_level` must be off, error, warn, info, debug or trace");
        log::LevelFilter::Info
    })
}

fn read_log_format(section: &mut Section<'_>) -> LogFormat {
    match section.text("log_format").as_deref() {
        None | Some("text") => LogFormat::Text,
        Some("json") => LogFormat::Json,
        Some(_) => {
            section.add_finding("log_format", "`log_format` must be text or json");
            LogFormat::Text
        }
    }
}
