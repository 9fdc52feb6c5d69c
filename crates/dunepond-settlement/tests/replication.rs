//! Tests of the replication of counts: all brokers converge, and messages between brokers with the same counts are small.

use dunepond_settlement::{BrokerPartners, CarriedCounts, CountsMessage, CountsReplication, LocalCounts};
use proptest::prelude::*;
use rstest::rstest;

const BROKERS: usize = 3;

fn name(broker: usize) -> String {
    format!("b{broker}")
}

/// A broker with its folder. Like the control plane, it stores its counts before it sends them, and merges a message before it
/// updates the positions.
struct Broker {
    index: usize,
    counts: LocalCounts,
    replication: CountsReplication,
    folder: LocalCounts,
}

impl Broker {
    fn new(index: usize) -> Broker {
        let counts = LocalCounts::open(None, &name(index), 1).unwrap();
        Broker {
            index,
            folder: counts.clone(),
            counts,
            replication: CountsReplication::new(u64::MAX - index as u64),
        }
    }

    fn send(&mut self, to: usize) -> CountsMessage {
        self.folder = self.counts.clone();
        self.replication.message_for(&name(to), self.counts.counts())
    }

    fn receive(&mut self, from: usize, message: &CountsMessage) {
        self.counts.merge_from_peer(&name(from), &message.counts, &BrokerPartners::default()).unwrap();
        self.replication.handle_message(&name(from), message, self.counts.counts());
    }

    fn restart(&mut self, process: u64, folder_lost: bool) {
        let incarnation = self.counts.incarnation() + 1;
        let folder = (!folder_lost).then(|| self.folder.clone());
        self.counts = LocalCounts::open(folder, &name(self.index), incarnation).unwrap();
        self.replication = CountsReplication::new(process);
    }
}

/// Sends a message and its answer, delivers both, and returns them.
fn exchange(brokers: &mut [Broker], from: usize, to: usize) -> [CountsMessage; 2] {
    let message = brokers[from].send(to);
    brokers[to].receive(from, &message);
    let answer = brokers[to].send(from);
    brokers[from].receive(to, &answer);
    [message, answer]
}

fn encoded_len(message: &CountsMessage) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(36), ..ProptestConfig::with_cases(512) })]

    /// Messages are lost, duplicated, late and reordered, and brokers restart from their folder or from an empty one. Three
    /// exchanges then make any two brokers agree, and finally all three; if no folder was lost, they know all bytes ever
    /// stored. The run is too short for the periodic messages with all rows.
    #[test]
    fn changed_rows_converge(actions in prop::collection::vec((0..8u8, 0..BROKERS, 1..BROKERS, 1..100u64, any::<prop::sample::Index>()), 1..60), first in 0..BROKERS, last_offset in 1..BROKERS) {
        let mut brokers: Vec<Broker> = (0..BROKERS).map(Broker::new).collect();
        let (mut stored, mut is_folder_lost) = (CarriedCounts::new(), false);
        // Sender, receiver and message.
        let mut sent: Vec<(usize, usize, CountsMessage)> = Vec::new();
        for (number, (action, broker, offset, bytes, sent_index)) in actions.into_iter().enumerate() {
            let to = (broker + offset) % BROKERS;
            match action {
                0 | 1 => brokers[broker].counts.record("north", ["south", "west"][bytes as usize % 2], bytes),
                2 => {
                    let message = brokers[broker].send(to);
                    sent.push((broker, to, message));
                }
                // A message is delivered; action 3 also answers it.
                3 | 4 if !sent.is_empty() => {
                    let (from, to, message) = sent[sent_index.index(sent.len())].clone();
                    brokers[to].receive(from, &message);
                    if action == 3 {
                        let answer = brokers[to].send(from);
                        sent.push((to, from, answer));
                    }
                }
                5 => sent.extend(exchange(&mut brokers, broker, to).into_iter().zip([(broker, to), (to, broker)]).map(|(message, (from, to))| (from, to, message))),
                6 | 7 => {
                    is_folder_lost |= action == 7;
                    brokers[broker].restart(100 + number as u64, action == 7);
                }
                _ => {}
            }
            brokers.iter().for_each(|broker| stored.merge(broker.folder.counts()));
        }
        let second = (first + last_offset) % BROKERS;
        (0..3).for_each(|_| drop(exchange(&mut brokers, first, second)));
        prop_assert_eq!(brokers[first].counts.counts(), brokers[second].counts.counts());
        for _ in 0..3 {
            for (from, to) in [(0, 1), (1, 2), (2, 0)] {
                exchange(&mut brokers, from, to);
            }
        }
        brokers.iter().for_each(|broker| stored.merge(broker.counts.counts()));
        for broker in &brokers {
            let expected = if is_folder_lost { brokers[0].counts.counts() } else { &stored };
            prop_assert_eq!(broker.counts.counts(), expected);
        }
    }
}

/// Guards against messages that grow with the fleet. Each of a hundred brokers has counted thirty pairs, the scale of the
/// experiment `fleet-at-size`.
#[rstest]
fn idle_fleet_sends_little() {
    let partners: Vec<_> = (0..6).map(|partner| format!("partner{partner}")).collect();
    let mut rows = CarriedCounts::new();
    for broker in 0..100 {
        for (carrier, debtor) in
            partners.iter().flat_map(|carrier| partners.iter().map(move |debtor| (carrier, debtor)))
        {
            rows.record(&format!("broker{broker:03}"), 1, carrier, debtor, 1 << 40);
        }
    }
    let mut brokers = [Broker::new(0), Broker::new(1)];
    brokers[0].counts.merge_from_peer("b2", &rows, &BrokerPartners::default()).unwrap();
    let complete_bytes = postcard::to_stdvec(brokers[0].counts.counts()).unwrap().len();
    let [first, answer] = exchange(&mut brokers, 0, 1).map(|message| encoded_len(&message));
    assert!(
        first > complete_bytes && answer < 100,
        "the message has {first} bytes, all counts {complete_bytes}, the answer {answer}"
    );
    let idle = exchange(&mut brokers, 1, 0).map(|message| encoded_len(&message));
    assert!(
        idle.iter().all(|bytes| *bytes < 100),
        "the messages have {idle:?} bytes, all counts {complete_bytes}"
    );
    // One row changes, and only that row is sent.
    brokers[0].counts.record("partner0", "partner1", 5);
    let one_row = exchange(&mut brokers, 0, 1).map(|message| encoded_len(&message));
    assert!(one_row[0] < 150 && one_row[1] < 100, "the messages have {one_row:?} bytes");
    assert_eq!(brokers[0].counts.counts(), brokers[1].counts.counts());
    // A long idle run, in which a few messages contain all rows.
    let lengths = (0..610)
        .flat_map(|at| exchange(&mut brokers, at % 2, 1 - at % 2))
        .map(|message| encoded_len(&message));
    let mean = lengths.sum::<usize>() / 1220;
    println!(
        "bytes: all counts {complete_bytes}, idle messages {idle:?}, messages with one row {one_row:?}, mean per message {mean}"
    );
    assert!(
        mean > idle[0] && mean < 200,
        "mean {mean} bytes per message: messages with all rows must occur, but rarely"
    );
}

/// Guards the compatibility with older builds, which encode only the counts and decode only the counts of a message.
#[rstest]
fn counts_only_peers_are_compatible() {
    let mut brokers = [Broker::new(0), Broker::new(1)];
    brokers[0].counts.record("north", "south", 5);
    for _ in 0..3 {
        let sent_bytes = postcard::to_stdvec(&brokers[0].send(1)).unwrap();
        assert_eq!(&postcard::from_bytes::<CarriedCounts>(&sent_bytes).unwrap(), brokers[0].counts.counts());
        let counts_only = postcard::to_stdvec(brokers[1].counts.counts()).unwrap();
        assert!(postcard::from_bytes::<CountsMessage>(&counts_only).is_err());
        brokers[0].receive(1, &CountsMessage::counts_only(postcard::from_bytes(&counts_only).unwrap()));
    }
}

/// Run manually. Measures the bytes per second that a broker sends, compared with sending all counts in each message. Each
/// second, every broker records traffic of each pair of partners with a probability of `busy_percent`, and exchanges messages
/// with a random other broker.
#[rstest]
#[ignore = "a measurement, some minutes"]
fn bytes_per_second(#[values(30, 100)] brokers: usize, #[values(0, 5, 100)] busy_percent: u64) {
    let partners: Vec<_> = (0..6).map(|partner| format!("partner{partner}")).collect();
    let mut all: Vec<Broker> = (0..brokers).map(Broker::new).collect();
    let mut seed = 7u64;
    let mut random = |below: usize| {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (seed >> 33) as usize % below
    };
    let (mut sent_bytes, mut complete_bytes) = (0, 0);
    for second in 0..160 {
        for broker in &mut all {
            for pair in 0..36 {
                if second == 0 || (random(100) as u64) < busy_percent {
                    broker.counts.record(&partners[pair / 6], &partners[pair % 6], 1 << 20);
                }
            }
        }
        for from in 0..brokers {
            let to = (from + 1 + random(brokers - 1)) % brokers;
            let messages = exchange(&mut all, from, to);
            // Sent bytes are counted only after 100 seconds, once all brokers have all rows.
            if second >= 100 {
                sent_bytes += messages.iter().map(encoded_len).sum::<usize>();
                complete_bytes += 2 * postcard::to_stdvec(all[from].counts.counts()).unwrap().len();
            }
        }
    }
    println!(
        "{brokers} brokers, {busy_percent} % busy: {} bytes per second instead of {}",
        sent_bytes / 60 / brokers,
        complete_bytes / 60 / brokers
    );
}
