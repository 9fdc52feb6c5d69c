//! Datagrams: each is lost, late, doubled or overtaken by itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::time::{Duration, Instant, sleep_until};

use super::{OVERTAKEN, Relay, Way};

const LONGEST: usize = 65_536;

pub async fn run(relay: Arc<Relay>, near: UdpSocket) -> io::Result<()> {
    let far = UdpSocket::bind("127.0.0.1:0").await?;
    far.connect(relay.to).await?;
    let (near, far) = (Arc::new(near), Arc::new(far));
    let (mut there, mut back) = (Passage::new(relay.chance(0)), Passage::new(relay.chance(1)));
    let (mut one, mut other) = (vec![0; LONGEST], vec![0; LONGEST]);
    // Answers go to whoever sent last: the relay is one process's way to another.
    let mut asker: Option<SocketAddr> = None;
    loop {
        // Errors tell that nobody listens there at the moment, which a datagram's sender does not learn.
        tokio::select! {
            got = near.recv_from(&mut one) => if let Ok((count, from)) = got {
                asker = Some(from);
                there.pass(&relay.there, &far, None, &one[..count]);
            },
            got = far.recv(&mut other) => if let (Ok(count), Some(to)) = (got, asker) {
                back.pass(&relay.back, &near, Some(to), &other[..count]);
            },
        }
    }
}

struct Passage {
    chance: Pcg64Mcg,
    /// Until when the link is taken by what went before, where its rate is limited.
    taken: Instant,
}

impl Passage {
    fn new(chance: Pcg64Mcg) -> Self {
        Self { chance, taken: Instant::now() }
    }

    fn pass(&mut self, way: &Arc<Way>, out: &Arc<UdpSocket>, to: Option<SocketAddr>, bytes: &[u8]) {
        let manner = way.manner.borrow().clone();
        way.kept.datagram(bytes);
        if manner.cut || manner.half_open || self.chance.random::<f64>() < manner.loss {
            return;
        }
        let now = Instant::now();
        let took = manner.rate.map_or(0.0, |rate| bytes.len() as f64 / rate);
        self.taken = self.taken.max(now) + Duration::from_secs_f64(took);
        for _ in 0..1 + usize::from(self.chance.random::<f64>() < manner.double) {
            let mut late = manner.delay + manner.jitter * self.chance.random::<f64>();
            if self.chance.random::<f64>() < manner.reorder {
                late += OVERTAKEN;
            }
            let due = self.taken + Duration::from_secs_f64(late);
            if due <= now {
                // At once, so that a whole link keeps the order.
                let sent = match to {
                    Some(to) => out.try_send_to(bytes, to),
                    None => out.try_send(bytes),
                };
                way.carried.fetch_add(u64::from(sent.is_ok()), Ordering::Relaxed);
                continue;
            }
            let (way, out, bytes) = (way.clone(), out.clone(), bytes.to_vec());
            tokio::spawn(async move {
                sleep_until(due).await;
                // What was on its way when the link was cut is lost too.
                if way.manner.borrow().cut {
                    return;
                }
                let sent = match to {
                    Some(to) => out.send_to(&bytes, to).await,
                    None => out.send(&bytes).await,
                };
                way.carried.fetch_add(u64::from(sent.is_ok()), Ordering::Relaxed);
            });
        }
    }
}
