//! What the system says of a process: processor time, memory, threads.

use std::{fs, io, time::Duration};

/// Clock ticks a second in `/proc`; fixed on Linux.
const TICKS: u64 = 100;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, in user and system mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Threads.
    pub threads: u64,
}

/// Reads what process `id` has used so far.
pub fn usage(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    // The name, in brackets, may hold spaces; the fields after it begin with the third.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    let line =
        |name: &str| status.lines().find_map(|it| it.strip_prefix(name)?.split_whitespace().next()?.parse().ok());
    Ok(Usage {
        cpu: Duration::from_millis((ticks(11) + ticks(12)) * 1000 / TICKS),
        resident: line("VmRSS:").unwrap_or(0) * 1024,
        threads: line("Threads:").unwrap_or(0),
    })
}
