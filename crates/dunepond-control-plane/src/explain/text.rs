//! Truncation of the fields of an explanation, which contain names and reasons from files and other brokers.

use dunepond_consensus::ConfigVersion;

/// Maximum length of a field of an explanation, in bytes.
const MAX_FIELD_BYTES: usize = 160;
/// Maximum length of an explanation's line, in bytes.
pub const MAX_LINE_BYTES: usize = 4 * MAX_FIELD_BYTES + 64;
/// Maximum length of a name or reason inside a field, in characters.
const MAX_NAME_CHARS: usize = 40;
/// Maximum number of list items that a field names.
const MAX_NAMED_COUNT: usize = 3;

/// The text on one line, truncated to [`MAX_FIELD_BYTES`].
pub(super) fn truncated(text: &str) -> String {
    let mut short = String::new();
    for c in text.chars().map(|c| if c.is_control() { ' ' } else { c }) {
        if short.len() + c.len_utf8() > MAX_FIELD_BYTES - 3 {
            short.push_str("...");
            break;
        }
        short.push(c);
    }
    short
}

/// A name or reason, truncated to [`MAX_NAME_CHARS`] plus an ellipsis.
pub(super) fn shortened(text: &str) -> String {
    match text.char_indices().nth(MAX_NAME_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_string(),
    }
}

/// The first [`MAX_NAMED_COUNT`] names as a list, with the number of names that are left out.
pub(super) fn abbreviated_list(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.collect();
    let more = names.len().saturating_sub(MAX_NAMED_COUNT);
    let named = names.into_iter().take(MAX_NAMED_COUNT).collect::<Vec<_>>().join(", ");
    if more > 0 { format!("{named} and {more} more") } else { named }
}

/// The proposer of a configuration version and the reason for it, both shortened.
pub(super) fn proposer_and_reason(version: &ConfigVersion) -> String {
    format!("{}: {}", shortened(&version.proposed_by), shortened(&version.reason))
}
