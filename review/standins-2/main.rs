//! Stand-ins and checks for the cases of the second review, with the standard library alone.
//!
//! `cases NAME FOLDER` plays one case against the broker of the deploy file and writes FOLDER/record.txt. It exits with 1 if
//! the rule was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` in the environment it does
//! the same without the disruption.

mod crowd;
mod hidden_request;
mod moved_segment;
mod stand_ins;

use std::path::Path;
use std::process::exit;

use stand_ins::{Case, Verdict};

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = match Case::new(Path::new(folder), trouble) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{folder}: {error}");
            exit(2);
        }
    };
    let verdict = match name.as_str() {
        "hidden-request" => hidden_request::play(&case),
        "moved-segment" => moved_segment::play(&case),
        "crowd" => crowd::play(&case),
        _ => Err(format!("no case {name}").into()),
    };
    let (line, code) = match verdict {
        Ok(Verdict::Held(why)) => (format!("held: {why}"), 0),
        Ok(Verdict::Broken(why)) => (format!("BROKEN: {why}"), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    case.note(&line);
    println!("{name}: {line}");
    exit(code);
}
