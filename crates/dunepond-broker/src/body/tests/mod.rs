use super::*;

/// Returns an empty body of a declared length, the bytes to append to it, and the list that receives the ids of dropped
/// bodies.
fn body(length: usize) -> (Rc<Body>, Vec<u8>, DroppedBodies) {
    let dropped = DroppedBodies::default();
    let bytes: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
    (Body::new(7, Some(length as u64), None, &dropped), bytes, dropped)
}

/// Consumes and returns all bytes that are available to a reader.
fn drain(reader: &BodyReader) -> Vec<u8> {
    let mut received = Vec::new();
    loop {
        let mut chunks = Vec::new();
        reader.available_chunks(2, &mut chunks);
        if chunks.is_empty() {
            return received;
        }
        for chunk in chunks {
            received.extend_from_slice(&chunk);
            reader.advance(chunk.len() as u64);
        }
    }
}

#[test]
fn buffered_body_can_be_reread_until_dropped() {
    let (body, bytes, dropped) = body(3 * BLOCK_BYTES + 5);
    bytes.chunks(10_000).for_each(|chunk| body.append(chunk));
    body.finish();
    for _ in 0..2 {
        let reader = BodyReader::new(&body);
        assert!(drain(&reader) == bytes);
        assert_eq!(reader.remaining(), 0);
    }
    assert_eq!(body.memory_bytes(), bytes.len() as u64);
    let reader = BodyReader::new(&body);
    drop(body);
    assert!(dropped.borrow().is_empty());
    drop(reader);
    assert_eq!(*dropped.borrow(), [7]);
}

#[test]
fn pass_through_drops_blocks_behind_the_slowest_reader() {
    let (body, bytes, _) = body(4 * BLOCK_BYTES);
    body.set_pass_through();
    let (fast, slow) = (BodyReader::new(&body), BodyReader::new(&body));
    body.set_all_readers_attached();
    body.append(&bytes[..2 * BLOCK_BYTES]);
    assert!(drain(&fast) == bytes[..2 * BLOCK_BYTES]);
    assert_eq!((body.memory_bytes(), slow.offset()), (2 * BLOCK_BYTES as u64, 0));
    slow.advance(BLOCK_BYTES as u64);
    assert_eq!(body.memory_bytes(), BLOCK_BYTES as u64);
    drop(slow);
    assert_eq!(body.memory_bytes(), 0);
    body.append(&bytes[2 * BLOCK_BYTES..]);
    body.finish();
    assert!(drain(&fast) == bytes[2 * BLOCK_BYTES..]);
    assert_eq!(body.memory_bytes(), 0);
}

#[test]
fn pass_through_without_readers_keeps_nothing() {
    let (body, bytes, _) = body(4 * BLOCK_BYTES);
    body.set_pass_through();
    body.set_all_readers_attached();
    body.append(&bytes);
    assert_eq!(body.memory_bytes(), 0);
}

#[test]
fn spilled_body_is_read_back_in_bounded_blocks() {
    let (body, bytes, _) = body(3 * BLOCK_BYTES);
    body.append(&bytes);
    body.finish();
    while let Some((offset, _)) = body.next_write() {
        body.on_block_written(offset);
    }
    assert!(body.is_on_disk());
    assert_eq!(body.memory_bytes(), 0);
    let reader = BodyReader::new(&body);
    let mut received = Vec::new();
    while reader.remaining() > 0 {
        received.extend(drain(&reader));
        for (offset, length) in body.next_reads(1) {
            assert!(body.memory_bytes() <= BLOCK_BYTES as u64);
            let start = offset as usize;
            body.on_block_read(offset, Bytes::copy_from_slice(&bytes[start..start + length]));
        }
    }
    assert!(received == bytes);
    assert_eq!(body.memory_bytes(), 0);
}

#[test]
fn distant_readers_share_one_cached_block() {
    let (body, bytes, _) = body(3 * BLOCK_BYTES);
    body.append(&bytes);
    body.finish();
    while let Some((offset, _)) = body.next_write() {
        body.on_block_written(offset);
    }
    let (ahead, behind) = (BodyReader::new(&body), BodyReader::new(&body));
    ahead.advance(2 * BLOCK_BYTES as u64);
    let (mut received_ahead, mut received_behind) = (Vec::new(), Vec::new());
    for _ in 0..20 {
        received_ahead.extend(drain(&ahead));
        received_behind.extend(drain(&behind));
        for (offset, length) in body.next_reads(1) {
            let start = offset as usize;
            body.on_block_read(offset, Bytes::copy_from_slice(&bytes[start..start + length]));
        }
    }
    assert!(received_ahead == bytes[2 * BLOCK_BYTES..] && received_behind == bytes);
}

#[test]
fn unwritten_block_stays_available() {
    let (body, bytes, _) = body(2 * BLOCK_BYTES);
    body.append(&bytes);
    body.finish();
    let (offset, _) = body.next_write().unwrap();
    body.on_block_written(offset);
    body.next_write().unwrap();
    body.unsubmit_unwritten();
    assert_eq!((body.unwritten_bytes(), body.is_on_disk()), (BLOCK_BYTES as u64, false));
    assert_eq!(body.next_write().unwrap().0, BLOCK_BYTES as u64);
}
