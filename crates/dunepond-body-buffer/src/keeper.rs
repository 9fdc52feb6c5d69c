//! Decides where each body is kept, against bounds for one and for all, for a customer and for a table type.

use std::collections::BTreeMap;
use std::fmt;

use crate::Fault;

/// A body, by a number that is never used twice.
pub type BodyId = u64;

/// Memory in use, as a share of all, from which kept bodies are moved to files, the coldest first; and down to which.
/// Below the bound, so that an arrival need not wait for a disk.
const HIGH: f64 = 0.6;
const LOW: f64 = 0.4;
/// What kept bodies may take of the memory and of each share of it: the rest is for windows, so that what is not kept
/// can still pass.
pub const KEPT: f64 = 0.75;
/// What a connection may hold to read a body with, until all of it has come: counted from its arrival on, as hundreds
/// that arrive in the same instant have read nothing yet.
const INTAKE: u64 = 64 * 1024;
/// By how much each failure in a row lengthens the rest of the files tier.
const LONGER: f64 = 2.0;

/// Bounds of the files tier.
#[derive(Clone, Debug, PartialEq)]
pub struct FileTerms {
    pub one: u64,
    pub all: u64,
    /// Seconds before a tier that failed is tried again: at first and at most.
    pub rest: (f64, f64),
}

/// What the operator allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The longest body that is taken at all.
    pub longest: u64,
    pub memory_one: u64,
    /// All that requests take in memory: bodies, what is queued of them, values.
    pub memory_all: u64,
    pub files: Option<FileTerms>,
    /// The part of each tier that one customer, and one table type, may take.
    pub customer: f64,
    pub table_type: f64,
    /// What a body that is not kept, or is on its way to or from a file, may take of the memory.
    pub window: u64,
    /// Seconds after which a node that takes nothing, or a disk that does nothing, is given up.
    pub slowest: f64,
}

/// A body that begins to come in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub customer: usize,
    pub table_type: usize,
    /// As stated ahead.
    pub length: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Memory,
    File,
    /// Passed on once, as it comes in.
    Passing,
}

/// What an arrival was given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Given {
    pub id: BodyId,
    pub place: Place,
    /// Why it is not in the place before.
    pub why: Option<Reason>,
}

/// What else a request takes of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Read and not yet part of a body, or framed and not shared with one.
    Buffers,
    /// Given by nodes.
    Values,
    /// Still on its way to the disk for bodies that have been let go of, or have fallen to another place.
    Unwritten,
}

/// Why a body is not kept where the one before would have been, or not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    TooLong,
    TooLongForMemory,
    MemoryFull,
    CustomersMemory,
    TableTypesMemory,
    FilesOff,
    FilesResting,
    TooLongForFiles,
    FilesFull,
    CustomersFiles,
    TableTypesFiles,
    /// Its length was not stated, so that it cannot be passed on.
    LengthUnknown,
    /// Not even a window is left.
    NoWindow,
    Disk(Fault),
}

/// Every reason has a name of its own, for counters, the log and the client.
impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("longer than bodies.longest"),
            Self::TooLongForMemory => f.write_str("longer than bodies.memory.one"),
            Self::MemoryFull => f.write_str("bodies.memory.all is used up"),
            Self::CustomersMemory => f.write_str("the customer's share of bodies.memory.all is used up"),
            Self::TableTypesMemory => f.write_str("the table type's share of bodies.memory.all is used up"),
            Self::FilesOff => f.write_str("bodies.files is off"),
            Self::FilesResting => f.write_str("bodies.files failed and is not tried again yet"),
            Self::TooLongForFiles => f.write_str("longer than bodies.files.one"),
            Self::FilesFull => f.write_str("bodies.files.all is used up"),
            Self::CustomersFiles => f.write_str("the customer's share of bodies.files.all is used up"),
            Self::TableTypesFiles => f.write_str("the table type's share of bodies.files.all is used up"),
            Self::LengthUnknown => f.write_str("its length is not stated and it cannot be kept"),
            Self::NoWindow => f.write_str("bodies.memory.all leaves no window"),
            Self::Disk(fault) => write!(f, "{fault}"),
        }
    }
}

/// An order to the host: write this body to a file; its memory is free once [`Keeper::spilled`] has been told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move(pub BodyId);

struct Entry {
    customer: usize,
    table_type: usize,
    length: Option<u64>,
    /// All of it has come.
    whole: bool,
    place: Place,
    /// Being written to a file while it counts as kept in memory.
    moving: bool,
    used: f64,
    memory: u64,
    file: u64,
    /// What has come, as far as told.
    total: u64,
}

/// Bytes taken of one tier.
#[derive(Default)]
struct Taken {
    all: u64,
    customers: BTreeMap<usize, u64>,
    table_types: BTreeMap<usize, u64>,
}

impl Taken {
    fn add(&mut self, customer: usize, table_type: usize, bytes: u64) {
        self.all += bytes;
        *self.customers.entry(customer).or_default() += bytes;
        *self.table_types.entry(table_type).or_default() += bytes;
    }

    fn take(&mut self, customer: usize, table_type: usize, bytes: u64) {
        self.all -= bytes;
        for (of, key) in [(&mut self.customers, customer), (&mut self.table_types, table_type)] {
            let left = of.get(&key).map_or(0, |taken| taken - bytes);
            // A name that holds nothing is not remembered: new ones all day would add up.
            if left == 0 {
                of.remove(&key)
            } else {
                of.insert(key, left)
            };
        }
    }
}

/// The files tier as its failures have left it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Tier {
    Open,
    Resting {
        until: f64,
        rest: f64,
    },
    /// One body at a time shows whether it works again.
    Trial {
        body: BodyId,
        rest: f64,
    },
}

/// What is held, for the counters and for whoever audits them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holding {
    pub bodies: usize,
    /// Of the memory: bodies, and everything.
    pub kept: u64,
    pub memory: u64,
    pub files: u64,
    /// The most that the memory has been.
    pub peak: u64,
}

pub struct Keeper {
    terms: Terms,
    entries: BTreeMap<BodyId, Entry>,
    last: BodyId,
    memory: Taken,
    files: Taken,
    other: BTreeMap<Kind, u64>,
    tier: Tier,
    peak: u64,
    counts: BTreeMap<(Place, Reason, usize), u64>,
}

impl Keeper {
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            entries: BTreeMap::new(),
            last: 0,
            memory: Taken::default(),
            files: Taken::default(),
            other: BTreeMap::new(),
            tier: Tier::Open,
            peak: 0,
            counts: BTreeMap::new(),
        }
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Other bounds from now on. What is held stays, however much it is; new bodies go by the new ones.
    pub fn change(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// A body begins to come in. Its place is reserved for the length that it states.
    pub fn arrive(&mut self, now: f64, arrival: Arrival) -> Result<Given, Reason> {
        let Arrival { customer, table_type, length } = arrival;
        let long = length.unwrap_or(0);
        if long > self.terms.longest {
            return Err(self.count(Place::Passing, Reason::TooLong, table_type));
        }
        let id = self.last + 1;
        let window = self.terms.window.min(length.unwrap_or(u64::MAX));
        // What may be long is given a window to begin with: a part of all for each would be held before it is asked for.
        let first = length.unwrap_or(window);
        let (place, why, memory, file) = match self.in_memory(customer, table_type, long, first) {
            Ok(()) => (Place::Memory, None, first, 0),
            Err(why) => {
                self.count(Place::Memory, why, table_type);
                match self.in_files(now, id, customer, table_type, long, long) {
                    Ok(()) => (Place::File, Some(why), window, long),
                    Err(why) => {
                        self.count(Place::File, why, table_type);
                        if length.is_none() {
                            return Err(self.count(Place::Passing, Reason::LengthUnknown, table_type));
                        }
                        (Place::Passing, Some(why), window, 0)
                    }
                }
            }
        };
        if place != Place::Memory && self.fits_memory(customer, table_type, memory).is_err() {
            return Err(self.count(Place::Passing, Reason::NoWindow, table_type));
        }
        if let (Place::File, Tier::Resting { rest, .. }) = (place, self.tier) {
            self.tier = Tier::Trial { body: id, rest };
        }
        self.last = id;
        let entry = Entry {
            customer,
            table_type,
            length,
            whole: false,
            place,
            moving: false,
            used: now,
            memory: 0,
            file: 0,
            total: 0,
        };
        self.entries.insert(id, entry);
        self.set(id, memory, file);
        Ok(Given { id, place, why })
    }

    /// More of a body has come whose length was not stated; `total` is all of it so far.
    pub fn grow(&mut self, now: f64, id: BodyId, total: u64) -> Result<Place, Reason> {
        let Some(entry) = self.entries.get(&id) else { return Err(Reason::LengthUnknown) };
        let (customer, table_type, place) = (entry.customer, entry.table_type, entry.place);
        let (memory, file) = (entry.memory, entry.file);
        if total > self.terms.longest {
            return Err(self.count(Place::Passing, Reason::TooLong, table_type));
        }
        self.entries.get_mut(&id).into_iter().for_each(|e| e.total = total);
        if place == Place::Memory {
            // As far as there is room a window ahead, as more comes before this is asked again.
            let ahead = (total + self.terms.window).max(memory);
            let ahead = match self.fits_part(KEPT, customer, table_type, ahead - memory) {
                Ok(()) => ahead,
                Err(_) => total.max(memory),
            };
            match self.in_memory(customer, table_type, total, ahead - memory) {
                Ok(()) => {
                    self.set(id, ahead, file);
                    return Ok(place);
                }
                Err(why) => drop(self.count(Place::Memory, why, table_type)),
            }
        }
        let window = self.terms.window.min(total);
        if let Err(why) = self.in_files(now, id, customer, table_type, total, total.saturating_sub(file)) {
            self.count(Place::File, why, table_type);
            return Err(self.count(Place::Passing, Reason::LengthUnknown, table_type));
        }
        if memory < window && self.fits_memory(customer, table_type, window - memory).is_err() {
            return Err(self.count(Place::Passing, Reason::NoWindow, table_type));
        }
        self.set(id, memory.max(window), total);
        self.entries.get_mut(&id).into_iter().for_each(|e| e.place = Place::File);
        Ok(Place::File)
    }

    /// What is reserved of the memory for a body.
    pub fn reserved(&self, id: BodyId) -> u64 {
        self.entries.get(&id).map_or(0, |entry| entry.memory)
    }

    /// All of it has come, and where it goes to a file, is there.
    pub fn whole(&mut self, now: f64, id: BodyId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        (entry.whole, entry.used) = (true, now);
        let (place, file, total) = (entry.place, entry.file, entry.total);
        if place == Place::Memory && entry.length.is_none() {
            self.set(id, total, file);
        }
        if place == Place::File {
            // What is read back for a dispatch needs its window still.
            self.set(id, self.terms.window.min(file), file);
            self.wrote(id);
        }
    }

    /// A dispatch has read it.
    pub fn used(&mut self, now: f64, id: BodyId) {
        self.entries.get_mut(&id).into_iter().for_each(|e| e.used = now);
    }

    /// Bodies to be moved from memory to files now: the coldest, until little enough is held.
    pub fn pressed(&mut self, now: f64) -> Vec<Move> {
        let all = self.terms.memory_all as f64;
        let mut moves = Vec::new();
        if (self.held() as f64) < HIGH * all || self.terms.files.is_none() {
            return moves;
        }
        let going = self.entries.values().filter(|e| e.moving);
        let going: u64 = going.map(|e| e.memory.saturating_sub(self.terms.window)).sum();
        let mut left = self.held() - going;
        let mut coldest: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| e.place == Place::Memory && e.whole && !e.moving && e.memory > self.terms.window)
            .map(|(id, e)| (e.used, *id, e.customer, e.table_type, e.memory))
            .collect();
        coldest.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id, customer, table_type, bytes) in coldest {
            if (left as f64) < LOW * all {
                break;
            }
            if self.in_files(now, id, customer, table_type, bytes, bytes).is_err() {
                continue;
            }
            if let Tier::Resting { rest, .. } = self.tier {
                self.tier = Tier::Trial { body: id, rest };
            }
            self.set(id, bytes, bytes);
            self.entries.get_mut(&id).into_iter().for_each(|e| e.moving = true);
            left -= bytes - self.terms.window;
            moves.push(Move(id));
        }
        moves
    }

    /// A moved body is in its file whole.
    pub fn spilled(&mut self, id: BodyId) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.moving) else { return };
        (entry.moving, entry.place) = (false, Place::File);
        let file = entry.file;
        self.set(id, self.terms.window.min(file), file);
        self.wrote(id);
    }

    /// The files tier has failed a body. A moved one stays in memory; one that was coming in goes on where this says,
    /// or has to be refused. What of it is in the file already stays readable, and counted.
    pub fn failed(&mut self, now: f64, id: BodyId, fault: Fault) -> Result<Place, Reason> {
        self.rest(now, id);
        let Some(entry) = self.entries.get_mut(&id) else { return Err(Reason::Disk(fault)) };
        let (table_type, memory) = (entry.table_type, entry.memory);
        if std::mem::take(&mut entry.moving) {
            self.set(id, memory, 0);
            self.count(Place::File, Reason::Disk(fault), table_type);
            return Ok(Place::Memory);
        }
        let passes = entry.place == Place::File && entry.length.is_some() && !entry.whole;
        entry.place = Place::Passing;
        self.count(Place::File, Reason::Disk(fault), table_type);
        if passes { Ok(Place::Passing) } else { Err(Reason::Disk(fault)) }
    }

    /// No dispatch can need it again, and no frame of it is half written.
    pub fn let_go(&mut self, id: BodyId) {
        self.set(id, 0, 0);
        self.entries.remove(&id);
        // Its client has left before it could show anything: the tier is as it was, and due.
        if let Tier::Trial { body, rest } = self.tier
            && body == id
        {
            self.tier = Tier::Resting { until: f64::MIN, rest };
        }
    }

    /// What else is held at this moment.
    pub fn held_beside(&mut self, kind: Kind, bytes: u64) {
        self.other.insert(kind, bytes);
        self.peak = self.peak.max(self.held());
    }

    pub fn holding(&self) -> Holding {
        Holding {
            bodies: self.entries.len(),
            kept: self.memory.all,
            memory: self.held(),
            files: self.files.all,
            peak: self.peak,
        }
    }

    /// How often a body was not kept in a place, or not taken (`Passing`), by reason and table type.
    pub fn counts(&self) -> impl Iterator<Item = (Place, Reason, usize, u64)> {
        self.counts.iter().map(|((place, reason, table_type), count)| (*place, *reason, *table_type, *count))
    }

    // ---- bounds

    fn held(&self) -> u64 {
        let incoming = INTAKE * self.entries.values().filter(|e| !e.whole).count() as u64;
        let of = |kind| self.other.get(&kind).copied().unwrap_or(0);
        self.memory.all + of(Kind::Buffers).max(incoming) + of(Kind::Values) + of(Kind::Unwritten)
    }

    fn set(&mut self, id: BodyId, memory: u64, file: u64) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let (customer, table_type) = (entry.customer, entry.table_type);
        self.memory.take(customer, table_type, entry.memory);
        self.memory.add(customer, table_type, memory);
        self.files.take(customer, table_type, entry.file);
        self.files.add(customer, table_type, file);
        (entry.memory, entry.file) = (memory, file);
        self.peak = self.peak.max(self.held());
    }

    fn in_memory(&self, customer: usize, table_type: usize, long: u64, more: u64) -> Result<(), Reason> {
        if long > self.terms.memory_one {
            return Err(Reason::TooLongForMemory);
        }
        self.fits_part(KEPT, customer, table_type, more)
    }

    fn fits_memory(&self, customer: usize, table_type: usize, more: u64) -> Result<(), Reason> {
        self.fits_part(1.0, customer, table_type, more)
    }

    fn fits_part(&self, part: f64, customer: usize, table_type: usize, more: u64) -> Result<(), Reason> {
        let all = (part * self.terms.memory_all as f64) as u64;
        let why = [Reason::MemoryFull, Reason::CustomersMemory, Reason::TableTypesMemory];
        self.fits(&self.memory, self.held(), all, (customer, table_type), more, why)
    }

    fn in_files(
        &self,
        now: f64,
        id: BodyId,
        customer: usize,
        table_type: usize,
        long: u64,
        more: u64,
    ) -> Result<(), Reason> {
        let files = self.terms.files.as_ref().ok_or(Reason::FilesOff)?;
        match self.tier {
            Tier::Resting { until, .. } if now < until => return Err(Reason::FilesResting),
            Tier::Trial { body, .. } if body != id => return Err(Reason::FilesResting),
            _ => {}
        }
        if long > files.one {
            return Err(Reason::TooLongForFiles);
        }
        let why = [Reason::FilesFull, Reason::CustomersFiles, Reason::TableTypesFiles];
        self.fits(&self.files, self.files.all, files.all, (customer, table_type), more, why)
    }

    fn fits(
        &self,
        taken: &Taken,
        held: u64,
        all: u64,
        (customer, table_type): (usize, usize),
        more: u64,
        why: [Reason; 3],
    ) -> Result<(), Reason> {
        let of = |map: &BTreeMap<usize, u64>, key| map.get(&key).copied().unwrap_or(0);
        let within = |share: f64| (share * all as f64) as u64;
        let bounds = [
            (held, all),
            (of(&taken.customers, customer), within(self.terms.customer)),
            (of(&taken.table_types, table_type), within(self.terms.table_type)),
        ];
        let over = bounds.iter().position(|(taken, most)| taken.saturating_add(more) > *most);
        over.map_or(Ok(()), |at| Err(why[at]))
    }

    fn count(&mut self, place: Place, reason: Reason, table_type: usize) -> Reason {
        *self.counts.entry((place, reason, table_type)).or_default() += 1;
        reason
    }

    // ---- the files tier

    fn wrote(&mut self, id: BodyId) {
        if matches!(self.tier, Tier::Trial { body, .. } if body == id) {
            self.tier = Tier::Open;
        }
    }

    /// Rests, the longer the more often it has failed in a row. What was under way together fails together, and is
    /// one failure.
    fn rest(&mut self, now: f64, id: BodyId) {
        let Some(files) = &self.terms.files else { return };
        let (first, longest) = files.rest;
        let rest = match self.tier {
            Tier::Open => first,
            Tier::Trial { body, rest } if body == id => (LONGER * rest).min(longest),
            Tier::Trial { .. } | Tier::Resting { .. } => return,
        };
        self.tier = Tier::Resting { until: now + rest, rest };
    }
}
