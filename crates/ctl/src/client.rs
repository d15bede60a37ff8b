//! HTTP client for the operator API, with failover from one entry to the next.

use std::io::ErrorKind;
use std::time::Duration;

use applefold_core::code::ResultCode;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::{Client, ClientRequest};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::exit::ExitStatus;
use crate::response::{ErrorBody, ErrorResponse};
use crate::settings::OperatorSettings;

const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// The upper limit for the timeout of a single call.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The failure of a call.
#[derive(Debug)]
pub(crate) enum CallError {
    /// No entry accepted a connection, so the call certainly did not reach one.
    NotConnected(String),
    /// An entry may have received the call, but no usable response arrived.
    NoResponse(String),
    /// An entry responded with an error.
    Refused(ErrorBody),
}

impl CallError {
    /// Returns whether the call may have been executed.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            Self::NotConnected(_) => false,
            Self::NoResponse(_) => true,
            Self::Refused(error) => error.run_state != "not_run",
        }
    }

    /// Prints the error and returns the exit status for it.
    pub(crate) fn report(&self, json: bool) -> ExitStatus {
        match self {
            Self::NotConnected(text) | Self::NoResponse(text) => {
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

/// The body of a successful response; `--json` prints it unchanged.
pub(crate) struct CallResponse {
    pub(crate) text: String,
}

impl CallResponse {
    /// Deserializes the body.
    pub(crate) fn read<T>(&self) -> Result<T, CallError>
    where
        T: DeserializeOwned,
    {
        let response = serde_json::from_str(&self.text);
        response.map_err(|error| {
            CallError::NoResponse(format!("could not parse the response: {error}"))
        })
    }
}

/// Calls the operator API of the entries with the credential of one operator.
pub(crate) struct OperatorClient {
    client: Client,
    settings: OperatorSettings,
}

impl OperatorClient {
    pub(crate) fn new(settings: OperatorSettings) -> Self {
        let timeout = settings.timeout.min(MAX_CALL_TIMEOUT);
        Self {
            client: Client::builder().timeout(timeout).finish(),
            settings,
        }
    }

    pub(crate) fn timeout(&self) -> Duration {
        self.settings.timeout
    }

    /// Sends a GET request. Any entry can serve a read, so the next one is tried after every failure
    /// except an error response.
    pub(crate) async fn get(&self, path: &str) -> Result<CallResponse, CallError> {
        let mut last_error = CallError::NotConnected("no entry is configured".to_owned());
        for entry in &self.settings.entries {
            match self.call(Method::GET, entry, path, String::new()).await {
                Ok(response) => return Ok(response),
                Err(refused @ CallError::Refused(_)) => return Err(refused),
                Err(other) => last_error = other,
            }
        }
        Err(last_error)
    }

    /// Sends a POST request. The next entry is tried only if this one certainly did not
    /// receive the call.
    pub(crate) async fn post(&self, path: &str, body: &str) -> Result<CallResponse, CallError> {
        let mut last_error = CallError::NotConnected("no entry is configured".to_owned());
        for entry in &self.settings.entries {
            match self.call(Method::POST, entry, path, body.to_owned()).await {
                Err(not_connected @ CallError::NotConnected(_)) => last_error = not_connected,
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn call(
        &self,
        method: Method,
        entry: &str,
        path: &str,
        body: String,
    ) -> Result<CallResponse, CallError> {
        let request = self.request(method, &format!("{entry}{path}"));
        let sent = request.send_body(body).await;
        let mut response = sent.map_err(|error| classify_error(entry, &error))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| CallError::NoResponse(format!("{entry}: {error}")))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if response.status().is_success() {
            return Ok(CallResponse { text });
        }
        match serde_json::from_str::<ErrorResponse>(&text) {
            Ok(response) => Err(CallError::Refused(response.error)),
            Err(_) => Err(CallError::NoResponse(format!(
                "{entry}: HTTP status {}",
                response.status()
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

/// Classifies a failure to send a call.
///
/// The HTTP client also reports a failed connect if the connection ends after the request was
/// written, so only errors that occur before that count as not connected.
fn classify_error(entry: &str, error: &SendRequestError) -> CallError {
    let text = format!("{entry}: {error}");
    let not_sent = match error {
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
    match not_sent {
        true => CallError::NotConnected(text),
        false => CallError::NoResponse(text),
    }
}
