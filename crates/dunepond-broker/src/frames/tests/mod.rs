use rstest::rstest;

use super::*;

#[test]
fn frame_is_decoded_when_complete() {
    let bytes = [encode_frame(b'E', b"c1.3 hit 7 -\nva\nlue"), encode_frame(b'F', b"no")].concat();
    let first = bytes.len() - 7;
    (0..first).for_each(|count| assert_eq!(decode_frame(&bytes[..count]), Ok(None)));
    let ended = NodeFrame::AttemptEnded {
        id: "c1.3",
        outcome: ReplicaOutcome::Served,
        value: "va\nlue",
        report: "-",
    };
    assert_eq!(decode_frame(&bytes), Ok(Some((ended, first))));
    assert_eq!(decode_frame(&bytes[first..]), Ok(Some((NodeFrame::Rejected("no"), 7))));
}

#[rstest]
#[case::no_letter(&[0, 0, 0, 0])]
#[case::longer_than_a_buffer(&[0, 1, 0, 0])]
#[case::unknown_letter(&encode_frame(b'Z', b""))]
#[case::no_first_line(&encode_frame(b'E', b"c1.3 hit 7 -"))]
#[case::no_id(&encode_frame(b'E', b" hit 7 -\n"))]
#[case::unknown_outcome(&encode_frame(b'E', b"c1.3 perhaps 7 -\n"))]
#[case::no_score(&encode_frame(b'E', b"c1.3 hit  -\nvalue"))]
#[case::no_report(&encode_frame(b'E', b"c1.3 hit 7\nvalue"))]
#[case::no_request_number(&encode_frame(b'Q', b"x\n1 no 3"))]
#[case::unknown_answer(&encode_frame(b'Q', b"7\n1 perhaps 3"))]
#[case::no_version(&encode_frame(b'Q', b"7\n1 no"))]
#[case::not_utf8(&encode_frame(b'E', b"c1.3 hit 7 -\n\xff"))]
fn malformed_frame_is_rejected(#[case] bytes: &[u8]) {
    assert!(decode_frame(bytes).is_err());
}

#[test]
fn corrupted_frame_is_decoded_or_rejected() {
    let whole = encode_frame(b'E', b"c1.3 hit 7 -\nvalue");
    for at in 0..whole.len() {
        for byte in [0, b' ', b'\n', b'E', 0x7f, 0xff] {
            let mut corrupted = whole.clone();
            corrupted[at] = byte;
            if let Ok(Some((_, used))) = decode_frame(&corrupted) {
                assert!(used <= whole.len());
            }
        }
    }
}

#[test]
fn prefilter_frames_and_search_reports_are_coded() {
    assert_eq!(encode_prefilter_request(7, "q 1", &[3, 9])[4..], *b"P7 3 3,9\nq 1");
    let bytes = encode_frame(b'Q', b"7\n3 no 12\n9 may 4\n1 unknown 0");
    let answers = vec![
        SegmentAnswer { segment: 3, answer: CanMatch::CannotMatch, version: 12 },
        SegmentAnswer { segment: 9, answer: CanMatch::MayMatch, version: 4 },
        SegmentAnswer { segment: 1, answer: CanMatch::Unknown, version: 0 },
    ];
    assert_eq!(
        decode_frame(&bytes),
        Ok(Some((NodeFrame::PrefilterAnswers { request: 7, answers }, bytes.len())))
    );
    assert_eq!(
        (parse_search_report("v=12,n=0"), parse_search_report("n=3,v=1")),
        (Some(SearchReport { version: 12, found: false }), Some(SearchReport { version: 1, found: true }),)
    );
    assert_eq!(
        (parse_search_report("-"), parse_search_report("v=1"), parse_search_report("v=x,n=1")),
        (None, None, None)
    );
}

#[test]
fn attempts_frame_has_a_line_and_payload_each() {
    let attempt = |id, segment, payload: &'static str| {
        (AttemptLine { id, segment, time_limit_ms: 240, length: payload.len() as u64 }, payload)
    };
    let attempts = || [attempt("c1.3", 3, "q\u{e4}"), attempt("c1.4", 4, "")].into_iter();
    let text = "Ac1.3 3 d=240 3\nq\u{e4}c1.4 4 d=240 0\n";
    assert_eq!(encode_attempts(attempts())[4..], *text.as_bytes());
    // A frame whose head, lines and payloads are queued one by one has the same bytes.
    let (line, body) = attempt("c1.3", 3, "q\u{e4}");
    let line = line.to_string();
    let head = attempts_head((line.len() + body.len()) as u64);
    assert_eq!([&head[..], line.as_bytes(), body.as_bytes()].concat(), encode_attempts(attempts().take(1)));
}
