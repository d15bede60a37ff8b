//! The `key hash` command.

use applefold_core::config::key_digest;
use eyre::ensure;
use serde_json::json;

use crate::cmd::args::KeyHash;
use crate::cmd::read_input;
use crate::exit::ExitStatus;

impl KeyHash {
    pub(crate) fn run(self) -> eyre::Result<ExitStatus> {
        let text = read_input(None)?;
        let key = text.trim_end_matches(['\r', '\n']);
        ensure!(!key.is_empty(), "standard input contains no caller key");
        let digest = key_digest(key);
        match self.json {
            true => println!("{}", json!({"sha256": digest.to_string()})),
            false => println!("{digest}"),
        }
        Ok(ExitStatus::Done)
    }
}
