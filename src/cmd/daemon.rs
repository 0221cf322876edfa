//! `jayreach daemon`: runs a daemon.

use crate::{
    cmd::{Run, args},
    daemon,
    error::Error,
    logs,
    settings::Settings,
};

impl Run for args::Daemon {
    fn run(self) -> Result<(), Error> {
        let settings = Settings::load(&self.settings)?;
        let _logger = logs::start(settings.log_level, settings.log_format)
            .map_err(|it| Error::io("starting the log", std::io::Error::other(it)))?;
        daemon::run(settings)
    }
}
