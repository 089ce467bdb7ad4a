//! `serde_with` adapters for values with units in settings and sheets.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// A time span such as `250ms` or `5m`.
pub struct Span;

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map_err(|_| {
            D::Error::custom(format!(
                "found \"{text}\", allowed: a time such as 250ms or 5m"
            ))
        })
    }
}

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*value))
    }
}

/// A number of bytes such as `64KiB`.
pub struct Bytes;

impl<'de> DeserializeAs<'de, u64> for Bytes {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse::<bytesize::ByteSize>()
            .map(|size| size.as_u64())
            .map_err(|_| {
                D::Error::custom(format!("found \"{text}\", allowed: a size such as 64KiB"))
            })
    }
}

/// A share such as `2.5%`, stored in parts per million.
pub struct Share;

const PARTS_PER_PERCENT: f64 = 10_000.0;

impl<'de> DeserializeAs<'de, u32> for Share {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.strip_suffix('%')
            .and_then(|number| number.trim().parse::<f64>().ok())
            .filter(|percent| (0.0..=100.0).contains(percent))
            .map(|percent| (percent * PARTS_PER_PERCENT).round() as u32)
            .ok_or_else(|| {
                D::Error::custom(format!(
                    "found \"{text}\", allowed: a share from 0% to 100%"
                ))
            })
    }
}

/// A secret of 16 bytes as 32 hexadecimal digits.
pub struct Secret;

impl<'de> DeserializeAs<'de, (u64, u64)> for Secret {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<(u64, u64), D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_secret(&text).ok_or_else(|| {
            D::Error::custom("found another text, allowed: 32 hexadecimal digits".to_owned())
        })
    }
}

/// The halves of a secret given as 32 hexadecimal digits.
pub fn parse_secret(text: &str) -> Option<(u64, u64)> {
    let mut bytes = [0u8; 16];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    let value = u128::from_be_bytes(bytes);
    Some(((value >> 64) as u64, value as u64))
}
