//! `jayreach ticket`: prints the status of a ticket.

use attohttpc::Method;

use crate::{
    cmd::{Run, args, call_daemon},
    error::Error,
};

impl Run for args::Ticket {
    fn run(self) -> Result<(), Error> {
        let target = format!("/.jayreach/tickets/{}", self.ticket);
        let bytes = call_daemon(&self.callers.to_string(), Method::GET, &target)?;
        println!("{}", String::from_utf8_lossy(&bytes));
        Ok(())
    }
}
