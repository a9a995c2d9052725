//! `cyclamentrail explain`: explains one request, instance, wave, change or job.

use std::net::SocketAddr;

use anyhow::{Result, bail};
use getopts::{Matches, Options};
use serde_json::Value;

use super::client::{CallRefused, OperatorClient};
use super::indented::format_indented;
use super::{ExitStatus, UsageError};

/// HTTP status with which an entry responds when it doesn't know the id.
const NOT_FOUND: u16 = 404;

/// Kind of subject that the command can explain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SubjectKind {
    Request,
    Instance,
    Wave,
    Change,
    Job,
}

impl SubjectKind {
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
    OperatorClient::add_entry_or_edge_options(&mut options);
    options.optflag("", "json", "print JSON on one line");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitStatus {
    super::run_with_positionals(
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
    let Some(kind) = SubjectKind::parse(kind) else {
        let problem =
            format!("{kind:?} can't be explained; name request, instance, wave, change or job");
        return Err(UsageError::new(problem).into());
    };
    let client = match OperatorClient::edge_from_matches(matches)? {
        Some(client) => client,
        None => OperatorClient::from_matches(matches)?,
    };
    let path = format!("{}/{id}", kind.path());
    let explanation = match client.get(&path) {
        Err(error) if kind == SubjectKind::Request && is_not_found(&error) => {
            match serving_entry_address(&client, id)? {
                Some(address) => client.with_address(address).get(&path)?,
                None => bail!("{error:#}"),
            }
        }
        other => other?,
    };
    if matches.opt_present("json") {
        println!("{explanation}");
    } else {
        print!("{}", format_indented(&explanation));
    }
    Ok(())
}

fn is_not_found(error: &anyhow::Error) -> bool {
    error
        .downcast_ref::<CallRefused>()
        .is_some_and(|refused| refused.status == NOT_FOUND)
}

/// Returns the operators' address of the entry that served a request, since only that entry can
/// explain it.
///
/// The request id starts with the incarnation of the entry. Returns `None` when no known member has
/// that incarnation, when the settings list no fixed address for it, or when it is the entry that
/// `client` calls already.
fn serving_entry_address(client: &OperatorClient, request_id: &str) -> Result<Option<SocketAddr>> {
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
    let listed_address =
        &state["fleet"]["settings"]["document"]["entries"][entry]["operator_address"];
    let address = listed_address.as_str().and_then(|text| text.parse().ok());
    Ok(address.filter(|address: &SocketAddr| address.port() != 0 && *address != client.address()))
}

/// Returns a string without its quotes, and any other JSON value as JSON text.
#[must_use]
pub(crate) fn json_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
