//! Readers of KDL nodes, keys and values that all features use. They report errors and continue, so that all errors in the
//! file are reported at once.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;

use ipnet::IpNet;
use kdl::{KdlEntry, KdlNode};

use super::{Diagnostic, MIB};

/// Reads one operator's file and collects the errors in it.
pub(super) struct Reader<'a> {
    text: &'a str,
    pub(super) errors: Vec<Diagnostic>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self { text, errors: Vec::new() }
    }
}

impl Reader<'_> {
    /// Reports an error at a byte offset in the file.
    pub(super) fn report(&mut self, offset: usize, message: impl Into<String>) {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        let start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        let column = 1 + String::from_utf8_lossy(&before[start..]).chars().count();
        self.errors.push(Diagnostic { line, column, message: message.into() });
    }

    /// Returns those of `nodes` whose name is in `known`. Unknown and repeated names are reported as errors, in
    /// messages that begin with `within`.
    pub(super) fn children<'n>(
        &mut self,
        within: &str,
        nodes: &'n [KdlNode],
        known: &[&str],
    ) -> Vec<&'n KdlNode> {
        self.children_with_repeats(within, nodes, known, &[])
    }

    /// Returns those of `nodes` whose name is in `known`. Unknown names, and repeated names that are not in
    /// `repeatable`, are reported as errors, in messages that begin with `within`.
    pub(super) fn children_with_repeats<'n>(
        &mut self,
        within: &str,
        nodes: &'n [KdlNode],
        known: &[&str],
        repeatable: &[&str],
    ) -> Vec<&'n KdlNode> {
        let mut accepted: Vec<&KdlNode> = Vec::new();
        for node in nodes {
            let (name, at) = (node.name().value(), node.name().span().offset());
            if !known.contains(&name) {
                self.report(
                    at,
                    format!("{within}: '{name}' is not known; expected one of {}", known.join(", ")),
                );
            } else if !repeatable.contains(&name)
                && accepted.iter().any(|before| before.name().value() == name)
            {
                self.report(at, format!("{within}: '{name}' is given twice"));
            } else {
                accepted.push(node);
            }
        }
        accepted
    }

    /// Returns a node's properties in the order of `known`; absent ones are `None`. Reports an error for each other
    /// property and each argument, and for children.
    pub(super) fn properties<'n, const N: usize>(
        &mut self,
        node: &'n KdlNode,
        known: [&str; N],
    ) -> [Option<&'n KdlEntry>; N] {
        let found = self.properties_beside_children(node, known);
        if let Some(children) = node.children() {
            let message = format!("{}: expected no children", node.name().value());
            self.report(children.span().offset(), message);
        }
        found
    }

    /// Returns the properties of a node that may have children, in the order of `known`; absent ones are `None`.
    /// Reports an error for each other property and each argument.
    pub(super) fn properties_beside_children<'n, const N: usize>(
        &mut self,
        node: &'n KdlNode,
        known: [&str; N],
    ) -> [Option<&'n KdlEntry>; N] {
        self.known_properties(node, node.entries(), known)
    }

    /// Returns a node's only argument, which is a name, and the node's properties in the order of `known`; what is
    /// absent is `None`. Reports an error for a missing name, for each other property and further argument, and for
    /// children.
    pub(super) fn name_and_properties<'n, const N: usize>(
        &mut self,
        node: &'n KdlNode,
        known: [&str; N],
    ) -> (Option<String>, [Option<&'n KdlEntry>; N]) {
        let entries = node.entries();
        let name = entries.first().filter(|entry| entry.name().is_none());
        let name = name.and_then(|entry| entry.value().as_string()).filter(|name| !name.is_empty());
        if name.is_none() {
            let message = format!("{}: expected a name after it", node.name().value());
            self.report(node.name().span().offset(), message);
        }
        let found = self.known_properties(node, &entries[usize::from(name.is_some())..], known);
        if let Some(children) = node.children() {
            let message = format!("{}: expected no children", node.name().value());
            self.report(children.span().offset(), message);
        }
        (name.map(str::to_string), found)
    }

    /// Returns the entries that are properties with a key in `known`, in the order of `known`; absent ones are `None`.
    /// Reports an error for each other entry.
    fn known_properties<'n, const N: usize>(
        &mut self,
        node: &KdlNode,
        entries: &'n [KdlEntry],
        known: [&str; N],
    ) -> [Option<&'n KdlEntry>; N] {
        let name = node.name().value();
        let mut found = [None; N];
        for entry in entries {
            let at = entry.span().offset();
            let Some(key) = entry.name().map(|key| key.value()) else {
                self.report(
                    at,
                    format!("{name}: a value without a key; expected one of {}", known.join("=, ") + "="),
                );
                continue;
            };
            match known.iter().position(|k| *k == key) {
                None => {
                    let known = known.join(", ");
                    self.report(at, format!("{name}: '{key}' is not known; expected one of {known}"));
                }
                Some(index) if found[index].is_some() => {
                    self.report(at, format!("{name}: '{key}' is given twice"));
                }
                Some(index) => found[index] = Some(entry),
            }
        }
        found
    }

    /// Returns a node's argument. Reports an error and returns `None` unless the node has exactly one argument and
    /// neither properties nor children.
    pub(super) fn argument<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        let (name, at) = (node.name().value(), node.name().span().offset());
        match node.entries() {
            [entry] if entry.name().is_none() && node.children().is_none() => Some(entry),
            _ => {
                self.report(at, format!("{name}: expected one value after it"));
                None
            }
        }
    }

    /// Returns the prefix of messages about a value: its key, or nothing if the value has no key.
    fn key_prefix(entry: &KdlEntry) -> String {
        entry.name().map_or(String::new(), |key| format!("{}: ", key.value()))
    }

    /// Reads a string that is not empty; `expected` describes it in the error message.
    pub(super) fn text(&mut self, entry: &KdlEntry, expected: &str) -> Option<String> {
        let text = entry.value().as_string().filter(|text| !text.is_empty());
        if text.is_none() {
            self.report(entry.span().offset(), format!("{}expected {expected}", Self::key_prefix(entry)));
        }
        text.map(str::to_string)
    }

    /// Reads an IP address with a port. If there is no entry, the error is reported at the byte offset `at`. Error
    /// messages begin with `what`.
    pub(super) fn address(&mut self, what: &str, entry: Option<&KdlEntry>, at: usize) -> Option<SocketAddr> {
        let address = entry.and_then(|entry| entry.value().as_string()).and_then(|text| text.parse().ok());
        if address.is_none() {
            let at = entry.map_or(at, |entry| entry.span().offset());
            self.report(at, format!("{what}: expected an address:port"));
        }
        address
    }

    /// Reads the absolute path of a file, which is a node's only argument.
    pub(super) fn absolute_path(&mut self, node: &KdlNode) -> Option<PathBuf> {
        let entry = self.argument(node)?;
        let path = entry.value().as_string().filter(|path| path.starts_with('/'));
        if path.is_none() {
            let message = format!("{}: expected the absolute path of a file", node.name().value());
            self.report(entry.span().offset(), message);
        }
        path.map(PathBuf::from)
    }

    /// Reads a string that must be one of `known`.
    pub(super) fn one_of(&mut self, entry: &KdlEntry, known: &[&str]) -> Option<String> {
        let value = entry.value().as_string().filter(|value| known.contains(value));
        if value.is_none() {
            let message = format!("{}expected one of \"{}\"", Self::key_prefix(entry), known.join("\", \""));
            self.report(entry.span().offset(), message);
        }
        value.map(str::to_string)
    }

    /// Reads a number from `min` to `max`.
    pub(super) fn number(&mut self, entry: &KdlEntry, min: f64, max: f64) -> Option<f64> {
        let value = entry.value();
        let number = value.as_float().or(value.as_integer().map(|whole| whole as f64));
        let number = number.filter(|number| (min..=max).contains(number));
        if number.is_none() {
            let message = format!("{}expected a number from {min} to {max}", Self::key_prefix(entry));
            self.report(entry.span().offset(), message);
        }
        number
    }

    /// Reads a number within `range`; returns `default` if it is absent or invalid.
    pub(super) fn number_or(
        &mut self,
        entry: Option<&KdlEntry>,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        entry.and_then(|entry| self.number(entry, *range.start(), *range.end())).unwrap_or(default)
    }

    /// Reads a number within `range` and drops its fraction; returns `default` if it is absent or invalid.
    pub(super) fn count_or(
        &mut self,
        entry: Option<&KdlEntry>,
        range: RangeInclusive<f64>,
        default: usize,
    ) -> usize {
        let number = entry.and_then(|entry| self.number(entry, *range.start(), *range.end()));
        number.map_or(default, |number| number as usize)
    }

    /// Reads `on` or `off`. Returns true for `on`, and false if the value is `off`, absent or invalid.
    pub(super) fn is_on(&mut self, entry: Option<&KdlEntry>) -> bool {
        entry.and_then(|entry| self.one_of(entry, &["on", "off"])).is_some_and(|value| value == "on")
    }

    /// Reads a size in bytes, `min` or more, which is a whole number or a string such as "64MiB".
    pub(super) fn size(&mut self, entry: &KdlEntry, min: u64) -> Option<u64> {
        let value = entry.value();
        let size = match value.as_string() {
            Some(text) => parse_size(text),
            None => value.as_integer().and_then(|bytes| u64::try_from(bytes).ok()),
        };
        let size = size.filter(|size| *size >= min);
        if size.is_none() {
            let message = format!(
                "{}expected a size of {min} bytes or more, such as \"64MiB\"",
                Self::key_prefix(entry)
            );
            self.report(entry.span().offset(), message);
        }
        size
    }

    /// Reads the networks or single addresses that are a node's arguments.
    pub(super) fn networks(&mut self, node: &KdlNode) -> Vec<IpNet> {
        let mut found = Vec::new();
        for entry in node.entries() {
            let text = entry.value().as_string().filter(|_| entry.name().is_none()).unwrap_or_default();
            let network = text.parse::<IpNet>().ok().or(text.parse::<IpAddr>().ok().map(IpNet::from));
            match network {
                Some(network) => found.push(network),
                None => {
                    let message =
                        format!("{}: expected a network such as \"10.1.0.0/16\"", node.name().value());
                    self.report(entry.span().offset(), message);
                }
            }
        }
        if node.entries().is_empty() || node.children().is_some() {
            let message = format!("{}: expected networks after it", node.name().value());
            self.report(node.name().span().offset(), message);
        }
        found
    }

    /// Reads the absolute path of a folder. If there is no entry, the error is reported at the position of the node's
    /// name.
    pub(super) fn absolute_folder(&mut self, node: &KdlNode, folder: Option<&KdlEntry>) -> Option<PathBuf> {
        let path = folder.and_then(|entry| entry.value().as_string()).filter(|path| path.starts_with('/'));
        if path.is_none() {
            let at = folder.map_or(node.name().span().offset(), |entry| entry.span().offset());
            let name = node.name().value();
            self.report(at, format!("{name}: folder: expected the absolute path of a folder"));
        }
        path.map(PathBuf::from)
    }
}

/// Parses a whole number with an optional unit, and returns the size in bytes; `None` if the text is invalid or the
/// size too large.
fn parse_size(text: &str) -> Option<u64> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let factor = match text[digits..].trim() {
        "" | "B" => 1,
        "KiB" => 1024,
        "MiB" => MIB,
        "GiB" => 1024 * MIB,
        _ => return None,
    };
    text[..digits].parse::<u64>().ok()?.checked_mul(factor)
}
