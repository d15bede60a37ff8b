//! Header fields of an HTTP message.

use smol_str::SmolStr;

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// The name, in the case in which it was sent.
    pub name: SmolStr,
    /// The value, without surrounding whitespace.
    pub value: SmolStr,
}

/// The header fields of a message, in the order in which they were sent.
///
/// Names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldList(Vec<HeaderField>);

impl FieldList {
    /// Appends a field.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push(HeaderField {
            name: SmolStr::new(name),
            value: SmolStr::new(value),
        });
    }

    /// Returns the value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name));
        field.map(|field| field.value.as_str())
    }

    /// Returns the values of all fields with this name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        let fields = self.0.iter();
        let matching = fields.filter(move |field| field.name.eq_ignore_ascii_case(name));
        matching.map(|field| field.value.as_str())
    }

    /// Returns whether a field with this name contains `token` in its comma-separated list.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.any(|other| other.trim().eq_ignore_ascii_case(token))
    }

    /// Returns an iterator over the fields, in order.
    pub fn iter(&self) -> std::slice::Iter<'_, HeaderField> {
        self.0.iter()
    }

    /// Returns the number of fields.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
