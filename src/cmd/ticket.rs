//! `jayreach ticket`

use attohttpc::Method;

use crate::{
    cmd::{Run, args, ask_daemon},
    error::Error,
};

impl Run for args::Ticket {
    fn run(self) -> Result<(), Error> {
        let target = format!("/.jayreach/tickets/{}", self.ticket);
        let bytes = ask_daemon(&self.callers.to_string(), Method::GET, &target)?;
        println!("{}", String::from_utf8_lossy(&bytes));
        Ok(())
    }
}
