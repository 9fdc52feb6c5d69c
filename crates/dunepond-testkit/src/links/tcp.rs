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

use super::{Manner, RESENT, Relay, Way};

/// Chunks on their way, each of so many bytes at most: behind that the sender is held up.
const UNDER_WAY: usize = 64;
const CHUNK: usize = 16 * 1024;

pub async fn run(relay: Arc<Relay>, listener: TcpListener) {
    for number in 1.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        let relay = relay.clone();
        tokio::spawn(async move { join(&relay, stream, number).await });
    }
}

/// Carries both ways until both have ended; where that goes wrong, both ends see a reset.
async fn join(relay: &Relay, near: TcpStream, number: u64) -> io::Result<()> {
    let (mut there, mut back) = (relay.there.resets.subscribe(), relay.back.resets.subscribe());
    // A connection that crosses a cut link is not made before the link is whole both ways.
    let reached = async {
        whole(&relay.there, |manner| manner.cut || manner.half_open).await;
        whole(&relay.back, |manner| manner.cut).await;
        TcpStream::connect(relay.to).await
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
    let onward = carry(&relay.there, &mut near_in, &mut far_out, relay.chance(2 * number), Some(number));
    let backward = carry(&relay.back, &mut far_in, &mut near_out, relay.chance(2 * number + 1), None);
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

async fn whole(way: &Way, not: impl Fn(&Manner) -> bool) {
    let _ = way.manner.subscribe().wait_for(|manner| !not(manner)).await;
}

async fn carry(
    way: &Way,
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    chance: Pcg64Mcg,
    number: Option<u64>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(UNDER_WAY);
    tokio::try_join!(take(way, from, sender, chance, number), bring(way, to, receiver)).map(drop)
}

type Chunk = (Instant, Vec<u8>);

async fn take(
    way: &Way,
    from: &mut OwnedReadHalf,
    out: mpsc::Sender<Chunk>,
    mut chance: Pcg64Mcg,
    number: Option<u64>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    let mut due = Instant::now();
    loop {
        let count = from.read(&mut buffer).await?;
        let manner = way.manner.borrow().clone();
        if let Some(number) = number {
            way.kept.stream(number, &buffer[..count]);
        }
        if count > 0 && manner.half_open {
            continue;
        }
        let mut late = manner.delay + manner.jitter * chance.random::<f64>();
        if chance.random::<f64>() < manner.loss {
            late += RESENT;
        }
        // In order: nothing comes before what was sent before it.
        due = due.max(Instant::now() + Duration::from_secs_f64(late));
        due += Duration::from_secs_f64(manner.rate.map_or(0.0, |rate| count as f64 / rate));
        if out.send((due, buffer[..count].to_vec())).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn bring(way: &Way, to: &mut OwnedWriteHalf, mut chunks: mpsc::Receiver<Chunk>) -> io::Result<()> {
    while let Some((due, bytes)) = chunks.recv().await {
        sleep_until(due).await;
        whole(way, |manner| manner.cut).await;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
        way.carried.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
