//! Fingerprints identify a request that is sent again under another id or to another VM, so that a request that
//! crashes endpoints can be quarantined everywhere.

use std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

use crate::util::stable_hash_segmented;

/// A stable hash of a request's method, host, target, credentials and body. It is the same on every VM and independent
/// of request id and deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The hash value.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// Hashes the parts of a request; `credentials` may be empty.
    pub fn of_request(method: &str, host: &str, target: &str, credentials: &[u8], body: &[u8]) -> Self {
        Self::of_segments(method, host, target, credentials, &[body])
    }

    /// Hashes the parts of a request whose body is the sequence of `segments`.
    pub fn of_segments(
        method: &str,
        host: &str,
        target: &str,
        credentials: &[u8],
        segments: &[impl AsRef<[u8]>],
    ) -> Self {
        let head = [method.as_bytes(), host.as_bytes(), target.as_bytes(), credentials];
        Self(stable_hash_segmented(&head, segments))
    }
}

/// Writes sixteen hexadecimal digits.
impl Display for Fingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Writes hexadecimal digits in human-readable formats and a number in binary ones.
impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() { serializer.collect_str(self) } else { serializer.serialize_u64(self.0) }
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            Box::<str>::deserialize(deserializer)?.parse().map_err(D::Error::custom)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
