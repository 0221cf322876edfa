//! `jayreach show`: prints the active configuration as a targets file.

use crate::{
    cmd::{Run, active_config, args},
    error::Error,
    store::StoreClient,
    targets::{Targets, write_targets},
};

impl Run for args::Show {
    fn run(self) -> Result<(), Error> {
        let text = match active_config(&StoreClient::new(self.store))? {
            Some((_, root, targets)) => write_targets(&targets, root.version),
            None => write_targets(&Targets::default(), 0),
        };
        print!("{text}");
        Ok(())
    }
}
