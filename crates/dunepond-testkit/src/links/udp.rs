//! Relays UDP datagrams. Each datagram is lost, delayed, duplicated or reordered independently of the others.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::time::{Duration, Instant, sleep_until};

use super::{Direction, REORDER_DELAY_SECONDS, Relay};

/// Size of the receive buffers, which holds the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Relays datagrams in both directions until the runtime ends.
pub async fn run(relay: Arc<Relay>, near: UdpSocket) -> io::Result<()> {
    let far = UdpSocket::bind("127.0.0.1:0").await?;
    far.connect(relay.target).await?;
    let (near, far) = (Arc::new(near), Arc::new(far));
    let mut forward = DatagramRelay::new(relay.rng(0));
    let mut backward = DatagramRelay::new(relay.rng(1));
    let (mut near_buffer, mut far_buffer) = (vec![0; MAX_DATAGRAM_BYTES], vec![0; MAX_DATAGRAM_BYTES]);
    // Only one process sends to this relay, so that answers go to the address of the latest sender.
    let mut latest_sender: Option<SocketAddr> = None;
    loop {
        // Errors are ignored: they mean that no process listens at the target at present, which the sender of a
        // datagram is not told.
        tokio::select! {
            received = near.recv_from(&mut near_buffer) => if let Ok((count, from)) = received {
                latest_sender = Some(from);
                forward.forward(&relay.forward, &far, None, &near_buffer[..count]).await;
            },
            received = far.recv(&mut far_buffer) => if let (Ok(count), Some(to)) = (received, latest_sender) {
                backward.forward(&relay.backward, &near, Some(to), &far_buffer[..count]).await;
            },
        }
    }
}

/// State of the datagram relay in one direction.
struct DatagramRelay {
    rng: Pcg64Mcg,
    /// When earlier datagrams have passed a link with limited throughput.
    busy_until: Instant,
}

impl DatagramRelay {
    fn new(rng: Pcg64Mcg) -> Self {
        Self { rng, busy_until: Instant::now() }
    }

    /// Sends a datagram as the conditions of the link allow, to the address `to` or, if that is `None`, to the
    /// connected peer.
    async fn forward(
        &mut self,
        direction: &Arc<Direction>,
        socket: &Arc<UdpSocket>,
        to: Option<SocketAddr>,
        bytes: &[u8],
    ) {
        let conditions = direction.conditions.borrow().clone();
        direction.recording.record_datagram(bytes);
        if conditions.partitioned || conditions.half_open || self.rng.random::<f64>() < conditions.loss_ratio
        {
            return;
        }
        let now = Instant::now();
        let transfer_seconds = conditions.bytes_per_second.map_or(0.0, |rate| bytes.len() as f64 / rate);
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(transfer_seconds);
        for _ in 0..1 + usize::from(self.rng.random::<f64>() < conditions.duplicate_ratio) {
            let mut drawn_delay_seconds =
                conditions.delay_seconds + conditions.jitter_seconds * self.rng.random::<f64>();
            if self.rng.random::<f64>() < conditions.reorder_ratio {
                drawn_delay_seconds += REORDER_DELAY_SECONDS;
            }
            let due = self.busy_until + Duration::from_secs_f64(drawn_delay_seconds);
            if due <= now {
                // Sent here rather than by a task, so that a healthy link keeps the order. `try_send` would not do:
                // until the runtime has first seen a new socket as writable, it fails although the socket could send.
                let sent = match to {
                    Some(to) => socket.send_to(bytes, to).await,
                    None => socket.send(bytes).await,
                };
                direction.delivered_count.fetch_add(u64::from(sent.is_ok()), Ordering::Relaxed);
                continue;
            }
            let (direction, socket, bytes) = (direction.clone(), socket.clone(), bytes.to_vec());
            tokio::spawn(async move {
                sleep_until(due).await;
                // Datagrams in flight when the link becomes partitioned are lost.
                if direction.conditions.borrow().partitioned {
                    return;
                }
                let sent = match to {
                    Some(to) => socket.send_to(&bytes, to).await,
                    None => socket.send(&bytes).await,
                };
                direction.delivered_count.fetch_add(u64::from(sent.is_ok()), Ordering::Relaxed);
            });
        }
    }
}
