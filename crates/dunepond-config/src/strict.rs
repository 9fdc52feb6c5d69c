//! JSON in which no key may be given twice: which of the two was meant cannot be known, and a front that reads the
//! first where we read the last would let something else through than it has checked.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Reads a whole document; the fault names the place, and a key that is given twice.
pub fn json(bytes: &[u8]) -> Result<Value, String> {
    serde_json::from_slice::<Strict>(bytes).map(|strict| strict.0).map_err(|e| e.to_string())
}

struct Strict(Value);

impl<'de> Deserialize<'de> for Strict {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Reads).map(Strict)
    }
}

struct Reads;

impl<'de> Visitor<'de> for Reads {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_string()))
    }

    fn visit_string<E>(self, value: String) -> Result<Value, E> {
        Ok(Value::String(value))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(Strict(value)) = seq.next_element()? {
            list.push(value);
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            if map.contains_key(&key) {
                return Err(A::Error::custom(format!("key '{}' is given twice", key.escape_debug())));
            }
            let Strict(value) = entries.next_value()?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::outside(r#"{"body":"a","body":"b"}"#, "'body'")]
    #[case::inside(r#"{"buckets":[{"bucket":1,"part":1,"bucket":2}]}"#, "'bucket'")]
    #[case::written_otherwise(r#"{"body":"a","b\u006fdy":"b"}"#, "'body'")]
    fn a_key_given_twice_is_named(#[case] text: &str, #[case] named: &str) {
        let why = json(text.as_bytes()).unwrap_err();
        assert!(why.contains(named) && why.contains("given twice"), "{why}");
    }

    #[test]
    fn all_else_reads_as_it_stands() {
        let text = r#"{"a":[1,-2,3.5,true,null,"x\n"],"b":{"a":{}},"c":18446744073709551615}"#;
        assert_eq!(json(text.as_bytes()).unwrap(), serde_json::from_str::<Value>(text).unwrap());
        assert!(json(b"{}x").is_err() && json(b"").is_err());
    }
}
