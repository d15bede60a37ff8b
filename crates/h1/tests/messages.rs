//! Message framing: valid messages, their ends, and protection against request smuggling.

use applefold_h1::{
    encode_chunk, parse_request, parse_response, BodyDecoder, BodyFraming, LAST_CHUNK,
};
use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_HEAD_BYTES: usize = 4_096;

#[test]
fn requests_with_ambiguous_framing_are_rejected() {
    let table = [
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length: ",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Content-Length: 99999999999999999999999",
    ];
    for fields in table {
        let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n\r\n");
        assert!(
            parse_request(text.as_bytes(), MAX_HEAD_BYTES).is_err(),
            "{fields}"
        );
    }
}

#[test]
fn request_framing_follows_the_header_fields() {
    let table = [
        ("", BodyFraming::Length(0)),
        ("Content-Length: 12\r\n", BodyFraming::Length(12)),
        ("Transfer-Encoding: Chunked\r\n", BodyFraming::Chunked),
    ];
    for (fields, framing) in table {
        let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
        let (head, used) = parse_request(text.as_bytes(), MAX_HEAD_BYTES)
            .unwrap()
            .unwrap();
        assert_eq!(head.framing, framing);
        assert_eq!(used, text.len());
        assert!(head.keep_alive);
    }
}

#[test]
fn heads_over_the_limit_are_rejected_before_they_are_complete() {
    let text = format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD_BYTES));
    assert!(parse_request(text.as_bytes(), MAX_HEAD_BYTES).is_err());
    assert!(parse_request(b"GET /a HT", MAX_HEAD_BYTES)
        .unwrap()
        .is_none());
}

#[test]
fn response_framing_and_keep_alive_follow_the_header_fields() {
    let table = [
        (
            "200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=3, max=9",
            BodyFraming::Length(5),
            true,
            Some(3),
        ),
        (
            "200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close",
            BodyFraming::Chunked,
            false,
            None,
        ),
        ("200 OK", BodyFraming::UntilClose, false, None),
        ("204 None", BodyFraming::Length(0), true, None),
    ];
    for (text, framing, keep_alive, idle_timeout_secs) in table {
        let text = format!("HTTP/1.1 {text}\r\n\r\n");
        let (head, _) = parse_response(text.as_bytes(), MAX_HEAD_BYTES)
            .unwrap()
            .unwrap();
        assert_eq!(head.framing, framing, "{text}");
        assert_eq!(head.keep_alive, keep_alive, "{text}");
        assert_eq!(head.idle_timeout_secs, idle_timeout_secs, "{text}");
    }
}

/// Any three digits pass the parser. A caller would get them as the status of its response, and those
/// below 200 would count as interim responses.
#[test]
fn a_status_that_does_not_exist_is_malformed() {
    for status in ["000", "001", "099", "600", "999"] {
        let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(text.as_bytes(), MAX_HEAD_BYTES);
        assert!(parsed.is_err(), "{status}: {parsed:?}");
    }
    for status in [100, 199, 200, 599] {
        let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(text.as_bytes(), MAX_HEAD_BYTES);
        let (head, _) = parsed.unwrap().unwrap();
        assert_eq!(head.status, status);
    }
}

/// A cut head taken for a whole one would make a shorter body look complete.
#[test]
fn a_head_is_complete_only_at_its_empty_line() {
    let framings = [
        "Content-Length: 800\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n",
        "",
    ];
    for framing in framings {
        let text = format!("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n{framing}\r\n");
        for text in [text.clone(), text.replace("\r\n", "\n")] {
            for end in 0..text.len() {
                let parsed = parse_response(&text.as_bytes()[..end], MAX_HEAD_BYTES);
                assert!(matches!(parsed, Ok(None)), "{:?}: {parsed:?}", &text[..end]);
            }
            let parsed = parse_response(text.as_bytes(), MAX_HEAD_BYTES);
            let (_, used) = parsed.unwrap().unwrap();
            assert_eq!(used, text.len());
        }
    }
}

#[test]
fn bytes_after_a_body_stay_in_the_input() {
    let mut input = BytesMut::from(&b"hello HTTP/1.1 200 OK"[..]);
    let mut output = Vec::new();
    let mut decoder = BodyDecoder::new(BodyFraming::Length(5));
    assert!(decoder.decode(&mut input, &mut output).unwrap());
    assert_eq!(output, b"hello");
    assert_eq!(&input[..], b" HTTP/1.1 200 OK");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn chunked_decoding_does_not_depend_on_piece_size(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        step in 1_usize..17,
    ) {
        let mut bytes = Vec::new();
        for part in &parts {
            encode_chunk(part, &mut bytes);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let mut input = BytesMut::new();
        let mut output = Vec::new();
        let mut done = false;
        for piece in bytes.chunks(step) {
            prop_assert!(!done);
            input.extend_from_slice(piece);
            done = decoder.decode(&mut input, &mut output).unwrap();
        }
        prop_assert!(done);
        prop_assert_eq!(output, parts.concat());
    }

    #[test]
    fn arbitrary_bytes_never_cause_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = parse_request(&bytes, MAX_HEAD_BYTES);
        let _ = parse_response(&bytes, MAX_HEAD_BYTES);
        let mut input = BytesMut::from(&bytes[..]);
        let mut output = Vec::new();
        let _ = BodyDecoder::new(BodyFraming::Chunked).decode(&mut input, &mut output);
        prop_assert!(output.len() <= bytes.len());
    }
}
