//! Decides where a stream goes on that a caller resumes.

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{FindingSource, OriginFinding, StreamBinding};
use applefold_core::unit::TimeSpan;
use opentelemetry::KeyValue;
use smol_str::SmolStr;

use super::origin_store;
use super::origins::{is_resumable, is_worth_reading};
use super::prepare::{EarlyRefusal, PreparedRequest};
use super::state::GatewayState;

/// `Retry-After` if the version that began a stream may become known soon.
const ORIGIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Binds a request that resumes a stream to the service and the version that began it.
///
/// # Errors
///
/// Refuses the request if the version is not known.
pub(super) async fn bind(
    state: &GatewayState,
    prepared: &mut PreparedRequest,
) -> Result<StreamBinding, EarlyRefusal> {
    let resumes = prepared.caller.last_event_id.is_some();
    if !resumes || !is_resumable(prepared.route.retry_rule) {
        return Ok(StreamBinding::Unbound);
    }
    let mut finding = state.origins.find(state, prepared);
    if is_worth_reading(&finding, prepared) {
        origin_store::read_missing(state).await;
        finding = state.origins.find(state, prepared);
    }
    note_finding(state, prepared, &finding);
    let refusal = match (&finding.binding, finding.source) {
        (StreamBinding::Version(_) | StreamBinding::Unbound, _) => {
            if let Some(service) = finding.service {
                prepared.service = service;
            }
            return Ok(finding.binding);
        }
        (StreamBinding::Unknown, FindingSource::Unknown(cause)) if cause.is_temporary() => {
            CallRefusal::retryable(ResultCode::OriginUnknown, ORIGIN_RETRY_AFTER)
        }
        (StreamBinding::Unknown, FindingSource::Rerouted) => {
            CallRefusal::permanent(ResultCode::VersionMissing)
        }
        (StreamBinding::Unknown, _) => CallRefusal::permanent(ResultCode::OriginUnknown),
    };
    Err(EarlyRefusal::new(&prepared.caller.id, refusal))
}

/// Logs and counts where a resumed stream may go on.
fn note_finding(state: &GatewayState, prepared: &PreparedRequest, finding: &OriginFinding) {
    let (outcome, version) = match &finding.binding {
        StreamBinding::Version(version) => ("bound", version.as_str()),
        StreamBinding::Unbound => ("unbound", ""),
        StreamBinding::Unknown => ("refused", ""),
    };
    let source = finding.source.name();
    let cause = match finding.source {
        FindingSource::Unknown(cause) => cause.name(),
        _ => "",
    };
    let labels = [
        KeyValue::new("source", source),
        KeyValue::new("outcome", outcome),
    ];
    state.metrics.resumptions.add(1, &labels);
    let caller = &prepared.caller;
    log::info!(request = caller.id.as_str(),
        origin = caller.resumed_request.as_ref().map_or("", SmolStr::as_str),
        service = finding.service.as_ref().unwrap_or(&prepared.service).as_str(),
        version, source, cause, age_ms = finding.age.map_or(0, TimeSpan::as_millis);
        "resumption of a stream: {outcome}");
}
