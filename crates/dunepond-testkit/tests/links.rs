//! Each way in which a link can fail, seen from both of its ends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::links::{CUT, HEALTHY, LinkConditions, Links};
use dunepond_testkit::processes::{BrokerProcess, wait_until};

/// Two peers: `a` sends, at `b` something echoes what comes, by stream and by datagram.
struct Pair {
    links: Links,
    near: UdpSocket,
}

fn pair(seed: u64) -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let far = UdpSocket::bind(address).unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut stream.try_clone().unwrap(), &mut stream));
        }
    });
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((count, from)) = far.recv_from(&mut buffer) {
            let _ = far.send_to(&buffer[..count], from);
        }
    });
    let near = UdpSocket::bind("127.0.0.1:0").unwrap();
    near.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let peers = [("a".to_string(), near.local_addr().unwrap()), ("b".to_string(), address)];
    Pair { links: Links::between(&peers, seed).unwrap(), near }
}

impl Pair {
    fn at(&self) -> SocketAddr {
        self.links.relay_address("a", "b")
    }

    fn dial(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at()).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        stream
    }

    /// Sends this many datagrams; the numbers of those that came back, in their order.
    fn echoes(&self, count: u8) -> Vec<u8> {
        for i in 0..count {
            self.near.send_to(&[i], self.at()).unwrap();
        }
        let mut buffer = [0; 16];
        std::iter::from_fn(|| self.near.recv(&mut buffer).ok().map(|_| buffer[0])).collect()
    }
}

fn echo(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"x")?;
    stream.read_exact(&mut [0])
}

#[test]
fn healthy_link_keeps_order() {
    let pair = pair(1);
    let mut stream = pair.dial();
    let sent: Vec<u8> = (0..200_000u32).map(|i| i as u8).collect();
    let mut got = vec![0; sent.len()];
    let mut out = stream.try_clone().unwrap();
    let expected = sent.clone();
    thread::spawn(move || out.write_all(&sent).unwrap());
    stream.read_exact(&mut got).unwrap();
    assert!(got == expected);
    assert_eq!(pair.echoes(50), (0..50).collect::<Vec<_>>());
    assert!(pair.links.delivered("a", "b") > 50 && pair.links.delivered("b", "a") > 50);
}

#[test]
fn cut_delays_streams_and_drops_datagrams() {
    let pair = pair(2);
    let mut stream = pair.dial();
    echo(&mut stream).unwrap();
    pair.links.partition(&[&["a"], &["b"]]);
    assert!(echo(&mut stream).is_err());
    assert!(pair.echoes(5).is_empty());
    let mut second = pair.dial();
    assert!(echo(&mut second).is_err());
    pair.links.set_all(&HEALTHY);
    stream.read_exact(&mut [0]).unwrap();
    second.read_exact(&mut [0]).unwrap();
    assert_eq!(pair.echoes(5).len(), 5);
}

#[test]
fn one_way_cut_blocks_one_direction() {
    let pair = pair(3);
    let mut stream = pair.dial();
    echo(&mut stream).unwrap();
    // The relay counts a chunk after writing it, so the client may read the echo before it is counted.
    assert!(wait_until(|| (pair.links.delivered("a", "b"), pair.links.delivered("b", "a")) == (1, 1)));
    let before = (pair.links.delivered("a", "b"), pair.links.delivered("b", "a"));
    pair.links.set("b", "a", &CUT);
    assert!(echo(&mut stream).is_err());
    assert!(pair.echoes(3).is_empty());
    assert_eq!((pair.links.delivered("a", "b"), pair.links.delivered("b", "a")), (before.0 + 4, before.1));
}

#[test]
fn half_open_link_discards_input() {
    let pair = pair(4);
    pair.links.set("a", "b", &LinkConditions { half_open: true, ..HEALTHY });
    assert!(echo(&mut pair.dial()).is_err());
    assert_eq!(pair.links.delivered("a", "b"), 0);
}

#[test]
fn reset_breaks_open_connections() {
    let pair = pair(5);
    let mut stream = pair.dial();
    echo(&mut stream).unwrap();
    pair.links.reset("a", "b");
    let broken = wait_until(|| echo(&mut stream).is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock));
    assert!(broken);
    echo(&mut pair.dial()).unwrap();
}

#[test]
fn delay_applies_both_ways() {
    let pair = pair(6);
    pair.links.set_all(&LinkConditions { delay_seconds: 0.06, jitter_seconds: 0.01, ..HEALTHY });
    let (mut stream, began) = (pair.dial(), Instant::now());
    echo(&mut stream).unwrap();
    assert!(began.elapsed() >= Duration::from_millis(120));
    let began = Instant::now();
    pair.near.send_to(&[1], pair.at()).unwrap();
    pair.near.recv(&mut [0; 16]).unwrap();
    assert!(began.elapsed() >= Duration::from_millis(120));
}

#[test]
fn rate_limit_delays_bytes() {
    let pair = pair(7);
    pair.links.set("a", "b", &LinkConditions { bytes_per_second: Some(100_000.0), ..HEALTHY });
    let (mut stream, began) = (pair.dial(), Instant::now());
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(&[7; 30_000]).unwrap();
    stream.read_exact(&mut [0; 30_000]).unwrap();
    assert!(began.elapsed() >= Duration::from_millis(290));
}

/// The same seed draws the same; so what is lost, doubled and overtaken can be counted exactly.
#[test]
fn datagram_faults_follow_seed() {
    let conditions = LinkConditions { loss_ratio: 0.2, duplicate_ratio: 0.2, reorder_ratio: 0.2, ..HEALTHY };
    let run = |seed| {
        let pair = pair(seed);
        pair.links.set("a", "b", &conditions);
        let mut got = pair.echoes(100);
        let ordered = got.is_sorted();
        got.sort_unstable();
        (got, ordered)
    };
    let (one, again, other) = (run(8), run(8), run(9));
    assert_eq!(one, again);
    assert_ne!(one.0, other.0);
    let mut once = one.0.clone();
    once.dedup();
    assert!(!one.1 && once.len() < 95 && once.len() > 60 && one.0.len() > once.len() + 5, "{one:?}");
}

/// The relay's sockets are new when the first datagram comes, and the runtime may not yet have seen them as writable.
#[test]
fn first_datagram_passes() {
    let is_lost = |seed: &u64| {
        let pair = pair(*seed);
        pair.near.send_to(&[1], pair.at()).unwrap();
        pair.near.recv(&mut [0; 16]).is_err()
    };
    let lost: Vec<u64> = (0..400).filter(is_lost).collect();
    assert!(lost.is_empty(), "links that lost their first datagram: {lost:?}");
}

#[test]
fn process_lifecycle() {
    let (program, folder) =
        (std::path::Path::new("/bin/sh"), dunepond_testkit::stand_ins::scratch_path("none"));
    let mut shell = BrokerProcess::new(program, "sh", "127.0.0.1:9".parse().unwrap(), &folder)
        .arguments(&["-c", "trap 'exit 3' TERM; echo up; while :; do sleep 0.01; done"]);
    shell.start();
    assert!(wait_until(|| shell.log_text().contains("up")));
    shell.suspend();
    shell.resume();
    assert_eq!(shell.terminate(), Some(3));
    assert!(!shell.is_running());
    shell.start();
    let pid = shell.pid();
    drop(shell);
    assert!(!std::path::Path::new(&format!("/proc/{pid}")).exists());
}
