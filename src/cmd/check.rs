//! `jayreach check`: checks a file and reports its findings.

use std::path::Path;

use crate::{
    cmd::{Run, args, read_targets},
    document,
    error::{Error, Findings, Place},
    platform::{ConfigFinding, parse_config},
    proxy::{self, routes::Config},
    settings::Settings,
};

impl Run for args::Check {
    fn run(self) -> Result<(), Error> {
        if self.proxy {
            let settings = proxy::settings::Settings::load(&self.file)?;
            println!("{}: good settings for the proxy {}", self.file.display(), settings.name);
            return Ok(());
        }
        if self.config {
            return check_config(&self.file);
        }
        if self.settings {
            let settings = Settings::load(&self.file)?;
            println!("{}: good settings for {}", self.file.display(), settings.name);
            return Ok(());
        }
        let targets = read_targets(&self.file)?.targets;
        println!(
            "{}: good targets: {} classes, {} services, {} routes, {} accounts",
            self.file.display(),
            targets.classes.len(),
            targets.services.len(),
            targets.routes.len(),
            targets.accounts.len()
        );
        Ok(())
    }
}

/// Checks a configuration of the users' platform with the parser that proxies use.
fn check_config(file: &Path) -> Result<(), Error> {
    let config = document::load(file, parse_without_findings)?;
    println!("{}: a good configuration: version {}, {} routes", file.display(), config.version, config.routes().len());
    Ok(())
}

/// Parses a configuration; returns it only if it has no findings.
fn parse_without_findings(file: &str, text: &str) -> Result<Config, Findings> {
    let mut findings = Findings::default();
    match parse_config(text) {
        Ok(parsed) if parsed.findings.is_empty() => return Ok(parsed.config),
        Ok(parsed) => {
            for it in &parsed.findings {
                findings.push(find_place(file, text, it), it.to_string());
            }
        }
        Err(error) => {
            let place = Place { file: file.into(), line: error.line(), column: error.column() };
            findings.push(place, format!("no configuration: {error}"));
        }
    }
    Err(findings.sorted())
}

/// Position in the file of the part that the finding names; the start of the file if the text has no such part.
fn find_place(file: &str, text: &str, finding: &ConfigFinding) -> Place {
    let part = finding.place.split('.').nth(1).unwrap_or(&finding.place);
    Place::at(file, text, text.find(&format!("\"{part}\"")).unwrap_or(0))
}
