//! Reads settings from flags and environment variables.
//!
//! Every setting is validated before the process starts anything, and all errors are reported
//! together, see [docs/SETTINGS.md](../../../docs/SETTINGS.md).

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use applefold_core::code::ResultCode;

/// The sources of a setting: its flag, which takes precedence, and its environment variable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingSource<'a> {
    /// The flag, such as `--listen`.
    pub(crate) flag: &'static str,
    /// The environment variable, such as `APPLEFOLD_LISTEN`.
    pub(crate) variable: &'static str,
    /// The value of the flag, if it was given.
    pub(crate) value: Option<&'a str>,
}

/// Makes the [`SettingSource`] of a field of the arguments, from its flag and variable.
macro_rules! setting {
    ($args:ident.$field:ident, $flag:literal, $variable:literal) => {
        $crate::settings::SettingSource {
            flag: $flag,
            variable: $variable,
            value: $args.$field.as_deref(),
        }
    };
}

pub(crate) use setting;

/// The error of a missing or invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingError {
    flag: &'static str,
    variable: &'static str,
    code: ResultCode,
    text: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} ({}): {}",
            self.code, self.flag, self.variable, self.text
        )
    }
}

/// The errors of all settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingErrors(Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid settings")?;
        for error in &self.0 {
            write!(f, "\n  {error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}

/// Reads settings and collects their errors.
#[derive(Debug)]
pub(crate) struct SettingReader {
    variables: BTreeMap<String, String>,
    errors: Vec<SettingError>,
}

impl SettingReader {
    pub(crate) fn new(variables: BTreeMap<String, String>) -> Self {
        let errors = Vec::new();
        Self { variables, errors }
    }

    /// Reads a setting that has a default.
    pub(crate) fn with_default<T>(&mut self, source: SettingSource<'_>, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(source).unwrap_or(default)
    }

    /// Reads a required setting.
    pub(crate) fn required<T>(&mut self, source: SettingSource<'_>) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if self.text_of(source).is_none() {
            self.record_error(
                source,
                ResultCode::SettingMissing,
                "required, but not set".to_owned(),
            );
        }
        self.optional(source)
    }

    /// Reads an optional setting without a default.
    pub(crate) fn optional<T>(&mut self, source: SettingSource<'_>) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.text_of(source)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let text = format!("expected {error}");
                self.record_error(source, ResultCode::SettingMalformed, text);
                None
            }
        }
    }

    /// Records that a setting is out of range, unless `holds`.
    pub(crate) fn check(&mut self, holds: bool, source: SettingSource<'_>, expected: &str) {
        if !holds {
            let text = format!("expected {expected}");
            self.record_error(source, ResultCode::SettingOutOfRange, text);
        }
    }

    /// Records that a setting conflicts with another, unless `holds`.
    pub(crate) fn check_pair(&mut self, holds: bool, source: SettingSource<'_>, expected: &str) {
        if !holds {
            let text = format!("expected {expected}");
            self.record_error(source, ResultCode::SettingConflict, text);
        }
    }

    /// Finishes reading.
    ///
    /// # Errors
    ///
    /// Returns all recorded errors, if there are any.
    pub(crate) fn finish(self) -> Result<(), SettingErrors> {
        if self.errors.is_empty() {
            return Ok(());
        }
        Err(SettingErrors(self.errors))
    }

    fn text_of(&self, source: SettingSource<'_>) -> Option<String> {
        let value = source.value.map(str::to_owned);
        value.or_else(|| self.variables.get(source.variable).cloned())
    }

    fn record_error(&mut self, source: SettingSource<'_>, code: ResultCode, text: String) {
        self.errors.push(SettingError {
            flag: source.flag,
            variable: source.variable,
            code,
            text,
        });
    }
}
