//! Stand-ins of the platform and the cases of a review that are scripts.
//!
//! `review-standin-2 store|worker …` runs one stand-in as a process; `review-standin-2 case NAME FOLDER`
//! runs a case from the repository's root and writes `record.txt` to the folder.

mod cases;
mod clock;
mod http;
mod json;
mod site;
mod store;
mod worker;

use std::collections::HashMap;
use std::net::TcpListener;
use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["store", options @ ..] => store::run(bind(&parse(options))),
        ["worker", options @ ..] => run_worker(&parse(options)),
        ["case", name, folder] => cases::run(name, Path::new(folder)),
        _ => usage(),
    }
}

fn usage() -> ! {
    eprintln!("usage: review-standin-2 store|worker OPTIONS | case NAME FOLDER");
    exit(2)
}

fn parse<'a>(options: &[&'a str]) -> HashMap<&'a str, &'a str> {
    options
        .chunks(2)
        .filter(|pair| pair.len() == 2)
        .map(|pair| (pair[0], pair[1]))
        .collect()
}

fn option<'a>(options: &HashMap<&str, &'a str>, name: &str) -> &'a str {
    options.get(name).copied().unwrap_or_else(|| usage())
}

fn bind(options: &HashMap<&str, &str>) -> TcpListener {
    let address = option(options, "--address");
    TcpListener::bind(address).unwrap_or_else(|error| {
        eprintln!("can't listen on {address}: {error}");
        exit(2)
    })
}

fn run_worker(options: &HashMap<&str, &str>) {
    let listener = bind(options);
    let id = option(options, "--id").to_owned();
    let parsed = worker::Options {
        machine: format!("m-{id}"),
        id,
        service: option(options, "--service").to_owned(),
        kind: option(options, "--kind").to_owned(),
        rack: String::from("r1-1"),
        cpu_milli: option(options, "--cpu").parse().unwrap_or_else(|_| usage()),
        store: option(options, "--store")
            .parse()
            .unwrap_or_else(|_| usage()),
        events: option(options, "--events").to_owned(),
    };
    worker::run(listener, parsed);
}
