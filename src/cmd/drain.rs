//! `jayreach drain`: starts a daemon's graceful shutdown.

use attohttpc::Method;

use crate::{
    cmd::{Run, args, call_daemon},
    error::Error,
};

impl Run for args::Drain {
    fn run(self) -> Result<(), Error> {
        call_daemon(&self.daemon.to_string(), Method::POST, "/drain")?;
        println!("draining");
        Ok(())
    }
}
