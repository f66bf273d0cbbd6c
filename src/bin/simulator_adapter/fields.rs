//! Parses the fields of a line, `name=value` separated by spaces, and the values of each type.

use crate::error::WireError;
use gaugestand_admission::RequestId;

/// Length of a request id in characters: hexadecimal digits in groups of 8, 4, 4, 4 and 12, with a hyphen
/// between groups.
const REQUEST_ID_LENGTH: usize = 36;

/// Names and values of the fields of one line, in the order of the line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits each part of a line at its first `=` into name and value; empty parts are skipped.
    pub fn split(parts: impl Iterator<Item = &'a str>) -> Result<Self, WireError> {
        let mut fields = Vec::with_capacity(16);
        for part in parts.filter(|part| !part.is_empty()) {
            let Some(field) = part.split_once('=') else {
                return Err(WireError::NoValue { field: part.to_string() });
            };
            fields.push(field);
        }
        Ok(Fields(fields))
    }

    /// All names and values, in the order of the line.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.0.iter().copied()
    }

    /// The value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(field, _)| *field == name).map(|(_, value)| *value)
    }

    /// The value of a field that the line must have.
    pub fn require(&self, name: &str) -> Result<&'a str, WireError> {
        self.get(name).ok_or_else(|| WireError::Missing { field: name.to_string() })
    }

    /// The value of an unsigned integer field that the line must have.
    pub fn require_integer(&self, name: &str) -> Result<u64, WireError> {
        integer(name, self.require(name)?)
    }

    /// The value of an unsigned integer field; 0 if the line has no such field.
    pub fn integer_or_zero(&self, name: &str) -> Result<u64, WireError> {
        self.get(name).map_or(Ok(0), |value| integer(name, value))
    }

    /// The value of a number field; 0 if the line has no such field.
    pub fn number_or_zero(&self, name: &str) -> Result<f64, WireError> {
        self.get(name).map_or(Ok(0.0), |value| number(name, value))
    }

    /// The request id in the field `handle`, which the line must have.
    pub fn require_handle(&self) -> Result<RequestId, WireError> {
        request_id("handle", self.require("handle")?)
    }
}

/// Parses an unsigned 64-bit integer; `field` is named in the error.
pub fn integer(field: &str, value: &str) -> Result<u64, WireError> {
    value.parse().map_err(|_| WireError::NotAnInteger { field: field.to_string() })
}

/// Parses a finite number; `field` is named in the error.
pub fn number(field: &str, value: &str) -> Result<f64, WireError> {
    match value.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(number),
        _ => Err(WireError::NotANumber { field: field.to_string() }),
    }
}

/// Parses a boolean: `1`, `true`, `0` or `false`; `field` is named in the error.
pub fn boolean(field: &str, value: &str) -> Result<bool, WireError> {
    match value {
        "1" | "true" => Ok(true),
        "0" | "false" => Ok(false),
        _ => Err(WireError::NotABoolean { field: field.to_string() }),
    }
}

/// Parses a request id: `8-4-4-4-12` lower-case hexadecimal digits; `field` is named in the error.
pub fn request_id(field: &str, value: &str) -> Result<RequestId, WireError> {
    if value.len() != REQUEST_ID_LENGTH {
        return Err(WireError::IdLength { field: field.to_string() });
    }
    let mut id = 0u128;
    for (position, byte) in value.bytes().enumerate() {
        let digit = match (position, byte) {
            (8 | 13 | 18 | 23, b'-') => continue,
            (_, b'0'..=b'9') => byte - b'0',
            (_, b'a'..=b'f') => byte - b'a' + 10,
            _ => return Err(WireError::IdDigits { field: field.to_string() }),
        };
        id = (id << 4) | u128::from(digit);
    }
    Ok(RequestId(id))
}
