//! Cases of the third review: `standin-3 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod cases;
mod machines;
mod proxy;
mod record;
mod site;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;
use site::Error;

/// Longest time that a case may run.
const LIMIT: Duration = Duration::from_secs(115);

/// Whether a rule held, with what was seen.
pub struct Verdict {
    pub is_broken: bool,
    pub seen: String,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let has_trouble = !has_trouble;
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let outcome = runtime.block_on(async {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        record.line(&format!("case {case}, disruption: {has_trouble}"));
        let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        let result = tokio::select! {
            result = tokio::time::timeout(LIMIT, cases::run(&case, &folder, &record, has_trouble)) => result,
            _ = terminate.recv() => return Err(Error::from("terminated")),
        };
        let verdict = result.map_err(|_| Error::from("the case took too long"))?;
        if let Err(error) = &verdict {
            record.say(&format!("couldn't run: {error}"));
        }
        if let Ok(verdict) = &verdict {
            let word = if verdict.is_broken { "BROKEN" } else { "held" };
            record.say(&format!("{word}: {}", verdict.seen));
        }
        record.flush();
        verdict
    });
    match outcome {
        Ok(verdict) if verdict.is_broken => ExitCode::from(1),
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
