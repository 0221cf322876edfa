//! `jayreach diff`: prints the differences between the active configuration and a targets file.

use crate::{
    cmd::{Run, active_config, args, print_json, read_targets},
    error::Error,
    store::StoreClient,
    targets::{Targets, differences},
};

impl Run for args::Diff {
    fn run(self) -> Result<(), Error> {
        let new = read_targets(&self.file)?.targets;
        let old = active_config(&StoreClient::new(self.store))?;
        let old = old.map_or_else(Targets::default, |(_, _, targets)| targets);
        let list = differences(&old, &new);
        if self.json {
            print_json(&list);
            return Ok(());
        }
        if list.is_empty() {
            println!("nothing differs");
        }
        for it in list {
            println!("{it}");
        }
        Ok(())
    }
}
