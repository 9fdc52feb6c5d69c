//! Nodes that hold real text and answer phase one from real summaries of it, and the truth that they are held to.

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stand_ins::{self, Answer, DiscoveryServer};

pub const REPLICA_GROUP_COUNT: usize = 12;
pub const SEGMENT_COUNT: usize = 48;
const REPLICAS_PER_SEGMENT: usize = 3;
/// Words of each kind; a kind is how many of a hundred shards hold a word of it.
const WORDS: usize = 40;
const KINDS: [u64; 4] = [1, 10, 50, 100];
const BITS: usize = 8192;
const HASHES: u64 = 4;

/// A word that so many of a hundred shards hold.
pub fn term(kind: u64, number: usize) -> String {
    format!("r{kind}-{}", number % WORDS)
}

fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

/// A bloom filter over the words of a shard in a version: it never denies what is there.
struct Summary(Vec<u64>);

impl Summary {
    fn of(words: &HashSet<String>) -> Self {
        let mut bits = vec![0; BITS / 64];
        for (word, n) in words.iter().flat_map(|word| (0..HASHES).map(move |n| (word, n))) {
            let bit = hash((word, n)) as usize % BITS;
            bits[bit / 64] |= 1 << (bit % 64);
        }
        Self(bits)
    }

    fn may_match(&self, word: &str) -> bool {
        let bit = |n| hash((word, n)) as usize % BITS;
        (0..HASHES).map(bit).all(|bit| self.0[bit / 64] & (1 << (bit % 64)) != 0)
    }
}

struct Content {
    since: Instant,
    words: HashSet<String>,
    summary: Summary,
}

impl Content {
    fn new(seg: usize, version: usize) -> Self {
        let drawn = |kind: u64, n: usize| hash((seg, version, kind, n)) % 100 < kind;
        let all = KINDS.iter().flat_map(|kind| (0..WORDS).map(move |n| (*kind, n)));
        let words: HashSet<_> = all.filter(|(kind, n)| drawn(*kind, *n)).map(|(k, n)| term(k, n)).collect();
        Self { since: Instant::now(), summary: Summary::of(&words), words }
    }
}

/// What each shard holds and has held: version 1 first.
pub struct Corpus(Mutex<Vec<Vec<Content>>>);

impl Corpus {
    pub fn new() -> Arc<Self> {
        Arc::new(Self(Mutex::new((0..SEGMENT_COUNT).map(|seg| vec![Content::new(seg, 1)]).collect())))
    }

    /// A shard's content changes.
    pub fn advance_version(&self, seg: usize) {
        let mut all = self.0.lock().unwrap();
        let next = Content::new(seg, all[seg].len() + 1);
        all[seg].push(next);
    }

    pub fn matches(&self, seg: usize, word: &str) -> bool {
        let all = self.0.lock().unwrap();
        all[seg].last().is_some_and(|content| content.words.contains(word))
    }

    /// It matched in each version that it had at some time in between: leaving it out then is false.
    pub fn matched_throughout(&self, seg: usize, word: &str, from: Instant, to: Instant) -> bool {
        let all = self.0.lock().unwrap();
        let versions = &all[seg];
        let ends = |at: usize| versions.get(at + 1).is_none_or(|next| next.since >= from);
        let had = versions.iter().enumerate().filter(|(at, content)| content.since <= to && ends(*at));
        had.into_iter().all(|(_, content)| content.words.contains(word))
    }

    /// Shards that match a word, and those that do not.
    pub fn partition_by_match(&self, word: &str, segs: &[usize]) -> (Vec<usize>, Vec<usize>) {
        segs.iter().partition(|seg| self.matches(**seg, word))
    }
}

/// What a node does with questions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeBehavior {
    Honest,
    Stall,
    ReplyAfterMillis(u64),
    DenyAll,
    MatchAll,
    UnknownAll,
    /// Denies one shard, whatever it holds.
    DenySegment(usize),
    /// Speaks of the version before, by its name.
    PreviousVersion,
    /// Says what the version before held, and that it is the present one.
    StaleContent,
    /// Denies all, in a version that there is not yet.
    FutureVersion,
    /// Does not know the letter: says so and closes.
    RejectProbe,
    Close,
    Malformed,
    /// Answers about shards that it was not asked about.
    OtherSegments,
}

#[derive(Default)]
struct Seen {
    questions: AtomicUsize,
    searches: AtomicUsize,
    /// Bytes of questions and answers.
    talked: AtomicU64,
    runs: Mutex<BTreeMap<String, u32>>,
}

#[derive(Clone)]
pub struct Node {
    pub number: usize,
    address: SocketAddr,
    texts: Arc<Corpus>,
    manner: Arc<Mutex<ProbeBehavior>>,
    /// One search at a time, each for so long.
    work: Arc<Mutex<Duration>>,
    /// Searches are lied about too: nothing is found.
    pub hides_matches: Arc<Mutex<bool>>,
    seen: Arc<Seen>,
}

fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest.as_bytes());
    frame
}

impl Node {
    pub fn start(number: usize, texts: &Arc<Corpus>, manner: ProbeBehavior, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Self {
            number,
            address: listener.local_addr().unwrap(),
            texts: texts.clone(),
            manner: Arc::new(Mutex::new(manner)),
            work: Arc::new(Mutex::new(work)),
            hides_matches: Arc::default(),
            seen: Arc::default(),
        };
        let shared = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared.clone();
                thread::spawn(move || node.attend(stream));
            }
        });
        node
    }

    fn attend(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let mut rest = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut rest)?;
            let text = String::from_utf8_lossy(&rest[1..]).into_owned();
            let Some((line, body)) = text.split_once('\n') else { continue };
            let words: Vec<_> = line.split(' ').collect();
            match rest[0] {
                b'A' => self.search(&mut stream, words[0], words[1].parse().unwrap(), body)?,
                b'P' => {
                    self.seen.questions.fetch_add(1, Ordering::Relaxed);
                    self.seen.talked.fetch_add(text.len() as u64, Ordering::Relaxed);
                    let segs: Vec<usize> = words[2].split(',').map(|seg| seg.parse().unwrap()).collect();
                    if !self.answer(&mut stream, words[0], &segs, body)? {
                        return Ok(());
                    }
                }
                _ => {}
            }
        }
    }

    fn search(&self, stream: &mut TcpStream, id: &str, seg: usize, word: &str) -> std::io::Result<()> {
        self.seen.searches.fetch_add(1, Ordering::Relaxed);
        *self.seen.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
        {
            let work = self.work.lock().unwrap();
            thread::sleep(*work);
        }
        let (version, found) = {
            let all = self.texts.0.lock().unwrap();
            (all[seg].len(), all[seg].last().is_some_and(|content| content.words.contains(word)))
        };
        let found = found && !*self.hides_matches.lock().unwrap();
        let value = if found { word } else { "" };
        stream.write_all(&frame(b'E', &format!("{id} hit 1 v={version},n={}\n{value}", u8::from(found))))
    }

    /// False where it closes.
    fn answer(&self, stream: &mut TcpStream, id: &str, segs: &[usize], word: &str) -> std::io::Result<bool> {
        let manner = *self.manner.lock().unwrap();
        match manner {
            ProbeBehavior::Stall => return Ok(true),
            ProbeBehavior::ReplyAfterMillis(ms) => thread::sleep(Duration::from_millis(ms)),
            ProbeBehavior::RejectProbe => {
                stream.write_all(&frame(b'F', "an unknown letter"))?;
                return Ok(false);
            }
            ProbeBehavior::Close => return Ok(false),
            ProbeBehavior::Malformed => {
                stream.write_all(&frame(b'Q', &format!("{id}\n1 perhaps 2")))?;
                return Ok(true);
            }
            _ => {}
        }
        let all = self.texts.0.lock().unwrap();
        let lines = segs.iter().map(|seg| {
            let versions = &all[*seg];
            let (now, before) = (versions.len(), versions.len().saturating_sub(1).max(1));
            let said = |at: usize| if versions[at - 1].summary.may_match(word) { "may" } else { "no" };
            match manner {
                ProbeBehavior::DenyAll => format!("{seg} no {now}"),
                ProbeBehavior::MatchAll => format!("{seg} may {now}"),
                ProbeBehavior::UnknownAll => format!("{seg} unknown {now}"),
                ProbeBehavior::DenySegment(one) if one == *seg => format!("{seg} no {now}"),
                ProbeBehavior::PreviousVersion => format!("{seg} {} {before}", said(before)),
                ProbeBehavior::StaleContent => format!("{seg} {} {now}", said(before)),
                ProbeBehavior::FutureVersion => format!("{seg} no {}", now + 5),
                ProbeBehavior::OtherSegments => format!("{} no {now}", (seg + 7) % SEGMENT_COUNT),
                _ => format!("{seg} {} {now}", said(now)),
            }
        });
        let rest = format!("{id}\n{}", lines.collect::<Vec<_>>().join("\n"));
        drop(all);
        self.seen.talked.fetch_add(rest.len() as u64, Ordering::Relaxed);
        stream.write_all(&frame(b'Q', &rest))?;
        Ok(true)
    }

    pub fn set_behavior(&self, manner: ProbeBehavior) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn holds_segment(&self, seg: usize) -> bool {
        (0..REPLICAS_PER_SEGMENT)
            .any(|j| (seg + j) % REPLICA_GROUP_COUNT == self.number % REPLICA_GROUP_COUNT)
    }

    pub fn probes(&self) -> usize {
        self.seen.questions.load(Ordering::Relaxed)
    }

    pub fn searches(&self) -> usize {
        self.seen.searches.load(Ordering::Relaxed)
    }

    pub fn endpoint(&self, health: &str) -> Value {
        json!({"host": format!("s-{}", self.number), "dial": self.address.to_string(), "site": "a", "class": "m",
            "block": self.number % REPLICA_GROUP_COUNT, "health": health, "share": 1.0, "born_ms": 0})
    }
}

/// A broker before one node a cell, and the truth.
pub struct PrefilterCluster {
    pub broker: stand_ins::Broker,
    pub nodes: Vec<Node>,
    pub corpus: Arc<Corpus>,
    pub discovery: DiscoveryServer,
    pub operator_file: PathBuf,
}

impl PrefilterCluster {
    /// `program` is the laboratory's own; `manner` says how each node begins.
    /// Without `copies` no part is ever sent twice for being late, so that counts do not hang on the machine's speed.
    pub fn start(
        program: &Path,
        kdl: &str,
        work: Duration,
        copies: bool,
        manner: impl Fn(usize) -> ProbeBehavior,
    ) -> Self {
        let corpus = Corpus::new();
        let nodes: Vec<_> =
            (0..REPLICA_GROUP_COUNT).map(|i| Node::start(i, &corpus, manner(i), work)).collect();
        let lines: Vec<_> = nodes.iter().map(|node| node.endpoint("ready")).collect();
        let discovery = DiscoveryServer::start(lines.clone());
        let mut config = stand_ins::config(discovery.address, lines);
        config["settings"]["familyInfo"]["cells"] = json!(REPLICA_GROUP_COUNT);
        config["settings"]["familyInfo"]["span"] = json!(REPLICAS_PER_SEGMENT);
        config["settings"]["familyInfo"]["slabs"] = json!(SEGMENT_COUNT);
        config["settings"]["ceilings"]["mostHeld"] = json!(8000);
        config["settings"]["ceilings"]["secondCopies"] = json!(copies);
        config["log"] = json!("info");
        let kdl_file = stand_ins::scratch_path("kdl");
        std::fs::write(&kdl_file, kdl).unwrap();
        let mut command = Command::new(program);
        command.arg("broker").arg("--operator").arg(&kdl_file).arg("--disk").arg("/dev/null");
        let broker = stand_ins::Broker::from_child(stand_ins::launch_command(command, &config));
        Self { broker, nodes, corpus, discovery, operator_file: kdl_file }
    }

    pub fn searches(&self) -> usize {
        self.nodes.iter().map(Node::searches).sum()
    }

    pub fn questions(&self) -> usize {
        self.nodes.iter().map(Node::probes).sum()
    }

    /// Bytes of questions and answers so far.
    pub fn probe_bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.seen.talked.load(Ordering::Relaxed)).sum()
    }

    /// Parts that ran more than once, over all nodes.
    pub fn repeated_parts(&self) -> usize {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for node in &self.nodes {
            for (id, count) in &*node.seen.runs.lock().unwrap() {
                *runs.entry(id.clone()).or_default() += count;
            }
        }
        runs.values().filter(|count| **count > 1).count()
    }

    /// Another operator's file, and a signal to read it.
    pub fn reload_config(&self, kdl: &str) {
        std::fs::write(&self.operator_file, kdl).unwrap();
        self.broker.signal("HUP");
    }
}

impl Drop for PrefilterCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// A request for these shards with a word to search for.
pub fn query_request(table_type: &str, id: &str, segs: &[usize], budget: f64, word: &str) -> String {
    let share = 1.0 / segs.len() as f64;
    let buckets: Vec<_> = segs.iter().map(|seg| json!({"bucket": seg, "part": share})).collect();
    let body = json!({"buckets": buckets, "body": word}).to_string();
    format!(
        "POST /{table_type} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: {budget}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What an answer says, shard by shard.
#[derive(Debug, Default)]
pub struct SegmentResults {
    pub status: u16,
    pub complete: bool,
    /// Shards that were searched, and those in which something was found.
    pub searched: Vec<usize>,
    pub found: Vec<usize>,
    pub pruned: Vec<usize>,
}

pub fn parse_answer(answer: &Answer) -> SegmentResults {
    let bucket = |entry: &Value| entry["bucket"].as_u64().unwrap_or(u64::MAX) as usize;
    let list = |key: &str| answer.body[key].as_array().cloned().unwrap_or_default();
    let found = list("found");
    SegmentResults {
        status: answer.status,
        complete: answer.body["finished"] == json!(true),
        searched: found.iter().map(bucket).collect(),
        found: found.iter().filter(|entry| entry["item"] != json!("")).map(bucket).collect(),
        pruned: list("left_out").iter().map(bucket).collect(),
    }
}

impl SegmentResults {
    /// It says whole and is not: a shard is missing, counted twice, or left out though it matched all the while.
    pub fn is_falsely_complete(
        &self,
        texts: &Corpus,
        word: &str,
        segs: &[usize],
        from: Instant,
        to: Instant,
    ) -> bool {
        let mut covered = [&self.searched[..], &self.pruned[..]].concat();
        covered.sort_unstable();
        let mut all = segs.to_vec();
        all.sort_unstable();
        let wrong = |seg: &usize| texts.matched_throughout(*seg, word, from, to);
        self.status == 200 && self.complete && (covered != all || self.pruned.iter().any(wrong))
    }
}
