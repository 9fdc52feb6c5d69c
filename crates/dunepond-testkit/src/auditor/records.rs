//! What brokers wrote down of their acts: one JSON object a line, merged by the steady clock that all share on one machine.

use std::fs;
use std::path::Path;

pub use dunepond_control_plane::{AuditEvent, AuditPhase, AuditRecord};

/// What stood in the files: lines by their time, and lines that cannot be read, each with its place.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// All records, by their time once sorted.
    pub lines: Vec<AuditRecord>,
    /// File and line of each that cannot be read.
    pub unreadable: Vec<(String, usize)>,
}

impl Records {
    /// Lines of one file, in their place among all.
    pub fn append_sorted(&mut self, name: &str, text: &str) {
        self.append_unsorted(name, text);
        self.sort();
    }

    /// Lines of one file, to be sorted once all files are in. The last of each life may be torn by a crash: the next life's first then stands right behind it.
    pub fn append_unsorted(&mut self, name: &str, text: &str) {
        let lines: Vec<_> = text.split('\n').enumerate().filter(|(_, line)| !line.is_empty()).collect();
        let whole = text.ends_with('\n');
        for (place, &(number, line)) in lines.iter().enumerate() {
            let behind = line.rfind("{\"at\":").map_or("", |at| &line[at..]);
            match serde_json::from_str(line).or_else(|_| serde_json::from_str(behind)) {
                Ok(line) => self.lines.push(line),
                Err(_) if place + 1 == lines.len() && !whole => {}
                Err(_) => self.unreadable.push((name.to_string(), number + 1)),
            }
        }
    }

    /// Puts all records in the order of their time.
    pub fn sort(&mut self) {
        // Stable: what one broker wrote at one time stays in its order.
        self.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    /// Reads these files; one that is not there counts as empty.
    ///
    /// # Errors
    /// Where a file cannot be read.
    pub fn read_files<'a>(files: impl IntoIterator<Item = &'a Path>) -> std::io::Result<Self> {
        let mut records = Self::default();
        for file in files {
            // Named for its readers; a broker that has done nothing has written none.
            let bytes = fs::read(file).or_else(|e| match e.kind() {
                std::io::ErrorKind::NotFound => Ok(Vec::new()),
                _ => Err(e),
            })?;
            records.append_sorted(&file.display().to_string(), &String::from_utf8_lossy(&bytes));
        }
        Ok(records)
    }
}
