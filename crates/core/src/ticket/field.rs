//! Reads the fields of one JSON object and notes every fault instead of stopping at the first.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::code::ResultCode;
use crate::ticket::refusal::TicketFault;

/// A word of a closed set and what it stands for.
pub(crate) struct KnownWord<T> {
    pub(crate) word: &'static str,
    pub(crate) value: T,
}

/// The fields of one object; what is read is known, what is left over is a fault.
pub(crate) struct FieldReader<'a> {
    path: String,
    fields: &'a Map<String, Value>,
    known: BTreeSet<&'static str>,
    faults: &'a mut Vec<TicketFault>,
}

impl<'a> FieldReader<'a> {
    pub(crate) fn open(
        value: &'a Value,
        path: &str,
        faults: &'a mut Vec<TicketFault>,
    ) -> Option<Self> {
        let Some(fields) = value.as_object() else {
            faults.push(TicketFault::new(
                path,
                "an object",
                ResultCode::FieldMistyped,
            ));
            return None;
        };
        Some(Self {
            path: path.to_owned(),
            fields,
            known: BTreeSet::new(),
            faults,
        })
    }

    /// Notes every field that was not asked for.
    pub(crate) fn close(self) {
        let unknown = self
            .fields
            .keys()
            .filter(|name| !self.known.contains(name.as_str()));
        for name in unknown {
            let known: Vec<&str> = self.known.iter().copied().collect();
            let expected = format!("no such field; the fields are {}", known.join(", "));
            let path = join(&self.path, name);
            self.faults
                .push(TicketFault::new(&path, expected, ResultCode::FieldUnknown));
        }
    }

    pub(crate) fn fault<E>(&mut self, name: &str, expected: E, code: ResultCode)
    where
        E: Display,
    {
        let path = join(&self.path, name);
        self.faults.push(TicketFault::new(&path, expected, code));
    }

    pub(crate) fn optional(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.insert(name);
        self.fields.get(name)
    }

    fn required(&mut self, name: &'static str, expected: &str) -> Option<&'a Value> {
        let value = self.optional(name);
        if value.is_none() {
            self.fault(name, expected, ResultCode::FieldMissing);
        }
        value
    }

    pub(crate) fn whole(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.required(name, &describe(&range))?;
        self.whole_of(name, value, range)
    }

    pub(crate) fn optional_whole(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.optional(name)?;
        self.whole_of(name, value, range)
    }

    fn whole_of(
        &mut self,
        name: &'static str,
        value: &Value,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let whole = value.as_f64().is_some_and(|number| number.fract() == 0.0);
            let code = match whole {
                true => ResultCode::FieldOutOfRange,
                false => ResultCode::FieldMistyped,
            };
            self.fault(name, describe(&range), code);
        }
        number
    }

    pub(crate) fn flag(&mut self, name: &'static str) -> Option<bool> {
        let expected = "true or false";
        let value = self.required(name, expected)?;
        let flag = value.as_bool();
        if flag.is_none() {
            self.fault(name, expected, ResultCode::FieldMistyped);
        }
        flag
    }

    /// Reads a text that `T` can be read from: an identifier, a digest.
    pub(crate) fn text<T>(&mut self, name: &'static str, expected: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.required(name, expected)?;
        self.text_of(name, value, expected)
    }

    pub(crate) fn text_of<T>(&mut self, name: &str, value: &Value, expected: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let Some(text) = value.as_str() else {
            self.fault(name, expected, ResultCode::FieldMistyped);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.fault(name, error, ResultCode::FieldOutOfRange);
                None
            }
        }
    }

    pub(crate) fn word<T>(&mut self, name: &'static str, words: &[KnownWord<T>]) -> Option<T>
    where
        T: Copy,
    {
        let listed: Vec<&str> = words.iter().map(|known| known.word).collect();
        let expected = format!("one of {}", listed.join(", "));
        let value = self.required(name, &expected)?;
        let Some(text) = value.as_str() else {
            self.fault(name, expected, ResultCode::FieldMistyped);
            return None;
        };
        let found = words.iter().find(|known| known.word == text);
        if found.is_none() {
            self.fault(name, expected, ResultCode::FieldOutOfRange);
        }
        found.map(|known| known.value)
    }

    /// Reads a list of texts without doubles.
    pub(crate) fn texts<T>(&mut self, name: &'static str, expected: &str) -> Option<BTreeSet<T>>
    where
        T: FromStr<Err: Display> + Ord,
    {
        let value = self.required(name, expected)?;
        self.texts_of(name, value, expected)
    }

    pub(crate) fn texts_of<T>(
        &mut self,
        name: &str,
        value: &Value,
        expected: &str,
    ) -> Option<BTreeSet<T>>
    where
        T: FromStr<Err: Display> + Ord,
    {
        let Some(items) = value.as_array() else {
            self.fault(name, expected, ResultCode::FieldMistyped);
            return None;
        };
        let mut texts = BTreeSet::new();
        for (at, item) in items.iter().enumerate() {
            let place = format!("{name}[{at}]");
            let Some(text) = self.text_of(&place, item, "a text") else {
                continue;
            };
            if !texts.insert(text) {
                self.fault(&place, "each item once", ResultCode::FieldOutOfRange);
            }
        }
        Some(texts)
    }

    /// Reads a list of objects, each by `read`; a missing list is an empty one.
    pub(crate) fn objects<T, R>(&mut self, name: &'static str, read: R) -> Vec<T>
    where
        R: Fn(&'a Value, &str, &mut Vec<TicketFault>) -> Option<T>,
    {
        let Some(value) = self.optional(name) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.fault(name, "a list of objects", ResultCode::FieldMistyped);
            return Vec::new();
        };
        let list = join(&self.path, name);
        let rows = items.iter().enumerate();
        let rows = rows.filter_map(|(at, item)| read(item, &format!("{list}[{at}]"), self.faults));
        rows.collect()
    }

    /// Reads an object inside of this one by `read`.
    pub(crate) fn object<T, R>(&mut self, name: &'static str, read: R) -> Option<T>
    where
        R: Fn(&'a Value, &str, &mut Vec<TicketFault>) -> Option<T>,
    {
        let value = self.optional(name)?;
        read(value, &join(&self.path, name), self.faults)
    }

    pub(crate) fn optional_text(&mut self, name: &'static str) -> Option<SmolStr> {
        let value = self.optional(name)?;
        self.text_of(name, value, "a text")
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}

fn describe(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}
