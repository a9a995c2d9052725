//! Calls about jobs to the services that may have them.
//!
//! A job stays with the service that accepted it. A queue that got another service or name has jobs at
//! several services; a request is answered by the one that has its job. Only when all of them have
//! replied is a job unknown, or accepted as a new one.

use std::collections::BTreeSet;

use axum::response::Response;
use cyclamentrail_adapter::Route;
use cyclamentrail_core::{RouteName, ServiceName};
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::Instant;

use super::{Attempts, CallFailure, MAX_OWNER_WAIT, call_owner, failure_response, to_response};
use crate::edge::messages::{JobRequest, OwnerCall, OwnerRequest, Reply};
use crate::edge::process_state::ProcessState;
use crate::edge::queue_directory::Holder;

/// Sends a request to the service of its route and to the former ones of its queue, and returns the
/// response.
pub(super) async fn respond(
    process: &ProcessState,
    route: &Route,
    request: OwnerRequest,
    deadline: Instant,
    attempts: &Attempts,
) -> Response {
    match call_holders(process, route, request, deadline, attempts).await {
        Ok(reply) => to_response(&reply),
        Err(failure) => failure_response(failure),
    }
}

async fn call_holders(
    process: &ProcessState,
    route: &Route,
    request: OwnerRequest,
    deadline: Instant,
    attempts: &Attempts,
) -> Result<Reply, CallFailure> {
    let service = &route.config.service;
    let directory = &process.queue_directory;
    let is_submission = matches!(request, OwnerRequest::Submit { .. });
    if !directory
        .wait_read(deadline.min(Instant::now() + MAX_OWNER_WAIT))
        .await
    {
        return Err(if is_submission {
            CallFailure::OutcomeUnknown
        } else {
            CallFailure::NotCarriedOut
        });
    }
    let holders = directory.holders(&route.host, &route.path_prefix);
    let mut former: BTreeSet<ServiceName> = holders
        .iter()
        .map(|holder| holder.service.clone())
        .collect();
    former.remove(service);
    let calls = JobCalls {
        process,
        service,
        former,
        deadline,
        attempts,
    };
    if let OwnerRequest::Pending(name) = &request {
        return calls.count_pending(name, holders).await;
    }
    if !is_submission {
        calls.call_all(request).await
    } else if calls.former.is_empty() {
        calls.call(service, request).await
    } else {
        calls.submit_unless_known(request).await
    }
}

/// Services that may have the job of a request.
struct JobCalls<'a> {
    process: &'a ProcessState,
    /// Service of the request's route.
    service: &'a ServiceName,
    /// Services to which an earlier configuration led the queue.
    former: BTreeSet<ServiceName>,
    deadline: Instant,
    attempts: &'a Attempts,
}

impl JobCalls<'_> {
    async fn call(
        &self,
        service: &ServiceName,
        request: OwnerRequest,
    ) -> Result<Reply, CallFailure> {
        let call = OwnerCall {
            service: service.clone(),
            request,
        };
        call_owner(self.process, call, self.deadline, self.attempts).await
    }

    /// Sends a request about a job to all services, and returns the reply of the one that knows the
    /// job. The job is unknown if all have replied so.
    async fn call_all(&self, request: OwnerRequest) -> Result<Reply, CallFailure> {
        let services = self.former.iter().chain([self.service]);
        let mut calls: FuturesUnordered<_> = services
            .map(|service| {
                let request = request.clone();
                async move { (service, self.call(service, request).await) }
            })
            .collect();
        let mut result = Ok(Reply::Unknown);
        while let Some((service, outcome)) = calls.next().await {
            match outcome {
                Ok(Reply::Unknown) => {}
                Ok(reply) => {
                    self.log_former(service, &reply);
                    return Ok(reply);
                }
                Err(failure) => result = Err(failure),
            }
        }
        result
    }

    /// Submits a job unless a former service knows it; then the submission is a repeated one. Without
    /// the reply of a former service, its outcome is unknown: an earlier one may have been accepted.
    async fn submit_unless_known(&self, submission: OwnerRequest) -> Result<Reply, CallFailure> {
        let OwnerRequest::Submit { id, team, .. } = &submission else {
            return Err(CallFailure::NotCarriedOut);
        };
        let lookup = Self {
            deadline: self.deadline.min(Instant::now() + MAX_OWNER_WAIT),
            former: BTreeSet::new(),
            ..*self
        };
        let request = OwnerRequest::State(JobRequest {
            id: id.clone(),
            team: team.clone(),
        });
        let lookups = self.former.iter().map(|service| {
            let request = request.clone();
            let lookup = &lookup;
            async move { (service, lookup.call(service, request).await) }
        });
        let outcomes = join_all(lookups).await;
        for (service, outcome) in &outcomes {
            match outcome {
                Ok(Reply::State(_)) => {
                    self.log_former(service, &Reply::Accepted);
                    return Ok(Reply::Accepted);
                }
                Ok(Reply::OtherTeam) => return Ok(Reply::OtherTeam),
                _ => {}
            }
        }
        let are_all_known = outcomes
            .iter()
            .all(|(_, outcome)| matches!(outcome, Ok(Reply::Unknown)));
        if !are_all_known {
            return Err(CallFailure::OutcomeUnknown);
        }
        self.call(self.service, submission).await
    }

    /// Logs that a former service answered, within the budget of lines.
    fn log_former(&self, service: &ServiceName, reply: &Reply) {
        if service != self.service && self.process.former_lines.take_line() {
            let is_submission = matches!(reply, Reply::Accepted);
            log::info!(service:% = service, is_submission; "answered_by_former");
        }
    }

    /// Returns the number of a queue's jobs that haven't begun, at all of its services and under all of
    /// its names.
    async fn count_pending(
        &self,
        route: &RouteName,
        mut holders: BTreeSet<Holder>,
    ) -> Result<Reply, CallFailure> {
        holders.insert(Holder {
            service: self.service.clone(),
            route: route.clone(),
        });
        let calls = holders.into_iter().map(|holder| async move {
            let request = OwnerRequest::Pending(holder.route);
            self.call(&holder.service, request).await
        });
        let mut pending = 0;
        for outcome in join_all(calls).await {
            match outcome? {
                Reply::Pending(count) => pending += count,
                other => return Ok(other),
            }
        }
        Ok(Reply::Pending(pending))
    }
}
