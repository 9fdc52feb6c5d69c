//! Query strings in their simple form: terms, phrases, AND, OR, NOT, a field and a colon. What would be a pattern, a fuzzy
//! term or a boost is refused.

use super::QueryParser;
use crate::Parsed;
use crate::error::ApiError;

/// What a query string has opened and not yet closed.
#[derive(Default)]
struct OpenDelimiters {
    quote: bool,
    escape: bool,
    parentheses: usize,
}

impl OpenDelimiters {
    /// Takes the next character.
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
                return Err(ApiError::parsing("a [)] that closes nothing").at(place));
            }
            ')' => self.parentheses -= 1,
            '*' | '?' | '~' | '^' | '/' | '[' | ']' | '{' | '}' | '<' | '>' => {
                return Err(ApiError::argument(format!("[{c}] is not supported here")).at(place));
            }
            _ => {}
        }
        Ok(())
    }

    /// Fails where something is open at the end.
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
        Err(ApiError::parsing(format!("{open} is left open")).at(place))
    }
}

impl QueryParser {
    /// Checks a query string that stands at `place`, and returns it with single spaces between its words.
    ///
    /// # Errors
    /// The first fault, and its place.
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
            return Err(ApiError::parsing("is empty").at(place));
        }
        self.count_clauses(place, spaces)?;
        Ok(normalized)
    }
}
