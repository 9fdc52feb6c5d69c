//! The path and parameters of a request, percent-decoded as strictly as they are written.

use crate::error::ApiError;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// The path's names, decoded.
    pub path: Vec<String>,
    /// Each once.
    pub params: Vec<(String, String)>,
}

fn decoded(text: &str, plus: bool) -> Result<String, ApiError> {
    let bad = || ApiError::argument("the target is not percent-encoded text");
    let mut bytes = text.bytes();
    let mut out = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digit = |b: Option<u8>| b.and_then(|b| (b as char).to_digit(16)).ok_or_else(bad);
                let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
                out.push((16 * high + low) as u8);
            }
            b'+' if plus => out.push(b' '),
            byte => out.push(byte),
        }
    }
    let text = String::from_utf8(out).map_err(|_| bad())?;
    // A control character in a name or a text would come out again in a line of the log or a frame.
    if text.chars().any(char::is_control) { Err(bad()) } else { Ok(text) }
}

impl Target {
    pub fn read(target: &str) -> Result<Self, ApiError> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let names = path.split('/').filter(|name| !name.is_empty());
        let path = names.map(|name| decoded(name, false)).collect::<Result<Vec<_>, _>>()?;
        let mut params: Vec<(String, String)> = Vec::new();
        for entry in query.split('&').filter(|entry| !entry.is_empty()) {
            let (key, value) = entry.split_once('=').unwrap_or((entry, ""));
            let (key, value) = (decoded(key, true)?, decoded(value, true)?);
            if params.iter().any(|(k, _)| *k == key) {
                return Err(ApiError::argument(format!("parameter [{key}] is given twice")));
            }
            params.push((key, value));
        }
        Ok(Self { path, params })
    }

    pub fn param(&self, key: &str) -> Option<&str> {
        self.params.iter().find(|(k, _)| k == key).map(|(_, value)| value.as_str())
    }

    /// Whatever is not known would be ignored silently.
    pub fn only(&self, known: &[&str]) -> Result<(), ApiError> {
        match self.params.iter().find(|(key, _)| !known.contains(&key.as_str())) {
            Some((key, _)) => {
                let path = self.path.join("/");
                Err(ApiError::argument(format!("request [/{path}] contains unrecognized parameter: [{key}]")))
            }
            None => Ok(()),
        }
    }
}
