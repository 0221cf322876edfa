//! `jayreach audit`: prints the changes of the configuration.

use crate::{
    cmd::{Run, args, print_json},
    error::Error,
    store::{StoreClient, audit_trail},
    targets::ConfigChange,
};

impl Run for args::Audit {
    fn run(self) -> Result<(), Error> {
        let entries = audit_trail(&StoreClient::new(self.store), self.last)?;
        if self.json {
            print_json(&entries);
            return Ok(());
        }
        for it in entries {
            let ConfigChange { id, who, when, why } = &it.change;
            println!("version {}  change {id:016x}  at {when} s since 1970  by {who}: {why}", it.version);
            it.differences.iter().for_each(|it| println!("  {it}"));
            if it.omitted > 0 {
                println!("  and {} more", it.omitted);
            }
        }
        Ok(())
    }
}
