//! Reads targets from TOML and checks them; all findings come at once.

use std::{collections::BTreeSet, fmt::Write as _, time::Duration};

use crate::{
    document::{Document, Section, format_duration},
    error::Findings,
    targets::model::{Account, Class, Route, Service, Targets, TokenHash, Weighs},
};

/// The longest lateness a class may have; recorded answers outlive it (docs/DESIGN.md, tickets).
const LATENESS_LIMIT: Duration = Duration::from_secs(120);

/// A targets file: the targets and the version they were made from, if it says so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetsFile {
    /// The version the operator started from; another version in force is a conflict.
    pub based_on: Option<u64>,
    /// The targets.
    pub targets: Targets,
}

/// Parses and checks `text`.
pub fn parse_targets(file: &str, text: &str) -> Result<TargetsFile, Findings> {
    let doc = Document::new(file, text);
    let table = doc.parse();
    let mut section = Section::new(&doc, "the targets", 0, table.get_ref());
    let read = read(&mut section);
    section.reject_unknown_keys(refusal);
    let findings = doc.into_findings();
    if findings.is_empty() { Ok(read) } else { Err(findings) }
}

/// Why a key that other dispatchers have is not one of ours.
fn refusal(key: &str) -> Option<&'static str> {
    match key {
        "weight" | "weights" => Some("operators set targets; the system chooses the weights itself"),
        "address" | "addresses" | "host" | "hosts" | "endpoint" | "endpoints" => {
            Some("addresses are never listed; endpoints announce themselves")
        }
        "token" | "password" => Some("only the hash of a token is kept; write `token_sha256`"),
        _ => None,
    }
}

fn read(section: &mut Section<'_>) -> TargetsFile {
    let based_on = section.number("based_on", 0..u64::MAX);
    let classes = read_classes(section);
    let services = read_services(section);
    let mut targets = Targets { classes, services, ..Targets::default() };
    targets.routes = read_routes(section, &targets);
    targets.accounts = read_accounts(section);
    TargetsFile { based_on, targets }
}

fn read_classes(section: &mut Section<'_>) -> Vec<Class> {
    let mut classes = Vec::new();
    for (name, mut section) in section.named_tables("class") {
        let lateness = section.duration("lateness");
        if section.offset("lateness") == section.start() {
            section.add_finding("lateness", format!("class.{name} lacks `lateness`"));
        }
        if lateness.is_some_and(|it| it > LATENESS_LIMIT) {
            section.add_finding("lateness", format!("`lateness` must be at most {}", format_duration(LATENESS_LIMIT)));
        }
        let importance = section.required_number("importance", 1..101);
        let idempotent = section.flag("idempotent");
        if idempotent.is_none() && section.offset("idempotent") == section.start() {
            section.add_finding("idempotent", format!("class.{name} lacks `idempotent`"));
        }
        section.reject_unknown_keys(refusal);
        if let (Some(lateness), Some(importance), Some(idempotent)) = (lateness, importance, idempotent) {
            classes.push(Class { name, lateness, importance: importance as u8, idempotent });
        }
    }
    classes.sort_by(|a, b| a.name.cmp(&b.name));
    classes
}

fn read_services(section: &mut Section<'_>) -> Vec<Service> {
    let mut services = Vec::new();
    for (name, mut section) in section.named_tables("service") {
        let floor_percent = section.required_number("floor_percent", 1..101);
        let weighs = match section.required_text("weighs").as_deref() {
            Some("detection-time") => Some(Weighs::DetectionTime),
            Some("false-ejections") => Some(Weighs::FalseEjections),
            Some(_) => {
                section.add_finding("weighs", "`weighs` must be detection-time or false-ejections");
                None
            }
            None => None,
        };
        section.reject_unknown_keys(refusal);
        if let (Some(floor_percent), Some(weighs)) = (floor_percent, weighs) {
            services.push(Service { name, floor_percent: floor_percent as u8, weighs });
        }
    }
    services.sort_by(|a, b| a.name.cmp(&b.name));
    services
}

fn read_routes(section: &mut Section<'_>, targets: &Targets) -> Vec<Route> {
    let mut routes = Vec::new();
    let mut seen = BTreeSet::new();
    for mut section in section.tables("route") {
        let prefix = section.required_text("prefix");
        let service = section.required_text("service");
        let class = section.required_text("class");
        let public = section.flag("public").unwrap_or(false);
        if let Some(prefix) = &prefix {
            check_prefix(&section, prefix);
            if !seen.insert(prefix.clone()) {
                section.add_finding("prefix", format!("the prefix {prefix} stands twice"));
            }
        }
        if let Some(it) = service.as_deref().filter(|it| targets.service(it).is_none()) {
            section.add_finding("service", format!("no service is called {it}"));
        }
        if let Some(it) = class.as_deref().filter(|it| targets.class(it).is_none()) {
            section.add_finding("class", format!("no class is called {it}"));
        }
        section.reject_unknown_keys(refusal);
        if let (Some(prefix), Some(service), Some(class)) = (prefix, service, class) {
            routes.push(Route { prefix, service, class, public });
        }
    }
    routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    routes
}

fn check_prefix(section: &Section<'_>, prefix: &str) {
    if !prefix.starts_with('/') {
        section.add_finding("prefix", "`prefix` must begin with /");
    }
    if prefix.len() > 1 && prefix.ends_with('/') {
        section.add_finding("prefix", "`prefix` must not end with /");
    }
    if prefix == "/.jayreach" || prefix.starts_with("/.jayreach/") {
        section.add_finding("prefix", "/.jayreach is the system's own");
    }
}

fn read_accounts(section: &mut Section<'_>) -> Vec<Account> {
    let mut accounts = Vec::new();
    let mut names = BTreeSet::new();
    let mut hashes = BTreeSet::new();
    for mut section in section.tables("account") {
        let name = section.required_text("name");
        let hash = section.required_text("token_sha256");
        if let Some(name) = name.as_ref().filter(|it| !names.insert((*it).clone())) {
            section.add_finding("name", format!("the account {name} stands twice"));
        }
        let token_hash = hash.and_then(|it| parse_hash(&it));
        match token_hash {
            Some(it) if !hashes.insert(it) => section.add_finding("token_sha256", "another account has the same token"),
            None if section.offset("token_sha256") != section.start() => {
                section.add_finding("token_sha256", "`token_sha256` must have 64 hexadecimal digits");
            }
            _ => (),
        }
        section.reject_unknown_keys(refusal);
        if let (Some(name), Some(token_hash)) = (name, token_hash) {
            accounts.push(Account { name, token_hash });
        }
    }
    accounts.sort_by_key(|it| it.token_hash);
    accounts
}

fn parse_hash(text: &str) -> Option<TokenHash> {
    let mut hash = TokenHash::default();
    if text.len() != 2 * hash.len() || !text.is_ascii() {
        return None;
    }
    for (at, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(hash)
}

/// Writes targets as the TOML that `parse_targets` reads back.
pub fn write_targets(targets: &Targets, based_on: u64) -> String {
    let mut out = format!("based_on = {based_on}\n");
    for it in &targets.classes {
        let lateness = format_duration(it.lateness);
        _ = write!(out, "\n[class.{}]\nlateness = \"{lateness}\"\n", quote(&it.name));
        _ = write!(out, "importance = {}\nidempotent = {}\n", it.importance, it.idempotent);
    }
    for it in &targets.services {
        let weighs = match it.weighs {
            Weighs::DetectionTime => "detection-time",
            Weighs::FalseEjections => "false-ejections",
        };
        _ = write!(out, "\n[service.{}]\nfloor_percent = {}\n", quote(&it.name), it.floor_percent);
        _ = writeln!(out, "weighs = \"{weighs}\"");
    }
    for it in &targets.routes {
        _ = write!(out, "\n[[route]]\nprefix = {}\nservice = {}\n", quote(&it.prefix), quote(&it.service));
        _ = write!(out, "class = {}\npublic = {}\n", quote(&it.class), it.public);
    }
    for it in &targets.accounts {
        let hash = crate::util::hex(&it.token_hash);
        _ = write!(out, "\n[[account]]\nname = {}\ntoken_sha256 = \"{hash}\"\n", quote(&it.name));
    }
    out
}

fn quote(text: &str) -> String {
    toml::Value::from(text).to_string()
}
