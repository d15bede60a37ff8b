//! JSON that rejects duplicate fields, since a parser would silently drop all but one.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// A JSON value in which no object has duplicate fields.
pub(crate) struct StrictValue(pub(crate) Value);

struct StrictVisitor;

impl<'de> Deserialize<'de> for StrictValue {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(StrictVisitor).map(Self)
    }
}

impl<'de> Visitor<'de> for StrictVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::Bool(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Value, E> {
        Ok(Number::from_f64(number).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::from(text))
    }

    fn visit_seq<A>(self, mut items: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        while let Some(StrictValue(item)) = items.next_element()? {
            list.push(item);
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A>(self, mut rows: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut fields = Map::new();
        while let Some(name) = rows.next_key::<String>()? {
            if fields.contains_key(&name) {
                return Err(Error::custom(format!("the field {name} stands twice")));
            }
            let StrictValue(value) = rows.next_value()?;
            fields.insert(name, value);
        }
        Ok(Value::Object(fields))
    }
}
