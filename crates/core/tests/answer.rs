//! Whole answers over streams that break at any byte, and the plan of attempts.

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

/// The stream of an engine that skips the first `skip` tokens.
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

/// What a caller makes of an event stream: the events without comments and ids.
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
            json => serde_json::from_str(json).expect("an event is whole"),
        };
        if let Some(object) = value.as_object_mut() {
            object.remove("id");
        }
        events.push(value);
    }
    events
}

/// Puts the answer of one request together from attempts that break off.
trait Joiner {
    fn new() -> Self;
    fn begin(&mut self, attempt: AttemptNumber);
    fn part(&mut self, attempt: AttemptNumber, offset: u64, data: &[u8]) -> Vec<u8>;
    fn is_whole(&mut self, attempt: AttemptNumber, length: u64) -> bool;
    fn resume_tokens(&self) -> usize;
}

impl Joiner for ResponseAssembler {
    fn new() -> Self {
        ResponseAssembler::new(request(1), ResponseFormat::TokenStream)
    }

    fn begin(&mut self, attempt: AttemptNumber) {
        ResponseAssembler::begin(self, attempt);
    }

    fn part(&mut self, attempt: AttemptNumber, offset: u64, data: &[u8]) -> Vec<u8> {
        match ResponseAssembler::part(self, &request(1), attempt, offset, data) {
            PartDecision::Forward(bytes) => bytes,
            _ => Vec::new(),
        }
    }

    fn is_whole(&mut self, attempt: AttemptNumber, length: u64) -> bool {
        self.close(&request(1), attempt, length) == CloseDecision::Complete(Vec::new())
    }

    fn resume_tokens(&self) -> usize {
        self.progress().resume_tokens.0 as usize
    }
}

/// Forwards bytes as they come, counts events by their ends, and checks nothing.
#[derive(Default)]
struct NaiveJoiner {
    tokens: usize,
}

impl Joiner for NaiveJoiner {
    fn new() -> Self {
        Self::default()
    }

    fn begin(&mut self, _attempt: AttemptNumber) {}

    fn part(&mut self, _attempt: AttemptNumber, _offset: u64, data: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(data);
        self.tokens += text.matches("\"content\":").count();
        data.to_vec()
    }

    fn is_whole(&mut self, _attempt: AttemptNumber, _length: u64) -> bool {
        true
    }

    fn resume_tokens(&self) -> usize {
        self.tokens
    }
}

/// One attempt: where it breaks, how it is cut into parts, what is repeated.
#[derive(Clone, Debug)]
struct Break {
    at: u64,
    piece: usize,
    doubled: bool,
    late: bool,
}

fn breaks() -> impl Strategy<Value = Vec<Break>> {
    let one = (any::<u64>(), 1..90usize, any::<bool>(), any::<bool>());
    let one = one.prop_map(|(at, piece, doubled, late)| Break {
        at,
        piece,
        doubled,
        late,
    });
    prop::collection::vec(one, 0..5)
}

fn send<J>(joiner: &mut J, attempt: u64, text: &[u8], how: &Break, caller: &mut Vec<u8>)
where
    J: Joiner,
{
    let mut offset = 0;
    for piece in text.chunks(how.piece) {
        let number = AttemptNumber(attempt);
        if how.late && attempt > 1 {
            let other = chunk("late", r#"{"delta":{"content":"late "}}"#, "\n");
            let number = AttemptNumber(attempt - 1);
            caller.extend(joiner.part(number, offset, other.as_bytes()));
        }
        caller.extend(joiner.part(number, offset, piece));
        if how.doubled {
            caller.extend(joiner.part(number, offset, piece));
        }
        offset += piece.len() as u64;
    }
}

fn joins<J>(tokens: usize, breaks: &[Break], ending: &str) -> Result<(), String>
where
    J: Joiner,
{
    let mut joiner = J::new();
    let mut caller = Vec::new();
    let mut attempt = 0;
    for how in breaks {
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
        if joiner.is_whole(AttemptNumber(attempt), cut as u64) {
            return Err(format!(
                "a stream of {cut} of {} bytes is whole",
                text.len()
            ));
        }
    }
    attempt += 1;
    joiner.begin(AttemptNumber(attempt));
    let text = stream(tokens, joiner.resume_tokens(), "id-last", ending);
    let how = Break {
        at: 0,
        piece: 17,
        doubled: false,
        late: false,
    };
    send(&mut joiner, attempt, text.as_bytes(), &how, &mut caller);
    let whole = joiner.is_whole(AttemptNumber(attempt), text.len() as u64);
    let caller = String::from_utf8(caller).map_err(|e| e.to_string())?;
    let reference = stream(tokens, 0, "id", ending);
    match whole && events(&caller) == events(&reference) {
        true => Ok(()),
        false => Err(format!("the caller has another answer: {caller}")),
    }
}

fn joins_all<J>() -> Result<(), String>
where
    J: Joiner,
{
    let ending = prop_oneof![Just("\n"), Just("\r\n")];
    let histories = (0..12usize, breaks(), ending);
    check_histories(31, 3_000, histories, |(tokens, breaks, ending)| {
        joins::<J>(tokens, &breaks, ending)
    })
}

#[test]
fn every_whole_answer_equals_the_reference() {
    assert_eq!(joins_all::<ResponseAssembler>(), Ok(()));
}

#[test]
fn the_naive_joiner_gives_another_answer() {
    let error = joins_all::<NaiveJoiner>().unwrap_err();
    assert!(
        error.contains("is whole") || error.contains("another answer"),
        "{error}"
    );
}

#[test]
fn a_break_at_each_byte_is_resumed() {
    for ending in ["\n", "\r\n"] {
        let length = stream(4, 0, "id-1", ending).len() as u64;
        for at in 0..length {
            let how = Break {
                at,
                piece: 1,
                doubled: false,
                late: false,
            };
            assert_eq!(
                joins::<ResponseAssembler>(4, &[how], ending),
                Ok(()),
                "at byte {at}"
            );
        }
    }
}

#[test]
fn crossed_parts_are_refused() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin(AttemptNumber(2));
    let code = |verdict| match verdict {
        PartDecision::Crossed(refusal) => refusal.code,
        other => panic!("{other:?}"),
    };
    let other = assembler.part(&request(2), AttemptNumber(2), 0, b"x");
    assert_eq!(code(other), ResultCode::AnswerCrossed);
    let future = assembler.part(&request(1), AttemptNumber(3), 0, b"x");
    assert_eq!(code(future), ResultCode::AnswerCrossed);
    let head = assembler.head(&request(2), AttemptNumber(2), 200);
    assert!(matches!(head, HeadDecision::Crossed(_)));
    let close = assembler.close(&request(2), AttemptNumber(2), 0);
    assert!(matches!(close, CloseDecision::Crossed(_)));
    let late = assembler.part(&request(1), AttemptNumber(1), 0, b"x");
    assert_eq!(late, PartDecision::Stale);
}

#[test]
fn a_gap_breaks_the_attempt() {
    let shape = ResponseFormat::Bytes {
        buffer_limit: RESPONSE_BUFFER_LIMIT,
    };
    let mut assembler = ResponseAssembler::new(request(1), shape);
    assembler.begin(AttemptNumber(1));
    let first = assembler.part(&request(1), AttemptNumber(1), 0, b"ab");
    assert_eq!(first, PartDecision::Forward(Vec::new()));
    let gap = assembler.part(&request(1), AttemptNumber(1), 3, b"d");
    assert_eq!(gap, PartDecision::Broken);
    let close = assembler.close(&request(1), AttemptNumber(1), 4);
    assert_eq!(close, CloseDecision::Broken);
}

#[test]
fn a_held_answer_is_started_afresh_until_bytes_have_gone_out() {
    let shape = ResponseFormat::Bytes {
        buffer_limit: ByteSize(4),
    };
    let mut assembler = ResponseAssembler::new(request(1), shape);
    assembler.begin(AttemptNumber(1));
    assembler.head(&request(1), AttemptNumber(1), 503);
    assembler.part(&request(1), AttemptNumber(1), 0, b"old");
    assert!(assembler.progress().resumable);
    assembler.begin(AttemptNumber(2));
    let head = assembler.head(&request(1), AttemptNumber(2), 200);
    assert_eq!(head, HeadDecision::Forward);
    let held = assembler.part(&request(1), AttemptNumber(2), 0, b"new");
    assert_eq!(held, PartDecision::Forward(Vec::new()));
    let over = assembler.part(&request(1), AttemptNumber(2), 3, b"er");
    assert_eq!(over, PartDecision::Forward(b"newer".to_vec()));
    assert!(!assembler.progress().resumable);
    let close = assembler.close(&request(1), AttemptNumber(2), 5);
    assert_eq!(close, CloseDecision::Complete(Vec::new()));
}

#[test]
fn an_error_instead_of_a_stream_is_passed_on() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin(AttemptNumber(1));
    assembler.head(&request(1), AttemptNumber(1), 400);
    assembler.part(&request(1), AttemptNumber(1), 0, br#"{"error":1}"#);
    let close = assembler.close(&request(1), AttemptNumber(1), 11);
    assert_eq!(close, CloseDecision::Complete(br#"{"error":1}"#.to_vec()));
}

#[test]
fn an_error_of_one_attempt_does_not_hold_back_the_stream_of_the_next() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin(AttemptNumber(1));
    assembler.head(&request(1), AttemptNumber(1), 503);
    assembler.part(&request(1), AttemptNumber(1), 0, b"busy");
    assembler.begin(AttemptNumber(2));
    assembler.head(&request(1), AttemptNumber(2), 200);
    let text = stream(1, 0, "id", "\n");
    let all = assembler.part(&request(1), AttemptNumber(2), 0, text.as_bytes());
    assert_eq!(all, PartDecision::Forward(text.into_bytes()));
}

#[test]
fn a_resumed_attempt_with_another_status_is_of_no_use() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    assembler.begin(AttemptNumber(1));
    assembler.head(&request(1), AttemptNumber(1), 200);
    let text = stream(2, 0, "id", "\n");
    assembler.part(&request(1), AttemptNumber(1), 0, text.as_bytes());
    assembler.begin(AttemptNumber(2));
    let same = assembler.head(&request(1), AttemptNumber(2), 200);
    assert_eq!(same, HeadDecision::Duplicate);
    let other = assembler.head(&request(1), AttemptNumber(2), 500);
    assert_eq!(other, HeadDecision::Mismatch);
}

fn not_run(code: ResultCode) -> AttemptEnd {
    AttemptEnd::NotRun(CallRefusal::retryable(code, TimeSpan::from_secs(1)))
}

struct PlanCase {
    repeatable: bool,
    ends: &'static [AttemptEnd],
    progress: ResponseProgress,
    last: Option<ResultCode>,
}

const NOTHING: ResponseProgress = ResponseProgress {
    complete: false,
    forwarded: false,
    resumable: true,
    resume_tokens: TokenCount::ZERO,
};
const TOKENS: ResponseProgress = ResponseProgress {
    complete: false,
    forwarded: true,
    resumable: true,
    resume_tokens: TokenCount(7),
};
const BYTES: ResponseProgress = ResponseProgress {
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
const CRASHER: AttemptEnd = AttemptEnd::NotRun(CallRefusal {
    code: ResultCode::RequestQuarantined,
    retry_after: None,
});

/// The last code is that of the refusal; `None` stands for another dispatch.
const PLANS: [PlanCase; 14] = [
    case(false, &[BUSY], NOTHING, None),
    case(
        false,
        &[BUSY, BUSY, BUSY, BUSY],
        NOTHING,
        Some(ResultCode::BackendBusy),
    ),
    case(
        false,
        &[AttemptEnd::Unknown],
        NOTHING,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[AttemptEnd::Silent],
        NOTHING,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[AttemptEnd::Broken],
        NOTHING,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[AttemptEnd::Broken],
        BYTES,
        Some(ResultCode::AnswerBroken),
    ),
    case(
        false,
        &[UNKNOWN_REFUSAL],
        NOTHING,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        false,
        &[CRASHER],
        NOTHING,
        Some(ResultCode::RequestQuarantined),
    ),
    case(
        true,
        &[AttemptEnd::Unknown, BUSY, AttemptEnd::Silent],
        NOTHING,
        None,
    ),
    case(
        true,
        &[AttemptEnd::Unknown, BUSY, BUSY, BUSY],
        NOTHING,
        Some(ResultCode::OutcomeUnknown),
    ),
    case(
        true,
        &[AttemptEnd::Broken, BUSY, BUSY, BUSY],
        NOTHING,
        Some(ResultCode::BackendFailed),
    ),
    case(true, &[AttemptEnd::Broken], TOKENS, None),
    case(
        true,
        &[AttemptEnd::Broken],
        BYTES,
        Some(ResultCode::AnswerBroken),
    ),
    case(
        true,
        &[AttemptEnd::Silent, CRASHER],
        TOKENS,
        Some(ResultCode::AnswerBroken),
    ),
];

const fn case(
    repeatable: bool,
    ends: &'static [AttemptEnd],
    progress: ResponseProgress,
    last: Option<ResultCode>,
) -> PlanCase {
    PlanCase {
        repeatable,
        ends,
        progress,
        last,
    }
}

#[test]
fn each_end_leads_to_the_right_step() {
    for (at, case) in PLANS.iter().enumerate() {
        let mut plan = AttemptPlan::new(AttemptOptions::new(case.repeatable));
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
        Just(CRASHER),
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
    fn refusals_are_true_and_nothing_runs_twice(
        repeatable: bool,
        ends in prop::collection::vec(any_end(), 1..8),
    ) {
        let mut plan = AttemptPlan::new(AttemptOptions::new(repeatable));
        let mut ran = 0;
        for end in ends {
            let Some(attempt) = plan.dispatch(TimePoint::START) else {
                break;
            };
            prop_assert_eq!(plan.dispatch(TimePoint::START), None);
            ran += u64::from(may_have_run(end));
            prop_assert!(repeatable || ran <= 1);
            let step = plan.end(attempt, end, NOTHING);
            if let Some(NextStep::Refuse(refusal)) = step {
                let claims_not_run = refusal.code.run_state() == RunState::NotRun;
                prop_assert!(!claims_not_run || ran == 0);
                break;
            }
        }
    }
}

#[test]
fn silence_ends_an_attempt_and_its_late_end_is_dropped() {
    let options = AttemptOptions::new(true);
    let mut plan = AttemptPlan::new(options);
    let attempt = plan.dispatch(TimePoint::START).unwrap();
    let at = TimePoint::START + TimeSpan::from_secs(9);
    plan.record_progress(at, attempt);
    let due = at + options.progress_timeout;
    assert_eq!(plan.progress_deadline(), Some(due));
    assert_eq!(plan.tick(due - TimeSpan(1), TOKENS), None);
    let resume_tokens = TokenCount(7);
    let step = plan.tick(due, TOKENS);
    assert_eq!(step, Some(NextStep::Dispatch { resume_tokens }));
    let second = plan.dispatch(due).unwrap();
    assert_eq!(plan.end(attempt, AttemptEnd::Whole, TOKENS), None);
    let step = plan.end(second, AttemptEnd::Whole, TOKENS);
    assert_eq!(step, Some(NextStep::Finish));
}

#[test]
fn a_stream_that_breaks_after_its_last_event_is_whole() {
    let mut assembler = ResponseAssembler::new(request(1), ResponseFormat::TokenStream);
    let mut plan = AttemptPlan::new(AttemptOptions::new(true));
    let attempt = plan.dispatch(TimePoint::START).unwrap();
    assembler.begin(attempt);
    let text = stream(3, 0, "id", "\n");
    assembler.part(&request(1), attempt, 0, text.as_bytes());
    let step = plan.end(attempt, AttemptEnd::Broken, assembler.progress());
    assert_eq!(step, Some(NextStep::Finish));
}
