//! Streams that make no progress, and sound ones that must not be taken for them.

use std::time::Duration;

use pomelogate::http::StallDetector;
use proptest::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

/// Whether a stream that brings `bytes` each second has stalled after `seconds`.
fn stalls(bytes: &[u8], seconds: u32) -> bool {
    let mut detector = StallDetector::new(TIMEOUT);
    (0..seconds).any(|_| {
        detector.record_wait(SECOND.min(detector.time_left()));
        detector.push(bytes);
        detector.has_stalled()
    })
}

/// What stuck targets were seen to send, so that a limit on silence never ends their streams.
#[test]
fn bytes_without_progress_do_not_keep_a_stream() {
    let bytes: [&[u8]; 7] = [
        b": alive\n",
        b": alive\n\n",
        b"\n\n",
        b"data:\n\n",
        b"d",
        b"data: more",
        b"event: ping\n\n",
    ];
    for bytes in bytes {
        assert!(stalls(bytes, 5), "{:?}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn a_slow_sound_stream_goes_on() {
    for event in [b"id: 4\ndata: word\n\n".as_slice(), b"data: word\r\n\r\n", b"id: 4\n\n"] {
        assert!(!stalls(event, 60), "{:?}", String::from_utf8_lossy(event));
    }
    let mut detector = StallDetector::new(TIMEOUT);
    for part in [b"id: 4\nda".as_slice(), b"ta: wo", b"rd\n", b"\n"].repeat(10) {
        detector.record_wait(SECOND);
        detector.push(part);
        assert!(!detector.has_stalled());
    }
}

/// The process is stopped for 20 s in the middle of an event. The target has sent all along, and
/// its next bytes may arrive a little after the process goes on.
#[test]
fn a_pause_of_this_process_is_no_stall_of_the_target() {
    let mut detector = StallDetector::new(TIMEOUT);
    detector.push(b"id: 4\nda");
    detector.record_wait(Duration::from_secs(20));
    assert!(!detector.has_stalled());
    detector.record_wait(TIMEOUT);
    assert!(detector.has_stalled(), "it is silent while this process runs");
}

proptest! {
    /// Events are found wherever the bytes are split.
    #[test]
    fn progress_does_not_depend_on_how_the_bytes_are_split(
        bytes in proptest::collection::vec(prop::sample::select(b"id: 4\r\ndata: x\n\n:".to_vec()), 0..60),
        split in 0_usize..60,
    ) {
        let mut whole = pomelogate::http::EventProgress::default();
        let mut parts = whole.clone();
        let (first, second) = bytes.split_at(split.min(bytes.len()));
        let in_parts = [parts.push(first), parts.push(second)];
        prop_assert_eq!(whole.push(&bytes), in_parts.contains(&true));
    }
}
