//! The frame protocol between broker and nodes, as stand-in nodes read and write it. A frame has four bytes of length,
//! one byte for its type, and its content.

use std::io::{self, Read};

/// Type of a frame with the answer to a part.
pub const ANSWER: u8 = b'E';
/// Type of a frame with a part of a query, sent by a broker.
pub const PART: u8 = b'A';
/// Type of a frame that reports a protocol error.
pub const PROTOCOL_ERROR: u8 = b'F';
/// Type of a frame with a prefilter probe, sent by a broker.
pub const PROBE: u8 = b'P';
/// Type of a frame with the answer to a prefilter probe.
pub const PROBE_ANSWER: u8 = b'Q';

/// Encodes a frame of this type; `text` is its content.
pub fn encode(frame_type: u8, text: &str) -> Vec<u8> {
    let mut frame = (text.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(frame_type);
    frame.extend_from_slice(text.as_bytes());
    frame
}

/// A received frame.
pub struct Frame {
    /// Type of the frame, such as [`PART`].
    pub frame_type: u8,
    /// Content of the frame, without the byte of its type.
    pub content: Vec<u8>,
}

impl Frame {
    /// Returns the content as text, with invalid UTF-8 replaced.
    pub fn text_lossy(&self) -> String {
        String::from_utf8_lossy(&self.content).into_owned()
    }
}

/// Reads the next frame from a stream.
///
/// # Errors
/// Returns the error of the stream; `UnexpectedEof` if the stream ends, even between two frames.
pub fn read(stream: &mut impl Read) -> io::Result<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut content = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut content)?;
    let frame_type = content.remove(0);
    Ok(Frame { frame_type, content })
}
