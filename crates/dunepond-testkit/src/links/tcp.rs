//! Streams: nothing of one is lost, doubled or reordered on a real wire, so here it is only late, or broken.

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

/// Chunks on their way, each of so many bytes at most: behind that the sender is held up.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
const CHUNK_BYTES: usize = 16 * 1024;

/// Accepts connections and relays each of them.
pub async fn run(relay: Arc<Relay>, listener: TcpListener) {
    for number in 1.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        let relay = relay.clone();
        tokio::spawn(async move { relay_connection(&relay, stream, number).await });
    }
}

/// Carries both ways until both have ended; where that goes wrong, both ends see a reset.
async fn relay_connection(relay: &Relay, near: TcpStream, number: u64) -> io::Result<()> {
    let (mut there, mut back) = (relay.forward.resets.subscribe(), relay.backward.resets.subscribe());
    // A connection that crosses a cut link is not made before the link is whole both ways.
    let reached = async {
        wait_until_clear(&relay.forward, |conditions| conditions.cut || conditions.half_open).await;
        wait_until_clear(&relay.backward, |conditions| conditions.cut).await;
        TcpStream::connect(relay.target).await
    };
    let far = tokio::select! {
        far = reached => far.ok(),
        _ = there.changed() => None,
        _ = back.changed() => None,
    };
    let Some(far) = far else { return near.set_zero_linger() };
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let ((mut near_in, mut near_out), (mut far_in, mut far_out)) = (near.into_split(), far.into_split());
    let onward =
        relay_direction(&relay.forward, &mut near_in, &mut far_out, relay.rng(2 * number), Some(number));
    let backward =
        relay_direction(&relay.backward, &mut far_in, &mut near_out, relay.rng(2 * number + 1), None);
    let in_order = tokio::select! {
        ended = async { tokio::try_join!(onward, backward) } => ended.is_ok(),
        _ = there.changed() => false,
        _ = back.changed() => false,
    };
    if !in_order {
        near_in.as_ref().set_zero_linger()?;
        far_in.as_ref().set_zero_linger()?;
    }
    Ok(())
}

async fn wait_until_clear(direction: &Direction, not: impl Fn(&LinkConditions) -> bool) {
    let _ = direction.conditions.subscribe().wait_for(|conditions| !not(conditions)).await;
}

async fn relay_direction(
    direction: &Direction,
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    rng: Pcg64Mcg,
    number: Option<u64>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::try_join!(receive(direction, from, sender, rng, number), deliver(direction, to, receiver))
        .map(drop)
}

type Chunk = (Instant, Vec<u8>);

async fn receive(
    direction: &Direction,
    from: &mut OwnedReadHalf,
    out: mpsc::Sender<Chunk>,
    mut rng: Pcg64Mcg,
    number: Option<u64>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut due = Instant::now();
    loop {
        let count = from.read(&mut buffer).await?;
        let conditions = direction.conditions.borrow().clone();
        if let Some(number) = number {
            direction.recording.record_stream(number, &buffer[..count]);
        }
        if count > 0 && conditions.half_open {
            continue;
        }
        let mut drawn_delay_seconds =
            conditions.delay_seconds + conditions.jitter_seconds * rng.random::<f64>();
        if rng.random::<f64>() < conditions.loss_ratio {
            drawn_delay_seconds += RETRANSMIT_DELAY_SECONDS;
        }
        // In order: nothing comes before what was sent before it.
        due = due.max(Instant::now() + Duration::from_secs_f64(drawn_delay_seconds));
        due += Duration::from_secs_f64(conditions.bytes_per_second.map_or(0.0, |rate| count as f64 / rate));
        if out.send((due, buffer[..count].to_vec())).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn deliver(
    direction: &Direction,
    to: &mut OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
) -> io::Result<()> {
    while let Some((due, bytes)) = chunks.recv().await {
        sleep_until(due).await;
        wait_until_clear(direction, |conditions| conditions.cut).await;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
        direction.delivered.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
