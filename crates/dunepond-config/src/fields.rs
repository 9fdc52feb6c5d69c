//! Typed access to the fields of a JSON object, with errors that name the field.

use serde_json::Value;

use crate::ConfigError;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A JSON object with the name that error messages use for it. Fields are read by path: keys separated by dots.
///
/// Unless a method's description says otherwise, the method fails if the field is absent, null or of another type than
/// the method reads.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    name: &'a str,
    value: &'a Value,
}

impl<'a> Fields<'a> {
    /// Wraps a value; fails if it is not an object. Error messages begin with `name`.
    pub fn new(name: &'a str, value: &'a Value) -> Result<Self, ConfigError> {
        if value.is_object() {
            Ok(Self { name, value })
        } else {
            Err(ConfigError(format!("{name}: not an object")))
        }
    }

    /// The name that error messages use for this object.
    pub(crate) fn name(&self) -> &'a str {
        self.name
    }

    /// Creates an error about one of the fields; the message begins with the object's name and the field.
    pub fn error(&self, field: &str, why: &str) -> ConfigError {
        ConfigError(format!("{}: {field}: {why}", self.name))
    }

    /// Returns the field at a path; `None` if it is absent or null.
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

    /// Reads a field; returns `None` if it is absent or null. `get` converts the field's value, and returns `None` if
    /// the value is invalid. `kind` describes valid values in the error message.
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

    /// Reads a value of any type.
    pub fn value(&self, path: &str) -> Result<&'a Value, ConfigError> {
        self.required(path, "a value", Some)
    }

    /// Reads a number.
    pub fn number(&self, path: &str) -> Result<f64, ConfigError> {
        self.required(path, "a number", Value::as_f64)
    }

    /// Reads a number; returns `default` if the field is absent.
    pub fn number_or(&self, path: &str, default: f64) -> Result<f64, ConfigError> {
        Ok(self.optional(path, "a number", Value::as_f64)?.unwrap_or(default))
    }

    /// Reads a whole number, 0 or more.
    pub fn count(&self, path: &str) -> Result<u64, ConfigError> {
        self.required(path, "a whole number", Value::as_u64)
    }

    /// Reads a whole number, 0 or more; returns `default` if the field is absent.
    pub fn count_or(&self, path: &str, default: u64) -> Result<u64, ConfigError> {
        Ok(self.optional(path, "a whole number", Value::as_u64)?.unwrap_or(default))
    }

    /// Reads a whole number above 0.
    pub fn positive_count(&self, path: &str) -> Result<usize, ConfigError> {
        match self.count(path)? {
            0 => Err(self.error(path, "must be above 0")),
            count => Ok(count as usize),
        }
    }

    /// Reads an index into a list that has `length` entries; returns 0 if the field is absent. Fails if the index is
    /// not below `length`.
    pub fn index(&self, path: &str, length: usize) -> Result<usize, ConfigError> {
        let index = self.count_or(path, 0)? as usize;
        if index < length {
            Ok(index)
        } else {
            Err(self.error(path, "must be below the length of the list in the settings"))
        }
    }

    /// Reads a whole number, which may be negative.
    pub fn integer(&self, path: &str) -> Result<i64, ConfigError> {
        self.required(path, "a whole number", Value::as_i64)
    }

    /// Reads a boolean; returns false if the field is absent.
    pub fn flag(&self, path: &str) -> Result<bool, ConfigError> {
        Ok(self.optional(path, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    /// Reads a string.
    pub fn text(&self, path: &str) -> Result<&'a str, ConfigError> {
        self.required(path, "text", Value::as_str)
    }

    /// Reads a string; returns `None` if the field is absent.
    pub fn optional_text(&self, path: &str) -> Result<Option<&'a str>, ConfigError> {
        self.optional(path, "text", Value::as_str)
    }

    /// Reads a list of values of any type.
    pub fn list(&self, path: &str) -> Result<&'a Vec<Value>, ConfigError> {
        self.required(path, "a list", Value::as_array)
    }

    /// Reads a list of numbers.
    pub(crate) fn numbers(&self, path: &str) -> Result<Vec<f64>, ConfigError> {
        self.required(path, "a list of numbers", |value| {
            value.as_array()?.iter().map(Value::as_f64).collect()
        })
    }

    /// Reads a list of numbers from 0 to 1.
    pub(crate) fn ratios(&self, path: &str) -> Result<Vec<f64>, ConfigError> {
        let ratios = self.numbers(path)?;
        if ratios.iter().all(|ratio| (0.0..=1.0).contains(ratio)) {
            Ok(ratios)
        } else {
            Err(self.error(path, "a share is not between 0 and 1"))
        }
    }

    /// Reads a duration that the settings give in milliseconds, and returns it in seconds.
    pub(crate) fn seconds(&self, path: &str) -> Result<f64, ConfigError> {
        let milliseconds = self.number(path)?;
        if milliseconds >= 0.0 {
            Ok(milliseconds / MILLISECONDS_PER_SECOND)
        } else {
            Err(self.error(path, "must be 0 or more"))
        }
    }
}
