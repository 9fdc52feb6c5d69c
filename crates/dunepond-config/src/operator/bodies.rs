//! Bodies of requests: where they are kept, and how much of them.

use std::path::PathBuf;

use dunepond_body_buffer::{FileTerms, KEPT, Terms};
use kdl::{KdlDocument, KdlNode};

use super::MIB;
use super::reader::Reader;

/// Bodies of up to so much, in the raw form too; off where the file does not name them.
#[derive(Clone, Debug, PartialEq)]
pub struct Bodies {
    pub terms: Terms,
    pub folder: Option<Folder>,
}

/// Where the files are, and who writes them.
#[derive(Clone, Debug, PartialEq)]
pub struct Folder {
    pub path: PathBuf,
    pub threads: usize,
    pub waiting: usize,
}

impl Reader<'_> {
    pub(super) fn bodies(&mut self, node: &KdlNode) -> Bodies {
        const KNOWN: [&str; 6] = ["longest", "memory", "files", "share", "window", "slowest"];
        let at = node.name().span().offset();
        if !node.entries().is_empty() {
            self.fault(at, "bodies: takes no values of its own; its keys stand between braces");
        }
        let mut terms = Terms {
            longest: MIB,
            memory_one: MIB,
            memory_all: 48 * MIB,
            files: None,
            customer: 0.5,
            table_type: 0.75,
            window: MIB / 4,
            slowest: 2.0,
        };
        let mut folder = None;
        let children = node.children().map_or(&[][..], KdlDocument::nodes);
        for child in self.children("bodies", children, &KNOWN) {
            match child.name().value() {
                "longest" => {
                    let size = self.argument(child).and_then(|entry| self.size(entry, 64 * 1024));
                    terms.longest = size.unwrap_or(terms.longest);
                }
                "memory" => {
                    let [one, all] = self.properties(child, ["one", "all"]);
                    let one = one.and_then(|entry| self.size(entry, 0));
                    let all = all.and_then(|entry| self.size(entry, MIB));
                    (terms.memory_one, terms.memory_all) =
                        (one.unwrap_or(terms.memory_one), all.unwrap_or(terms.memory_all));
                }
                "files" => folder = self.files(child, &mut terms),
                "share" => {
                    let [customer, table_type] = self.properties(child, ["customer", "table-type"]);
                    let customer = customer.and_then(|entry| self.number(entry, 0.01, 1.0));
                    let table_type = table_type.and_then(|entry| self.number(entry, 0.01, 1.0));
                    (terms.customer, terms.table_type) =
                        (customer.unwrap_or(terms.customer), table_type.unwrap_or(terms.table_type));
                }
                "window" => {
                    let size = self.argument(child).and_then(|entry| self.size(entry, 128 * 1024));
                    terms.window = size.unwrap_or(terms.window);
                }
                _ => {
                    let seconds = self.argument(child).and_then(|entry| self.number(entry, 0.05, 60.0));
                    terms.slowest = seconds.unwrap_or(terms.slowest);
                }
            }
        }
        let share = terms.customer.min(terms.table_type);
        let most = (KEPT * share * terms.memory_all as f64) as u64;
        if terms.memory_one > most {
            self.fault(
                at,
                format!("bodies: memory one= is over the {most} bytes that a share of all= allows"),
            );
        }
        if terms.window as f64 > share * terms.memory_all as f64 {
            self.fault(at, "bodies: window is over what a share of memory all= allows");
        }
        if let Some(files) = &terms.files
            && files.one as f64 > share * files.all as f64
        {
            let most = (share * files.all as f64) as u64;
            self.fault(
                at,
                format!("bodies: files one= is over the {most} bytes that a share of all= allows"),
            );
        }
        Bodies { terms, folder }
    }

    fn files(&mut self, node: &KdlNode, terms: &mut Terms) -> Option<Folder> {
        let known = ["folder", "one", "all", "threads", "waiting", "rest", "longest-rest"];
        let [folder, one, all, threads, waiting, rest, longest] = self.properties(node, known);
        let path = self.folder(node, folder);
        let one = one.and_then(|entry| self.size(entry, 0)).unwrap_or(64 * MIB);
        let all = all.and_then(|entry| self.size(entry, MIB)).unwrap_or(1024 * MIB);
        let rest = rest.and_then(|entry| self.number(entry, 0.05, 600.0)).unwrap_or(0.5);
        let longest =
            longest.and_then(|entry| self.number(entry, rest, 3600.0)).unwrap_or(30.0_f64.max(rest));
        terms.files = Some(FileTerms { one, all, rest: (rest, longest) });
        let threads = threads.and_then(|entry| self.number(entry, 1.0, 16.0)).unwrap_or(2.0) as usize;
        let waiting = waiting.and_then(|entry| self.number(entry, 4.0, 4096.0)).unwrap_or(128.0) as usize;
        Some(Folder { path: path?, threads, waiting })
    }
}
