//! Settings, read in one place from flags and environment variables.
//!
//! Every setting is checked before anything starts, and every fault is told at
//! once, see [docs/SETTINGS.md](../../../docs/SETTINGS.md).

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use applefold_core::code::ResultCode;

/// A setting's flag and variable with the text that the flag was given.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingSource<'a> {
    /// The flag, such as `--listen`.
    pub(crate) flag: &'static str,
    /// The environment variable, such as `APPLEFOLD_LISTEN`.
    pub(crate) variable: &'static str,
    /// What the flag was given.
    pub(crate) given: Option<&'a str>,
}

/// Names a setting: the field of the arguments, the flag and the variable.
macro_rules! setting {
    ($args:ident.$field:ident, $flag:literal, $variable:literal) => {
        $crate::settings::SettingSource {
            flag: $flag,
            variable: $variable,
            given: $args.$field.as_deref(),
        }
    };
}

pub(crate) use setting;

/// A setting that cannot be used.
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

/// Every fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingErrors(Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings cannot be used")?;
        for fault in &self.0 {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}

/// Reads settings and gathers their faults.
#[derive(Debug)]
pub(crate) struct SettingReader {
    variables: BTreeMap<String, String>,
    faults: Vec<SettingError>,
}

impl SettingReader {
    pub(crate) fn new(variables: BTreeMap<String, String>) -> Self {
        let faults = Vec::new();
        Self { variables, faults }
    }

    /// Reads a setting that has a default.
    pub(crate) fn with_default<T>(&mut self, source: SettingSource<'_>, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(source).unwrap_or(default)
    }

    /// Reads a setting that must be given.
    pub(crate) fn required<T>(&mut self, source: SettingSource<'_>) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if self.text_of(source).is_none() {
            self.fault(
                source,
                ResultCode::SettingMissing,
                "it must be given".to_owned(),
            );
        }
        self.optional(source)
    }

    /// Reads a setting that may be left out.
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
                self.fault(source, ResultCode::SettingMalformed, text);
                None
            }
        }
    }

    /// Records a fault unless the condition holds.
    pub(crate) fn check(&mut self, holds: bool, source: SettingSource<'_>, expected: &str) {
        if !holds {
            let text = format!("expected {expected}");
            self.fault(source, ResultCode::SettingOutOfRange, text);
        }
    }

    /// Records that two settings contradict each other unless the condition holds.
    pub(crate) fn check_pair(&mut self, holds: bool, source: SettingSource<'_>, expected: &str) {
        if !holds {
            let text = format!("expected {expected}");
            self.fault(source, ResultCode::SettingConflict, text);
        }
    }

    /// Returns the faults, if there are any.
    pub(crate) fn finish(self) -> Result<(), SettingErrors> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(SettingErrors(self.faults))
    }

    fn text_of(&self, source: SettingSource<'_>) -> Option<String> {
        let given = source.given.map(str::to_owned);
        given.or_else(|| self.variables.get(source.variable).cloned())
    }

    fn fault(&mut self, source: SettingSource<'_>, code: ResultCode, text: String) {
        self.faults.push(SettingError {
            flag: source.flag,
            variable: source.variable,
            code,
            text,
        });
    }
}
