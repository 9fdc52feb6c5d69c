//! Parses the path and the parameters of a request, with strict percent-decoding.

use crate::error::ApiError;

/// The parsed target of a request line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTarget {
    /// The decoded elements of the path; empty elements are dropped.
    pub path: Vec<String>,
    /// Decoded names and values of the parameters, in the order of the request; names are unique.
    pub params: Vec<(String, String)>,
}

/// How spaces may be encoded in a target.
#[derive(Clone, Copy, PartialEq)]
enum Spaces {
    /// A space is encoded as `%20` only.
    Encoded,
    /// A space is encoded as `%20` or `+`.
    Plus,
}

/// Percent-decodes text; fails if the result is not UTF-8 or has control characters.
fn decode(text: &str, spaces: Spaces) -> Result<String, ApiError> {
    let invalid =
        || ApiError::argument("the target is not percent-encoded text, or contains a control character");
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let high = hex_digit(bytes.next()).ok_or_else(invalid)?;
                let low = hex_digit(bytes.next()).ok_or_else(invalid)?;
                decoded.push(16 * high + low);
            }
            b'+' if spaces == Spaces::Plus => decoded.push(b' '),
            byte => decoded.push(byte),
        }
    }
    let text = String::from_utf8(decoded).map_err(|_| invalid())?;
    // A control character could otherwise corrupt a log line or a frame.
    if text.chars().any(char::is_control) { Err(invalid()) } else { Ok(text) }
}

fn hex_digit(byte: Option<u8>) -> Option<u8> {
    let digit = (byte? as char).to_digit(16)?;
    Some(digit as u8)
}

impl RequestTarget {
    /// Parses the target of a request line.
    ///
    /// # Errors
    /// Fails on invalid percent-encoding, control characters, and duplicate parameters.
    pub fn parse(target: &str) -> Result<Self, ApiError> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let names = path.split('/').filter(|name| !name.is_empty());
        let path = names.map(|name| decode(name, Spaces::Encoded)).collect::<Result<Vec<_>, _>>()?;
        let mut params: Vec<(String, String)> = Vec::new();
        for entry in query.split('&').filter(|entry| !entry.is_empty()) {
            let (key, value) = entry.split_once('=').unwrap_or((entry, ""));
            let (key, value) = (decode(key, Spaces::Plus)?, decode(value, Spaces::Plus)?);
            if params.iter().any(|(known, _)| *known == key) {
                return Err(ApiError::argument(format!("parameter [{key}] is given twice")));
            }
            params.push((key, value));
        }
        Ok(Self { path, params })
    }

    /// The value of the parameter with this name; `None` if it is absent.
    pub fn param(&self, key: &str) -> Option<&str> {
        self.params.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// Rejects parameters that are not in `known` instead of ignoring them.
    ///
    /// # Errors
    /// Names the first unknown parameter.
    pub fn reject_unknown(&self, known: &[&str]) -> Result<(), ApiError> {
        match self.params.iter().find(|(key, _)| !known.contains(&key.as_str())) {
            Some((key, _)) => {
                let path = self.path.join("/");
                Err(ApiError::argument(format!("request [/{path}] contains unrecognized parameter: [{key}]")))
            }
            None => Ok(()),
        }
    }
}
