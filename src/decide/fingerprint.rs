//! How a request is known again when it comes once more, under another id and at another VM.

use std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

use crate::util::stable_hash;

/// What a request asks for, as one number: the same on every VM for requests with the same method, host, target,
/// credentials and body, whatever their ids, deadlines and ways here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// It, as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// The fingerprint of a request.
    pub fn of_request(method: &str, host: &str, target: &str, credentials: &[u8], body: &[u8]) -> Self {
        Self(stable_hash(&[method.as_bytes(), host.as_bytes(), target.as_bytes(), credentials, body]))
    }
}

/// Sixteen hexadecimal digits.
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

/// Digits for people, a number between proxies.
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
