//! The frames between broker and nodes, as stand-in nodes read and write them: a length, a letter, then text.

use std::io::{self, Read};

/// The frame of a part's answer.
pub const ANSWER: u8 = b'E';
/// The frame of a part that a broker sends.
pub const PART: u8 = b'A';
/// The frame that reports a protocol error.
pub const PROTOCOL_ERROR: u8 = b'F';
/// The frames of a prefilter probe and its answer.
pub const PROBE: u8 = b'P';
/// See [`PROBE`].
pub const PROBE_ANSWER: u8 = b'Q';

/// One frame as it goes over the wire.
pub fn encode(letter: u8, text: &str) -> Vec<u8> {
    let mut frame = (text.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(text.as_bytes());
    frame
}

/// A frame that was read whole.
pub struct Frame {
    /// The frame's kind.
    pub letter: u8,
    /// What follows the letter.
    pub content: Vec<u8>,
}

impl Frame {
    /// The content as text; bytes that are not UTF-8 are replaced.
    pub fn text_lossy(&self) -> String {
        String::from_utf8_lossy(&self.content).into_owned()
    }
}

/// Reads the next frame.
///
/// # Errors
/// That of the stream; `UnexpectedEof` where it ends, also between two frames.
pub fn read(stream: &mut impl Read) -> io::Result<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut content = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut content)?;
    let letter = content.remove(0);
    Ok(Frame { letter, content })
}
