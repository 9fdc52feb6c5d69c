//! The codec of the nodes' frame protocol: four bytes of length, one letter, the rest. Its field order appears here only.

use std::fmt::Write;

use dunepond_prefilter::{CanMatch as Match, SegmentIndex, Version};

use crate::buffers::BUFFER_BYTES;

/// What a frame of a node says.
#[derive(Debug, PartialEq)]
pub enum NodeFrame<'a> {
    AttemptEnded {
        id: &'a str,
        word: ReplicaOutcome,
        value: &'a str,
        report: &'a str,
    },
    /// What a node says of shards that it was asked about.
    PrefilterAnswers {
        question: u64,
        words: Vec<(SegmentIndex, Match, Version)>,
    },
    Rejected(&'a str),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaOutcome {
    Served,
    Failed,
    Overloaded,
}

/// Puts one call together: a line and the text for each of its parts.
pub fn call<'a>(parts: impl Iterator<Item = (&'a str, usize, u64, &'a str)>) -> Vec<u8> {
    let mut rest = String::new();
    for (id, seg, wait_ms, text) in parts {
        let _ = writeln!(rest, "{id} {seg} d={wait_ms} {}", text.len());
        rest.push_str(text);
    }
    frame(b'A', rest.as_bytes())
}

/// The line before one part's text.
pub fn line(id: &str, seg: usize, wait_ms: u64, length: u64) -> String {
    format!("{id} {seg} d={wait_ms} {length}\n")
}

/// What a call begins with whose lines and texts, so many bytes, are put one by one.
pub fn attempts_head(length: u64) -> [u8; 5] {
    let [a, b, c, d] = (length as u32 + 1).to_be_bytes();
    [a, b, c, d, b'A']
}

/// A question of phase one: which of these shards can match a text.
pub fn question(id: u64, text: &str, segs: &[SegmentIndex]) -> Vec<u8> {
    let segs: Vec<_> = segs.iter().map(SegmentIndex::to_string).collect();
    frame(b'P', format!("{id} {} {}\n{text}", text.len(), segs.join(",")).as_bytes())
}

/// What a report says of a search: the version that was searched, and whether anything was found.
pub fn searched(report: &str) -> Option<(Version, bool)> {
    let of = |key: &str| report.split(',').find_map(|entry| entry.strip_prefix(key)?.parse::<u64>().ok());
    Some((of("v=")?, of("n=")? > 0))
}

/// The lines of an answer to a question, `SHARD WORD VERSION` each.
fn words(lines: &str) -> Option<Vec<(SegmentIndex, Match, Version)>> {
    let line = |line: &str| {
        let mut words = line.splitn(3, ' ');
        let seg = words.next()?.parse().ok()?;
        let word = match words.next()? {
            "may" => Match::MayMatch,
            "no" => Match::CannotMatch,
            "unknown" => Match::Unknown,
            _ => return None,
        };
        Some((seg, word, words.next()?.parse().ok()?))
    };
    lines.lines().map(line).collect()
}

pub fn give_up(id: &str) -> Vec<u8> {
    frame(b'B', id.as_bytes())
}

pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(5 + rest.len());
    frame.extend_from_slice(&(rest.len() as u32 + 1).to_be_bytes());
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// The first frame in `bytes` and how long it is; `None` until all of it has come.
pub fn read(bytes: &[u8]) -> Result<Option<(NodeFrame<'_>, usize)>, &'static str> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > BUFFER_BYTES - 4 {
        return Err("a length out of bounds");
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let text = std::str::from_utf8(&frame[1..]).map_err(|_| "not UTF-8")?;
    let said = match frame[0] {
        b'E' => {
            let (line, value) = text.split_once('\n').ok_or("an E frame without a head line")?;
            let mut words = line.splitn(4, ' ');
            let id = words.next().filter(|id| !id.is_empty()).ok_or("an E frame without an id")?;
            let word = match words.next() {
                Some("hit") => ReplicaOutcome::Served,
                Some("fault") => ReplicaOutcome::Failed,
                Some("overload") => ReplicaOutcome::Overloaded,
                _ => return Err("an E frame with an unknown outcome"),
            };
            words.next().and_then(|score| score.parse::<f64>().ok()).ok_or("an E frame without a score")?;
            // Whatever the report says, the value is good; but its place must be there.
            let report = words.next().ok_or("an E frame without a report")?;
            NodeFrame::AttemptEnded { id, word, value, report }
        }
        b'Q' => {
            let (id, lines) = text.split_once('\n').ok_or("a Q frame without a head line")?;
            let question = id.parse().map_err(|_| "a Q frame without a number")?;
            NodeFrame::PrefilterAnswers {
                question,
                words: words(lines).ok_or("a Q frame with an unreadable line")?,
            }
        }
        b'F' => NodeFrame::Rejected(text),
        _ => return Err("an unknown frame type"),
    };
    Ok(Some((said, 4 + length)))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[test]
    fn a_frame_is_read_once_its_last_byte_is_in() {
        let bytes = [frame(b'E', b"c1.3 hit 7 -\nva\nlue"), frame(b'F', b"no")].concat();
        let first = bytes.len() - 7;
        (0..first).for_each(|count| assert_eq!(read(&bytes[..count]), Ok(None)));
        let said = NodeFrame::AttemptEnded {
            id: "c1.3",
            word: ReplicaOutcome::Served,
            value: "va\nlue",
            report: "-",
        };
        assert_eq!(read(&bytes), Ok(Some((said, first))));
        assert_eq!(read(&bytes[first..]), Ok(Some((NodeFrame::Rejected("no"), 7))));
    }

    #[rstest]
    #[case::no_letter(&[0, 0, 0, 0])]
    #[case::longer_than_any(&[0, 1, 0, 0])]
    #[case::unknown_letter(&frame(b'Z', b""))]
    #[case::no_line(&frame(b'E', b"c1.3 hit 7 -"))]
    #[case::no_id(&frame(b'E', b" hit 7 -\n"))]
    #[case::unknown_end(&frame(b'E', b"c1.3 perhaps 7 -\n"))]
    #[case::no_score(&frame(b'E', b"c1.3 hit  -\nvalue"))]
    #[case::no_report(&frame(b'E', b"c1.3 hit 7\nvalue"))]
    #[case::no_number(&frame(b'Q', b"x\n1 no 3"))]
    #[case::no_such_word(&frame(b'Q', b"7\n1 perhaps 3"))]
    #[case::no_version(&frame(b'Q', b"7\n1 no"))]
    #[case::not_text(&frame(b'E', b"c1.3 hit 7 -\n\xff"))]
    fn a_frame_that_cannot_be_read_says_why(#[case] bytes: &[u8]) {
        assert!(read(bytes).is_err());
    }

    #[test]
    fn a_mangled_frame_is_read_or_refused_and_no_more() {
        let whole = frame(b'E', b"c1.3 hit 7 -\nvalue");
        for at in 0..whole.len() {
            for byte in [0, b' ', b'\n', b'E', 0x7f, 0xff] {
                let mut mangled = whole.clone();
                mangled[at] = byte;
                if let Ok(Some((_, used))) = read(&mangled) {
                    assert!(used <= whole.len());
                }
            }
        }
    }

    #[test]
    fn a_question_and_its_answer_and_what_a_report_tells() {
        assert_eq!(question(7, "q 1", &[3, 9])[4..], *b"P7 3 3,9\nq 1");
        let bytes = frame(b'Q', b"7\n3 no 12\n9 may 4\n1 unknown 0");
        let words = vec![(3, Match::CannotMatch, 12), (9, Match::MayMatch, 4), (1, Match::Unknown, 0)];
        assert_eq!(read(&bytes), Ok(Some((NodeFrame::PrefilterAnswers { question: 7, words }, bytes.len()))));
        assert_eq!((searched("v=12,n=0"), searched("n=3,v=1")), (Some((12, false)), Some((1, true))));
        assert_eq!((searched("-"), searched("v=1"), searched("v=x,n=1")), (None, None, None));
    }

    #[test]
    fn a_call_holds_a_line_and_the_text_for_each_part() {
        let parts = [("c1.3", 3, 240, "q\u{e4}"), ("c1.4", 4, 240, "")];
        let text = "Ac1.3 3 d=240 3\nq\u{e4}c1.4 4 d=240 0\n";
        assert_eq!(call(parts.into_iter())[4..], *text.as_bytes());
        // Put one by one it is the same frame.
        let (id, seg, wait, body) = parts[0];
        let line = line(id, seg, wait, body.len() as u64);
        let head = attempts_head((line.len() + body.len()) as u64);
        assert_eq!([&head[..], line.as_bytes(), body.as_bytes()].concat(), call(parts.into_iter().take(1)));
    }
}
