//! Parses and validates a targets file (TOML); all findings are reported together.

use std::{collections::BTreeSet, fmt::Write as _, time::Duration};

use crate::{
    document::{Document, Section, format_duration},
    error::Findings,
    targets::model::{Account, Class, EjectionPreference, Route, Service, Targets, TokenHash},
};

/// The longest latency limit of a class; it must be shorter than the retention of ticket records.
const MAX_LATENESS: Duration = Duration::from_secs(120);

/// The contents of a targets file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetsFile {
    /// The version that the operator edited; `apply` fails with a conflict if another one is active.
    pub based_on: Option<u64>,
    /// The configuration in the file.
    pub targets: Targets,
}

/// Parses and validates `text`; `file` names it in the findings.
pub fn parse_targets(file: &str, text: &str) -> Result<TargetsFile, Findings> {
    let doc = Document::new(file, text);
    let table = doc.parse();
    let mut section = Section::new(&doc, "the targets", 0, table.get_ref());
    let targets_file = read_targets_file(&mut section);
    section.reject_unknown_keys(forbidden_key_reason);
    let findings = doc.into_findings();
    if findings.is_empty() { Ok(targets_file) } else { Err(findings) }
}

/// Explains why a key that operators might expect here is rejected.
fn forbidden_key_reason(key: &str) -> Option<&'static str> {
    match key {
        "weight" | "weights" => Some("operators set targets; the system chooses the weights itself"),
        "address" | "addresses" | "host" | "hosts" | "endpoint" | "endpoints" => {
            Some("addresses are never listed; endpoints announce themselves")
        }
        "token" | "password" => Some("only the hash of a token is stored; set `token_sha256`"),
        _ => None,
    }
}

fn read_targets_file(section: &mut Section<'_>) -> TargetsFile {
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
        if lateness.is_some_and(|it| it > MAX_LATENESS) {
            section.add_finding("lateness", format!("`lateness` must be at most {}", format_duration(MAX_LATENESS)));
        }
        let importance = section.required_number("importance", 1..101);
        let idempotent = section.flag("idempotent");
        if idempotent.is_none() && section.offset("idempotent") == section.start() {
            section.add_finding("idempotent", format!("class.{name} lacks `idempotent`"));
        }
        section.reject_unknown_keys(forbidden_key_reason);
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
            Some("detection-time") => Some(EjectionPreference::DetectionTime),
            Some("false-ejections") => Some(EjectionPreference::FalseEjections),
            Some(_) => {
                section.add_finding("weighs", "`weighs` must be detection-time or false-ejections");
                None
            }
            None => None,
        };
        section.reject_unknown_keys(forbidden_key_reason);
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
                section.add_finding("prefix", format!("the prefix {prefix} occurs twice"));
            }
        }
        if let Some(it) = service.as_deref().filter(|it| targets.service(it).is_none()) {
            section.add_finding("service", format!("the service {it} is not defined"));
        }
        if let Some(it) = class.as_deref().filter(|it| targets.class(it).is_none()) {
            section.add_finding("class", format!("the class {it} is not defined"));
        }
        section.reject_unknown_keys(forbidden_key_reason);
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
        section.add_finding("prefix", "paths under /.jayreach are reserved");
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
            section.add_finding("name", format!("the account {name} occurs twice"));
        }
        let token_hash = hash.and_then(|it| parse_hash(&it));
        match token_hash {
            Some(it) if !hashes.insert(it) => section.add_finding("token_sha256", "another account has the same token"),
            None if section.offset("token_sha256") != section.start() => {
                section.add_finding("token_sha256", "`token_sha256` must have 64 hexadecimal digits");
            }
            _ => (),
        }
        section.reject_unknown_keys(forbidden_key_reason);
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

/// Formats targets as TOML that `parse_targets` reads back.
pub fn write_targets(targets: &Targets, based_on: u64) -> String {
    let mut out = format!("based_on = {based_on}\n");
    for it in &targets.classes {
        let lateness = format_duration(it.lateness);
        _ = write!(out, "\n[class.{}]\nlateness = \"{lateness}\"\n", toml_string(&it.name));
        _ = write!(out, "importance = {}\nidempotent = {}\n", it.importance, it.idempotent);
    }
    for it in &targets.services {
        let weighs = match it.weighs {
            EjectionPreference::DetectionTime => "detection-time",
            EjectionPreference::FalseEjections => "false-ejections",
        };
        _ = write!(out, "\n[service.{}]\nfloor_percent = {}\n", toml_string(&it.name), it.floor_percent);
        _ = writeln!(out, "weighs = \"{weighs}\"");
    }
    for it in &targets.routes {
        _ = write!(out, "\n[[route]]\nprefix = {}\nservice = {}\n", toml_string(&it.prefix), toml_string(&it.service));
        _ = write!(out, "class = {}\npublic = {}\n", toml_string(&it.class), it.public);
    }
    for it in &targets.accounts {
        let hash = crate::util::hex(&it.token_hash);
        _ = write!(out, "\n[[account]]\nname = {}\ntoken_sha256 = \"{hash}\"\n", toml_string(&it.name));
    }
    out
}

fn toml_string(text: &str) -> String {
    toml::Value::from(text).to_string()
}
