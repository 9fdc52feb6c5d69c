//! JSON as strictly as it can be read: no key twice, no deeper than allowed, no more values than allowed, nothing behind
//! it. What is read is bounded before it is held.

use std::cell::Cell;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::error::ApiError;

/// How large a document may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Objects and lists within each other.
    pub depth: usize,
    /// Values in all, keys not counted.
    pub values: usize,
}

struct Strict<'a> {
    bounds: Bounds,
    depth: usize,
    left: &'a Cell<usize>,
}

impl Strict<'_> {
    fn deeper<E: Error>(&self) -> Result<Strict<'_>, E> {
        if self.depth >= self.bounds.depth {
            return Err(E::custom(format!("deeper than max_depth [{}]", self.bounds.depth)));
        }
        Ok(Strict { bounds: self.bounds, depth: self.depth + 1, left: self.left })
    }
}

impl<'de> DeserializeSeed<'de> for Strict<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        let left = self.left.get().checked_sub(1);
        let left =
            left.ok_or_else(|| D::Error::custom(format!("more than max_values [{}]", self.bounds.values)))?;
        self.left.set(left);
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Strict<'_> {
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
        let deeper = self.deeper()?;
        let mut list = Vec::new();
        while let Some(value) =
            seq.next_element_seed(Strict { bounds: deeper.bounds, depth: deeper.depth, left: deeper.left })?
        {
            list.push(value);
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let deeper = self.deeper()?;
        let mut map = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            if map.contains_key(&key) {
                return Err(A::Error::custom(format!("duplicate key [{}]", key.escape_debug())));
            }
            let value = entries.next_value_seed(Strict {
                bounds: deeper.bounds,
                depth: deeper.depth,
                left: deeper.left,
            })?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}

/// A whole document; the error has its line and column.
pub fn read(bytes: &[u8], bounds: Bounds) -> Result<Value, ApiError> {
    let left = Cell::new(bounds.values);
    let mut from = serde_json::Deserializer::from_slice(bytes);
    // Our own bound on depth is the one that is named; theirs would only come before it.
    let value = Strict { bounds, depth: 0, left: &left }.deserialize(&mut from);
    let value = value.and_then(|value| from.end().map(|()| value));
    value.map_err(|e| ApiError::parsing(e.to_string()))
}
