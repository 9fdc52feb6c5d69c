//! The codec of the frame protocol between broker and nodes. A frame has four bytes of length, one letter for its
//! type, and the content; the order of the fields in the content is defined only here.

use std::fmt::{self, Write};

use dunepond_prefilter::{CanMatch, SegmentAnswer, SegmentIndex, Version};

use crate::buffers::BUFFER_BYTES;

/// A frame from a node.
#[derive(Debug, PartialEq)]
pub enum NodeFrame<'a> {
    /// Frame `E`: an attempt has ended.
    AttemptEnded {
        /// Id of the attempt, as the broker sent it.
        id: &'a str,
        /// How the attempt ended.
        outcome: ReplicaOutcome,
        /// What the attempt found, as text.
        value: &'a str,
        /// The node's report on the search; see [`parse_search_report`].
        report: &'a str,
    },
    /// Frame `Q`: the response to a prefilter request.
    PrefilterAnswers {
        /// Number of the prefilter request.
        request: u64,
        /// For each segment, whether it can match, and the version of the segment that the answer is about.
        answers: Vec<SegmentAnswer>,
    },
    /// Frame `F`: the node could not use a frame of the broker, for this reason.
    Rejected(&'a str),
}

/// The outcome of an attempt, as a node states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaOutcome {
    /// The segment was searched, and the frame holds what was found.
    Served,
    /// The attempt failed while it ran.
    Failed,
    /// The node rejected the attempt before it ran.
    Overloaded,
}

/// The line before an attempt's payload in a frame of attempts.
pub struct AttemptLine<'a> {
    /// Id of the attempt.
    pub id: &'a str,
    /// Index of the segment to be searched.
    pub segment: usize,
    /// The time that is left for the attempt, in milliseconds.
    pub time_limit_ms: u64,
    /// The length of the attempt's payload in bytes.
    pub length: u64,
}

impl fmt::Display for AttemptLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{} {} d={} {}", self.id, self.segment, self.time_limit_ms, self.length)
    }
}

/// Encodes a frame of attempts (`A`): for each attempt a line and its payload.
pub fn encode_attempts<'a>(attempts: impl Iterator<Item = (AttemptLine<'a>, &'a str)>) -> Vec<u8> {
    let mut content = String::new();
    for (line, payload) in attempts {
        let _ = write!(content, "{line}");
        content.push_str(payload);
    }
    encode_frame(b'A', content.as_bytes())
}

/// Returns the first five bytes of a frame of attempts: its length and its type. The caller queues the attempts'
/// lines and payloads, `length` bytes in all, after them.
pub fn attempts_head(length: u64) -> [u8; 5] {
    let [a, b, c, d] = (length as u32 + 1).to_be_bytes();
    [a, b, c, d, b'A']
}

/// Encodes a prefilter request (`P`), which asks which of the segments can match the query `text`.
pub fn encode_prefilter_request(id: u64, text: &str, segments: &[SegmentIndex]) -> Vec<u8> {
    let segments: Vec<_> = segments.iter().map(SegmentIndex::to_string).collect();
    encode_frame(b'P', format!("{id} {} {}\n{text}", text.len(), segments.join(",")).as_bytes())
}

/// A node's report on a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchReport {
    /// The version of the segment that was searched.
    pub version: Version,
    /// Whether the search found anything.
    pub found: bool,
}

/// Parses the report on a search; `None` if it lacks the version or the number of hits.
pub fn parse_search_report(report: &str) -> Option<SearchReport> {
    let value = |key: &str| report.split(',').find_map(|entry| entry.strip_prefix(key)?.parse::<u64>().ok());
    Some(SearchReport { version: value("v=")?, found: value("n=")? > 0 })
}

/// Parses the lines of a prefilter response, each of the form `SEGMENT WORD VERSION`; `None` if one is malformed.
fn parse_prefilter_answers(lines: &str) -> Option<Vec<SegmentAnswer>> {
    let parse_line = |line: &str| {
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
    lines.lines().map(parse_line).collect()
}

/// Encodes the cancellation of an attempt (`B`).
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_frame(b'B', id.as_bytes())
}

/// Encodes a frame of the type `letter`.
pub fn encode_frame(letter: u8, content: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(5 + content.len());
    frame.extend_from_slice(&(content.len() as u32 + 1).to_be_bytes());
    frame.push(letter);
    frame.extend_from_slice(content);
    frame
}

/// Why a frame from a node is malformed. The connection must be closed, as it is unknown where the next frame begins.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame is empty, or longer than a buffer.
    #[error("frame length is 0 or longer than a buffer")]
    Length,
    /// The frame's content is not text.
    #[error("frame is not UTF-8")]
    NotUtf8,
    /// The frame's letter is unknown.
    #[error("unknown frame type")]
    UnknownType,
    /// An `E` frame without a line break.
    #[error("E frame without a first line")]
    EndWithoutLine,
    /// An `E` frame with an empty id.
    #[error("E frame without an attempt id")]
    EndWithoutId,
    /// An `E` frame with an unknown word for the outcome.
    #[error("E frame with an unknown outcome")]
    UnknownOutcome,
    /// An `E` frame (the end of an attempt) whose score is missing or not a number. The score is only checked, not used.
    #[error("E frame without a score")]
    EndWithoutScore,
    /// An `E` frame without a report.
    #[error("E frame without a report")]
    EndWithoutReport,
    /// A `Q` frame without a line break.
    #[error("Q frame without a first line")]
    AnswerWithoutLine,
    /// A `Q` frame whose request number is missing or not a number.
    #[error("Q frame without a request number")]
    AnswerWithoutNumber,
    /// A `Q` frame in which the line of a segment is malformed.
    #[error("Q frame with a malformed line")]
    MalformedAnswer,
}

/// Decodes the first frame in `bytes` and returns it with its length; `None` if the frame has not arrived completely.
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

/// Decodes the content of an `E` frame.
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
    // The report may have any content, but must be present.
    let report = fields.next().ok_or(FrameError::EndWithoutReport)?;
    Ok(NodeFrame::AttemptEnded { id, outcome, value, report })
}

/// Decodes the content of a `Q` frame.
fn decode_prefilter_answers(text: &str) -> Result<NodeFrame<'_>, FrameError> {
    let (id, lines) = text.split_once('\n').ok_or(FrameError::AnswerWithoutLine)?;
    let request = id.parse().map_err(|_| FrameError::AnswerWithoutNumber)?;
    let answers = parse_prefilter_answers(lines).ok_or(FrameError::MalformedAnswer)?;
    Ok(NodeFrame::PrefilterAnswers { request, answers })
}

#[cfg(test)]
mod tests;
