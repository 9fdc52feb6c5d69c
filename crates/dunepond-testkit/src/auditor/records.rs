//! Reads the audit logs of brokers, which hold one JSON object a line, and merges them by time. All brokers run on one
//! machine, so that they share its monotonic clock.

use std::fs;
use std::path::Path;

pub use dunepond_control_plane::{AuditEvent, AuditPhase, AuditRecord};

/// The audit records read from several files, and the lines that could not be parsed.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// All records, ordered by time after [`Records::sort`].
    pub entries: Vec<AuditRecord>,
    /// File name and line number, from 1, of each line that cannot be parsed.
    pub invalid_lines: Vec<(String, usize)>,
}

impl Records {
    /// Adds the lines of one file and sorts all records by time.
    pub fn append_sorted(&mut self, name: &str, text: &str) {
        self.append_unsorted(name, text);
        self.sort();
    }

    /// Adds the lines of one file without sorting; call [`Records::sort`] after the last file. A crash may truncate the
    /// last line of an incarnation; the first record of the next incarnation then follows on the same line and is read
    /// from there.
    pub fn append_unsorted(&mut self, name: &str, text: &str) {
        let lines: Vec<_> = text.split('\n').enumerate().filter(|(_, line)| !line.is_empty()).collect();
        let ends_with_newline = text.ends_with('\n');
        for (position, &(index, line)) in lines.iter().enumerate() {
            let last_record = line.rfind("{\"at\":").map_or("", |at| &line[at..]);
            match serde_json::from_str(line).or_else(|_| serde_json::from_str(last_record)) {
                Ok(record) => self.entries.push(record),
                Err(_) if position + 1 == lines.len() && !ends_with_newline => {}
                Err(_) => self.invalid_lines.push((name.to_string(), index + 1)),
            }
        }
    }

    /// Sorts all records by time.
    pub fn sort(&mut self) {
        // The sort is stable, so that records of one broker with the same time keep their order.
        self.entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    /// Reads files and sorts their records by time. A missing file counts as empty, because a broker without events
    /// writes none.
    ///
    /// # Errors
    /// Returns the error of the first file that exists but cannot be read.
    pub fn read_files<'a>(files: impl IntoIterator<Item = &'a Path>) -> std::io::Result<Self> {
        let mut records = Self::default();
        for file in files {
            let bytes = fs::read(file).or_else(|e| match e.kind() {
                std::io::ErrorKind::NotFound => Ok(Vec::new()),
                _ => Err(e),
            })?;
            records.append_sorted(&file.display().to_string(), &String::from_utf8_lossy(&bytes));
        }
        Ok(records)
    }
}
