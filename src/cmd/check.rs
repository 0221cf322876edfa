//! `jayreach check`

use crate::{
    cmd::{Run, args, read_targets},
    error::Error,
    proxy,
    settings::Settings,
};

impl Run for args::Check {
    fn run(self) -> Result<(), Error> {
        if self.proxy {
            let settings = proxy::settings::Settings::load(&self.file)?;
            println!("{}: good settings for the proxy {}", self.file.display(), settings.name);
            return Ok(());
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
