//! The codec of the nodes' frame protocol: four bytes of length, one letter, the rest. The order of its fields appears only here.

use std::fmt::{self, Write};

use dunepond_prefilter::{CanMatch, SegmentAnswer, SegmentIndex, Version};

use crate::buffers::BUFFER_BYTES;

/// A frame from a node.
#[derive(Debug, PartialEq)]
pub enum NodeFrame<'a> {
    /// An attempt has ended (`E`).
    AttemptEnded {
        /// The attempt's id, as it was sent.
        id: &'a str,
        /// How it ended.
        outcome: ReplicaOutcome,
        /// What it found.
        value: &'a str,
        /// The node's report on it; see [`parse_search_report`].
        report: &'a str,
    },
    /// The answer to a prefilter request (`Q`).
    PrefilterAnswers {
        /// The number of the request.
        request: u64,
        /// Whether each segment can match, and the version that says so.
        answers: Vec<SegmentAnswer>,
    },
    /// The node could not use a frame of ours (`F`), and why.
    Rejected(&'a str),
}

/// How a node says that an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaOutcome {
    /// Searched, with a value.
    Served,
    /// Failed while it ran.
    Failed,
    /// Rejected before it ran.
    Overloaded,
}

/// The line before one attempt's payload.
pub struct AttemptLine<'a> {
    /// The attempt's id.
    pub id: &'a str,
    /// The segment to be searched.
    pub segment: usize,
    /// The time that is left for it.
    pub time_limit_ms: u64,
    /// The length of its payload in bytes.
    pub length: u64,
}

impl fmt::Display for AttemptLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{} {} d={} {}", self.id, self.segment, self.time_limit_ms, self.length)
    }
}

/// One frame of attempts: for each a line and its payload.
pub fn encode_attempts<'a>(attempts: impl Iterator<Item = (AttemptLine<'a>, &'a str)>) -> Vec<u8> {
    let mut rest = String::new();
    for (line, payload) in attempts {
        let _ = write!(rest, "{line}");
        rest.push_str(payload);
    }
    encode_frame(b'A', rest.as_bytes())
}

/// The start of a frame of attempts whose lines and payloads, `length` bytes, are queued one by one.
pub fn attempts_head(length: u64) -> [u8; 5] {
    let [a, b, c, d] = (length as u32 + 1).to_be_bytes();
    [a, b, c, d, b'A']
}

/// A prefilter request: which of these segments can match a query.
pub fn encode_prefilter_request(id: u64, text: &str, segments: &[SegmentIndex]) -> Vec<u8> {
    let segments: Vec<_> = segments.iter().map(SegmentIndex::to_string).collect();
    encode_frame(b'P', format!("{id} {} {}\n{text}", text.len(), segments.join(",")).as_bytes())
}

/// What a node reports of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchReport {
    /// The version that was searched.
    pub version: Version,
    /// Whether anything was found.
    pub found: bool,
}

/// The report of an attempt, if it has both the version and the number of hits.
pub fn parse_search_report(report: &str) -> Option<SearchReport> {
    let value = |key: &str| report.split(',').find_map(|entry| entry.strip_prefix(key)?.parse::<u64>().ok());
    Some(SearchReport { version: value("v=")?, found: value("n=")? > 0 })
}

/// The lines of a prefilter answer, `SEGMENT WORD VERSION` each.
fn parse_prefilter_answers(lines: &str) -> Option<Vec<SegmentAnswer>> {
    let line = |line: &str| {
        let mut fields = line.splitn(3, ' ');
        let segment = fields.next()?.parse().ok()?;
        let answer = match fields.next()? {
            "may" => CanMatch::MayMatch,
            "no" => CanMatch::CannotMatch,
            "unknown" => CanMatch::Unknown,
            _ => return None,
        };
        let version = fields.next()?.parse().ok()?;
        Some(SegmentAnswer { segment, answer, version })
    };
    lines.lines().map(line).collect()
}

/// Cancels an attempt.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_frame(b'B', id.as_bytes())
}

/// A frame of any type.
pub fn encode_frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(5 + rest.len());
    frame.extend_from_slice(&(rest.len() as u32 + 1).to_be_bytes());
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// Why a frame of a node is malformed. The connection must be closed: where the next frame begins is unknown.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// It is empty, or longer than a buffer.
    #[error("a length out of bounds")]
    Length,
    /// Its content is not text.
    #[error("not UTF-8")]
    NotUtf8,
    /// Its letter is unknown.
    #[error("an unknown frame type")]
    UnknownType,
    /// An `E` frame without a line break.
    #[error("an E frame without a head line")]
    EndWithoutLine,
    /// An `E` frame with an empty id.
    #[error("an E frame without an id")]
    EndWithoutId,
    /// An `E` frame with an unknown word for the outcome.
    #[error("an E frame with an unknown outcome")]
    UnknownOutcome,
    /// An `E` frame whose score is missing or no number.
    #[error("an E frame without a score")]
    EndWithoutScore,
    /// An `E` frame that lacks the report.
    #[error("an E frame without a report")]
    EndWithoutReport,
    /// A `Q` frame without a line break.
    #[error("a Q frame without a head line")]
    AnswerWithoutLine,
    /// A `Q` frame whose request number is missing or no number.
    #[error("a Q frame without a number")]
    AnswerWithoutNumber,
    /// A `Q` frame with a malformed line.
    #[error("a Q frame with an unreadable line")]
    MalformedAnswer,
}

/// The first frame in `bytes` and its length; `None` until all of it has arrived.
pub fn decode_frame(bytes: &[u8]) -> Result<Option<(NodeFrame<'_>, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > BUFFER_BYTES - 4 {
        return Err(FrameError::Length);
    }
    let Some(content) = rest.get(..length) else { return Ok(None) };
    let text = std::str::from_utf8(&content[1..]).map_err(|_| FrameError::NotUtf8)?;
    let decoded = match content[0] {
        b'E' => decode_attempt_ended(text)?,
        b'Q' => decode_prefilter_answers(text)?,
        b'F' => NodeFrame::Rejected(text),
        _ => return Err(FrameError::UnknownType),
    };
    Ok(Some((decoded, 4 + length)))
}

fn decode_attempt_ended(text: &str) -> Result<NodeFrame<'_>, FrameError> {
    let (line, value) = text.split_once('\n').ok_or(FrameError::EndWithoutLine)?;
    let mut fields = line.splitn(4, ' ');
    let id = fields.next().filter(|id| !id.is_empty()).ok_or(FrameError::EndWithoutId)?;
    let outcome = match fields.next() {
        Some("hit") => ReplicaOutcome::Served,
        Some("fault") => ReplicaOutcome::Failed,
        Some("overload") => ReplicaOutcome::Overloaded,
        _ => return Err(FrameError::UnknownOutcome),
    };
    let score = fields.next().and_then(|score| score.parse::<f64>().ok());
    score.ok_or(FrameError::EndWithoutScore)?;
    // The report may say anything, but must be present.
    let report = fields.next().ok_or(FrameError::EndWithoutReport)?;
    Ok(NodeFrame::AttemptEnded { id, outcome, value, report })
}

fn decode_prefilter_answers(text: &str) -> Result<NodeFrame<'_>, FrameError> {
    let (id, lines) = text.split_once('\n').ok_or(FrameError::AnswerWithoutLine)?;
    let request = id.parse().map_err(|_| FrameError::AnswerWithoutNumber)?;
    let answers = parse_prefilter_answers(lines).ok_or(FrameError::MalformedAnswer)?;
    Ok(NodeFrame::PrefilterAnswers { request, answers })
}

#[cfg(test)]
mod tests;
