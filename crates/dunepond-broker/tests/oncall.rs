//! Guards against an on-call page that quotes log lines which the program no longer writes.

use std::fs;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All source text outside tests, with string literals that run over several lines joined.
fn source_text() -> String {
    let mut text = String::new();
    for package in fs::read_dir(repository().join("crates")).expect("crates") {
        append_sources(&package.expect("a package").path().join("src"), &mut text);
    }
    join_continued_literals(&text)
}

fn append_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            if !path.ends_with("tests") {
                append_sources(&path, text);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Removes each backslash at a line's end together with the next line's indentation.
fn join_continued_literals(text: &str) -> String {
    let mut parts = text.split("\\\n");
    let mut joined = parts.next().unwrap_or_default().to_string();
    for part in parts {
        joined.push_str(part.trim_start());
    }
    joined
}

/// The lines that the page quotes in the first column of its tables on the broker's own log.
fn quoted_lines(page: &str) -> Vec<String> {
    let section = page.split("## The broker itself").nth(1).expect("the section on the broker's log");
    let rows = section.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let first_columns = rows.filter_map(|row| row.split('|').nth(1));
    first_columns.flat_map(|column| column.split('`').skip(1).step_by(2)).map(str::to_string).collect()
}

/// Returns the texts between the placeholders of a quoted line. Words in capitals, numbers with their unit and `...`
/// are placeholders.
fn literal_texts(line: &str) -> Vec<String> {
    let mut texts = vec![String::new()];
    for word in line.split(' ') {
        let bare = word.trim_matches(|character: char| !character.is_alphanumeric());
        let is_unit = matches!(bare, "s" | "ms");
        let is_placeholder = is_unit || !bare.chars().any(char::is_lowercase);
        match texts.last_mut() {
            Some(text) if !is_placeholder => {
                text.push_str(word);
                text.push(' ');
            }
            _ => texts.push(String::new()),
        }
    }
    let trimmed = texts.iter().map(|text| text.trim_matches(|character| " :;,()[]".contains(character)));
    trimmed.filter(|text| !text.is_empty()).map(str::to_string).collect()
}

/// Whether the program writes `text`: as one literal, as the parts between its colons, or as two pieces of literals
/// where a placeholder of the code stands for the rest of the line.
fn is_written(source: &str, text: &str) -> bool {
    let occurs = |part: &str| source.contains(part.trim());
    let separated = || text.split([':', ';', '/']).filter(|part| !part.trim().is_empty()).all(occurs);
    let in_two_pieces = || {
        text.match_indices(' ')
            .any(|(at, _)| is_literal_piece(source, &text[..at]) && is_literal_piece(source, &text[at + 1..]))
    };
    occurs(text) || (text.contains([':', ';', '/']) && separated()) || in_two_pieces()
}

/// Whether the source has `piece` as the whole text between two quotation marks or format placeholders.
fn is_literal_piece(source: &str, piece: &str) -> bool {
    let starts = ["\"", "}", "} "];
    let ends = ["\"", "{", " {"];
    starts.iter().any(|start| ends.iter().any(|end| source.contains(&format!("{start}{piece}{end}"))))
}

#[test]
fn log_lines_of_the_oncall_page_are_written_by_the_program() {
    let page = fs::read_to_string(repository().join("docs/oncall.md")).expect("the on-call page");
    let source = source_text();
    let lines = quoted_lines(&page);
    assert!(lines.len() > 60, "only {} quoted lines found on the on-call page", lines.len());
    let unknown: Vec<String> =
        lines.iter().flat_map(|line| literal_texts(line)).filter(|text| !is_written(&source, text)).collect();
    assert!(unknown.is_empty(), "the on-call page quotes log lines that no code writes: {unknown:#?}");
}

#[test]
fn literal_texts_leave_placeholders_out() {
    assert_eq!(literal_texts("discovery: node N is NAME at ADDRESS"), ["discovery: node", "is", "at"]);
    assert_eq!(
        literal_texts("... stalled with N attempts outstanding"),
        ["stalled with", "attempts outstanding"]
    );
}

#[test]
fn text_that_no_code_writes_is_found() {
    assert!(is_written("\"state: folder does not answer\"", "state: folder does not answer"));
    assert!(!is_written("\"state: folder does not answer\"", "state: folder is gone"));
    assert!(is_written("\"connection {end}\" \"refused\"", "connection refused"));
    assert!(!is_written("\"connection {end}\" \"refused by it\"", "connection refused"));
}
