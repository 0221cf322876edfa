//! `jayreach show`

use crate::{
    cmd::{Run, args, in_force},
    error::Error,
    store::StoreClient,
    targets::{Targets, write_targets},
};

impl Run for args::Show {
    fn run(self) -> Result<(), Error> {
        let text = match in_force(&StoreClient::new(self.store))? {
            Some((_, root, targets)) => write_targets(&targets, root.version),
            None => write_targets(&Targets::default(), 0),
        };
        print!("{text}");
        Ok(())
    }
}
