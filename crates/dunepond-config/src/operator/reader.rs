//! What is common to all nodes: their keys, their values, and the place of each fault.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use ipnet::IpNet;
use kdl::{KdlEntry, KdlNode};

use super::{Fault, MIB};

pub(super) struct Reader<'a> {
    pub(super) text: &'a str,
    pub(super) faults: Vec<Fault>,
}

impl Reader<'_> {
    pub(super) fn fault(&mut self, offset: usize, words: impl Into<String>) {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        let start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        let column = 1 + String::from_utf8_lossy(&before[start..]).chars().count();
        self.faults.push(Fault { line, column, words: words.into() });
    }

    /// The nodes that are known here, each once.
    pub(super) fn children<'n>(
        &mut self,
        within: &str,
        nodes: &'n [KdlNode],
        known: &[&str],
    ) -> Vec<&'n KdlNode> {
        self.several(within, nodes, known, &[])
    }

    /// The nodes that are known here, each once unless it is one of those of which there may be `many`.
    pub(super) fn several<'n>(
        &mut self,
        within: &str,
        nodes: &'n [KdlNode],
        known: &[&str],
        many: &[&str],
    ) -> Vec<&'n KdlNode> {
        let mut taken: Vec<&KdlNode> = Vec::new();
        for node in nodes {
            let (name, at) = (node.name().value(), node.name().span().offset());
            if !known.contains(&name) {
                self.fault(
                    at,
                    format!("{within}: '{name}' is not known; expected one of {}", known.join(", ")),
                );
            } else if !many.contains(&name) && taken.iter().any(|before| before.name().value() == name) {
                self.fault(at, format!("{within}: '{name}' is given twice"));
            } else {
                taken.push(node);
            }
        }
        taken
    }

    /// A node's properties by their names; it may have no others, no arguments and no children.
    pub(super) fn properties<'n, const N: usize>(
        &mut self,
        node: &'n KdlNode,
        known: [&str; N],
    ) -> [Option<&'n KdlEntry>; N] {
        let found = self.keys(node, known);
        if let Some(children) = node.children() {
            let words = format!("{}: has no children", node.name().value());
            self.fault(children.span().offset(), words);
        }
        found
    }

    /// The same for a node that may have children.
    pub(super) fn keys<'n, const N: usize>(
        &mut self,
        node: &'n KdlNode,
        known: [&str; N],
    ) -> [Option<&'n KdlEntry>; N] {
        self.among(node, node.entries(), known)
    }

    /// A node's name, which is the one value behind it, and its properties.
    pub(super) fn named<'n, const N: usize>(
        &mut self,
        node: &'n KdlNode,
        known: [&str; N],
    ) -> (Option<String>, [Option<&'n KdlEntry>; N]) {
        let entries = node.entries();
        let name = entries.first().filter(|entry| entry.name().is_none());
        let name = name.and_then(|entry| entry.value().as_string()).filter(|name| !name.is_empty());
        if name.is_none() {
            let words = format!("{}: expected a name behind it", node.name().value());
            self.fault(node.name().span().offset(), words);
        }
        let found = self.among(node, &entries[usize::from(name.is_some())..], known);
        if let Some(children) = node.children() {
            let words = format!("{}: has no children", node.name().value());
            self.fault(children.span().offset(), words);
        }
        (name.map(str::to_string), found)
    }

    fn among<'n, const N: usize>(
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
                self.fault(
                    at,
                    format!("{name}: a value without a key; expected {}", known.join("=, ") + "="),
                );
                continue;
            };
            match known.iter().position(|k| *k == key) {
                None => {
                    let known = known.join(", ");
                    self.fault(at, format!("{name}: '{key}' is not known; expected one of {known}"));
                }
                Some(place) if found[place].is_some() => {
                    self.fault(at, format!("{name}: '{key}' is given twice"));
                }
                Some(place) => found[place] = Some(entry),
            }
        }
        found
    }

    /// A node's one argument.
    pub(super) fn argument<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        let (name, at) = (node.name().value(), node.name().span().offset());
        match node.entries() {
            [entry] if entry.name().is_none() && node.children().is_none() => Some(entry),
            _ => {
                self.fault(at, format!("{name}: expected one value behind it"));
                None
            }
        }
    }

    pub(super) fn key(entry: &KdlEntry) -> String {
        entry.name().map_or(String::new(), |key| format!("{}: ", key.value()))
    }

    pub(super) fn text(&mut self, entry: &KdlEntry, expected: &str) -> Option<String> {
        let text = entry.value().as_string().filter(|text| !text.is_empty());
        if text.is_none() {
            self.fault(entry.span().offset(), format!("{}expected {expected}", Self::key(entry)));
        }
        text.map(str::to_string)
    }

    /// An address and port; `at` is where its want is named.
    pub(super) fn address(&mut self, what: &str, entry: Option<&KdlEntry>, at: usize) -> Option<SocketAddr> {
        let address = entry.and_then(|entry| entry.value().as_string()).and_then(|text| text.parse().ok());
        if address.is_none() {
            let at = entry.map_or(at, |entry| entry.span().offset());
            self.fault(at, format!("{what}: expected an address:port"));
        }
        address
    }

    /// The path of a file, from the root, as a node's one value.
    pub(super) fn path(&mut self, node: &KdlNode) -> Option<PathBuf> {
        let entry = self.argument(node)?;
        let path = entry.value().as_string().filter(|path| path.starts_with('/'));
        if path.is_none() {
            let words = format!("{}: expected the path of a file, from the root", node.name().value());
            self.fault(entry.span().offset(), words);
        }
        path.map(PathBuf::from)
    }

    pub(super) fn word(&mut self, entry: &KdlEntry, known: &[&str]) -> Option<String> {
        let word = entry.value().as_string().filter(|word| known.contains(word));
        if word.is_none() {
            let words = format!("{}expected one of \"{}\"", Self::key(entry), known.join("\", \""));
            self.fault(entry.span().offset(), words);
        }
        word.map(str::to_string)
    }

    pub(super) fn number(&mut self, entry: &KdlEntry, least: f64, most: f64) -> Option<f64> {
        let value = entry.value();
        let number = value.as_float().or(value.as_integer().map(|whole| whole as f64));
        let number = number.filter(|number| (least..=most).contains(number));
        if number.is_none() {
            let words = format!("{}expected a number from {least} to {most}", Self::key(entry));
            self.fault(entry.span().offset(), words);
        }
        number
    }

    /// A size: a whole number of bytes, or text such as "64MiB".
    pub(super) fn size(&mut self, entry: &KdlEntry, least: u64) -> Option<u64> {
        let value = entry.value();
        let size = match value.as_string() {
            Some(text) => sized(text),
            None => value.as_integer().and_then(|bytes| u64::try_from(bytes).ok()),
        };
        let size = size.filter(|size| *size >= least);
        if size.is_none() {
            let words =
                format!("{}expected a size of {least} bytes or more, such as \"64MiB\"", Self::key(entry));
            self.fault(entry.span().offset(), words);
        }
        size
    }

    /// Networks or single addresses, each an argument.
    pub(super) fn networks(&mut self, node: &KdlNode) -> Vec<IpNet> {
        let mut found = Vec::new();
        for entry in node.entries() {
            let text = entry.value().as_string().filter(|_| entry.name().is_none()).unwrap_or_default();
            let network = text.parse::<IpNet>().ok().or(text.parse::<IpAddr>().ok().map(IpNet::from));
            match network {
                Some(network) => found.push(network),
                None => {
                    let words =
                        format!("{}: expected a network such as \"10.1.0.0/16\"", node.name().value());
                    self.fault(entry.span().offset(), words);
                }
            }
        }
        if node.entries().is_empty() || node.children().is_some() {
            let words = format!("{}: expected networks behind it", node.name().value());
            self.fault(node.name().span().offset(), words);
        }
        found
    }

    /// A folder's path, which must be there.
    pub(super) fn folder(&mut self, node: &KdlNode, folder: Option<&KdlEntry>) -> Option<PathBuf> {
        let path = folder.and_then(|entry| entry.value().as_string()).filter(|path| path.starts_with('/'));
        if path.is_none() {
            let at = folder.map_or(node.name().span().offset(), |entry| entry.span().offset());
            let name = node.name().value();
            self.fault(at, format!("{name}: folder: expected the path of a folder, from the root"));
        }
        path.map(PathBuf::from)
    }
}

fn sized(text: &str) -> Option<u64> {
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
