//! Peers that read late keep their bytes, and peers that are gone do not.

use applefold_core::direct::{DeliveryReport, DeliveryStep, DeliveryWatch};
use applefold_core::unit::{TimePoint, TimeSpan};

const ACK_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_000);
const CHECK_PERIOD: TimeSpan = TimeSpan::from_millis(500);
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(15);
const SECOND_MS: u64 = 1_000;

fn at_ms(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// A peer as the system sees it.
struct Peer {
    /// When it reads everything, if it does.
    reads_at_ms: Option<u64>,
    /// When it is gone without a word, if it is.
    gone_at_ms: Option<u64>,
    /// Whether it reads one more byte each second.
    reads_on: bool,
}

/// Plays bytes that wait from `TimePoint::START` on for a peer; returns when the system ends the connection, or
/// `None` if everything is delivered before.
fn play(peer: &Peer, extends: bool) -> Option<u64> {
    let mut watch = DeliveryWatch::new(ACK_TIMEOUT, CHECK_PERIOD, MAX_WAIT);
    let mut timeout = ACK_TIMEOUT;
    let mut waiting_from = 0;
    // The first check comes at any time within a period.
    for ms in (1..60 * SECOND_MS).map(|tick| tick * 10) {
        if peer.reads_on && ms % SECOND_MS == 0 {
            waiting_from = ms;
        }
        if at_ms(ms).since(at_ms(waiting_from)) >= timeout {
            return Some(ms);
        }
        let delivered = peer.reads_at_ms.is_some_and(|at| ms >= at);
        if ms % CHECK_PERIOD.as_millis() != 490 {
            continue;
        }
        let report = DeliveryReport {
            is_pending: !delivered,
            is_answered: peer.gone_at_ms.is_none_or(|at| ms < at),
            acknowledged: 2_048 + waiting_from,
        };
        match watch.observe(report, at_ms(ms)) {
            DeliveryStep::Delivered => return None,
            DeliveryStep::Extend(extended) if extends => timeout = extended,
            DeliveryStep::Extend(_) | DeliveryStep::Keep => {}
        }
    }
    panic!("neither delivered nor ended");
}

/// LOST: an answer is dropped after two seconds in which its caller has not read.
#[test]
fn a_peer_that_reads_late_gets_its_bytes() {
    for reads_at_ms in [1_900, 2_420, 5_000, 14_000] {
        let peer = Peer {
            reads_at_ms: Some(reads_at_ms),
            gone_at_ms: None,
            reads_on: false,
        };
        assert_eq!(play(&peer, true), None, "reads after {reads_at_ms} ms");
        let naive = play(&peer, false);
        assert_eq!(naive.is_some(), reads_at_ms > 2_000, "without extension");
    }
}

/// The other side: bytes for a peer that is gone, or that never reads, are held without end.
#[test]
fn a_peer_that_is_gone_or_never_reads_is_given_up() {
    let ack_ms = ACK_TIMEOUT.as_millis();
    let gone_from_the_start = Peer {
        reads_at_ms: None,
        gone_at_ms: Some(0),
        reads_on: false,
    };
    assert_eq!(play(&gone_from_the_start, true), Some(ack_ms));
    for gone_at_ms in [600, 3_000, 9_000] {
        let peer = Peer {
            reads_at_ms: None,
            gone_at_ms: Some(gone_at_ms),
            reads_on: false,
        };
        let ended = play(&peer, true).expect("it is gone");
        let limit = gone_at_ms + ack_ms + 2 * CHECK_PERIOD.as_millis();
        assert!(
            ended <= limit,
            "gone at {gone_at_ms} ms, ended at {ended} ms"
        );
    }
    let silent = Peer {
        reads_at_ms: None,
        gone_at_ms: None,
        reads_on: false,
    };
    let ended = play(&silent, true).expect("it never reads");
    let limit = (MAX_WAIT + ACK_TIMEOUT + CHECK_PERIOD).as_millis() + SECOND_MS;
    assert!(ended <= limit, "ended at {ended} ms");
}

/// A peer that reads a little each second, for longer than bytes may wait without progress.
#[test]
fn a_peer_that_reads_on_slowly_is_not_given_up() {
    let peer = Peer {
        reads_at_ms: Some(40_000),
        gone_at_ms: None,
        reads_on: true,
    };
    assert_eq!(play(&peer, true), None);
}
