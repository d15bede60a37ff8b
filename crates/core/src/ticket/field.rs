//! Reads the fields of a JSON object and collects every fault instead of stopping at the first.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::code::ResultCode;
use crate::ticket::refusal::TicketFault;

/// The JSON name of an enum value.
pub(crate) struct EnumName<T> {
    pub(crate) name: &'static str,
    pub(crate) value: T,
}

/// Reads the fields of one JSON object.
///
/// Each field that is read counts as known. [`reject_unknown`](Self::reject_unknown) reports the
/// others, so that a misspelled field is not ignored.
pub(crate) struct FieldReader<'a> {
    path: String,
    fields: &'a Map<String, Value>,
    known_names: BTreeSet<&'static str>,
    faults: &'a mut Vec<TicketFault>,
}

impl<'a> FieldReader<'a> {
    /// Returns a reader of `value`, or records a fault at `path` if it is not an object.
    pub(crate) fn new(
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
            known_names: BTreeSet::new(),
            faults,
        })
    }

    /// Records a fault for each field that no call has read.
    pub(crate) fn reject_unknown(self) {
        let unknown = self
            .fields
            .keys()
            .filter(|name| !self.known_names.contains(name.as_str()));
        for name in unknown {
            let known_names: Vec<&str> = self.known_names.iter().copied().collect();
            let expected = format!("no such field; the fields are {}", known_names.join(", "));
            let path = join_path(&self.path, name);
            self.faults
                .push(TicketFault::new(&path, expected, ResultCode::FieldUnknown));
        }
    }

    /// Records a fault of the field `name`.
    pub(crate) fn record_fault<E>(&mut self, name: &str, expected: E, code: ResultCode)
    where
        E: Display,
    {
        let path = join_path(&self.path, name);
        self.faults.push(TicketFault::new(&path, expected, code));
    }

    /// Returns the value of a field that may be missing, and marks the field as known.
    pub(crate) fn optional(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known_names.insert(name);
        self.fields.get(name)
    }

    fn required(&mut self, name: &'static str, expected: &str) -> Option<&'a Value> {
        let value = self.optional(name);
        if value.is_none() {
            self.record_fault(name, expected, ResultCode::FieldMissing);
        }
        value
    }

    /// Reads a required integer within `range`.
    pub(crate) fn integer(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.required(name, &describe_range(&range))?;
        self.check_integer(name, value, range)
    }

    /// Reads an integer within `range` that may be missing.
    pub(crate) fn optional_integer(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.optional(name)?;
        self.check_integer(name, value, range)
    }

    /// Returns `value` if it is an integer within `range`, and records a fault otherwise.
    fn check_integer(
        &mut self,
        name: &'static str,
        value: &Value,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let is_integer = value.as_f64().is_some_and(|number| number.fract() == 0.0);
            let code = match is_integer {
                true => ResultCode::FieldOutOfRange,
                false => ResultCode::FieldMistyped,
            };
            self.record_fault(name, describe_range(&range), code);
        }
        number
    }

    /// Reads a required boolean.
    pub(crate) fn boolean(&mut self, name: &'static str) -> Option<bool> {
        let expected = "true or false";
        let value = self.required(name, expected)?;
        let flag = value.as_bool();
        if flag.is_none() {
            self.record_fault(name, expected, ResultCode::FieldMistyped);
        }
        flag
    }

    /// Reads a required string and parses it as `T`, such as an identifier or a digest.
    pub(crate) fn text<T>(&mut self, name: &'static str, expected: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.required(name, expected)?;
        self.parse_text(name, value, expected)
    }

    /// Parses `value`, the string under `name`, as `T`.
    pub(crate) fn parse_text<T>(&mut self, name: &str, value: &Value, expected: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let Some(text) = value.as_str() else {
            self.record_fault(name, expected, ResultCode::FieldMistyped);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.record_fault(name, error, ResultCode::FieldOutOfRange);
                None
            }
        }
    }

    /// Reads a required string that must be one of `names`.
    pub(crate) fn enum_value<T>(&mut self, name: &'static str, names: &[EnumName<T>]) -> Option<T>
    where
        T: Copy,
    {
        let listed: Vec<&str> = names.iter().map(|candidate| candidate.name).collect();
        let expected = format!("one of {}", listed.join(", "));
        let value = self.required(name, &expected)?;
        let Some(text) = value.as_str() else {
            self.record_fault(name, expected, ResultCode::FieldMistyped);
            return None;
        };
        let found = names.iter().find(|candidate| candidate.name == text);
        if found.is_none() {
            self.record_fault(name, expected, ResultCode::FieldOutOfRange);
        }
        found.map(|candidate| candidate.value)
    }

    /// Reads a required list of strings without duplicates.
    pub(crate) fn text_set<T>(&mut self, name: &'static str, expected: &str) -> Option<BTreeSet<T>>
    where
        T: FromStr<Err: Display> + Ord,
    {
        let value = self.required(name, expected)?;
        self.parse_text_set(name, value, expected)
    }

    /// Parses `value`, the list of strings under `name`, and records a fault for each duplicate.
    pub(crate) fn parse_text_set<T>(
        &mut self,
        name: &str,
        value: &Value,
        expected: &str,
    ) -> Option<BTreeSet<T>>
    where
        T: FromStr<Err: Display> + Ord,
    {
        let Some(items) = value.as_array() else {
            self.record_fault(name, expected, ResultCode::FieldMistyped);
            return None;
        };
        let mut texts = BTreeSet::new();
        for (index, item) in items.iter().enumerate() {
            let item_name = format!("{name}[{index}]");
            let Some(text) = self.parse_text(&item_name, item, "a text") else {
                continue;
            };
            if !texts.insert(text) {
                self.record_fault(&item_name, "each item once", ResultCode::FieldOutOfRange);
            }
        }
        Some(texts)
    }

    /// Reads a list of objects, each with `read`. A missing list counts as empty.
    pub(crate) fn objects<T, R>(&mut self, name: &'static str, read: R) -> Vec<T>
    where
        R: Fn(&'a Value, &str, &mut Vec<TicketFault>) -> Option<T>,
    {
        let Some(value) = self.optional(name) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.record_fault(name, "a list of objects", ResultCode::FieldMistyped);
            return Vec::new();
        };
        let list = join_path(&self.path, name);
        let objects = items.iter().enumerate();
        let objects = objects
            .filter_map(|(index, item)| read(item, &format!("{list}[{index}]"), self.faults));
        objects.collect()
    }

    /// Reads a nested object with `read`; `None` if it is missing or has a fault.
    pub(crate) fn object<T, R>(&mut self, name: &'static str, read: R) -> Option<T>
    where
        R: Fn(&'a Value, &str, &mut Vec<TicketFault>) -> Option<T>,
    {
        let value = self.optional(name)?;
        read(value, &join_path(&self.path, name), self.faults)
    }

    /// Reads a string that may be missing.
    pub(crate) fn optional_text(&mut self, name: &'static str) -> Option<SmolStr> {
        let value = self.optional(name)?;
        self.parse_text(name, value, "a text")
    }
}

fn join_path(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}

fn describe_range(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}
