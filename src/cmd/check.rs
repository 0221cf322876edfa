//! `jayreach check`

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

/// Tells what proxies will make of a configuration of the users' platform.
fn check_config(file: &Path) -> Result<(), Error> {
    let config = document::load(file, read_config)?;
    println!("{}: a good configuration: version {}, {} routes", file.display(), config.version, config.routes().len());
    Ok(())
}

fn read_config(file: &str, text: &str) -> Result<Config, Findings> {
    let mut findings = Findings::default();
    match parse_config(text) {
        Ok(parsed) if parsed.findings.is_empty() => return Ok(parsed.config),
        Ok(parsed) => {
            for it in &parsed.findings {
                findings.push(place_of(file, text, it), it.to_string());
            }
        }
        Err(error) => {
            let place = Place { file: file.into(), line: error.line(), column: error.column() };
            findings.push(place, format!("no configuration: {error}"));
        }
    }
    Err(findings.sorted())
}

/// Where the part that a finding names begins.
fn place_of(file: &str, text: &str, finding: &ConfigFinding) -> Place {
    let part = finding.place.split('.').nth(1).unwrap_or(&finding.place);
    Place::at(file, text, text.find(&format!("\"{part}\"")).unwrap_or(0))
}
