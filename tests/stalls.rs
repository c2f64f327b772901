//! Streams that make no progress, and sound ones that must not be taken for them.

use std::time::Duration;

use pomelogate::http::{EventProgress, StallDetector};
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

/// A stream whose end nothing else marks has been broken off if it ends inside an event.
#[test]
fn the_end_of_an_event_is_told_whatever_the_line_ends_and_chunks() {
    for line_end in ["\n", "\r\n", "\r"] {
        let whole = "id: 4\ndata: word\n\n: more\n".replace('\n', line_end);
        let cut = [&whole[..1], &whole[..10], whole.split_once("word").expect("a word").0];
        for size in 1..whole.len() {
            let is_inside_event = |text: &str| {
                let mut progress = EventProgress::default();
                for chunk in text.as_bytes().chunks(size) {
                    progress.push(chunk);
                }
                progress.is_inside_event()
            };
            assert!(!is_inside_event(&whole), "{line_end:?} in chunks of {size}");
            for text in cut {
                assert!(is_inside_event(text), "{text:?} in chunks of {size}");
            }
            let without_blank_line = format!("id: 4{line_end}data: word{line_end}");
            assert!(is_inside_event(&without_blank_line), "{line_end:?} in chunks of {size}");
        }
    }
    assert!(!EventProgress::default().is_inside_event(), "an empty stream");
}
