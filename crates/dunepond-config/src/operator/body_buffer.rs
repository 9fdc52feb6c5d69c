//! Reads the `bodies` node: the limits on request bodies, which are buffered for retries.

use std::path::PathBuf;

use dunepond_body_buffer::{BufferLimits, MAX_BUFFERED_RATIO, SpillLimits};
use kdl::{KdlDocument, KdlNode};

use super::MIB;
use super::reader::Reader;

const DEFAULT_LIMITS: BufferLimits = BufferLimits {
    max_body_bytes: MIB,
    max_body_in_memory_bytes: MIB,
    max_memory_bytes: 48 * MIB,
    spill: None,
    tenant_ratio: 0.5,
    query_class_ratio: 0.75,
    window_bytes: MIB / 4,
    io_timeout_seconds: 2.0,
};
const MIN_MAX_BODY_BYTES: u64 = 64 * 1024;
const MIN_WINDOW_BYTES: u64 = 128 * 1024;
const KEYS: [&str; 6] = ["longest", "memory", "files", "share", "window", "slowest"];

/// Limits on buffering request bodies, and where bodies are spilled to disk.
#[derive(Clone, Debug, PartialEq)]
pub struct BodyBufferConfig {
    /// Limits on the sizes of bodies and buffers, and the time after which a read or write without progress fails.
    pub limits: BufferLimits,
    /// Folder and threads for bodies that are spilled to disk; `None` if bodies are stored in memory only.
    pub spill: Option<SpillConfig>,
}

/// The folder to which bodies are spilled, and the threads that read and write there.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillConfig {
    /// Folder for the spilled bodies; it must exist.
    pub folder: PathBuf,
    /// Number of threads that read and write spilled bodies.
    pub threads: usize,
    /// Maximum number of reads and writes that wait for a thread.
    pub max_queued_jobs: usize,
}

impl Reader<'_> {
    /// Reads the `bodies` node.
    pub(super) fn body_buffer(&mut self, node: &KdlNode) -> BodyBufferConfig {
        let at = node.name().span().offset();
        if !node.entries().is_empty() {
            self.report(at, "bodies: expected no values here; its keys belong in braces after it");
        }
        let mut limits = DEFAULT_LIMITS;
        let mut spill = None;
        let children = node.children().map_or(&[][..], KdlDocument::nodes);
        for child in self.children("bodies", children, &KEYS) {
            match child.name().value() {
                "longest" => {
                    let size = self.argument(child).and_then(|entry| self.size(entry, MIN_MAX_BODY_BYTES));
                    limits.max_body_bytes = size.unwrap_or(limits.max_body_bytes);
                }
                "memory" => self.body_memory(child, &mut limits),
                "files" => spill = self.body_files(child, &mut limits),
                "share" => {
                    let [customer, table_type] = self.properties(child, ["customer", "table-type"]);
                    limits.tenant_ratio = self.number_or(customer, 0.01..=1.0, limits.tenant_ratio);
                    limits.query_class_ratio =
                        self.number_or(table_type, 0.01..=1.0, limits.query_class_ratio);
                }
                "window" => {
                    let size = self.argument(child).and_then(|entry| self.size(entry, MIN_WINDOW_BYTES));
                    limits.window_bytes = size.unwrap_or(limits.window_bytes);
                }
                _ => {
                    let slowest = self.argument(child);
                    limits.io_timeout_seconds =
                        self.number_or(slowest, 0.05..=60.0, limits.io_timeout_seconds);
                }
            }
        }
        self.check_body_limits(at, &limits);
        BodyBufferConfig { limits, spill }
    }

    /// Reads the `memory` node: the limits on bodies in memory.
    fn body_memory(&mut self, node: &KdlNode, limits: &mut BufferLimits) {
        let [one, all] = self.properties(node, ["one", "all"]);
        let one = one.and_then(|entry| self.size(entry, 0));
        let all = all.and_then(|entry| self.size(entry, MIB));
        limits.max_body_in_memory_bytes = one.unwrap_or(limits.max_body_in_memory_bytes);
        limits.max_memory_bytes = all.unwrap_or(limits.max_memory_bytes);
    }

    /// Reads the `files` node: the limits on spilled bodies, and where they are stored.
    fn body_files(&mut self, node: &KdlNode, limits: &mut BufferLimits) -> Option<SpillConfig> {
        let known = ["folder", "one", "all", "threads", "waiting", "rest", "longest-rest"];
        let [folder, one, all, threads, waiting, rest, longest_rest] = self.properties(node, known);
        let folder = self.absolute_folder(node, folder);
        let one = one.and_then(|entry| self.size(entry, 0)).unwrap_or(64 * MIB);
        let all = all.and_then(|entry| self.size(entry, MIB)).unwrap_or(1024 * MIB);
        let initial_backoff = self.number_or(rest, 0.05..=600.0, 0.5);
        let max_backoff =
            self.number_or(longest_rest, initial_backoff..=3600.0, 30.0_f64.max(initial_backoff));
        limits.spill = Some(SpillLimits {
            max_body_bytes: one,
            max_total_bytes: all,
            initial_backoff_seconds: initial_backoff,
            max_backoff_seconds: max_backoff,
        });
        let threads = self.count_or(threads, 1.0..=16.0, 2);
        let max_queued_jobs = self.count_or(waiting, 4.0..=4096.0, 128);
        Some(SpillConfig { folder: folder?, threads, max_queued_jobs })
    }

    /// Checks that the longest body in memory and the window of a streamed body fit into the memory that one tenant or
    /// one query class may use, and that the longest spilled body fits into the disk space that one of these may use.
    fn check_body_limits(&mut self, at: usize, limits: &BufferLimits) {
        let ratio = limits.tenant_ratio.min(limits.query_class_ratio);
        let max_buffered = (MAX_BUFFERED_RATIO * ratio * limits.max_memory_bytes as f64) as u64;
        if limits.max_body_in_memory_bytes > max_buffered {
            self.report(
                at,
                format!(
                    "bodies: memory one= is over the {max_buffered} bytes that one share of all= allows; \
                     lower it or raise all="
                ),
            );
        }
        if limits.window_bytes as f64 > ratio * limits.max_memory_bytes as f64 {
            self.report(
                at,
                "bodies: window is over what one share of memory all= allows; lower it or raise all=",
            );
        }
        if let Some(files) = &limits.spill
            && files.max_body_bytes as f64 > ratio * files.max_total_bytes as f64
        {
            let max_spilled = (ratio * files.max_total_bytes as f64) as u64;
            self.report(
                at,
                format!(
                    "bodies: files one= is over the {max_spilled} bytes that one share of all= allows; \
                     lower it or raise all="
                ),
            );
        }
    }
}
