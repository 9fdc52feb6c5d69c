//! Requests: what is asked of which index, with everything that was said either honoured or refused.

use serde_json::{Map, Value, json};

use crate::error::ApiError;
use crate::json;
use crate::query::{self, Query, Reader};
use crate::target::Target;

/// What a request may be; each has a name that the refusal gives.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of one document.
    pub document: usize,
    pub depth: usize,
    pub values: usize,
    pub clauses: usize,
    pub bool_depth: usize,
    pub regexp: usize,
    pub text: usize,
    /// Searches in one `_msearch`.
    pub searches: usize,
    /// `from` and `size` together.
    pub window: u64,
    /// Values of `routing`.
    pub routings: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            document: 64 * 1024,
            depth: 32,
            values: 10_000,
            clauses: 1024,
            bool_depth: 8,
            regexp: 1000,
            text: 8192,
            searches: 100,
            window: 1000,
            routings: 100,
        }
    }
}

/// One key of an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Sort {
    pub field: String,
    pub descending: bool,
    pub missing_first: bool,
}

/// How far totals are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Track {
    No,
    Exactly,
    UpTo(u64),
}

/// What of each hit's document is wanted.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    All,
    None,
    Only { includes: Vec<String>, excludes: Vec<String> },
}

/// A search, or a count, or an update, of one index.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    /// The index's place among those that are served.
    pub index: usize,
    pub query: Query,
    pub from: u64,
    pub size: u64,
    pub sort: Vec<Sort>,
    pub source: Source,
    /// Seconds that the client says it will wait.
    pub timeout: Option<f64>,
    pub track: Track,
    pub terminate_after: Option<u64>,
    pub allow_partial: bool,
    pub routing: Vec<String>,
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Who is there.
    Info,
    Health,
    Search(Box<Search>),
    Count(Box<Search>),
    /// Each a search of its own, answered in this order; one that will not do has its own error.
    Multi(Vec<Result<Search, ApiError>>),
    Update(Box<Search>),
}

type Read<T> = Result<T, ApiError>;

const BODY: [&str; 8] =
    ["query", "from", "size", "sort", "_source", "timeout", "track_total_hits", "terminate_after"];
const PARAMS: [&str; 16] = [
    "q",
    "df",
    "default_operator",
    "from",
    "size",
    "sort",
    "_source",
    "_source_includes",
    "_source_excludes",
    "timeout",
    "track_total_hits",
    "terminate_after",
    "allow_partial_search_results",
    "routing",
    "preference",
    "pretty",
];

/// Reads a request. `indices` are the names that are served, in the order of their places.
pub fn read(method: &str, target: &str, body: &[u8], indices: &[String], limits: &Limits) -> Read<Call> {
    let target = Target::read(target)?;
    let names: Vec<&str> = target.path.iter().map(String::as_str).collect();
    let allowed = |methods: &[&str]| match methods.contains(&method) {
        true => Ok(()),
        false => Err(ApiError::method(method, &format!("/{}", names.join("/")), &methods.join(", "))),
    };
    let reading = Reading { indices, limits };
    match names[..] {
        [] => allowed(&["GET", "HEAD"]).map(|()| Call::Info),
        ["_cluster", "health"] => allowed(&["GET"]).map(|()| Call::Health),
        ["_msearch"] | [_, "_msearch"] => {
            allowed(&["GET", "POST"])?;
            target.only(&["pretty"])?;
            let default = (names.len() == 2).then(|| reading.index(names[0])).transpose()?;
            reading.multi(body, default).map(Call::Multi)
        }
        [index, what @ ("_search" | "_count" | "_update_by_query")] => {
            allowed(if what == "_update_by_query" { &["POST"] } else { &["GET", "POST"] })?;
            let index = reading.index(index)?;
            let search = Box::new(reading.search(index, &target, body)?);
            Ok(match what {
                "_search" => Call::Search(search),
                "_count" => Call::Count(search),
                _ => Call::Update(search),
            })
        }
        _ => Err(ApiError::no_handler(method, &format!("/{}", names.join("/")))),
    }
}

struct Reading<'a> {
    indices: &'a [String],
    limits: &'a Limits,
}

fn whole(place: &str, text: &str) -> Read<u64> {
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let number = if plain { text.parse().ok() } else { None };
    number.ok_or_else(|| ApiError::argument("not a whole number").at(place))
}

fn truth(place: &str, text: &str) -> Read<bool> {
    match text {
        "true" | "" => Ok(true),
        "false" => Ok(false),
        _ => Err(ApiError::argument("neither [true] nor [false]").at(place)),
    }
}

/// A time with its unit.
fn seconds(place: &str, text: &str) -> Read<f64> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let factor = match unit {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(ApiError::argument("expected a time such as [500ms] or [2s]").at(place)),
    };
    let time =
        number.parse::<u32>().ok().filter(|number| *number > 0).map(|number| f64::from(number) * factor);
    time.ok_or_else(|| ApiError::argument("expected a time above 0, such as [500ms] or [2s]").at(place))
}

impl Reading<'_> {
    fn index(&self, name: &str) -> Read<usize> {
        if name.contains(['*', ',']) || name == "_all" {
            return Err(ApiError::argument(format!(
                "[{name}]: one index at a time; patterns are not supported"
            )));
        }
        self.indices.iter().position(|index| index == name).ok_or_else(|| ApiError::no_index(name))
    }

    fn document(&self, body: &[u8]) -> Read<Value> {
        if body.len() > self.limits.document {
            return Err(ApiError::too_large(format!("longer than max_document [{}]", self.limits.document)));
        }
        json::read(body, json::Bounds { depth: self.limits.depth, values: self.limits.values })
    }

    fn reader(&self) -> Reader {
        Reader::new(query::Bounds {
            clauses: self.limits.clauses,
            depth: self.limits.bool_depth,
            regexp: self.limits.regexp,
            text: self.limits.text,
        })
    }

    fn plain(&self, index: usize) -> Search {
        Search {
            index,
            query: Query::MatchAll,
            from: 0,
            size: 10,
            sort: Vec::new(),
            source: Source::All,
            timeout: None,
            track: Track::UpTo(10_000),
            terminate_after: None,
            allow_partial: true,
            routing: Vec::new(),
        }
    }

    fn search(&self, index: usize, target: &Target, body: &[u8]) -> Read<Search> {
        target.only(&PARAMS)?;
        let mut search = self.plain(index);
        let mut given: Vec<String> = Vec::new();
        if !body.iter().all(u8::is_ascii_whitespace) {
            let document = self.document(body)?;
            given = self.body(&mut search, &document)?;
        }
        // Said in two places it would have to be ignored in one.
        let twice = |key: &str| given.iter().any(|g| g == key || (key == "q" && g == "query"));
        if let Some((key, _)) = target.params.iter().find(|(key, _)| twice(key)) {
            return Err(ApiError::argument(format!("[{key}] is given in the body and as a parameter")));
        }
        for (key, value) in &target.params {
            match key.as_str() {
                "q" => {
                    let field = target.param("df").map(str::to_string);
                    let all = match target.param("default_operator").map(str::to_ascii_lowercase).as_deref() {
                        None | Some("or") => false,
                        Some("and") => true,
                        _ => return Err(ApiError::argument("expected [and] or [or]").at("default_operator")),
                    };
                    search.query = Query::QueryString { text: self.reader().simple("q", value)?, field, all };
                }
                "df" | "default_operator" if target.param("q").is_none() => {
                    return Err(ApiError::argument("means nothing without [q]").at(key));
                }
                "from" => search.from = whole(key, value)?,
                "size" => search.size = whole(key, value)?,
                "sort" => {
                    search.sort = value.split(',').map(|key| self.sort_param(key)).collect::<Read<_>>()?
                }
                "_source" => search.source = self.source_param(value)?,
                "_source_includes" | "_source_excludes" => {
                    let names = self.fields(key, value.split(','))?;
                    let (mut includes, mut excludes) = match search.source {
                        Source::Only { includes, excludes } => (includes, excludes),
                        _ => (Vec::new(), Vec::new()),
                    };
                    if key == "_source_includes" {
                        includes = names
                    } else {
                        excludes = names
                    }
                    search.source = Source::Only { includes, excludes };
                }
                "timeout" => search.timeout = Some(seconds(key, value)?),
                "track_total_hits" => {
                    search.track = match value.as_str() {
                        "true" => Track::Exactly,
                        "false" => Track::No,
                        number => Track::UpTo(whole(key, number)?),
                    }
                }
                "terminate_after" => search.terminate_after = Some(whole(key, value)?).filter(|n| *n > 0),
                "allow_partial_search_results" => search.allow_partial = truth(key, value)?,
                "routing" => search.routing = self.routing(value)?,
                "preference" => {
                    return Err(ApiError::argument("not supported: nodes are chosen by their load").at(key));
                }
                "pretty" => drop(truth(key, value)?),
                _ => {}
            }
        }
        self.window(&search)?;
        Ok(search)
    }

    fn window(&self, search: &Search) -> Read<()> {
        let most = self.limits.window;
        if search.from.checked_add(search.size).is_none_or(|sum| sum > most) {
            let words = format!("[from] + [size] must be at most max_result_window [{most}]");
            return Err(ApiError::argument(words));
        }
        Ok(())
    }

    fn routing(&self, value: &str) -> Read<Vec<String>> {
        let values: Vec<_> = value.split(',').map(str::to_string).collect();
        if values.iter().any(String::is_empty) || values.len() > self.limits.routings {
            let words = format!("expected up to {} values, none of them empty", self.limits.routings);
            return Err(ApiError::argument(words).at("routing"));
        }
        Ok(values)
    }

    fn fields<'t>(&self, place: &str, names: impl Iterator<Item = &'t str>) -> Read<Vec<String>> {
        let plain = |name: &&str| {
            !name.is_empty()
                && name.chars().all(|c| c.is_alphanumeric() || matches!(c, '_' | '.' | '-' | '@'))
        };
        let names = names.map(|name| match plain(&name) {
            true => Ok(name.to_string()),
            false => Err(ApiError::argument("not the name of a field; patterns are not supported").at(place)),
        });
        names.collect()
    }

    fn source_param(&self, value: &str) -> Read<Source> {
        Ok(match value {
            "true" => Source::All,
            "false" => Source::None,
            names => {
                Source::Only { includes: self.fields("_source", names.split(','))?, excludes: Vec::new() }
            }
        })
    }

    fn sort_param(&self, key: &str) -> Read<Sort> {
        let (field, order) = key.split_once(':').unwrap_or((key, ""));
        self.sort_key("sort", field, Some(order).filter(|order| !order.is_empty()))
    }

    fn sort_key(&self, place: &str, field: &str, order: Option<&str>) -> Read<Sort> {
        let field = self.fields(place, std::iter::once(field))?.remove(0);
        let descending = match order {
            Some("asc") => false,
            Some("desc") => true,
            None => field == "_score",
            Some(_) => return Err(ApiError::parsing("expected [asc] or [desc]").at(place)),
        };
        Ok(Sort { field, descending, missing_first: false })
    }

    /// Takes a body's keys over; gives their names.
    fn body(&self, search: &mut Search, document: &Value) -> Read<Vec<String>> {
        let Some(map) = document.as_object() else { return Err(ApiError::parsing("expected an object")) };
        let number = |key: &str, value: &Value| {
            value.as_u64().ok_or_else(|| ApiError::parsing("expected a whole number, 0 or more").at(key))
        };
        for (key, value) in map {
            match key.as_str() {
                "query" => search.query = self.reader().read("query", value)?,
                "from" => search.from = number(key, value)?,
                "size" => search.size = number(key, value)?,
                "sort" => search.sort = self.sort(value)?,
                "_source" => search.source = self.source(value)?,
                "timeout" => {
                    let text = value.as_str().ok_or_else(|| ApiError::parsing("expected text").at(key))?;
                    search.timeout = Some(seconds(key, text)?);
                }
                "track_total_hits" => {
                    search.track = match value {
                        Value::Bool(true) => Track::Exactly,
                        Value::Bool(false) => Track::No,
                        value => Track::UpTo(number(key, value)?),
                    }
                }
                "terminate_after" => search.terminate_after = Some(number(key, value)?).filter(|n| *n > 0),
                _ => {
                    let words = format!("unknown key [{key}], expected one of [{}]", BODY.join(", "));
                    return Err(ApiError::parsing(words));
                }
            }
        }
        Ok(map.keys().cloned().collect())
    }

    fn sort(&self, value: &Value) -> Read<Vec<Sort>> {
        let one = [value.clone()];
        let list = value.as_array().map_or(&one[..], Vec::as_slice);
        let key = |(i, value): (usize, &Value)| {
            let place = format!("sort[{i}]");
            if let Some(field) = value.as_str() {
                return self.sort_key(&place, field, None);
            }
            let entry = value.as_object().filter(|map| map.len() == 1).and_then(|map| map.iter().next());
            let (field, how) =
                entry.ok_or_else(|| ApiError::parsing("expected a field and its order").at(&place))?;
            let place = format!("{place}.{field}");
            if let Some(order) = how.as_str() {
                return self.sort_key(&place, field, Some(order));
            }
            let how = how.as_object().ok_or_else(|| ApiError::parsing("expected an order").at(&place))?;
            if let Some(key) = how.keys().find(|key| !["order", "missing"].contains(&key.as_str())) {
                return Err(ApiError::parsing(format!("unknown key [{key}]")).at(&place));
            }
            let order = how.get("order").map(|order| order.as_str().unwrap_or_default());
            let mut sort = self.sort_key(&place, field, order)?;
            sort.missing_first = match how.get("missing").map(|missing| missing.as_str()) {
                None | Some(Some("_last")) => false,
                Some(Some("_first")) => true,
                Some(_) => return Err(ApiError::argument("[missing] is [_first] or [_last]").at(&place)),
            };
            Ok(sort)
        };
        list.iter().enumerate().map(key).collect()
    }

    fn source(&self, value: &Value) -> Read<Source> {
        let names = |place: &str, value: &Value| {
            let one = [value.clone()];
            let list = value.as_array().map_or(&one[..], Vec::as_slice);
            let texts: Option<Vec<&str>> = list.iter().map(Value::as_str).collect();
            let texts = texts.ok_or_else(|| ApiError::parsing("expected names of fields").at(place))?;
            self.fields(place, texts.into_iter())
        };
        match value {
            Value::Bool(true) => Ok(Source::All),
            Value::Bool(false) => Ok(Source::None),
            Value::Object(map) => {
                let (mut includes, mut excludes) = (Vec::new(), Vec::new());
                for (key, value) in map {
                    let place = format!("_source.{key}");
                    match key.as_str() {
                        "includes" => includes = names(&place, value)?,
                        "excludes" => excludes = names(&place, value)?,
                        _ => return Err(ApiError::parsing("expected [includes] or [excludes]").at(&place)),
                    }
                }
                Ok(Source::Only { includes, excludes })
            }
            value => Ok(Source::Only { includes: names("_source", value)?, excludes: Vec::new() }),
        }
    }

    /// Lines in pairs: a head that names the index, then a search.
    fn multi(&self, body: &[u8], default: Option<usize>) -> Read<Vec<Read<Search>>> {
        let most = self.limits.searches;
        if body.len() > self.limits.document * most.min(16) {
            return Err(ApiError::too_large("longer than all of its searches may be"));
        }
        if !body.ends_with(b"\n") {
            return Err(ApiError::argument("The msearch request must be terminated by a newline [\\n]"));
        }
        let lines: Vec<&[u8]> = body[..body.len() - 1].split(|byte| *byte == b'\n').collect();
        if lines.len() % 2 == 1 {
            return Err(ApiError::argument("a head without its search at the end"));
        }
        if lines.len() / 2 > most {
            return Err(ApiError::argument(format!("more than max_searches [{most}]")));
        }
        Ok(lines.chunks(2).map(|pair| self.one_of_many(pair[0], pair[1], default)).collect())
    }

    fn one_of_many(&self, head: &[u8], body: &[u8], default: Option<usize>) -> Read<Search> {
        const KNOWN: [&str; 4] = ["index", "routing", "allow_partial_search_results", "preference"];
        let empty = Value::Object(Map::new());
        let blank = head.iter().all(u8::is_ascii_whitespace);
        let head = if blank { empty } else { self.document(head)? };
        let Some(head) = head.as_object() else {
            return Err(ApiError::parsing("expected an object").at("head"));
        };
        if let Some(key) = head.keys().find(|key| !KNOWN.contains(&key.as_str())) {
            let words = format!("unknown key [{key}], expected one of [{}]", KNOWN.join(", "));
            return Err(ApiError::parsing(words).at("head"));
        }
        let text = |key: &str| match head.get(key) {
            None => Ok(None),
            Some(value) => value.as_str().map(Some).ok_or_else(|| ApiError::parsing("expected text").at(key)),
        };
        if head.contains_key("preference") {
            return Err(ApiError::argument("not supported: nodes are chosen by their load").at("preference"));
        }
        let index = text("index")?.map(|name| self.index(name)).transpose()?.or(default);
        let index = index.ok_or_else(|| ApiError::argument("no [index] in the head or the path"))?;
        let mut search = self.plain(index);
        self.body(&mut search, &self.document(body)?)?;
        if let Some(routing) = text("routing")? {
            search.routing = self.routing(routing)?;
        }
        if let Some(allow) = head.get("allow_partial_search_results") {
            let allow = allow.as_bool();
            search.allow_partial = allow.ok_or_else(|| {
                ApiError::parsing("expected true or false").at("allow_partial_search_results")
            })?;
        }
        self.window(&search)?;
        Ok(search)
    }
}

impl Search {
    /// How many hits each part has to bring.
    pub fn window(&self) -> usize {
        (self.from + self.size) as usize
    }

    /// The text that nodes are sent: one form for whatever way it was written, so that equal searches are equal texts.
    /// Each part brings the first of its hits, as any of them may be among the first of all.
    pub fn text(&self) -> String {
        let order = |sort: &Sort| {
            let missing = if sort.missing_first { "_first" } else { "_last" };
            let order = if sort.descending { "desc" } else { "asc" };
            let how = match sort.field.as_str() {
                "_score" | "_doc" => json!({"order": order}),
                _ => json!({"order": order, "missing": missing}),
            };
            Value::Object(Map::from_iter([(sort.field.clone(), how)]))
        };
        let mut text = json!({"query": self.query.normal(), "from": 0, "size": self.window()});
        if !self.sort.is_empty() {
            text["sort"] = self.sort.iter().map(order).collect();
        }
        match &self.source {
            Source::All => {}
            Source::None => text["_source"] = json!(false),
            Source::Only { includes, excludes } => {
                text["_source"] = json!({"includes": includes, "excludes": excludes});
            }
        }
        text["track_total_hits"] = match self.track {
            Track::No => json!(false),
            Track::Exactly => json!(true),
            Track::UpTo(most) => json!(most),
        };
        if let Some(after) = self.terminate_after {
            text["terminate_after"] = json!(after);
        }
        text.to_string()
    }
}
