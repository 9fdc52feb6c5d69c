//! A strict JSON parser that rejects duplicate keys, trailing data, and documents with too many values or levels of
//! nesting. The limits on values and nesting are checked before memory for a value is allocated.

use std::cell::Cell;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::error::ApiError;

/// Limits on the size of a JSON document.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JsonLimits {
    /// Maximum nesting depth of objects and lists.
    pub max_depth: usize,
    /// Maximum number of values in the document, including objects and lists; keys don't count.
    pub max_values: usize,
}

/// Deserializes one value at a given nesting depth.
#[derive(Clone, Copy)]
struct StrictValue<'a> {
    limits: JsonLimits,
    depth: usize,
    remaining_values: &'a Cell<usize>,
}

impl StrictValue<'_> {
    /// Returns the deserializer for the values in an object or list, which are one level deeper; fails at the maximum
    /// depth.
    fn nested<E: Error>(&self) -> Result<Self, E> {
        let max_depth = self.limits.max_depth;
        if self.depth >= max_depth {
            return Err(E::custom(format!("deeper than max_depth [{max_depth}]")));
        }
        Ok(Self { depth: self.depth + 1, ..*self })
    }

    /// Counts one more value; fails if the document then has more values than the maximum.
    fn count_value<E: Error>(&self) -> Result<(), E> {
        let max_values = self.limits.max_values;
        let remaining = self.remaining_values.get().checked_sub(1);
        let remaining = remaining.ok_or_else(|| E::custom(format!("more than max_values [{max_values}]")))?;
        self.remaining_values.set(remaining);
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for StrictValue<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        self.count_value()?;
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictValue<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Number::from_f64(value).map(Value::Number).ok_or_else(|| E::custom("a number out of range"))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_string()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let nested = self.nested()?;
        let mut list = Vec::new();
        while let Some(value) = seq.next_element_seed(nested)? {
            list.push(value);
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let nested = self.nested()?;
        let mut map = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            if map.contains_key(&key) {
                return Err(A::Error::custom(format!("duplicate key [{}]", key.escape_debug())));
            }
            let value = entries.next_value_seed(nested)?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}

/// Parses a complete document; fails if it exceeds `limits`.
///
/// # Errors
/// Returns the first error in the document, with its line and column.
pub fn parse(bytes: &[u8], limits: JsonLimits) -> Result<Value, ApiError> {
    let remaining_values = Cell::new(limits.max_values);
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let root = StrictValue { limits, depth: 0, remaining_values: &remaining_values };
    let value = root.deserialize(&mut deserializer);
    let value = value.and_then(|value| deserializer.end().map(|()| value));
    value.map_err(|error| ApiError::parsing(error.to_string()))
}
