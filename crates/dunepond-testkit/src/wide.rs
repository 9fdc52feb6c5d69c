//! Nodes that take bodies of any size and count what has run, clients of the raw form, and a broker whose disk can
//! be made to fail.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stand_ins::{self, Answer, DiscoveryServer};

const MIB: u64 = 1024 * 1024;

/// What a node does with what it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Serve,
    /// Takes all of it and says nothing.
    Hang,
    /// Takes all of it, waits until it is to behave otherwise, and says that it failed.
    Hold,
    /// Takes nothing behind the first line.
    Stuck,
    /// Turns a part away as full, when half of its frame has come.
    RefuseHalf,
    /// Turns a part away as full, all of it there.
    Refuse,
    Fault,
    /// Closes, all of it there.
    Close,
    /// Closes when half of the frame has come.
    CloseHalf,
    /// Takes so many bytes a second.
    Slow(u64),
}

#[derive(Default)]
struct Seen {
    /// How often all of each part's frame came and was not turned away.
    runs: HashMap<String, u32>,
    /// Frames that came whole, or in part.
    whole: usize,
    halves: usize,
    connections: usize,
}

#[derive(Clone)]
pub struct Node {
    name: String,
    address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    seen: Arc<Mutex<Seen>>,
}

fn frame(rest: &str) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(b'E');
    frame.extend_from_slice(rest.as_bytes());
    frame
}

impl Node {
    pub fn start(name: &str, manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let node = Self {
            name: name.to_string(),
            address,
            manner: Arc::new(Mutex::new(manner)),
            seen: Arc::default(),
        };
        let shared = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared.clone();
                node.seen.lock().unwrap().connections += 1;
                thread::spawn(move || node.attend(stream));
            }
        });
        node
    }

    fn attend(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(64 * 1024, stream);
        loop {
            let mut head = [0; 5];
            reader.read_exact(&mut head)?;
            let rest = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as u64 - 1;
            if head[4] != b'A' {
                std::io::copy(&mut reader.by_ref().take(rest), &mut std::io::sink())?;
                continue;
            }
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let words: Vec<_> = line.trim_end().split(' ').collect();
            let (id, length) = (words[0].to_string(), words[3].parse::<u64>().unwrap());
            let manner = *self.manner.lock().unwrap();
            let (mut left, mut crc) = (length, crc32fast::Hasher::new());
            let started = Instant::now();
            let mut buffer = vec![0; 64 * 1024];
            while left > 0 {
                match manner {
                    Manner::Stuck => thread::sleep(Duration::from_secs(60)),
                    Manner::RefuseHalf if left <= length / 2 => {
                        self.seen.lock().unwrap().halves += 1;
                        out.write_all(&frame(&format!("{id} overload 0 -\n")))?;
                        // What still comes is taken and thrown away until the broker closes.
                        std::io::copy(&mut reader, &mut std::io::sink())?;
                        return Ok(());
                    }
                    Manner::CloseHalf if left <= length / 2 => {
                        self.seen.lock().unwrap().halves += 1;
                        return Ok(());
                    }
                    Manner::Slow(rate) => {
                        let due = (length - left) as f64 / rate as f64;
                        thread::sleep(Duration::from_secs_f64(
                            (due - started.elapsed().as_secs_f64()).max(0.0),
                        ));
                    }
                    _ => {}
                }
                let most = buffer.len().min(left as usize);
                let count = reader.read(&mut buffer[..most])?;
                if count == 0 {
                    self.seen.lock().unwrap().halves += 1;
                    return Ok(());
                }
                crc.update(&buffer[..count]);
                left -= count as u64;
            }
            {
                let mut seen = self.seen.lock().unwrap();
                seen.whole += 1;
                if manner != Manner::Refuse {
                    *seen.runs.entry(id.clone()).or_default() += 1;
                }
            }
            let value = format!("{length}:{:08x}", crc.finalize());
            match manner {
                Manner::Hang => {}
                Manner::Hold => {
                    while *self.manner.lock().unwrap() == Manner::Hold {
                        thread::sleep(Duration::from_millis(5));
                    }
                    out.write_all(&frame(&format!("{id} fault 0 -\n")))?;
                }
                Manner::Close => return Ok(()),
                Manner::Refuse => out.write_all(&frame(&format!("{id} overload 0 -\n")))?,
                Manner::Fault => out.write_all(&frame(&format!("{id} fault 0 -\n")))?,
                _ => out.write_all(&frame(&format!("{id} hit 1 -\n{value}")))?,
            }
        }
    }

    pub fn behave(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn line(&self) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }

    /// How often each part ran here.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.seen.lock().unwrap().runs.clone()
    }

    /// Frames that came whole, those that broke off, and connections.
    pub fn frames(&self) -> (usize, usize, usize) {
        let seen = self.seen.lock().unwrap();
        (seen.whole, seen.halves, seen.connections)
    }
}

/// Parts of these table types that ran more than once, over all nodes.
pub fn twice(nodes: &[Node], of: impl Fn(&str) -> bool) -> Vec<String> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for (id, count) in nodes.iter().flat_map(Node::runs) {
        *runs.entry(id).or_default() += count;
    }
    runs.into_iter().filter(|(id, count)| *count > 1 && of(id)).map(|(id, _)| id).collect()
}

/// A broker before these nodes, its operator's file, and a folder that obeys `disk`'s words.
pub struct Site {
    pub broker: stand_ins::Broker,
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    pub kdl: PathBuf,
    disk: PathBuf,
    _list: DiscoveryServer,
}

/// Settings for bodies: a minute of patience, or the largest ones would end by their time on a slow machine.
pub fn config(list: SocketAddr, lines: Vec<Value>) -> Value {
    let mut config = stand_ins::config(list, lines);
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["aimMs"] = json!(20_000.0);
        service["deadlineMs"] = json!(30_000.0);
    }
    config["settings"]["ceilings"]["mostHeld"] = json!(4000);
    config["settings"]["projects"] =
        json!([{"name": "left", "quotaPerS": 1000.0}, {"name": "right", "quotaPerS": 1000.0}]);
    config["log"] = json!("info");
    config
}

impl Site {
    /// `program` is the laboratory's own, which hosts the broker. `FOLDER` in the operator's file is a fresh folder.
    pub fn start(program: &Path, nodes: Vec<Node>, kdl: &str) -> Self {
        Self::start_with(program, nodes, kdl, |_| {})
    }

    pub fn start_with(program: &Path, nodes: Vec<Node>, kdl: &str, change: impl Fn(&mut Value)) -> Self {
        let lines: Vec<_> = nodes.iter().map(Node::line).collect();
        let list = DiscoveryServer::start(lines.clone());
        let mut config = config(list.address, lines);
        change(&mut config);
        let (folder, disk, file) = (
            stand_ins::scratch_path("folder"),
            stand_ins::scratch_path("disk"),
            stand_ins::scratch_path("kdl"),
        );
        std::fs::create_dir(&folder).unwrap();
        std::fs::write(&file, kdl.replace("FOLDER", folder.to_str().unwrap())).unwrap();
        let mut command = Command::new(program);
        command.arg("broker").arg("--operator").arg(&file).arg("--disk").arg(&disk);
        let broker = stand_ins::Broker::from_child(stand_ins::launch_command(command, &config));
        Self { broker, nodes, folder, kdl: file, disk, _list: list }
    }

    /// From now on the disk does as these words say; see [`crate::faulty_disk`].
    pub fn disk(&self, words: &str) {
        // Written aside and moved: a call must not read the half of it.
        let aside = self.disk.with_extension("aside");
        std::fs::write(&aside, words).unwrap();
        std::fs::rename(&aside, &self.disk).unwrap();
    }

    /// Another operator's file, and a signal to read it.
    pub fn reread(&self, kdl: &str) {
        std::fs::write(&self.kdl, kdl.replace("FOLDER", self.folder.to_str().unwrap())).unwrap();
        self.broker.signal("HUP");
    }

    pub fn ask(&self, ask: &Ask) -> Told {
        ask.send(self.broker.address)
    }

    /// The most memory that the broker has taken, in bytes, without the pages of the program's own file: these grow with
    /// every library and say nothing of what is held.
    pub fn peak(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.broker.pid())).unwrap_or_default();
        let of = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
        };
        of("VmHWM:").saturating_sub(of("RssFile:"))
    }

    /// Files that stand in the folder by name; those in use are unlinked.
    pub fn files(&self) -> usize {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        entries.filter(|entry| entry.path().extension().is_some_and(|ending| ending == "body")).count()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
        let _ = std::fs::remove_file(&self.disk);
        let _ = std::fs::remove_file(&self.kdl);
    }
}

/// A scan in the raw form.
#[derive(Clone, Debug)]
pub struct Ask {
    pub table_type: &'static str,
    pub id: String,
    pub customer: &'static str,
    pub shards: Vec<usize>,
    pub budget: f64,
    pub length: u64,
    /// Sent in chunks, its length not stated.
    pub chunked: bool,
    /// Bytes a second; as fast as they go where none.
    pub pace: Option<u64>,
    /// The client leaves after so many bytes.
    pub leave_after: Option<u64>,
}

/// What an ask came to.
#[derive(Debug)]
pub struct Told {
    pub answer: Option<Answer>,
    pub took: f64,
}

impl Told {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |answer| answer.status)
    }

    /// The words of a refusal.
    pub fn why(&self) -> String {
        let words = self.answer.as_ref().and_then(|answer| answer.body["error"].as_str());
        words.unwrap_or_default().to_string()
    }
}

pub fn ask(table_type: &'static str, id: &str, shards: &[usize], length: u64) -> Ask {
    Ask {
        table_type,
        id: id.to_string(),
        customer: "left",
        shards: shards.to_vec(),
        budget: 20.0,
        length,
        chunked: false,
        pace: None,
        leave_after: None,
    }
}

/// Byte number `at` of the body of this id: no two blocks are alike, so that none can stand for another.
fn pattern(id: &str, at: u64, into: &mut [u8]) {
    let seed = crc32fast::hash(id.as_bytes()) as u64;
    for (i, byte) in into.iter_mut().enumerate() {
        let place = at + i as u64;
        *byte = (place.wrapping_mul(31) ^ (place >> 8) ^ (place >> 16) ^ seed) as u8;
    }
}

impl Ask {
    /// What a node that got all of it says.
    pub fn value(&self) -> String {
        let mut crc = crc32fast::Hasher::new();
        let mut block = vec![0; 64 * 1024];
        let mut at = 0;
        while at < self.length {
            let count = block.len().min((self.length - at) as usize);
            pattern(&self.id, at, &mut block[..count]);
            crc.update(&block[..count]);
            at += count as u64;
        }
        format!("{}:{:08x}", self.length, crc.finalize())
    }

    pub fn head(&self) -> String {
        let share = 1.0 / self.shards.len() as f64;
        let buckets: Vec<_> = self.shards.iter().map(|shard| format!("{shard}={share:.6}")).collect();
        let framing = match self.chunked {
            true => "Transfer-Encoding: chunked".to_string(),
            false => format!("Content-Length: {}", self.length),
        };
        format!(
            "POST /{} HTTP/1.1\r\nX-Call-Id: {}\r\nX-Caller: {}\r\nX-Budget: {}\r\nX-Buckets: {}\r\n{framing}\r\n\r\n",
            self.table_type,
            self.id,
            self.customer,
            self.budget,
            buckets.join(",")
        )
    }

    /// Sends it on a connection of its own and waits for what it comes to.
    pub fn send(&self, to: SocketAddr) -> Told {
        // Its time counts from when it can ask: hundreds that connect at once wait for each other in the system.
        let stream = TcpStream::connect(to);
        let started = Instant::now();
        let answer = stream.ok().and_then(|stream| self.talk(stream, started));
        Told { answer, took: started.elapsed().as_secs_f64() }
    }

    fn talk(&self, mut stream: TcpStream, started: Instant) -> Option<Answer> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(60))).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(60))).ok()?;
        stream.write_all(self.head().as_bytes()).ok()?;
        let mut block = vec![0; self.pace.map_or(64 * 1024, |pace| (pace as usize / 20).clamp(1, 64 * 1024))];
        let mut at = 0;
        while at < self.length {
            if self.leave_after.is_some_and(|most| at >= most) {
                return None;
            }
            let count = block.len().min((self.length - at) as usize);
            pattern(&self.id, at, &mut block[..count]);
            let mut sent = Ok(());
            if self.chunked {
                sent = stream.write_all(format!("{count:x}\r\n").as_bytes());
            }
            sent = sent.and_then(|()| stream.write_all(&block[..count]));
            if self.chunked {
                sent = sent.and_then(|()| stream.write_all(b"\r\n"));
            }
            // It has been answered already: the answer is still there to be read.
            if sent.is_err() {
                break;
            }
            at += count as u64;
            if let Some(pace) = self.pace {
                let due = at as f64 / pace as f64;
                thread::sleep(Duration::from_secs_f64((due - started.elapsed().as_secs_f64()).max(0.0)));
            }
        }
        if self.chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        if self.leave_after.is_some() {
            return None;
        }
        stand_ins::Client::from_stream(stream).read_answer()
    }
}

/// Megabytes, as they are written in an operator's file.
pub const fn mib(count: u64) -> u64 {
    count * MIB
}
