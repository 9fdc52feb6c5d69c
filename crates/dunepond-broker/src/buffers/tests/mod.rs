use std::io::Write;

use super::*;
use crate::body::{Body, BodyReader};

/// A stream that accepts at most 999 bytes per write, and blocks once it has accepted `capacity` bytes in total.
struct LimitedStream {
    written: Vec<u8>,
    capacity: usize,
}

impl Write for LimitedStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(999).min(self.capacity - self.written.len());
        if count == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.written.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn write_queue_keeps_order_under_partial_writes() {
    let pool = Pool::default();
    let bytes: Vec<u8> = (0..3 * BUFFER_BYTES).map(|i| (i % 251) as u8).collect();
    let mut out = WriteQueue::new(&pool);
    bytes.chunks(10_000).for_each(|chunk| out.queue_bytes(chunk));
    let mut stream = LimitedStream { written: Vec::new(), capacity: BUFFER_BYTES };
    out.flush(&mut stream).unwrap();
    assert_eq!((out.written_offset(), out.pending_bytes()), (BUFFER_BYTES as u64, 2 * BUFFER_BYTES));
    stream.capacity = bytes.len();
    out.flush(&mut stream).unwrap();
    assert!(out.is_empty() && stream.written == bytes);
    assert_eq!((pool.in_use_bytes(), pool.state.borrow().free[2].len()), (0, 3));
}

#[test]
fn shared_chunks_are_written_without_copies() {
    let pool = Pool::default();
    let text: Rc<str> = "text".into();
    let body = Body::new(1, Some(6), None, &Default::default());
    body.append(b"bo");
    let mut out = WriteQueue::new(&pool);
    out.queue_bytes(b"<");
    out.queue_text(&text);
    out.queue_body(BodyReader::new(&body));
    out.queue_bytes(b">");
    assert_eq!((out.end_offset(), out.take_copied_bytes()), (12, 2));
    let mut stream = LimitedStream { written: Vec::new(), capacity: BUFFER_BYTES };
    out.flush(&mut stream).unwrap();
    assert!(out.is_awaiting_body() && stream.written == b"<text");
    body.append(b"dies");
    body.finish();
    out.flush(&mut stream).unwrap();
    assert!(out.is_empty() && !out.is_awaiting_body() && stream.written == b"<textbodies>");
}

#[test]
fn consumed_bytes_make_room_for_reads() {
    let mut buffer = Pool::default().acquire();
    let mut stream = &vec![7; BUFFER_BYTES + 10][..];
    while !buffer.is_full() {
        buffer.read_from(&mut stream).unwrap();
    }
    buffer.consume(100);
    assert_eq!(buffer.read_from(&mut stream).unwrap(), 10);
    assert_eq!(buffer.filled().len(), BUFFER_BYTES - 90);
}

/// Hundreds of clients that had sent a few bytes each took 64 KiB each.
#[test]
fn buffer_takes_little_memory_until_it_fills() {
    let pool = Pool::with_limit(BUFFER_BYTES);
    let mut buffer = pool.acquire();
    let mut stream = &vec![7; BUFFER_BYTES][..];
    let mut sizes = Vec::new();
    while !buffer.is_full() {
        let grown = pool.state.borrow().grown_bytes + bytes_for_next_read(Some(&buffer));
        assert!(pool.has_room(bytes_for_next_read(Some(&buffer)), 1.0));
        buffer.read_from(&mut stream).unwrap();
        assert_eq!(pool.state.borrow().grown_bytes, grown);
        sizes.push(pool.in_use_bytes());
    }
    assert_eq!(sizes, SIZES);
    assert_eq!(buffer.filled(), vec![7; BUFFER_BYTES]);
    assert!(!pool.has_room(1, 1.0));
    drop(buffer);
    assert_eq!(pool.in_use_bytes(), 0);
}
