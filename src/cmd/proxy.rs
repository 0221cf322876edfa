//! `jayreach proxy`: runs a proxy on the users' platform.

use crate::{
    cmd::{Run, args},
    error::Error,
    proxy,
};

impl Run for args::Proxy {
    fn run(self) -> Result<(), Error> {
        proxy::run(&self.settings)
    }
}
