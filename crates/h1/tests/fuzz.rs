//! Parses almost valid messages that arrive in pieces of any size. For a longer run:
//! `PROPTEST_CASES=200000 cargo test -p applefold-h1 --test fuzz`.

use applefold_h1::{parse_response, BodyDecoder, BodyFraming, ParseError};
use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_HEAD_BYTES: usize = 4_096;
/// The most bytes that a decoder may leave in its input between two pieces: one line and a piece.
const MAX_BUFFERED: usize = 2_048;

fn token() -> impl Strategy<Value = Vec<u8>> {
    let tokens = prop::sample::select(vec![
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 503 Busy\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n",
        "Retry-After: 1\r\n",
        "\r\n",
        "\n",
        "0\r\n",
        "5\r\nhello\r\n",
        "5;a=b\r\nhello\r\n",
        "ffffffffffffffff\r\n",
        "fffffffffffffffff\r\n",
        "-1\r\n",
        "X-T: y\r\n",
        "data: 1\n\n",
    ]);
    prop_oneof![
        8 => tokens.prop_map(|token| token.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..60),
        1 => (1..1_200_usize).prop_map(|count| vec![b'x'; count]),
    ]
}

/// Decodes `bytes` in pieces of `step` bytes. Returns the body, whether it is complete, and the
/// most bytes that were left in the input after a piece.
fn decode(
    framing: BodyFraming,
    bytes: &[u8],
    step: usize,
) -> Result<(Vec<u8>, bool, usize), ParseError> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut input, mut output, mut buffered) = (BytesMut::new(), Vec::new(), 0);
    for piece in bytes.chunks(step) {
        input.extend_from_slice(piece);
        if decoder.decode(&mut input, &mut output)? {
            return Ok((output, true, buffered));
        }
        buffered = buffered.max(input.len());
    }
    Ok((output, decoder.is_done(), buffered))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn body_decoding_does_not_depend_on_piece_size_and_buffers_little(
        tokens in prop::collection::vec(token(), 0..40),
        step in 1_usize..900,
        other_step in 1_usize..900,
    ) {
        let bytes = tokens.concat();
        for framing in [BodyFraming::Chunked, BodyFraming::Length(7), BodyFraming::UntilClose] {
            let first = decode(framing, &bytes, step);
            let second = decode(framing, &bytes, other_step);
            match (first, second) {
                (Ok((first, first_done, buffered)), Ok((second, second_done, _))) => {
                    prop_assert_eq!(first, second);
                    prop_assert_eq!(first_done, second_done);
                    prop_assert!(buffered <= MAX_BUFFERED, "{buffered} bytes buffered");
                }
                (Err(_), Err(_)) => {}
                (first, second) => prop_assert!(false, "{first:?} and {second:?}"),
            }
        }
    }

    #[test]
    fn head_parsing_does_not_depend_on_piece_size_and_is_bounded(
        tokens in prop::collection::vec(token(), 0..40),
        step in 1_usize..900,
    ) {
        let bytes = tokens.concat();
        let complete = parse_response(&bytes, MAX_HEAD_BYTES)
            .map(|parsed| parsed.map(|(head, used)| (head.status, used)));
        let mut incremental = Ok(None);
        for end in (step..bytes.len() + step).step_by(step) {
            let received = &bytes[..end.min(bytes.len())];
            incremental = parse_response(received, MAX_HEAD_BYTES)
                .map(|parsed| parsed.map(|(head, used)| (head.status, used)));
            if !matches!(incremental, Ok(None)) {
                break;
            }
            prop_assert!(
                received.len() < MAX_HEAD_BYTES,
                "{} bytes without an end",
                received.len()
            );
        }
        match (complete, incremental) {
            (Ok(complete), Ok(incremental)) => prop_assert_eq!(complete, incremental),
            (Err(_), Err(_)) => {}
            (complete, incremental) => prop_assert!(false, "{complete:?} and {incremental:?}"),
        }
    }

    /// A line over the limit is rejected even when it arrives in one piece with its line break.
    #[test]
    fn overlong_lines_are_rejected_for_any_piece_size(
        length in 1_025_usize..1_500,
        step in 1_usize..2_000,
    ) {
        let line = "x".repeat(length);
        for text in [format!("0\r\n{line}\r\n\r\n"), format!("5;{line}\r\nhello\r\n0\r\n\r\n")] {
            prop_assert!(decode(BodyFraming::Chunked, text.as_bytes(), step).is_err());
        }
    }

    #[test]
    fn number_of_trailer_lines_is_limited(length in 0..900_usize) {
        let line = format!("X-T: {}\r\n", "y".repeat(length));
        let bytes = format!("0\r\n{}", line.repeat(200));
        prop_assert_eq!(decode(BodyFraming::Chunked, bytes.as_bytes(), 700), Err(ParseError::TooLarge));
    }
}

/// `httparse` parses a missing chunk size as zero, that is, as the last chunk. A hidden message
/// could follow it.
#[test]
fn chunks_without_a_size_are_rejected() {
    for text in [
        "\r\n\r\n",
        ";a=b\r\n\r\n",
        " 0\r\n\r\n",
        "5\r\nhello\r\n\r\n\r\n",
    ] {
        let decoded = decode(BodyFraming::Chunked, text.as_bytes(), 100);
        assert!(decoded.is_err(), "{text:?}: {decoded:?}");
    }
}
