//! Frames between broker and node: four bytes of length, one letter, the rest.

use std::fmt::Write;

use crate::buffers::SIZE;

/// What a frame of a node says.
#[derive(Debug, PartialEq)]
pub enum Said<'a> {
    Ended { id: &'a str, word: Word, value: &'a str },
    Complaint(&'a str),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    Hit,
    Fault,
    Overload,
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
pub fn read(bytes: &[u8]) -> Result<Option<(Said<'_>, usize)>, &'static str> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > SIZE - 4 {
        return Err("a length out of bounds");
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let text = std::str::from_utf8(&frame[1..]).map_err(|_| "not UTF-8")?;
    let said = match frame[0] {
        b'E' => {
            let (line, value) = text.split_once('\n').ok_or("no line in an E")?;
            let mut words = line.split(' ');
            let id = words.next().filter(|id| !id.is_empty()).ok_or("an E without an id")?;
            let word = match words.next() {
                Some("hit") => Word::Hit,
                Some("fault") => Word::Fault,
                Some("overload") => Word::Overload,
                _ => return Err("an E with an unknown end"),
            };
            Said::Ended { id, word, value }
        }
        b'F' => Said::Complaint(text),
        _ => return Err("an unknown letter"),
    };
    Ok(Some((said, 4 + length)))
}
