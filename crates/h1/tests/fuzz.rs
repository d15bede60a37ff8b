//! Messages that are nearly right, in any pieces. A longer run by hand:
//! `PROPTEST_CASES=200000 cargo test -p applefold-h1 --test fuzz`.

use applefold_h1::{parse_response, BodyDecoder, BodyFraming, ParseError};
use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMIT: usize = 4_096;
/// What a decoder may leave unread between two pieces: one line, and the piece.
const MAX_KEPT: usize = 2_048;

fn token() -> impl Strategy<Value = Vec<u8>> {
    let words = prop::sample::select(vec![
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
        8 => words.prop_map(|word| word.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..60),
        1 => (1..1_200_usize).prop_map(|count| vec![b'x'; count]),
    ]
}

/// Decodes the pieces; returns the body, and whether it is whole.
fn decode(
    framing: BodyFraming,
    bytes: &[u8],
    step: usize,
) -> Result<(Vec<u8>, bool, usize), ParseError> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut input, mut output, mut kept) = (BytesMut::new(), Vec::new(), 0);
    for piece in bytes.chunks(step) {
        input.extend_from_slice(piece);
        if decoder.decode(&mut input, &mut output)? {
            return Ok((output, true, kept));
        }
        kept = kept.max(input.len());
    }
    Ok((output, decoder.is_done(), kept))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_body_is_the_same_in_any_pieces_and_little_is_kept_of_it(
        tokens in prop::collection::vec(token(), 0..40),
        step in 1_usize..900,
        other in 1_usize..900,
    ) {
        let bytes = tokens.concat();
        for framing in [BodyFraming::Chunked, BodyFraming::Length(7), BodyFraming::UntilClose] {
            let one = decode(framing, &bytes, step);
            let two = decode(framing, &bytes, other);
            match (one, two) {
                (Ok((one, one_done, kept)), Ok((two, two_done, _))) => {
                    prop_assert_eq!(one, two);
                    prop_assert_eq!(one_done, two_done);
                    prop_assert!(kept <= MAX_KEPT, "{kept} bytes kept");
                }
                (Err(_), Err(_)) => {}
                (one, two) => prop_assert!(false, "{one:?} and {two:?}"),
            }
        }
    }

    #[test]
    fn a_head_is_the_same_in_any_pieces_and_bounded(
        tokens in prop::collection::vec(token(), 0..40),
        step in 1_usize..900,
    ) {
        let bytes = tokens.concat();
        let whole = parse_response(&bytes, LIMIT).map(|found| found.map(|(head, used)| (head.status, used)));
        let mut pieced = Ok(None);
        for end in (step..bytes.len() + step).step_by(step) {
            let seen = &bytes[..end.min(bytes.len())];
            pieced = parse_response(seen, LIMIT).map(|found| found.map(|(head, used)| (head.status, used)));
            if !matches!(pieced, Ok(None)) {
                break;
            }
            prop_assert!(seen.len() < LIMIT, "{} bytes without an end", seen.len());
        }
        match (whole, pieced) {
            (Ok(whole), Ok(pieced)) => prop_assert_eq!(whole, pieced),
            (Err(_), Err(_)) => {}
            (whole, pieced) => prop_assert!(false, "{whole:?} and {pieced:?}"),
        }
    }

    /// A line that is over the limit is refused also when it comes in one piece with its end.
    #[test]
    fn a_long_line_is_refused_in_any_pieces(length in 1_025_usize..1_500, step in 1_usize..2_000) {
        let line = "x".repeat(length);
        for text in [format!("0\r\n{line}\r\n\r\n"), format!("5;{line}\r\nhello\r\n0\r\n\r\n")] {
            prop_assert!(decode(BodyFraming::Chunked, text.as_bytes(), step).is_err());
        }
    }

    #[test]
    fn lines_after_the_last_chunk_come_to_an_end(length in 0..900_usize) {
        let line = format!("X-T: {}\r\n", "y".repeat(length));
        let bytes = format!("0\r\n{}", line.repeat(200));
        prop_assert_eq!(decode(BodyFraming::Chunked, bytes.as_bytes(), 700), Err(ParseError::TooLarge));
    }
}

/// A missing size was read as the last chunk, after which another message could stand.
#[test]
fn a_chunk_without_a_size_is_refused() {
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
