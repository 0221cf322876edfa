//! Encoding, locking, clock and hash functions that several modules use.

use std::{
    fmt::Write as _,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

/// Encodes bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        _ = write!(out, "{byte:02x}");
    }
    out
}

/// Locks `mutex`, even if a thread that held it panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Seconds since 1970 by this machine's clock. Only for display: clocks of different machines may disagree.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_secs())
}

/// 64-bit hash of byte strings, from SHA-256. It is the same on every machine and in every release.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let (last, head) = parts.split_last().expect("something is hashed");
    stable_hash_segmented(head, &[last])
}

/// [`stable_hash`] of `head` and one more byte string, which is the sequence of `segments`.
pub fn stable_hash_segmented(head: &[&[u8]], segments: &[impl AsRef<[u8]>]) -> u64 {
    use sha2::{Digest as _, Sha256};
    let mut hasher = Sha256::new();
    for part in head {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let len: usize = segments.iter().map(|it| it.as_ref().len()).sum();
    hasher.update((len as u64).to_le_bytes());
    for it in segments {
        hasher.update(it);
    }
    let digest = hasher.finalize();
    u64::from_le_bytes(digest[..8].try_into().expect("a SHA-256 digest has 32 bytes"))
}

/// Fast, non-cryptographic 64-bit hash of integers such as hashes and counters. It is the same on every machine.
pub fn mix(words: &[u64]) -> u64 {
    let mut hash = 0x9e37_79b9_7f4a_7c15_u64;
    for word in words {
        hash = (hash ^ word).wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash ^= hash >> 32;
    }
    hash
}
