//! The query part of a search: read strictly, every place named, and put into one form that nodes are sent whatever
//! form the client wrote it in.

use serde_json::{Map, Value, json};

use crate::error::ApiError;

/// What a query may cost its reader and the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Leaves of the tree, terms of a `terms` counted each.
    pub clauses: usize,
    /// `bool` within `bool`.
    pub depth: usize,
    /// Characters of a regular expression.
    pub regexp: usize,
    /// Bytes of a text to be matched.
    pub text: usize,
}

/// A query, checked.
#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    MatchAll,
    MatchNone,
    Match { field: String, text: String, all: bool },
    Phrase { field: String, text: String, slop: u64 },
    Term { field: String, value: Value },
    Terms { field: String, values: Vec<Value> },
    Prefix { field: String, value: String },
    Regexp { field: String, value: String },
    Range { field: String, bounds: Vec<(&'static str, Value)> },
    Exists { field: String },
    Bool(Box<Bool>),
    QueryString { text: String, field: Option<String>, all: bool },
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bool {
    pub must: Vec<Query>,
    pub filter: Vec<Query>,
    pub should: Vec<Query>,
    pub must_not: Vec<Query>,
    /// How many of `should` must match; where the client is silent, 1 if nothing else must, or none.
    pub least: u64,
}

/// Reads queries, counting what they cost.
pub struct Reader {
    bounds: Bounds,
    clauses: usize,
}

type Read<T> = Result<T, ApiError>;

fn unknown(place: &str, key: &str, known: &[&str]) -> ApiError {
    ApiError::parsing(format!("unknown key [{key}], expected one of [{}]", known.join(", "))).at(place)
}

fn object<'v>(place: &str, value: &'v Value) -> Read<&'v Map<String, Value>> {
    value.as_object().ok_or_else(|| ApiError::parsing("expected an object").at(place))
}

/// An object's one entry, as queries and fields are written.
fn single<'v>(place: &str, value: &'v Value) -> Read<(&'v String, &'v Value)> {
    let map = object(place, value)?;
    match (map.len(), map.iter().next()) {
        (1, Some(entry)) => Ok(entry),
        (count, _) => Err(ApiError::parsing(format!("expected one key and found {count}")).at(place)),
    }
}

fn text(place: &str, value: &Value) -> Read<String> {
    value.as_str().map(str::to_string).ok_or_else(|| ApiError::parsing("expected text").at(place))
}

/// A single value, as terms and bounds are: no list, no object, not nothing.
fn scalar(place: &str, value: &Value) -> Read<Value> {
    match value {
        Value::String(_) | Value::Number(_) | Value::Bool(_) => Ok(value.clone()),
        _ => Err(ApiError::parsing("expected a text, a number, true or false").at(place)),
    }
}

fn whole(place: &str, value: &Value) -> Read<u64> {
    value.as_u64().ok_or_else(|| ApiError::parsing("expected a whole number").at(place))
}

/// `and` or `or`, as operators are written.
fn operator(place: &str, value: &Value) -> Read<bool> {
    match value.as_str().map(str::to_ascii_lowercase).as_deref() {
        Some("and") => Ok(true),
        Some("or") => Ok(false),
        _ => Err(ApiError::parsing("expected [and] or [or]").at(place)),
    }
}

/// A field's name: something, in plain characters, without what nodes would read as a pattern.
fn named(place: &str, field: &str) -> Read<String> {
    let plain = |c: char| c.is_alphanumeric() || matches!(c, '_' | '.' | '-' | '@');
    if field.is_empty() || field.len() > 200 || !field.chars().all(plain) {
        return Err(ApiError::argument("not the name of a field; patterns are not supported").at(place));
    }
    Ok(field.to_string())
}

impl Reader {
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, clauses: 0 }
    }

    fn clause(&mut self, place: &str, count: usize) -> Read<()> {
        self.clauses += count;
        if self.clauses > self.bounds.clauses {
            return Err(
                ApiError::argument(format!("more than max_clauses [{}]", self.bounds.clauses)).at(place)
            );
        }
        Ok(())
    }

    fn long(&self, place: &str, text: String, what: &str, most: usize) -> Read<String> {
        if text.chars().count() > most {
            return Err(ApiError::argument(format!("longer than {what} [{most}]")).at(place));
        }
        Ok(text)
    }

    /// Reads a query that stands at `place`.
    pub fn read(&mut self, place: &str, value: &Value) -> Read<Query> {
        self.nested(place, value, 0)
    }

    fn nested(&mut self, place: &str, value: &Value, depth: usize) -> Read<Query> {
        let (kind, inner) = single(place, value)?;
        let place = &format!("{place}.{kind}");
        if kind != "bool" {
            self.clause(place, 1)?;
        }
        match kind.as_str() {
            "match_all" | "match_none" => {
                if let Some(key) = object(place, inner)?.keys().next() {
                    return Err(unknown(place, key, &[]));
                }
                Ok(if kind == "match_all" { Query::MatchAll } else { Query::MatchNone })
            }
            "match" => {
                let (field, text, entries) = self.on_field(place, inner, "query", &["query", "operator"])?;
                let all = entries.get("operator").map(|o| operator(&format!("{place}.{field}.operator"), o));
                Ok(Query::Match { field, text, all: all.transpose()?.unwrap_or(false) })
            }
            "match_phrase" => {
                let (field, text, entries) = self.on_field(place, inner, "query", &["query", "slop"])?;
                let slop = entries.get("slop").map(|slop| whole(&format!("{place}.{field}.slop"), slop));
                Ok(Query::Phrase { field, text, slop: slop.transpose()?.unwrap_or(0) })
            }
            "prefix" => {
                let (field, value, _) = self.on_field(place, inner, "value", &["value"])?;
                Ok(Query::Prefix { field, value })
            }
            "regexp" => {
                let (field, value, _) = self.on_field(place, inner, "value", &["value"])?;
                let place = &format!("{place}.{field}");
                let value = self.long(place, value, "max_regex_length", self.bounds.regexp)?;
                Ok(Query::Regexp { field, value })
            }
            "term" => {
                let (field, inner) = single(place, inner)?;
                let place = &format!("{place}.{field}");
                let value = match inner.as_object() {
                    None => scalar(place, inner)?,
                    Some(map) => {
                        if let Some(key) = map.keys().find(|key| *key != "value") {
                            return Err(unknown(place, key, &["value"]));
                        }
                        let value = map
                            .get("value")
                            .ok_or_else(|| ApiError::parsing("[value] is missing").at(place))?;
                        scalar(&format!("{place}.value"), value)?
                    }
                };
                Ok(Query::Term { field: named(place, field)?, value })
            }
            "terms" => {
                let (field, inner) = single(place, inner)?;
                let place = &format!("{place}.{field}");
                let list = inner.as_array().filter(|list| !list.is_empty());
                let list = list.ok_or_else(|| ApiError::parsing("expected a list of terms").at(place))?;
                self.clause(place, list.len() - 1)?;
                let each = list.iter().enumerate().map(|(i, value)| scalar(&format!("{place}[{i}]"), value));
                Ok(Query::Terms { field: named(place, field)?, values: each.collect::<Read<_>>()? })
            }
            "range" => self.range(place, inner),
            "exists" => {
                let map = object(place, inner)?;
                if let Some(key) = map.keys().find(|key| *key != "field") {
                    return Err(unknown(place, key, &["field"]));
                }
                let field =
                    map.get("field").ok_or_else(|| ApiError::parsing("[field] is missing").at(place))?;
                let place = &format!("{place}.field");
                Ok(Query::Exists { field: named(place, &text(place, field)?)? })
            }
            "query_string" => self.query_string(place, inner),
            "bool" => self.boolean(place, inner, depth),
            _ => Err(ApiError::parsing(format!("unknown query [{kind}]")).at(place)),
        }
    }

    /// `{FIELD: TEXT}`, or `{FIELD: {KEY: TEXT, ...}}` with some more that is known.
    fn on_field<'v>(
        &self,
        place: &str,
        inner: &'v Value,
        key: &str,
        known: &[&str],
    ) -> Read<(String, String, &'v Map<String, Value>)> {
        static NONE: std::sync::OnceLock<Map<String, Value>> = std::sync::OnceLock::new();
        let (field, inner) = single(place, inner)?;
        let place = &format!("{place}.{field}");
        let field = named(place, field)?;
        let Some(map) = inner.as_object() else {
            let value = scalar(place, inner)?;
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_string);
            let value = self.long(place, value, "max_text_length", self.bounds.text)?;
            return Ok((field, value, NONE.get_or_init(Map::new)));
        };
        if let Some(other) = map.keys().find(|k| !known.contains(&k.as_str())) {
            return Err(unknown(place, other, known));
        }
        let value = map.get(key).ok_or_else(|| ApiError::parsing(format!("[{key}] is missing")).at(place))?;
        let place = &format!("{place}.{key}");
        let value = scalar(place, value)?;
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_string);
        Ok((field, self.long(place, value, "max_text_length", self.bounds.text)?, map))
    }

    fn range(&mut self, place: &str, inner: &Value) -> Read<Query> {
        const KNOWN: [&str; 4] = ["gt", "gte", "lt", "lte"];
        let (field, inner) = single(place, inner)?;
        let place = &format!("{place}.{field}");
        let map = object(place, inner)?;
        let mut bounds = Vec::new();
        for (key, value) in map {
            let known =
                KNOWN.iter().find(|known| *known == key).ok_or_else(|| unknown(place, key, &KNOWN))?;
            bounds.push((*known, scalar(&format!("{place}.{key}"), value)?));
        }
        let both = |a: &str, b: &str| [a, b].iter().all(|key| bounds.iter().any(|(k, _)| k == key));
        if bounds.is_empty() || both("gt", "gte") || both("lt", "lte") {
            return Err(ApiError::parsing("expected one lower bound, one upper, or both").at(place));
        }
        bounds.sort_by_key(|(key, _)| *key);
        Ok(Query::Range { field: named(place, field)?, bounds })
    }

    /// In its simple form: terms, phrases, AND, OR, NOT, a field and a colon. What would be a pattern, a fuzzy term or a
    /// boost is refused.
    fn query_string(&mut self, place: &str, inner: &Value) -> Read<Query> {
        const KNOWN: [&str; 3] = ["query", "default_field", "default_operator"];
        let map = object(place, inner)?;
        if let Some(key) = map.keys().find(|key| !KNOWN.contains(&key.as_str())) {
            return Err(unknown(place, key, &KNOWN));
        }
        let query = map.get("query").ok_or_else(|| ApiError::parsing("[query] is missing").at(place))?;
        let (at, default) = (format!("{place}.query"), map.get("default_field"));
        let text = self.simple(&at, &text(&at, query)?)?;
        let field = default.map(|field| {
            let place = format!("{place}.default_field");
            named(&place, field.as_str().unwrap_or_default())
        });
        let all = map.get("default_operator").map(|o| operator(&format!("{place}.default_operator"), o));
        Ok(Query::QueryString { text, field: field.transpose()?, all: all.transpose()?.unwrap_or(false) })
    }

    /// Checks a query string and gives it with single spaces.
    pub fn simple(&mut self, place: &str, text: &str) -> Read<String> {
        let text = self.long(place, text.to_string(), "max_text_length", self.bounds.text)?;
        let (mut quoted, mut open, mut words, mut out) = (false, 0usize, 0usize, String::new());
        let mut escaped = false;
        for c in text.chars() {
            let plain = std::mem::replace(&mut escaped, false);
            match c {
                _ if plain => {}
                '\\' => escaped = true,
                '"' => quoted = !quoted,
                _ if quoted => {}
                '(' => open += 1,
                ')' => {
                    open = open
                        .checked_sub(1)
                        .ok_or_else(|| ApiError::parsing("a [)] that closes nothing").at(place))?
                }
                '*' | '?' | '~' | '^' | '/' | '[' | ']' | '{' | '}' | '<' | '>' => {
                    return Err(ApiError::argument(format!("[{c}] is not supported here")).at(place));
                }
                _ => {}
            }
            if c.is_whitespace() && !quoted {
                if !out.ends_with(' ') && !out.is_empty() {
                    out.push(' ');
                    words += 1;
                }
                continue;
            }
            out.push(c);
        }
        if quoted || escaped || open > 0 {
            let what = if quoted {
                "a [\"]"
            } else if escaped {
                "a [\\]"
            } else {
                "a [(]"
            };
            return Err(ApiError::parsing(format!("{what} is left open")).at(place));
        }
        let out = out.trim_end().to_string();
        if out.is_empty() {
            return Err(ApiError::parsing("is empty").at(place));
        }
        self.clause(place, words)?;
        Ok(out)
    }

    fn boolean(&mut self, place: &str, inner: &Value, depth: usize) -> Read<Query> {
        const KNOWN: [&str; 5] = ["must", "filter", "should", "must_not", "minimum_should_match"];
        if depth >= self.bounds.depth {
            return Err(
                ApiError::argument(format!("deeper than max_bool_depth [{}]", self.bounds.depth)).at(place)
            );
        }
        let mut found = Bool::default();
        let mut least = None;
        for (key, value) in object(place, inner)? {
            let place = &format!("{place}.{key}");
            let list = match key.as_str() {
                "must" => &mut found.must,
                "filter" => &mut found.filter,
                "should" => &mut found.should,
                "must_not" => &mut found.must_not,
                "minimum_should_match" => {
                    least = Some(whole(place, value)?);
                    continue;
                }
                _ => return Err(unknown(place, key, &KNOWN)),
            };
            // One query stands for a list of one.
            match value.as_array() {
                Some(each) => {
                    for (i, value) in each.iter().enumerate() {
                        list.push(self.nested(&format!("{place}[{i}]"), value, depth + 1)?);
                    }
                }
                None => list.push(self.nested(place, value, depth + 1)?),
            }
        }
        let alone = found.must.is_empty() && found.filter.is_empty();
        found.least = least.unwrap_or(u64::from(alone && !found.should.is_empty()));
        if found.least > found.should.len() as u64 {
            let words = format!("asks for {} of {} in [should]", found.least, found.should.len());
            return Err(ApiError::argument(words).at(&format!("{place}.minimum_should_match")));
        }
        Ok(Query::Bool(Box::new(found)))
    }
}

impl Query {
    /// The one form in which nodes are sent it: nothing left to defaults, so that two ways to write a query are one text.
    pub fn normal(&self) -> Value {
        let on = |field: &str, value: Value| {
            let mut map = Map::new();
            map.insert(field.to_string(), value);
            Value::Object(map)
        };
        let operator = |all: bool| if all { "and" } else { "or" };
        match self {
            Self::MatchAll => json!({"match_all": {}}),
            Self::MatchNone => json!({"match_none": {}}),
            Self::Match { field, text, all } => {
                json!({"match": on(field, json!({"query": text, "operator": operator(*all)}))})
            }
            Self::Phrase { field, text, slop } => {
                json!({"match_phrase": on(field, json!({"query": text, "slop": slop}))})
            }
            Self::Term { field, value } => json!({"term": on(field, json!({"value": value}))}),
            Self::Terms { field, values } => json!({"terms": on(field, json!(values))}),
            Self::Prefix { field, value } => json!({"prefix": on(field, json!({"value": value}))}),
            Self::Regexp { field, value } => json!({"regexp": on(field, json!({"value": value}))}),
            Self::Range { field, bounds } => {
                let bounds: Map<_, _> = bounds.iter().map(|(k, v)| (k.to_string(), v.clone())).collect();
                json!({"range": on(field, Value::Object(bounds))})
            }
            Self::Exists { field } => json!({"exists": {"field": field}}),
            Self::QueryString { text, field, all } => {
                let mut inner = json!({"query": text, "default_operator": operator(*all)});
                if let Some(field) = field {
                    inner["default_field"] = json!(field);
                }
                json!({"query_string": inner})
            }
            Self::Bool(found) => {
                let mut inner = Map::new();
                let lists = [
                    ("must", &found.must),
                    ("filter", &found.filter),
                    ("should", &found.should),
                    ("must_not", &found.must_not),
                ];
                for (key, list) in lists.into_iter().filter(|(_, list)| !list.is_empty()) {
                    inner.insert(key.to_string(), list.iter().map(Self::normal).collect());
                }
                inner.insert("minimum_should_match".to_string(), json!(found.least));
                json!({"bool": inner})
            }
        }
    }
}
