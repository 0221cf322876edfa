//! `jayreach drain`

use attohttpc::Method;

use crate::{
    cmd::{Run, args, ask_daemon},
    error::Error,
};

impl Run for args::Drain {
    fn run(self) -> Result<(), Error> {
        ask_daemon(&self.daemon.to_string(), Method::POST, "/drain")?;
        println!("draining");
        Ok(())
    }
}
