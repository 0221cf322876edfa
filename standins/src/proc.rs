//! Reads processor time, memory and threads of a process from `/proc`.

use std::{fs, io, time::Duration};

/// Unit of processor time in `/proc`; fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Resources that a process uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time since the start, in user and system mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Reads the usage of process `id`; an error if the process does not exist.
pub fn usage(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    // The command name, in parentheses, may contain spaces; the first field after it is the third of the line.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    let line =
        |name: &str| status.lines().find_map(|it| it.strip_prefix(name)?.split_whitespace().next()?.parse().ok());
    Ok(Usage {
        cpu: Duration::from_millis((ticks(11) + ticks(12)) * 1000 / TICKS_PER_SECOND),
        resident: line("VmRSS:").unwrap_or(0) * 1024,
        threads: line("Threads:").unwrap_or(0),
    })
}
