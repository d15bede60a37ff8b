//! Responses assembled from streams that break at any byte, and the decisions
//! between attempts.

#[path = "claim_support/history.rs"]
mod history;

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::id::{AttemptNumber, RequestId};
use applefold_core::response::{
    AttemptEnd, AttemptOptions, AttemptPlan, CloseDecision, HeadDecision, NextStep, PartDecision,
    ResponseAssembler, ResponseFormat, ResponseProgress, RESPONSE_BUFFER_LIMIT,
};
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan, TokenCount};
use history::check_histories;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WORDS: [&str; 6] = ["alarm ", "déjà ", "\\n ", "[DONE] ", "data: ", "火 "];

fn request(number: u64) -> RequestId {
    format!("request-{number}").parse().unwrap()
}

fn chunk(id: &str, body: &str, ending: &str) -> String {
    format!(r#"data: {{"id":"{id}","choices":[{body}]}}{ending}{ending}"#)
}

/// The stream of an engine that resumes after the first `skip` tokens.
fn stream(tokens: usize, skip: usize, id: &str, ending: &str) -> String {
    let mut text = chunk(
        id,
        r#"{"index":0,"delta":{"role":"assistant","content":""}}"#,
        ending,
    );
    for token in skip..tokens {
        let word = WORDS[token % WORDS.len()];
        let word = serde_json::to_string(&format!("{token}{word}")).unwrap();
        text += &format!(": keep-alive{ending}{ending}");
        text += &chunk(
            id,
            &format!(r#"{{"index":0,"delta":{{"content":{word}}}}}"#),
            ending,
        );
    }
    text += &chunk(
        id,
        r#"{"index":0,"delta":{},"finish_reason":"length"}"#,
        ending,
    );
    text += &format!(r#"data: {{"choices":[],"usage":{{"completion_tokens":{tokens}}}}}"#);
    text + &format!("{ending}{ending}data: [DONE]{ending}{ending}")
}

/// Parses an event stream as a caller does, without comments and ids.
fn events(text: &str) -> Vec<serde_json::Value> {
    let text = text.replace("\r\n", "\n");
    let mut events = Vec::new();
    for event in text.split_terminator("\n\n") {
        if event.starts_with(':') {
            continue;
        }
        let data = event.strip_prefix("data: ").expect("an event has data");
        let mut value = match data {
            "[DONE]" => serde_json::Value::from("[DONE]"),
            json => serde_json::from_str(json).expect("an event is complete"),
        };
        if let Some(object) = value.as_object_mut() {
            object.remove("id");
        }
        events.push(value);
    }
    events
}

/// Joins the streams of several broken attempts into one response.
trait StreamJoiner {
    fn new() -> Self;
    fn begin(&mut self, attempt: AttemptNumber);
    fn part(&mut self, attempt: AttemptNumber, offset: u64, data: &[u8]) -> Vec<u8>;
    fn is_complete(&mut self, attempt: AttemptNumber, length: u64) -> bool;
    fn resume_tokens(&self) -> usize;
}

impl StreamJoiner for ResponseAssembler {
    fn new() -> Self {
        ResponseAssembler::new(request(1), ResponseFormat::TokenStream)
    }

    fn begin(&mut self, attempt: AttemptNumber) {
        ResponseAssembler::begin_attempt(self, attempt);
    }

    fn part(&mut self, attempt: AttemptNumber, offset: u64, data: &[u8]) -> Vec<u8> {
        match ResponseAssembler::handle_part(self, &request(1), attempt, offset, data) {
            PartDecision::Forward(bytes) => bytes,
            _ => Vec::new(),
        }
    }

    fn is_complete(&mut self, attempt: AttemptNumber, length: u64) -> bool {
        self.close(&request(1), attempt, length) == CloseDecision::Complete(Vec::new())
    }

    fn resume_tokens(&self) -> usize {
        self.progress().resume_tokens.0 as usize
    }
}

/// Forwards bytes unchecked and counts tokens by occurrences of the `content` field.
#[derive(Default)]
struct NaiveJoiner {
    tokens: usize,
}

impl StreamJoiner for NaiveJoiner {
    fn new() -> Self {
        Self::default()
    }

    fn begin(&mut self, _attempt: AttemptNumber) {}

    fn part(&mut self, _attempt: AttemptNumber, _offset: u64, data: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(data);
        self.tokens += text.matches("\"content\":").count();
        data.to_vec()
    }

    fn is_complete(&mut self, _attempt: AttemptNumber, _length: u64) -> bool {
        true
    }

    fn resume_tokens(&self) -> usize {
        self.tokens
    }
}

/// An attempt that breaks off.
///
/// `at` is the byte of the break, modulo the length of the stream, and `part_len` the
/// length of the parts. Parts may be sent twice, and stale parts of the previous
/// attempt may arrive in between.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    at: u64,
    part_len: usize,
    duplicated: bool,
    stale_parts: bool,
}

fn attempts() -> impl Strategy<Value = Vec<BrokenAttempt>> {
    let one = (any::<u64>(), 1..90usize, any::<bool>(), any::<bool>());
    let one = one.prop_map(|(at, part_len, duplicated, stale_parts)| BrokenAttempt {
        at,
        part_len,
        duplicated,
        stale_parts,
    });
    prop::collection::vec(one, 0..5)
}

fn send<J>(joiner: &mut J, attempt: u64, text: &[u8], how: &BrokenAttempt, caller: &mut Vec<u8>)
where
    J: StreamJoiner,
{
    let mut offset = 0;
    for part in text.chunks(how.part_len) {
        let number = AttemptNumber(attempt);
        if how.stale_parts && attempt > 1 {
            let other = chunk("late", r#"{"delta":{"content":"late "}}"#, "\n");
            let number = AttemptNumber(attempt - 1);
            caller.extend(joiner.part(number, offset, other.as_bytes()));
        }
        caller.extend(joiner.part(number, offset, part));
        if how.duplicated {
            caller.extend(joiner.part(number, offset, part));
        }
        offset += part.len() as u64;
    }
}

fn check_joined_stream<J>(
    tokens: usize,
    attempts: &[BrokenAttempt],
    ending: &str,
) -> Result<(), String>
where
    J: StreamJoiner,
{
    let mut joiner = J::new();
    let mut caller = Vec::new();
    let mut attempt = 0;
    for how in attempts {
        attempt += 1;
        joiner.begin(AttemptNumber(attempt));
        let text = stream(
            tokens,
            joiner.resume_tokens(),
            &format!("id-{attempt}"),
            ending,
        );
        let cut = (how.at % text.len() as u64) as usize;
        send(
            &mut joiner,
            attempt,
            &text.as_bytes()[..cut],
            how,
            &mut caller,
        );
        if joiner.is_complete(AttemptNumber(attempt), cut as u64) {
            return Err(format!(
                "a stream of {cut} of {} bytes is complete",
                text.len()
            ));
        }
    }
    attempt += 1;
    joiner.begin(AttemptNumber(attempt));
    let text = stream(tokens, joiner.resume_tokens(), "id-last", ending);
    let how = BrokenAttempt {
        at: 0,
        part_len: 17,
        duplicated: false,
        stale_parts: false,
    };
    send(&mut joiner, attempt, text.as_bytes(), &how, &mut caller);
    let complete = joiner.is_complete(AttemptNumber(attempt), text.len() as u64);
    let caller = String::from_utf8(caller).map_err(|e| e.to_string())?;
    let reference = stream(tokens, 0, "id", ending);
    match complete && events(&caller) == events(&reference) {
        true => Ok(()),
        false => Err(format!("the caller received another response: {caller}")),
    }
}

fn check_random_breaks<J>() -> Result<(), String>
where
    J: StreamJoiner,
{
    let ending = prop_oneof![Just("\n"), Just("\r\n")];
    let histories = (0..12usize, attempts(), ending);
    check_histories(31, 3_000, histories, |(tokens, attempts, ending)| {
        check_joined_stream::<J>(tokens, &attempts, ending)
    })
}

#[test]
fn complete_responses_equal_the_reference() {
    assert_eq!(check_random_breaks::<ResponseAssembler>(), Ok(()));
}

#[test]
fn naive_joiner_corrupts_the_response() {
    let error = check_random_breaks::<NaiveJoiner>().unwrap_err();
    assert!(
        error.contains("is complete") || error.contains("another response"),
        "{error}"
    );
}

#[test]
fn break_at_any_byte_is_resumed() {
    for ending in ["\n", "\r\n"] {
        let length = stream(4, 0, "id-1", ending).len() as u64;
        for at in 0..length {
            let how = BrokenAttempt {
                at,
                part_len: 1,
                duplicated: false,
                stale_parts: false,
            };
            assert_eq!(
                check_joined_stream::<ResponseAssembler>(4, &[how], ending),
                Ok(()),
                "at byte {at}"
            );
        }
    }
}

#[test]
fn parts_of_other_requests_and_attempts_are_refused() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin_attempt(AttemptNumber(2));
    let code = |verdict| match verdict {
        PartDecision::Crossed(refusal) => refusal.code,
        other => panic!("{other:?}"),
    };
    let other = assembler.handle_part(&request(2), AttemptNumber(2), 0, b"x");
    assert_eq!(code(other), ResultCode::AnswerCrossed);
    let future = assembler.handle_part(&request(1), AttemptNumber(3), 0, b"x");
    assert_eq!(code(future), ResultCode::AnswerCrossed);
    let head = assembler.handle_head(&request(2), AttemptNumber(2), 200);
    assert!(matches!(head, HeadDecision::Crossed(_)));
    let close = assembler.close(&request(2), AttemptNumber(2), 0);
    assert!(matches!(close, CloseDecision::Crossed(_)));
    let late = assembler.handle_part(&request(1), AttemptNumber(1), 0, b"x");
    assert_eq!(late, PartDecision::Stale);
}

#[test]
fn missing_bytes_break_the_attempt() {
    let shape = ResponseFormat::Bytes {
        buffer_limit: RESPONSE_BUFFER_LIMIT,
    };
    let mut assembler = ResponseAssembler::new(request(1), shape);
    assembler.begin_attempt(AttemptNumber(1));
    let first = assembler.handle_part(&request(1), AttemptNumber(1), 0, b"ab");
    assert_eq!(first, PartDecision::Forward(Vec::new()));
    let gap = assembler.handle_part(&request(1), AttemptNumber(1), 3, b"d");
    assert_eq!(gap, PartDecision::Broken);
    let close = assembler.close(&request(1), AttemptNumber(1), 4);
    assert_eq!(close, CloseDecision::Broken);
}

#[test]
fn buffered_response_can_restart_until_bytes_are_forwarded() {
    let shape = ResponseFormat::Bytes {
        buffer_limit: ByteSize(4),
    };
    let mut assembler = ResponseAssembler::new(request(1), shape);
    assembler.begin_attempt(AttemptNumber(1));
    assembler.handle_head(&request(1), AttemptNumber(1), 503);
    assembler.handle_part(&request(1), AttemptNumber(1), 0, b"old");
    assert!(assembler.progress().resumable);
    assembler.begin_attempt(AttemptNumber(2));
    let head = assembler.handle_head(&request(1), AttemptNumber(2), 200);
    assert_eq!(head, HeadDecision::Forward);
    let buffered = assembler.handle_part(&request(1), AttemptNumber(2), 0, b"new");
    assert_eq!(buffered, PartDecision::Forward(Vec::new()));
    let over = assembler.handle_part(&request(1), AttemptNumber(2), 3, b"er");
    assert_eq!(over, PartDecision::Forward(b"newer".to_vec()));
    assert!(!assembler.progress().resumable);
    let close = assembler.close(&request(1), AttemptNumber(2), 5);
    assert_eq!(close, CloseDecision::Complete(Vec::new()));
}

#[test]
fn error_response_to_stream_request_is_forwarded() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin_attempt(AttemptNumber(1));
    assembler.handle_head(&request(1), AttemptNumber(1), 400);
    assembler.handle_part(&request(1), AttemptNumber(1), 0, br#"{"error":1}"#);
    let close = assembler.close(&request(1), AttemptNumber(1), 11);
    assert_eq!(close, CloseDecision::Complete(br#"{"error":1}"#.to_vec()));
}

#[test]
fn error_of_one_attempt_does_not_buffer_the_next_stream() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin_attempt(AttemptNumber(1));
    assembler.handle_head(&request(1), AttemptNumber(1), 503);
    assembler.handle_part(&request(1), AttemptNumber(1), 0, b"busy");
    assembler.begin_attempt(AttemptNumber(2));
    assembler.handle_head(&request(1), AttemptNumber(2), 200);
    let text = stream(1, 0, "id", "\n");
    let all = assembler.handle_part(&request(1), AttemptNumber(2), 0, text.as_bytes());
    assert_eq!(all, PartDecision::Forward(text.into_bytes()));
}

#[test]
fn resumed_attempt_with_other_status_is_rejected() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin_attempt(AttemptNumber(1));
    assembler.handle_head(&request(1), AttemptNumber(1), 200);
    let text = stream(2, 0, "id", "\n");
    assembler.handle_part(&request(1), AttemptNumber(1), 0, text.as_bytes());
    assembler.begin_attempt(AttemptNumber(2));
    let same = assembler.handle_head(&request(1), AttemptNumber(2), 200);
    assert_eq!(same, HeadDecision::Duplicate);
    let other = assembler.handle_head(&request(1), AttemptNumber(2), 500);
    assert_eq!(other, HeadDecision::Mismatch);
}

fn not_run(code: ResultCode) -> AttemptEnd {
    AttemptEnd::NotRun(CallRefusal::retryable(code, TimeSpan::from_secs(1)))
}

struct AttemptCase {
    idempotent: bool,
    ends: &'static [AttemptEnd],
    progress: ResponseProgress,
    last: Option<ResultCode>,
}

const NOTHING_FORWARDED: ResponseProgress = ResponseProgress {
    complete: false,
    forwarded: false,
    resumable: true,
    resume_tokens: TokenCount::ZERO,
};
const TOKENS_FORWARDED: ResponseProgress = ResponseProgress {
    complete: false,
    forwarded: true,
    resumable: true,
    resume_tokens: TokenCount(7),
};
const BYTES_FORWARDED: ResponseProgress = ResponseProgress {
    complete: false,
    forwarded: true,
    resumable: false,
    resume_tokens: TokenCount::ZERO,
};
const BUSY: AttemptEnd = AttemptEnd::NotRun(CallRefusal {
    code: ResultCode::BackendBusy,
    retry_after: Some(TimeSpan(1)),
});
const UNKNOWN_REFUSAL: AttemptEnd = AttemptEnd::NotRun(CallRefusal {
    code: ResultCode::PeerSilent,
    retry_after: None,
});
const QUARANTINED: AttemptEnd = AttemptEnd::NotRun(CallRefusal {
    code: ResultCode::RequestQuarantined,
    retry_after: None,
});

/// `last` is the code of the final refusal; `None` stands for another dispatch.
const CASES: [AttemptCase; 14] = [
    case(false, &[BUSY], NOTHING_FORWARDED, None),
    case(
        false,
        &[BUSY, BUSY, BUSY, BUSY],
        NOTHING_FORWARDED,
        Some(ResultCode::BackendBusy),
    ),
    case(
        false,
        &[AttemptEnd::Unknown],
        NOTHING_FORWARDED,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[AttemptEnd::Silent],
        NOTHING_FORWARDED,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[AttemptEnd::Broken],
        NOTHING_FORWARDED,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[AttemptEnd::Broken],
        BYTES_FORWARDED,
        Some(ResultCode::AnswerBroken),
    ),
    case(
        false,
        &[UNKNOWN_REFUSAL],
        NOTHING_FORWARDED,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[QUARANTINED],
        NOTHING_FORWARDED,
        Some(ResultCode::RequestQuarantined),
    ),
    case(
        true,
        &[AttemptEnd::Unknown, BUSY, AttemptEnd::Silent],
        NOTHING_FORWARDED,
        None,
    ),
    case(
        true,
        &[AttemptEnd::Unknown, BUSY, BUSY, BUSY],
        NOTHING_FORWARDED,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        true,
        &[AttemptEnd::Broken, BUSY, BUSY, BUSY],
        NOTHING_FORWARDED,
        Some(ResultCode::BackendFailed),
    ),
    case(true, &[AttemptEnd::Broken], TOKENS_FORWARDED, None),
    case(
        true,
        &[AttemptEnd::Broken],
        BYTES_FORWARDED,
        Some(ResultCode::AnswerBroken),
    ),
    case(
        true,
        &[AttemptEnd::Silent, QUARANTINED],
        TOKENS_FORWARDED,
        Some(ResultCode::AnswerBroken),
    ),
];

const fn case(
    idempotent: bool,
    ends: &'static [AttemptEnd],
    progress: ResponseProgress,
    last: Option<ResultCode>,
) -> AttemptCase {
    AttemptCase {
        idempotent,
        ends,
        progress,
        last,
    }
}

#[test]
fn attempt_ends_lead_to_expected_steps() {
    for (at, case) in CASES.iter().enumerate() {
        let mut plan = AttemptPlan::new(AttemptOptions::new(case.idempotent));
        let mut step = None;
        for end in case.ends {
            let attempt = plan.dispatch(TimePoint::START).expect("an attempt is left");
            step = plan.end(attempt, *end, case.progress);
            assert_eq!(plan.end(attempt, *end, case.progress), None, "case {at}");
        }
        let expected = match case.last {
            None => NextStep::Dispatch {
                resume_tokens: case.progress.resume_tokens,
            },
            Some(code) => match step {
                Some(NextStep::Refuse(refusal)) if refusal.code == code => {
                    NextStep::Refuse(refusal)
                }
                _ => NextStep::Refuse(CallRefusal::permanent(code)),
            },
        };
        assert_eq!(step, Some(expected), "case {at}");
    }
}

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::Broken),
        Just(AttemptEnd::Unknown),
        Just(AttemptEnd::Silent),
        Just(UNKNOWN_REFUSAL),
        Just(not_run(ResultCode::BackendBusy)),
        Just(not_run(ResultCode::ServiceShutting)),
        Just(BUSY),
        Just(QUARANTINED),
    ]
}

fn may_have_run(end: AttemptEnd) -> bool {
    !matches!(end, AttemptEnd::NotRun(r) if r.code.run_state() == RunState::NotRun)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn refusals_are_accurate_and_non_idempotent_requests_run_once(
        idempotent: bool,
        ends in prop::collection::vec(any_end(), 1..8),
    ) {
        let mut plan = AttemptPlan::new(AttemptOptions::new(idempotent));
        let mut ran = 0;
        for end in ends {
            let Some(attempt) = plan.dispatch(TimePoint::START) else {
                break;
            };
            prop_assert_eq!(plan.dispatch(TimePoint::START), None);
            ran += u64::from(may_have_run(end));
            prop_assert!(idempotent || ran <= 1);
            let step = plan.end(attempt, end, NOTHING_FORWARDED);
            if let Some(NextStep::Refuse(refusal)) = step {
                let claims_not_run = refusal.code.run_state() == RunState::NotRun;
                prop_assert!(!claims_not_run || ran == 0);
                break;
            }
        }
    }
}

#[test]
fn progress_timeout_ends_attempt_and_its_late_end_is_ignored() {
    let options = AttemptOptions::new(true);
    let mut plan = AttemptPlan::new(options);
    let attempt = plan.dispatch(TimePoint::START).unwrap();
    let at = TimePoint::START + TimeSpan::from_secs(9);
    plan.record_progress(at, attempt);
    let due = at + options.progress_timeout;
    assert_eq!(plan.progress_deadline(), Some(due));
    assert_eq!(plan.tick(due - TimeSpan(1), TOKENS_FORWARDED), None);
    let resume_tokens = TokenCount(7);
    let step = plan.tick(due, TOKENS_FORWARDED);
    assert_eq!(step, Some(NextStep::Dispatch { resume_tokens }));
    let second = plan.dispatch(due).unwrap();
    assert_eq!(plan.end(attempt, AttemptEnd::Whole, TOKENS_FORWARDED), None);
    let step = plan.end(second, AttemptEnd::Whole, TOKENS_FORWARDED);
    assert_eq!(step, Some(NextStep::Finish));
}

#[test]
fn stream_that_breaks_after_last_event_is_complete() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    let mut plan = AttemptPlan::new(AttemptOptions::new(true));
    let attempt = plan.dispatch(TimePoint::START).unwrap();
    assembler.begin_attempt(attempt);
    let text = stream(3, 0, "id", "\n");
    assembler.handle_part(&request(1), attempt, 0, text.as_bytes());
    let step = plan.end(attempt, AttemptEnd::Broken, assembler.progress());
    assert_eq!(step, Some(NextStep::Finish));
}
