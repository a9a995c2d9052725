//! `cyclamentrail explain`: explains one request, instance, wave, change or job.

use std::net::SocketAddr;

use anyhow::{Result, bail};
use getopts::{Matches, Options};
use serde_json::Value;

use super::client::{OperatorClient, Refused};
use super::text::readable;
use super::{ExitStatus, UsageError};

/// Status of an entry that doesn't know the id.
const NOT_FOUND: u16 = 404;

/// What can be explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Request,
    Instance,
    Wave,
    Change,
    Job,
}

impl Kind {
    fn parse(word: &str) -> Option<Self> {
        match word {
            "request" => Some(Self::Request),
            "instance" => Some(Self::Instance),
            "wave" => Some(Self::Wave),
            "change" => Some(Self::Change),
            "job" => Some(Self::Job),
            _ => None,
        }
    }

    const fn path(self) -> &'static str {
        match self {
            Self::Request => "/v1/explain/requests",
            Self::Instance => "/v1/explain/instances",
            Self::Wave => "/v1/waves",
            Self::Change => "/v1/explain/changes",
            Self::Job => "/v1/explain/jobs",
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    OperatorClient::add_either_options(&mut options);
    options.optflag("", "json", "print JSON on one line");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_with_words(
        "explain",
        "request|instance|wave|change|job ID",
        2,
        &options(),
        arguments,
        explain,
    )
}

fn explain(matches: &Matches) -> Result<()> {
    let [kind, id] = matches.free.as_slice() else {
        return Err(UsageError::new("name a kind and an id").into());
    };
    let Some(kind) = Kind::parse(kind) else {
        let problem =
            format!("{kind:?} can't be explained; name request, instance, wave, change or job");
        return Err(UsageError::new(problem).into());
    };
    let client = match OperatorClient::of_edge(matches)? {
        Some(client) => client,
        None => OperatorClient::from_matches(matches)?,
    };
    let path = format!("{}/{id}", kind.path());
    let explanation = match client.get(&path) {
        Err(error) if kind == Kind::Request && is_not_found(&error) => {
            match server_of(&client, id)? {
                Some(address) => client.at(address).get(&path)?,
                None => bail!("{error:#}"),
            }
        }
        other => other?,
    };
    if matches.opt_present("json") {
        println!("{explanation}");
    } else {
        print!("{}", readable(&explanation));
    }
    Ok(())
}

fn is_not_found(error: &anyhow::Error) -> bool {
    error
        .downcast_ref::<Refused>()
        .is_some_and(|refused| refused.status == NOT_FOUND)
}

/// Returns the operators' address of the entry that served a request.
fn server_of(client: &OperatorClient, request_id: &str) -> Result<Option<SocketAddr>> {
    let incarnation: Option<u64> = request_id
        .split_once('-')
        .and_then(|(incarnation, _)| incarnation.parse().ok());
    let state = client.get("/state")?;
    let members = state["fleet"]["members"].as_array();
    let entry = members
        .into_iter()
        .flatten()
        .find(|member| incarnation.is_some() && member[0].as_u64() == incarnation)
        .and_then(|member| member[1]["entry"].as_str());
    let Some(entry) = entry else {
        return Ok(None);
    };
    let listed = &state["fleet"]["settings"]["document"]["entries"][entry]["operator_address"];
    let address = listed.as_str().and_then(|text| text.parse().ok());
    Ok(address.filter(|address: &SocketAddr| address.port() != 0 && *address != client.address()))
}

/// Returns a value of a JSON answer as text.
#[must_use]
pub(crate) fn text_of(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
