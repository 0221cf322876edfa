//! Writes log lines to standard error, as text or as one JSON object per line.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{
    LevelFilter, Record,
    kv::{self, Key, Value, VisitSource},
};

use crate::settings::LogFormat;

/// Starts logging to standard error. Logging stops when the returned handle is dropped.
///
/// # Errors
///
/// The logger can't be started, for example because one is already running.
pub fn start(level: LevelFilter, format: LogFormat) -> Result<LoggerHandle, FlexiLoggerError> {
    let format_line = match format {
        LogFormat::Text => text_line,
        LogFormat::Json => json_line,
    };
    // Libraries log warnings and errors only.
    let spec = format!("warn, jayreach={level}");
    Logger::try_with_str(spec)?.format(format_line).log_to_stderr().start()
}

fn text_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> Result<(), io::Error> {
    let time = now.format_rfc3339();
    write!(out, "{time} {:5} {}", record.level(), record.args())?;
    let mut fields = Fields::default();
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    for (key, value) in &fields.0 {
        write!(out, " {key}={value}")?;
    }
    Ok(())
}

fn json_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> Result<(), io::Error> {
    let mut fields = Fields::default();
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    let mut line = serde_json::Map::new();
    line.insert("time".into(), now.format_rfc3339().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("module".into(), record.module_path().unwrap_or("").into());
    line.insert("message".into(), record.args().to_string().into());
    line.extend(fields.0.into_iter().map(|(key, value)| (key, value.into())));
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}

#[derive(Default)]
struct Fields(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}
