//! Typed access to the fields of a JSON object, with errors that name the field.

use serde_json::Value;

use crate::ConfigError;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A JSON object, and the name that errors give it. Paths are keys with dots between them.
///
/// Unless stated otherwise, a reader fails where the field is absent, null or of another type.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    name: &'a str,
    value: &'a Value,
}

impl<'a> Fields<'a> {
    /// Wraps a value, which must be an object.
    pub fn new(name: &'a str, value: &'a Value) -> Result<Self, ConfigError> {
        if value.is_object() {
            Ok(Self { name, value })
        } else {
            Err(ConfigError(format!("{name}: not an object")))
        }
    }

    /// The name that errors give this object.
    pub(crate) fn name(&self) -> &'a str {
        self.name
    }

    /// An error about one of the fields.
    pub fn error(&self, field: &str, why: &str) -> ConfigError {
        ConfigError(format!("{}: {field}: {why}", self.name))
    }

    /// A field by its dotted path; `None` where it is absent or null.
    fn find(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.value, |value, key| value.get(key)).filter(|value| !value.is_null())
    }

    fn required<T>(
        &self,
        path: &str,
        kind: &str,
        get: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, ConfigError> {
        self.optional(path, kind, get)?.ok_or_else(|| self.error(path, "missing"))
    }

    /// A field that may be absent; `kind` names in the error what `get` accepts.
    pub fn optional<T>(
        &self,
        path: &str,
        kind: &str,
        get: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, ConfigError> {
        match self.find(path) {
            None => Ok(None),
            Some(value) => get(value).map(Some).ok_or_else(|| self.error(path, &format!("not {kind}"))),
        }
    }

    /// A value of any type.
    pub fn value(&self, path: &str) -> Result<&'a Value, ConfigError> {
        self.required(path, "a value", Some)
    }

    /// A number.
    pub fn number(&self, path: &str) -> Result<f64, ConfigError> {
        self.required(path, "a number", Value::as_f64)
    }

    /// A number, or `default` where the field is absent.
    pub fn number_or(&self, path: &str, default: f64) -> Result<f64, ConfigError> {
        Ok(self.optional(path, "a number", Value::as_f64)?.unwrap_or(default))
    }

    /// A whole number, 0 or more.
    pub fn count(&self, path: &str) -> Result<u64, ConfigError> {
        self.required(path, "a whole number", Value::as_u64)
    }

    /// A whole number, 0 or more, or `default` where the field is absent.
    pub fn count_or(&self, path: &str, default: u64) -> Result<u64, ConfigError> {
        Ok(self.optional(path, "a whole number", Value::as_u64)?.unwrap_or(default))
    }

    /// A whole number above 0.
    pub fn positive_count(&self, path: &str) -> Result<usize, ConfigError> {
        match self.count(path)? {
            0 => Err(self.error(path, "must be above 0")),
            count => Ok(count as usize),
        }
    }

    /// An index into a list of the settings that has `length` entries; 0 where the field is absent.
    pub fn index(&self, path: &str, length: usize) -> Result<usize, ConfigError> {
        let index = self.count_or(path, 0)? as usize;
        if index < length { Ok(index) } else { Err(self.error(path, "beyond the list in the settings")) }
    }

    /// A whole number of either sign.
    pub fn integer(&self, path: &str) -> Result<i64, ConfigError> {
        self.required(path, "a whole number", Value::as_i64)
    }

    /// A boolean; false where the field is absent.
    pub fn flag(&self, path: &str) -> Result<bool, ConfigError> {
        Ok(self.optional(path, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    /// A string.
    pub fn text(&self, path: &str) -> Result<&'a str, ConfigError> {
        self.required(path, "text", Value::as_str)
    }

    /// A string that may be absent.
    pub fn optional_text(&self, path: &str) -> Result<Option<&'a str>, ConfigError> {
        self.optional(path, "text", Value::as_str)
    }

    /// A list.
    pub fn list(&self, path: &str) -> Result<&'a Vec<Value>, ConfigError> {
        self.required(path, "a list", Value::as_array)
    }

    pub(crate) fn numbers(&self, path: &str) -> Result<Vec<f64>, ConfigError> {
        self.required(path, "a list of numbers", |value| {
            value.as_array()?.iter().map(Value::as_f64).collect()
        })
    }

    /// A list of numbers from 0 to 1.
    pub(crate) fn ratios(&self, path: &str) -> Result<Vec<f64>, ConfigError> {
        let ratios = self.numbers(path)?;
        if ratios.iter().all(|ratio| (0.0..=1.0).contains(ratio)) {
            Ok(ratios)
        } else {
            Err(self.error(path, "a share is not between 0 and 1"))
        }
    }

    /// A duration that the settings give in milliseconds, in seconds.
    pub(crate) fn seconds(&self, path: &str) -> Result<f64, ConfigError> {
        let milliseconds = self.number(path)?;
        if milliseconds >= 0.0 {
            Ok(milliseconds / MILLISECONDS_PER_SECOND)
        } else {
            Err(self.error(path, "below 0"))
        }
    }
}
