//! Claims on idempotency keys, which an entry forwards to the owner of the key's shard.

use applefold_core::claim::{
    ClaimDecision, ClaimKey, ClaimOutcome, ClaimReport, ClaimRequest, RequestFingerprint,
    StoredResponse,
};

use crate::applefold_capnp::{claim_ask, claim_report, claim_verdict, kept_answer};
use crate::error::{parse, read_refusal, write_refusal, MessageError};

/// Serializes a claim.
pub fn write_request(request: &ClaimRequest, mut builder: claim_ask::Builder<'_>) {
    builder.set_key(request.claim.key.as_str());
    builder.set_team(request.claim.team.as_str());
    builder.set_fingerprint(request.fingerprint.0);
    builder.set_request(request.request_id.as_str());
}

/// Deserializes a claim.
///
/// # Errors
///
/// Returns [`MessageError`] if a field is malformed or out of range.
pub fn read_request(reader: claim_ask::Reader<'_>) -> Result<ClaimRequest, MessageError> {
    Ok(ClaimRequest {
        claim: ClaimKey {
            team: parse(reader.get_team()?)?,
            key: parse(reader.get_key()?)?,
        },
        fingerprint: RequestFingerprint(reader.get_fingerprint()),
        request_id: parse(reader.get_request()?)?,
    })
}

fn write_response(response: &StoredResponse, mut builder: kept_answer::Builder<'_>) {
    builder.set_status(response.status);
    builder.set_body(&response.body);
}

fn read_response(reader: kept_answer::Reader<'_>) -> Result<StoredResponse, MessageError> {
    let status = reader.get_status();
    let body = reader.get_body()?.to_vec();
    Ok(StoredResponse { status, body })
}

/// Serializes the decision on a claim.
pub fn write_decision(decision: &ClaimDecision, mut builder: claim_verdict::Builder<'_>) {
    match decision {
        ClaimDecision::Granted => builder.set_granted(()),
        ClaimDecision::Refused(refusal) => write_refusal(*refusal, builder.init_refused()),
        ClaimDecision::Replayed(response) => write_response(response, builder.init_kept()),
    }
}

/// Deserializes the decision on a claim.
///
/// # Errors
///
/// Returns [`MessageError`] if a field is malformed or out of range.
pub fn read_decision(reader: claim_verdict::Reader<'_>) -> Result<ClaimDecision, MessageError> {
    Ok(match reader.which()? {
        claim_verdict::Granted(()) => ClaimDecision::Granted,
        claim_verdict::Refused(refusal) => ClaimDecision::Refused(read_refusal(refusal?)?),
        claim_verdict::Kept(response) => ClaimDecision::Replayed(read_response(response?)?),
    })
}

/// Serializes the report of the outcome of a claimed request.
pub fn write_report(report: &ClaimReport, mut builder: claim_report::Builder<'_>) {
    builder.set_key(report.claim.key.as_str());
    builder.set_team(report.claim.team.as_str());
    builder.set_request(report.request_id.as_str());
    match &report.outcome {
        ClaimOutcome::Completed(response) => write_response(response, builder.init_answered()),
        ClaimOutcome::NotRun => builder.set_not_run(()),
        ClaimOutcome::Unknown => builder.set_unknown(()),
    }
}

/// Deserializes the report of the outcome of a claimed request.
///
/// # Errors
///
/// Returns [`MessageError`] if a field is malformed or out of range.
pub fn read_report(reader: claim_report::Reader<'_>) -> Result<ClaimReport, MessageError> {
    let outcome = match reader.which()? {
        claim_report::Answered(response) => ClaimOutcome::Completed(read_response(response?)?),
        claim_report::NotRun(()) => ClaimOutcome::NotRun,
        claim_report::Unknown(()) => ClaimOutcome::Unknown,
    };
    Ok(ClaimReport {
        claim: ClaimKey {
            team: parse(reader.get_team()?)?,
            key: parse(reader.get_key()?)?,
        },
        request_id: parse(reader.get_request()?)?,
        outcome,
    })
}
