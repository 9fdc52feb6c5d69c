use super::*;

fn body(length: usize) -> (Rc<Body>, Vec<u8>, DroppedBodies) {
    let dropped = DroppedBodies::default();
    let bytes: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
    (Body::new(7, Some(length as u64), None, &dropped), bytes, dropped)
}

/// Reads on as far as it goes, and what it got.
fn drain(reader: &BodyReader) -> Vec<u8> {
    let mut got = Vec::new();
    loop {
        let mut pieces = Vec::new();
        reader.available_chunks(2, &mut pieces);
        if pieces.is_empty() {
            return got;
        }
        for piece in pieces {
            got.extend_from_slice(&piece);
            reader.advance(piece.len() as u64);
        }
    }
}

#[test]
fn buffered_body_can_be_reread_until_dropped() {
    let (body, bytes, dropped) = body(3 * BLOCK_BYTES + 5);
    bytes.chunks(10_000).for_each(|piece| body.append(piece));
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
    let (quick, slow) = (BodyReader::new(&body), BodyReader::new(&body));
    body.set_all_readers_attached();
    body.append(&bytes[..2 * BLOCK_BYTES]);
    assert!(drain(&quick) == bytes[..2 * BLOCK_BYTES]);
    assert_eq!((body.memory_bytes(), slow.offset()), (2 * BLOCK_BYTES as u64, 0));
    slow.advance(BLOCK_BYTES as u64);
    assert_eq!(body.memory_bytes(), BLOCK_BYTES as u64);
    drop(slow);
    assert_eq!(body.memory_bytes(), 0);
    body.append(&bytes[2 * BLOCK_BYTES..]);
    body.finish();
    assert!(drain(&quick) == bytes[2 * BLOCK_BYTES..]);
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
    while let Some((at, _)) = body.next_write() {
        body.on_block_written(at);
    }
    assert!(body.is_on_disk());
    assert_eq!(body.memory_bytes(), 0);
    let reader = BodyReader::new(&body);
    let mut got = Vec::new();
    while reader.remaining() > 0 {
        got.extend(drain(&reader));
        for (at, length) in body.next_reads(1) {
            assert!(body.memory_bytes() <= BLOCK_BYTES as u64);
            let from = at as usize;
            body.on_block_read(at, Bytes::copy_from_slice(&bytes[from..from + length]));
        }
    }
    assert!(got == bytes);
    assert_eq!(body.memory_bytes(), 0);
}

#[test]
fn distant_readers_share_one_cached_block() {
    let (body, bytes, _) = body(3 * BLOCK_BYTES);
    body.append(&bytes);
    body.finish();
    while let Some((at, _)) = body.next_write() {
        body.on_block_written(at);
    }
    let (ahead, behind) = (BodyReader::new(&body), BodyReader::new(&body));
    ahead.advance(2 * BLOCK_BYTES as u64);
    let (mut one, mut other) = (Vec::new(), Vec::new());
    for _ in 0..20 {
        one.extend(drain(&ahead));
        other.extend(drain(&behind));
        for (at, length) in body.next_reads(1) {
            let from = at as usize;
            body.on_block_read(at, Bytes::copy_from_slice(&bytes[from..from + length]));
        }
    }
    assert!(one == bytes[2 * BLOCK_BYTES..] && other == bytes);
}

#[test]
fn unwritten_block_stays_available() {
    let (body, bytes, _) = body(2 * BLOCK_BYTES);
    body.append(&bytes);
    body.finish();
    let (at, _) = body.next_write().unwrap();
    body.on_block_written(at);
    body.next_write().unwrap();
    body.unsubmit_unwritten();
    assert_eq!((body.unwritten_bytes(), body.is_on_disk()), (BLOCK_BYTES as u64, false));
    assert_eq!(body.next_write().unwrap().0, BLOCK_BYTES as u64);
}
