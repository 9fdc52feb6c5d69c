//! Relays TCP streams. TCP hides loss, duplication and reordering from its users, so that a stream here is only
//! delayed, stalled or reset.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant, sleep_until};

use super::{Direction, LinkConditions, RETRANSMIT_DELAY_SECONDS, Relay};

/// Largest number of chunks in flight in one direction of a connection; the sender is blocked while there are more.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
/// Largest size of a chunk.
const CHUNK_BYTES: usize = 16 * 1024;

/// Accepts connections and relays each of them.
pub async fn run(relay: Arc<Relay>, listener: TcpListener) {
    for connection_number in 1.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        let relay = relay.clone();
        tokio::spawn(async move { relay_connection(&relay, stream, connection_number).await });
    }
}

/// Relays a connection in both directions until both streams have ended. `near` is the accepted connection; `far` is the
/// one to the target. After an error or a reset of the link, both peers see a connection reset.
async fn relay_connection(relay: &Relay, near: TcpStream, connection_number: u64) -> io::Result<()> {
    let mut forward_resets = relay.forward.resets.subscribe();
    let mut backward_resets = relay.backward.resets.subscribe();
    // Connects to the target only once neither direction is partitioned any more.
    let connect = async {
        wait_until_clear(&relay.forward, |conditions| conditions.partitioned || conditions.half_open).await;
        wait_until_clear(&relay.backward, |conditions| conditions.partitioned).await;
        TcpStream::connect(relay.target).await
    };
    let far = tokio::select! {
        far = connect => far.ok(),
        _ = forward_resets.changed() => None,
        _ = backward_resets.changed() => None,
    };
    let Some(far) = far else { return near.set_zero_linger() };
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let ((mut near_in, mut near_out), (mut far_in, mut far_out)) = (near.into_split(), far.into_split());
    let forward = relay_direction(
        &relay.forward,
        &mut near_in,
        &mut far_out,
        relay.rng(2 * connection_number),
        Some(connection_number),
    );
    let backward = relay_direction(
        &relay.backward,
        &mut far_in,
        &mut near_out,
        relay.rng(2 * connection_number + 1),
        None,
    );
    let closed_cleanly = tokio::select! {
        result = async { tokio::try_join!(forward, backward) } => result.is_ok(),
        _ = forward_resets.changed() => false,
        _ = backward_resets.changed() => false,
    };
    if !closed_cleanly {
        near_in.as_ref().set_zero_linger()?;
        far_in.as_ref().set_zero_linger()?;
    }
    Ok(())
}

/// Waits until the conditions of a link no longer block it.
async fn wait_until_clear(direction: &Direction, blocked: impl Fn(&LinkConditions) -> bool) {
    let _ = direction.conditions.subscribe().wait_for(|conditions| !blocked(conditions)).await;
}

/// Relays one direction of a connection until its stream ends. The stream is recorded under `record_as`, if that is
/// given.
async fn relay_direction(
    direction: &Direction,
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    rng: Pcg64Mcg,
    record_as: Option<u64>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::try_join!(receive(direction, from, sender, rng, record_as), deliver(direction, to, receiver))
        .map(drop)
}

/// When a chunk is due for delivery, and its bytes. An empty chunk marks the end of the stream.
type Chunk = (Instant, Vec<u8>);

/// Reads chunks from one peer and schedules their delivery.
async fn receive(
    direction: &Direction,
    from: &mut OwnedReadHalf,
    chunks: mpsc::Sender<Chunk>,
    mut rng: Pcg64Mcg,
    record_as: Option<u64>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut due = Instant::now();
    loop {
        let count = from.read(&mut buffer).await?;
        let conditions = direction.conditions.borrow().clone();
        if let Some(connection_number) = record_as {
            direction.recording.record_stream(connection_number, &buffer[..count]);
        }
        if count > 0 && conditions.half_open {
            continue;
        }
        let mut drawn_delay_seconds =
            conditions.delay_seconds + conditions.jitter_seconds * rng.random::<f64>();
        if rng.random::<f64>() < conditions.loss_ratio {
            drawn_delay_seconds += RETRANSMIT_DELAY_SECONDS;
        }
        // A chunk is never due before the one sent before it, so that the stream stays in order.
        due = due.max(Instant::now() + Duration::from_secs_f64(drawn_delay_seconds));
        due += Duration::from_secs_f64(conditions.bytes_per_second.map_or(0.0, |rate| count as f64 / rate));
        if chunks.send((due, buffer[..count].to_vec())).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

/// Writes chunks to the other peer when they are due and the link is not partitioned.
async fn deliver(
    direction: &Direction,
    to: &mut OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
) -> io::Result<()> {
    while let Some((due, bytes)) = chunks.recv().await {
        sleep_until(due).await;
        wait_until_clear(direction, |conditions| conditions.partitioned).await;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
        direction.delivered_count.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
