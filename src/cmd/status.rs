//! `jayreach status`: prints the status of a daemon.

use attohttpc::Method;
use serde_json::Value;

use crate::{
    cmd::{Run, args, call_daemon, print_json},
    error::Error,
};

impl Run for args::Status {
    fn run(self) -> Result<(), Error> {
        let address = self.daemon.to_string();
        let bytes = call_daemon(&address, Method::GET, "/status")?;
        let status: Value = serde_json::from_slice(&bytes)
            .map_err(|it| Error::Daemon { address: address.into(), message: it.to_string().into() })?;
        if self.json {
            print_json(&status);
            return Ok(());
        }
        print_fields("", &status);
        Ok(())
    }
}

/// Prints one field per line, and a list as its length followed by one line per item.
fn print_fields(indent: &str, value: &Value) {
    let Value::Object(fields) = value else { return };
    for (name, value) in fields {
        match value {
            Value::Object(_) => {
                println!("{indent}{name}:");
                print_fields("  ", value);
            }
            Value::Array(items) => {
                println!("{indent}{name}: {}", items.len());
                items.iter().for_each(|it| println!("{indent}  {}", format_row(it)));
            }
            it => println!("{indent}{name}: {}", format_plain(it)),
        }
    }
}

fn format_row(value: &Value) -> String {
    let Value::Object(fields) = value else { return format_plain(value) };
    let cells: Vec<_> = fields.iter().map(|(name, value)| format!("{name}={}", format_plain(value))).collect();
    cells.join("  ")
}

fn format_plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
