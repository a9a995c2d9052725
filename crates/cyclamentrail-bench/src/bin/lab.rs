//! Plays policies on seeded days of a site, and prints what became of the jobs.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use anyhow::{Context, Result};
use cyclamentrail_bench::lab::{
    DayOutcome, Description, DescriptionError, Policy, Trace, draw_description, draw_plot,
    on_time_bound, play,
};
use getopts::{Matches, Options};

/// Number of seeds that are played by default.
const SEEDS: u64 = 3;
/// Exit status for wrong arguments and descriptions.
const USAGE: u8 = 2;

/// A day with its arrivals.
struct Day {
    description: Description,
    trace: Trace,
}

/// Outcomes of a day by policy, and the largest possible number of jobs on time.
struct Played {
    outcomes: Vec<(Policy, DayOutcome)>,
    bound: f64,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "",
        "day",
        "description of a site and its day (JSON)",
        "FILE",
    );
    options.optopt("", "draw", "number of sites to draw from seeds", "N");
    options.optopt("", "seeds", "number of seeds for each day", "N");
    options.optopt("", "jobs", "days to play at the same time", "N");
    options.optopt("", "plot", "plot of the first day (SVG)", "FILE");
    options.optflag("h", "help", "print this help");
    options
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options().parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("lab: {error}");
            return ExitCode::from(USAGE);
        }
    };
    if matches.opt_present("help") {
        println!("{}", options().usage("lab [--day FILE]... [--draw N]"));
        return ExitCode::SUCCESS;
    }
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lab: {error:#}");
            let is_usage = error.is::<DescriptionError>() || error.is::<std::num::ParseIntError>();
            ExitCode::from(if is_usage { USAGE } else { 1 })
        }
    }
}

fn run(matches: &Matches) -> Result<()> {
    let mut descriptions = Vec::new();
    for path in matches.opt_strs("day") {
        let text =
            std::fs::read_to_string(&path).with_context(|| format!("{path} can't be read"))?;
        descriptions.push(Description::parse(&text)?);
    }
    let drawn: u64 = matches.opt_get_default("draw", 0)?;
    descriptions.extend((0..drawn).map(draw_description));
    if descriptions.is_empty() {
        return Err(
            DescriptionError::Invalid("neither --day nor --draw is given".to_owned()).into(),
        );
    }
    let seeds: u64 = matches.opt_get_default("seeds", SEEDS)?;
    let days: Vec<Day> = descriptions
        .iter()
        .flat_map(|description| (0..seeds).map(move |seed| draw_day(description, seed)))
        .collect::<Result<_, DescriptionError>>()?;
    let played = play_all(&days, matches.opt_get_default("jobs", 1)?);
    print_table(&descriptions, &days, &played);
    if let (Some(path), Some(day), Some(first)) =
        (matches.opt_str("plot"), days.first(), played.first())
    {
        plot(Path::new(&path), day, first)?;
    }
    Ok(())
}

fn draw_day(description: &Description, seed: u64) -> Result<Day, DescriptionError> {
    let trace = Trace::draw(description, seed);
    if trace.jobs.is_empty() {
        let reason = format!("no job arrives on {} with seed {seed}", description.name);
        return Err(DescriptionError::Invalid(reason));
    }
    Ok(Day {
        description: description.clone(),
        trace,
    })
}

/// Plays all days, `jobs` at the same time, and reports the progress on standard error.
fn play_all(days: &[Day], jobs: usize) -> Vec<Played> {
    let next = AtomicUsize::new(0);
    let played: Mutex<Vec<Option<Played>>> = Mutex::new(days.iter().map(|_| None).collect());
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(day) = days.get(index) else {
                return;
            };
            let outcomes =
                Policy::ALL.map(|policy| (policy, play(&day.description, &day.trace, policy)));
            let result = Played {
                outcomes: outcomes.into(),
                bound: on_time_bound(&day.description, &day.trace),
            };
            eprintln!("{} of {}: {}", index + 1, days.len(), day.description.name);
            if let Ok(mut played) = played.lock() {
                played[index] = Some(result);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(work);
        }
    });
    let played = played.into_inner().unwrap_or_default();
    played.into_iter().flatten().collect()
}

/// Sums over the plays of a description by one policy.
#[derive(Default)]
struct Totals {
    jobs: u32,
    on_time: u32,
    late: u32,
    too_late: u32,
    rejected: u32,
    bound: f64,
    moves: u32,
    machine_s: f64,
}

impl Totals {
    fn add(&mut self, outcome: &DayOutcome, bound: f64) {
        let counts = outcome.counts();
        self.jobs += counts.total() + counts.cancelled;
        self.on_time += counts.on_time;
        self.late += counts.late;
        self.too_late += counts.too_late;
        self.rejected += counts.rejected;
        self.bound += bound;
        self.moves += outcome.moves;
        self.machine_s += outcome.machine_s;
    }

    fn print(&self, name: &str, policy: Policy) {
        let jobs = f64::from(self.jobs.max(1));
        let share = |count: u32| f64::from(count) / jobs;
        println!(
            "| {name} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {:.0} |",
            policy.name(),
            share(self.on_time),
            share(self.late),
            share(self.too_late),
            share(self.rejected),
            self.bound / jobs,
            self.moves,
            self.machine_s,
        );
    }
}

/// Prints a row for each description and policy, over all seeds.
fn print_table(descriptions: &[Description], days: &[Day], played: &[Played]) {
    println!(
        "| day | policy | on time | late | too late | rejected | bound on time | moves | machine seconds |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for description in descriptions {
        for policy in Policy::ALL {
            let mut totals = Totals::default();
            for (day, played) in days.iter().zip(played) {
                if day.description != *description {
                    continue;
                }
                for (_, outcome) in played.outcomes.iter().filter(|(of, _)| *of == policy) {
                    totals.add(outcome, played.bound);
                }
            }
            totals.print(&description.name, policy);
        }
    }
}

fn plot(path: &Path, day: &Day, played: &Played) -> Result<()> {
    let lines: Vec<_> = played
        .outcomes
        .iter()
        .map(|(policy, outcome)| {
            let shares = outcome.on_time_by_second(&day.description, &day.trace);
            (policy.name().to_owned(), shares)
        })
        .collect();
    draw_plot(path, &day.description.name, &lines)
}
