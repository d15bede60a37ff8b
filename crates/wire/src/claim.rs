//! Claims on idempotency keys, which any entry forwards to the shard's owner.

use applefold_core::claim::{
    ClaimDecision, ClaimKey, ClaimOutcome, ClaimReport, ClaimRequest, RequestFingerprint,
    StoredResponse,
};

use crate::applefold_capnp::{claim_ask, claim_report, claim_verdict, kept_answer};
use crate::error::{parse, read_refusal, write_refusal, MessageError};

/// Writes a claim.
pub fn write_request(ask: &ClaimRequest, mut builder: claim_ask::Builder<'_>) {
    builder.set_key(ask.claim.key.as_str());
    builder.set_team(ask.claim.team.as_str());
    builder.set_fingerprint(ask.fingerprint.0);
    builder.set_request(ask.request_id.as_str());
}

/// Reads a claim.
///
/// # Errors
///
/// Returns [`MessageError`] where a field does not hold what its type promises.
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

fn write_kept(answer: &StoredResponse, mut builder: kept_answer::Builder<'_>) {
    builder.set_status(answer.status);
    builder.set_body(&answer.body);
}

fn read_kept(reader: kept_answer::Reader<'_>) -> Result<StoredResponse, MessageError> {
    let status = reader.get_status();
    let body = reader.get_body()?.to_vec();
    Ok(StoredResponse { status, body })
}

/// Writes the answer to a claim.
pub fn write_decision(verdict: &ClaimDecision, mut builder: claim_verdict::Builder<'_>) {
    match verdict {
        ClaimDecision::Granted => builder.set_granted(()),
        ClaimDecision::Refused(refusal) => write_refusal(*refusal, builder.init_refused()),
        ClaimDecision::Replayed(answer) => write_kept(answer, builder.init_kept()),
    }
}

/// Reads the answer to a claim.
///
/// # Errors
///
/// Returns [`MessageError`] where a field does not hold what its type promises.
pub fn read_decision(reader: claim_verdict::Reader<'_>) -> Result<ClaimDecision, MessageError> {
    Ok(match reader.which()? {
        claim_verdict::Granted(()) => ClaimDecision::Granted,
        claim_verdict::Refused(refusal) => ClaimDecision::Refused(read_refusal(refusal?)?),
        claim_verdict::Kept(answer) => ClaimDecision::Replayed(read_kept(answer?)?),
    })
}

/// Writes what became of a claimed request.
pub fn write_report(report: &ClaimReport, mut builder: claim_report::Builder<'_>) {
    builder.set_key(report.claim.key.as_str());
    builder.set_team(report.claim.team.as_str());
    builder.set_request(report.request_id.as_str());
    match &report.outcome {
        ClaimOutcome::Completed(answer) => write_kept(answer, builder.init_answered()),
        ClaimOutcome::NotRun => builder.set_not_run(()),
        ClaimOutcome::Unknown => builder.set_unknown(()),
    }
}

/// Reads what became of a claimed request.
///
/// # Errors
///
/// Returns [`MessageError`] where a field does not hold what its type promises.
pub fn read_report(reader: claim_report::Reader<'_>) -> Result<ClaimReport, MessageError> {
    let outcome = match reader.which()? {
        claim_report::Answered(answer) => ClaimOutcome::Completed(read_kept(answer?)?),
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
