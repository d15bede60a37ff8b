//! Claims on idempotency keys, which any entry forwards to the shard's owner.

use applefold_core::claim::{
    ClaimAsk, ClaimKey, ClaimOutcome, ClaimReport, ClaimVerdict, KeptAnswer, RequestFingerprint,
};

use crate::applefold_capnp::{claim_ask, claim_report, claim_verdict, kept_answer};
use crate::error::{parse, read_refusal, write_refusal, MessageError};

/// Writes a claim.
pub fn write_ask(ask: &ClaimAsk, mut builder: claim_ask::Builder<'_>) {
    builder.set_key(ask.claim.key.as_str());
    builder.set_team(ask.claim.team.as_str());
    builder.set_fingerprint(ask.fingerprint.0);
    builder.set_request(ask.request.as_str());
}

/// Reads a claim.
///
/// # Errors
///
/// Returns [`MessageError`] where a field does not hold what its type promises.
pub fn read_ask(reader: claim_ask::Reader<'_>) -> Result<ClaimAsk, MessageError> {
    Ok(ClaimAsk {
        claim: ClaimKey {
            team: parse(reader.get_team()?)?,
            key: parse(reader.get_key()?)?,
        },
        fingerprint: RequestFingerprint(reader.get_fingerprint()),
        request: parse(reader.get_request()?)?,
    })
}

fn write_kept(answer: &KeptAnswer, mut builder: kept_answer::Builder<'_>) {
    builder.set_status(answer.status);
    builder.set_body(&answer.body);
}

fn read_kept(reader: kept_answer::Reader<'_>) -> Result<KeptAnswer, MessageError> {
    let status = reader.get_status();
    let body = reader.get_body()?.to_vec();
    Ok(KeptAnswer { status, body })
}

/// Writes the answer to a claim.
pub fn write_verdict(verdict: &ClaimVerdict, mut builder: claim_verdict::Builder<'_>) {
    match verdict {
        ClaimVerdict::Granted => builder.set_granted(()),
        ClaimVerdict::Refused(refusal) => write_refusal(*refusal, builder.init_refused()),
        ClaimVerdict::Kept(answer) => write_kept(answer, builder.init_kept()),
    }
}

/// Reads the answer to a claim.
///
/// # Errors
///
/// Returns [`MessageError`] where a field does not hold what its type promises.
pub fn read_verdict(reader: claim_verdict::Reader<'_>) -> Result<ClaimVerdict, MessageError> {
    Ok(match reader.which()? {
        claim_verdict::Granted(()) => ClaimVerdict::Granted,
        claim_verdict::Refused(refusal) => ClaimVerdict::Refused(read_refusal(refusal?)?),
        claim_verdict::Kept(answer) => ClaimVerdict::Kept(read_kept(answer?)?),
    })
}

/// Writes what became of a claimed request.
pub fn write_report(report: &ClaimReport, mut builder: claim_report::Builder<'_>) {
    builder.set_key(report.claim.key.as_str());
    builder.set_team(report.claim.team.as_str());
    builder.set_request(report.request.as_str());
    match &report.outcome {
        ClaimOutcome::Answered(answer) => write_kept(answer, builder.init_answered()),
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
        claim_report::Answered(answer) => ClaimOutcome::Answered(read_kept(answer?)?),
        claim_report::NotRun(()) => ClaimOutcome::NotRun,
        claim_report::Unknown(()) => ClaimOutcome::Unknown,
    };
    Ok(ClaimReport {
        claim: ClaimKey {
            team: parse(reader.get_team()?)?,
            key: parse(reader.get_key()?)?,
        },
        request: parse(reader.get_request()?)?,
        outcome,
    })
}
