//! Calls to the entries, one after the other until one answers.

use std::io::ErrorKind;
use std::time::Duration;

use applefold_core::code::ResultCode;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::{Client, ClientRequest};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::answer::{ErrorAnswer, ErrorBody};
use crate::exit::ExitStatus;
use crate::settings::OperatorSettings;

const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
const MAX_CALL_TIME: Duration = Duration::from_secs(5);

/// A call that did not end well.
#[derive(Debug)]
pub(crate) enum CallFault {
    /// No entry could be connected to, so that none has seen the call.
    Unreached(String),
    /// An entry may have seen the call; no answer came.
    Lost(String),
    /// An entry answered with an error.
    Refused(ErrorBody),
}

impl CallFault {
    /// Returns whether what was asked for may have happened.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            Self::Unreached(_) => false,
            Self::Lost(_) => true,
            Self::Refused(error) => error.run_state != "not_run",
        }
    }

    /// Prints the fault and returns how the program ends by it.
    pub(crate) fn report(&self, json: bool) -> ExitStatus {
        match self {
            Self::Unreached(text) | Self::Lost(text) => {
                let code = ResultCode::EntryUnreachable;
                if json {
                    let state = code.run_state();
                    println!(
                        "{}",
                        json!({"error": {"code": code, "message": text, "run_state": state}})
                    );
                }
                eprintln!("{code} {}\n{text}", code.meaning());
                ExitStatus::Unknown
            }
            Self::Refused(error) => {
                if json {
                    println!("{}", json!({"error": error}));
                }
                eprintln!("{} {}", error.code, error.message);
                for fault in &error.faults {
                    let path = if fault.path.is_empty() {
                        "ticket"
                    } else {
                        &fault.path
                    };
                    eprintln!("  {path}: expected {} ({})", fault.expected, fault.code);
                }
                match self.is_unknown() {
                    true => ExitStatus::Unknown,
                    false => ExitStatus::Refused,
                }
            }
        }
    }
}

/// An answer as text, which `--json` prints as it came.
pub(crate) struct CallAnswer {
    pub(crate) text: String,
}

impl CallAnswer {
    pub(crate) fn read<T>(&self) -> Result<T, CallFault>
    where
        T: DeserializeOwned,
    {
        let answer = serde_json::from_str(&self.text);
        answer.map_err(|error| CallFault::Lost(format!("the answer cannot be read: {error}")))
    }
}

/// Speaks to the entries for one operator.
pub(crate) struct OperatorClient {
    client: Client,
    settings: OperatorSettings,
}

impl OperatorClient {
    pub(crate) fn new(settings: OperatorSettings) -> Self {
        let time = settings.timeout.min(MAX_CALL_TIME);
        Self {
            client: Client::builder().timeout(time).finish(),
            settings,
        }
    }

    pub(crate) fn timeout(&self) -> Duration {
        self.settings.timeout
    }

    /// Reads; any entry's answer will do, so a lost one is asked for at the next.
    pub(crate) async fn get(&self, path: &str) -> Result<CallAnswer, CallFault> {
        let mut fault = CallFault::Unreached("no entry is set".to_owned());
        for entry in &self.settings.entries {
            match self.call(Method::GET, entry, path, String::new()).await {
                Ok(answer) => return Ok(answer),
                Err(refused @ CallFault::Refused(_)) => return Err(refused),
                Err(other) => fault = other,
            }
        }
        Err(fault)
    }

    /// Sends; the next entry is tried only if this one has surely not seen the call.
    pub(crate) async fn post(&self, path: &str, body: &str) -> Result<CallAnswer, CallFault> {
        let mut fault = CallFault::Unreached("no entry is set".to_owned());
        for entry in &self.settings.entries {
            match self.call(Method::POST, entry, path, body.to_owned()).await {
                Err(unreached @ CallFault::Unreached(_)) => fault = unreached,
                answered => return answered,
            }
        }
        Err(fault)
    }

    async fn call(
        &self,
        method: Method,
        entry: &str,
        path: &str,
        body: String,
    ) -> Result<CallAnswer, CallFault> {
        let request = self.request(method, &format!("{entry}{path}"));
        let sent = request.send_body(body).await;
        let mut answer = sent.map_err(|error| send_fault(entry, &error))?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| CallFault::Lost(format!("{entry}: {error}")))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if answer.status().is_success() {
            return Ok(CallAnswer { text });
        }
        match serde_json::from_str::<ErrorAnswer>(&text) {
            Ok(answer) => Err(CallFault::Refused(answer.error)),
            Err(_) => Err(CallFault::Lost(format!(
                "{entry}: status {}",
                answer.status()
            ))),
        }
    }

    fn request(&self, method: Method, url: &str) -> ClientRequest {
        let bearer = format!("Bearer {}", self.settings.credential);
        let request = self.client.request(method, url);
        request
            .insert_header(("Authorization", bearer))
            .content_type("application/json")
    }
}

/// The client also calls it a failed connect if a connection ends after the call was
/// written, so only the kinds that come before that count as unreached.
fn send_fault(entry: &str, error: &SendRequestError) -> CallFault {
    let text = format!("{entry}: {error}");
    let unsent = match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Io(error)) => {
            error.kind() == ErrorKind::ConnectionRefused
        }
        SendRequestError::Connect(error) => matches!(
            error,
            ConnectError::Resolver(_) | ConnectError::NoRecords | ConnectError::Unresolved
        ),
        _ => false,
    };
    match unsent {
        true => CallFault::Unreached(text),
        false => CallFault::Lost(text),
    }
}
