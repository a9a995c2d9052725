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
use crate::edge::messages::{JobRequest, OwnerCall, OwnerRequest, Reply, SubmittedJob};
use crate::edge::process_state::ProcessState;
use crate::edge::queue_directory::Holder;

/// Most times that a job is submitted: the first time, and after its former services were asked.
const MAX_CHECKS: usize = 3;

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
    let calls = JobCalls {
        process,
        service: &route.config.service,
        deadline,
        attempts,
    };
    let directory = &process.queue_directory;
    if let OwnerRequest::Submit(job) = request {
        return calls.submit(job).await;
    }
    let read_deadline = deadline.min(Instant::now() + MAX_OWNER_WAIT);
    if !directory.wait_read(read_deadline).await {
        return Err(CallFailure::NotCarriedOut);
    }
    if let OwnerRequest::Pending(name) = &request {
        let holders = directory.holders(&route.host, &route.path_prefix);
        return calls.count_pending(name, holders).await;
    }
    let former = directory.other_services(&route.host, &route.path_prefix, calls.service);
    if former.is_empty() {
        calls.call(calls.service, request).await
    } else {
        calls.call_all(&former, request).await
    }
}

/// Calls about jobs of one queue.
struct JobCalls<'a> {
    process: &'a ProcessState,
    /// Service of the request's route.
    service: &'a ServiceName,
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

    /// Sends a request about a job to the route's service and the former ones, and returns the reply of
    /// the one that knows the job. The job is unknown if all have replied so.
    async fn call_all(
        &self,
        former: &BTreeSet<ServiceName>,
        request: OwnerRequest,
    ) -> Result<Reply, CallFailure> {
        let services = former.iter().chain([self.service]);
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

    /// Submits a job. The owner of a queue that another service may have jobs of accepts it once these
    /// services have said that they don't know the job; if one does, the submission is a repeated one.
    async fn submit(&self, job: SubmittedJob) -> Result<Reply, CallFailure> {
        let mut request = OwnerRequest::Submit(job.clone());
        for _ in 0..MAX_CHECKS {
            let (queue, opening, former) = match self.call(self.service, request).await? {
                Reply::CheckFormer {
                    queue,
                    opening,
                    former,
                } => (queue, opening, former),
                reply => return Ok(reply),
            };
            let lookup = OwnerRequest::FindFormer {
                queue,
                opening,
                job: JobRequest {
                    id: job.id.clone(),
                    team: job.team.clone(),
                },
            };
            if let Some(reply) = self.find_former(&former, &lookup).await? {
                return Ok(reply);
            }
            request = OwnerRequest::SubmitChecked {
                opening,
                job: job.clone(),
            };
        }
        // The queue was closed and opened again while the services were asked.
        Err(CallFailure::OutcomeUnknown)
    }

    /// Asks the former services of a queue for a job; returns the reply to its submission if one knows
    /// it. Without the reply of one of them, the outcome is unknown: it may have accepted the job.
    async fn find_former(
        &self,
        former: &[ServiceName],
        lookup: &OwnerRequest,
    ) -> Result<Option<Reply>, CallFailure> {
        let calls = Self {
            deadline: self.deadline.min(Instant::now() + MAX_OWNER_WAIT),
            ..*self
        };
        let lookups = former.iter().map(|service| {
            let (calls, lookup) = (&calls, lookup.clone());
            async move { (service, calls.call(service, lookup).await) }
        });
        let outcomes = join_all(lookups).await;
        for (service, outcome) in &outcomes {
            match outcome {
                Ok(Reply::State(_)) => {
                    self.log_former(service, &Reply::Accepted);
                    return Ok(Some(Reply::Accepted));
                }
                Ok(Reply::OtherTeam) => return Ok(Some(Reply::OtherTeam)),
                _ => {}
            }
        }
        let are_all_unknown = outcomes
            .iter()
            .all(|(_, outcome)| matches!(outcome, Ok(Reply::Unknown)));
        if are_all_unknown {
            Ok(None)
        } else {
            Err(CallFailure::OutcomeUnknown)
        }
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
