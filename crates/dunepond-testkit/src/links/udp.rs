//! Datagrams: each is lost, late, doubled or overtaken by itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::time::{Duration, Instant, sleep_until};

use super::{Direction, REORDER_DELAY_SECONDS, Relay};

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Relays datagrams both ways until the runtime ends.
pub async fn run(relay: Arc<Relay>, near: UdpSocket) -> io::Result<()> {
    let far = UdpSocket::bind("127.0.0.1:0").await?;
    far.connect(relay.target).await?;
    let (near, far) = (Arc::new(near), Arc::new(far));
    let (mut there, mut back) = (DatagramRelay::new(relay.rng(0)), DatagramRelay::new(relay.rng(1)));
    let (mut one, mut other) = (vec![0; MAX_DATAGRAM_BYTES], vec![0; MAX_DATAGRAM_BYTES]);
    // Answers go to whoever sent last: the relay is one process's way to another.
    let mut asker: Option<SocketAddr> = None;
    loop {
        // Errors tell that nobody listens there at the moment, which a datagram's sender does not learn.
        tokio::select! {
            got = near.recv_from(&mut one) => if let Ok((count, from)) = got {
                asker = Some(from);
                there.forward(&relay.forward, &far, None, &one[..count]).await;
            },
            got = far.recv(&mut other) => if let (Ok(count), Some(to)) = (got, asker) {
                back.forward(&relay.backward, &near, Some(to), &other[..count]).await;
            },
        }
    }
}

struct DatagramRelay {
    rng: Pcg64Mcg,
    /// Until when the link is taken by what went before, where its rate is limited.
    busy_until: Instant,
}

impl DatagramRelay {
    fn new(rng: Pcg64Mcg) -> Self {
        Self { rng, busy_until: Instant::now() }
    }

    async fn forward(
        &mut self,
        direction: &Arc<Direction>,
        out: &Arc<UdpSocket>,
        to: Option<SocketAddr>,
        bytes: &[u8],
    ) {
        let conditions = direction.conditions.borrow().clone();
        direction.recording.record_datagram(bytes);
        if conditions.cut || conditions.half_open || self.rng.random::<f64>() < conditions.loss_ratio {
            return;
        }
        let now = Instant::now();
        let took = conditions.bytes_per_second.map_or(0.0, |rate| bytes.len() as f64 / rate);
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(took);
        for _ in 0..1 + usize::from(self.rng.random::<f64>() < conditions.duplicate_ratio) {
            let mut drawn_delay_seconds =
                conditions.delay_seconds + conditions.jitter_seconds * self.rng.random::<f64>();
            if self.rng.random::<f64>() < conditions.reorder_ratio {
                drawn_delay_seconds += REORDER_DELAY_SECONDS;
            }
            let due = self.busy_until + Duration::from_secs_f64(drawn_delay_seconds);
            if due <= now {
                // Sent here rather than from a task, so that a healthy link keeps the order. The wait matters: until the runtime
                // has first seen a new socket as writable, `try_send` refuses what the socket could take.
                let sent = match to {
                    Some(to) => out.send_to(bytes, to).await,
                    None => out.send(bytes).await,
                };
                direction.delivered.fetch_add(u64::from(sent.is_ok()), Ordering::Relaxed);
                continue;
            }
            let (direction, out, bytes) = (direction.clone(), out.clone(), bytes.to_vec());
            tokio::spawn(async move {
                sleep_until(due).await;
                // What was on its way when the link was cut is lost too.
                if direction.conditions.borrow().cut {
                    return;
                }
                let sent = match to {
                    Some(to) => out.send_to(&bytes, to).await,
                    None => out.send(&bytes).await,
                };
                direction.delivered.fetch_add(u64::from(sent.is_ok()), Ordering::Relaxed);
            });
        }
    }
}
