//! Validates query strings in a reduced syntax: terms, phrases, AND, OR, NOT, parentheses and `FIELD:TERM`. Patterns, fuzzy
//! terms, ranges and boosts are rejected.

use super::QueryParser;
use crate::Parsed;
use crate::error::ApiError;

/// Delimiters that are open at the current character of a query string.
#[derive(Default)]
struct OpenDelimiters {
    quote: bool,
    escape: bool,
    parentheses: usize,
}

impl OpenDelimiters {
    /// Updates the open delimiters with the next character; fails if the character is not supported.
    fn advance(&mut self, place: &str, c: char) -> Parsed<()> {
        if std::mem::take(&mut self.escape) {
            return Ok(());
        }
        match c {
            '\\' => self.escape = true,
            '"' => self.quote = !self.quote,
            _ if self.quote => {}
            '(' => self.parentheses += 1,
            ')' if self.parentheses == 0 => {
                return Err(ApiError::parsing("a [)] without a matching [(]").at(place));
            }
            ')' => self.parentheses -= 1,
            '*' | '?' | '~' | '^' | '/' | '[' | ']' | '{' | '}' | '<' | '>' => {
                return Err(
                    ApiError::argument(format!("[{c}] is not supported here; escape it with [\\]")).at(place)
                );
            }
            _ => {}
        }
        Ok(())
    }

    /// Fails if a delimiter is still open at the end of the query string.
    fn check_closed(&self, place: &str) -> Parsed<()> {
        let open = if self.quote {
            "a [\"]"
        } else if self.escape {
            "a [\\]"
        } else if self.parentheses > 0 {
            "a [(]"
        } else {
            return Ok(());
        };
        Err(ApiError::parsing(format!("{open} is not closed")).at(place))
    }
}

impl QueryParser {
    /// Validates the query string at the path `place`, and returns it with single spaces between its words; spaces in
    /// quotes are not changed. Each space between words counts as one more clause.
    ///
    /// # Errors
    /// Returns the first error in the query string, prefixed with `place`.
    pub fn parse_query_string(&mut self, place: &str, text: &str) -> Result<String, ApiError> {
        self.check_length(place, text, "max_text_length", self.limits.max_text_chars)?;
        let mut open = OpenDelimiters::default();
        let mut spaces = 0;
        let mut normalized = String::new();
        for c in text.chars() {
            open.advance(place, c)?;
            if open.quote || !c.is_whitespace() {
                normalized.push(c);
            } else if !normalized.is_empty() && !normalized.ends_with(' ') {
                normalized.push(' ');
                spaces += 1;
            }
        }
        open.check_closed(place)?;
        normalized.truncate(normalized.trim_end().len());
        if normalized.is_empty() {
            return Err(ApiError::parsing("the query string is empty").at(place));
        }
        self.count_clauses(place, spaces)?;
        Ok(normalized)
    }
}
