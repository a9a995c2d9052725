//! Plays one case of the review against the project's own programs.
//!
//! Usage: review-standin CASE FOLDER RECORD. Exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.

mod cases;
mod http;
mod machine;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = record::Record::create(Path::new(record));
    let record_again = record.share();
    let verdict = cases::play(case, Path::new(folder), record, has_trouble);
    let (code, line) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule is broken: {what}")),
        Verdict::CouldNotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    record_again.write(&line);
    println!("{line}");
    ExitCode::from(code)
}
