//! Sends a request to a backend server, with retries within its deadline and the retry budget.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_core::{
    AttemptEnd, AttemptResult, NotRunReason, Outcome, Refusal, RequestClass, RequestFailure,
    RetryState, UnknownReason, stall_timeout_us,
};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::context::RequestContext;
use super::link::Link;
use super::request::{BackendRequest, RequestBody};
use super::request_log::Event;
use super::slot::Slot;
use super::wait::acquire_slot;
use crate::view::{ServiceRoute, SharedView};
use crate::{clock, headers};

/// Value of the refusal header with which a backend server announces that it is shutting down.
const REFUSED_LEAVING: &str = "leaving";

/// A response whose body is still to be received, with the slot that must be held until then.
#[derive(Debug)]
pub(crate) struct Dispatched {
    pub(crate) response: Response<Incoming>,
    pub(crate) slot: Slot,
}

/// Sends a request and waits for the head of its response.
///
/// # Errors
///
/// Returns the outcome when there is no response to forward.
pub(crate) async fn dispatch(
    shared: &Arc<SharedView>,
    route: &Arc<ServiceRoute>,
    context: &RequestContext,
    request: &mut BackendRequest,
) -> Result<Dispatched, RequestFailure> {
    route.admission.credit_retry_budget();
    let mut dispatch = Dispatch {
        shared,
        route,
        context,
        attempts: RetryState::new(context.idempotent, context.admission_request().deadline_us),
        avoided_rack: None,
        earlier_unknown: None,
    };
    let result = dispatch.run(request).await;
    if let Err(failure) = &result {
        let outcome = failure.outcome;
        dispatch.log_event(Event::GivenUp { outcome });
    }
    result
}

/// Result of an attempt.
enum Attempt {
    Answered(Dispatched),
    Failed(FailedAttempt),
}

/// An attempt without a response to forward, or with a server error that may be retried.
struct FailedAttempt {
    end: AttemptEnd,
    /// Outcome of the request when no further attempt is made.
    outcome: Outcome,
    /// Response with a server error, which is forwarded when no further attempt is made.
    error_response: Option<Dispatched>,
    /// Pause in microseconds before the next attempt, if the retry budget has already granted one.
    granted_pause_us: Option<u64>,
}

impl FailedAttempt {
    const fn new(end: AttemptEnd, outcome: Outcome) -> Self {
        Self {
            end,
            outcome,
            error_response: None,
            granted_pause_us: None,
        }
    }
}

/// State of a request over its attempts.
struct Dispatch<'a> {
    shared: &'a Arc<SharedView>,
    route: &'a Arc<ServiceRoute>,
    context: &'a RequestContext,
    attempts: RetryState,
    avoided_rack: Option<u32>,
    /// Reason why the outcome of an earlier attempt is unknown. Once set, the request can't be
    /// reported as not run.
    earlier_unknown: Option<UnknownReason>,
}

impl Dispatch<'_> {
    /// Makes attempts until a response can be forwarded or no further attempt is allowed.
    async fn run(&mut self, request: &mut BackendRequest) -> Result<Dispatched, RequestFailure> {
        let Some(mut attempt) = request.attempt() else {
            return Err(NotRunReason::BadRequest.into());
        };
        loop {
            let taken =
                acquire_slot(self.shared, self.route, self.context, self.avoided_rack).await;
            let slot =
                taken.map_err(|refusal| self.with_earlier_attempts(refusal_failure(refusal)))?;
            let link = Arc::clone(slot.link());
            let failed = match self.send_once(slot, attempt).await? {
                Attempt::Answered(dispatched) => return Ok(dispatched),
                Attempt::Failed(failed) => failed,
            };
            let pause = self.plan_retry(&failed, &link, request.is_repeatable());
            let retry = pause.and_then(|pause_us| Some((pause_us, request.attempt()?)));
            let Some((pause_us, next_attempt)) = retry else {
                return failed
                    .error_response
                    .ok_or_else(|| self.failure(failed.outcome));
            };
            self.discard(failed);
            attempt = next_attempt;
            tokio::time::sleep(Duration::from_micros(pause_us)).await;
        }
    }

    /// Returns the pause in microseconds before the next attempt, or `None` when no further one is
    /// made.
    fn plan_retry(&mut self, failed: &FailedAttempt, link: &Link, repeatable: bool) -> Option<u64> {
        self.avoided_rack = Some(link.target().rack_number);
        let next = || {
            self.route
                .admission
                .plan_retry(&mut self.attempts, failed.end)
        };
        let pause_us = failed
            .granted_pause_us
            .or_else(|| repeatable.then(next).flatten());
        self.log_event(Event::TryEnded {
            instance: link.instance().clone(),
            end: failed.end,
            pause_us,
        });
        pause_us
    }

    /// Discards a failed attempt before the next one, and remembers that it may have run.
    fn discard(&mut self, failed: FailedAttempt) {
        if !failed.end.is_not_run() {
            self.earlier_unknown = Some(match failed.outcome {
                Outcome::Unknown(reason) => reason,
                Outcome::Answered | Outcome::NotRun(_) => UnknownReason::ConnectionLost,
            });
        }
        if let Some(dispatched) = failed.error_response {
            drop(dispatched.response);
            dispatched.slot.fail(AttemptResult::ServerError);
        }
    }

    /// Returns `failure`, or an unknown outcome when an earlier attempt may have run.
    fn with_earlier_attempts(&self, failure: RequestFailure) -> RequestFailure {
        self.earlier_unknown.map_or(failure, RequestFailure::from)
    }

    /// Makes one attempt with a slot.
    async fn send_once(
        &mut self,
        mut slot: Slot,
        request: Request<RequestBody>,
    ) -> Result<Attempt, RequestFailure> {
        let link = Arc::clone(slot.link());
        let remaining = self
            .context
            .deadline
            .saturating_duration_since(Instant::now());
        let timeout = self.route.connect_timeout.min(remaining);
        let mut sender = match link.connect(timeout).await {
            Ok(sender) => sender,
            Err(error) => {
                log::info!(instance:% = link.instance(), error:% = error; "connect_failed");
                return Ok(fail_unreachable(slot));
            }
        };
        if !self.shared.may_dispatch() {
            return Err(self.with_earlier_attempts(NotRunReason::NoPermission.into()));
        }
        let instance = link.instance().clone();
        self.log_event(Event::Sent { instance });
        let sent = self.wait_for_head(&link, &mut sender, request).await;
        slot.attach(sender);
        Ok(match sent {
            HeadResult::Received(response) => self.classify(slot, response),
            HeadResult::NotSent => fail_unreachable(slot),
            HeadResult::ConnectionLost => {
                fail_broken(slot, AttemptEnd::Lost, UnknownReason::ConnectionLost)
            }
            HeadResult::Stalled { pause_us } => {
                slot.fail(AttemptResult::Broken);
                let outcome = Outcome::Unknown(UnknownReason::TimedOut);
                let mut failed = FailedAttempt::new(AttemptEnd::Stalled, outcome);
                failed.granted_pause_us = Some(pause_us);
                Attempt::Failed(failed)
            }
            HeadResult::DeadlinePassed => {
                self.fail_at_deadline(slot);
                return Err(UnknownReason::TimedOut.into());
            }
        })
    }

    /// Sends the request and waits for the head of its response.
    ///
    /// An idempotent quick request abandons a server that responds to none of its requests, if the
    /// retry budget grants another attempt.
    async fn wait_for_head(
        &mut self,
        link: &Link,
        sender: &mut SendRequest<RequestBody>,
        request: Request<RequestBody>,
    ) -> HeadResult {
        let deadline = self.context.deadline;
        let mut sent = pin!(sender.send_request(request));
        let result = loop {
            let until = self.stall_check_at();
            let result = tokio::time::timeout_at(until, &mut sent).await;
            if result.is_ok() || until >= deadline {
                break result;
            }
            let is_stalled = link.state().is_stalled(clock::now_us());
            let next = || {
                self.route
                    .admission
                    .plan_retry(&mut self.attempts, AttemptEnd::Stalled)
            };
            if let Some(pause_us) = is_stalled.then(next).flatten() {
                return HeadResult::Stalled { pause_us };
            }
        };
        match result {
            Ok(Ok(response)) => HeadResult::Received(response),
            Ok(Err(error)) if error.is_canceled() => HeadResult::NotSent,
            Ok(Err(_)) => HeadResult::ConnectionLost,
            Err(_) => HeadResult::DeadlinePassed,
        }
    }

    /// Returns the time at which the server is checked for a stall.
    ///
    /// For an idempotent quick request this is before the deadline, so that another attempt can
    /// succeed in time; for any other it is the deadline itself.
    fn stall_check_at(&self) -> Instant {
        let deadline = self.context.deadline;
        if !self.context.idempotent || self.context.class == RequestClass::Long {
            return deadline;
        }
        let response_time = self.route.admission.response_time(self.context.class);
        let stall_at = Instant::now() + Duration::from_micros(stall_timeout_us(&response_time));
        stall_at.min(deadline)
    }

    /// Classifies a response as a refusal, a server error that may be retried, or one to forward.
    fn classify(&self, slot: Slot, response: Response<Incoming>) -> Attempt {
        let instance = slot.link().instance().clone();
        let status = response.status();
        if let Some(result) = refusal_result(&response) {
            slot.fail(result);
            let outcome = Outcome::NotRun(NotRunReason::Refused);
            let end = AttemptEnd::Refused;
            return Attempt::Failed(FailedAttempt::new(end, outcome));
        }
        let dispatched = Dispatched { response, slot };
        if is_server_error(status) && self.context.idempotent {
            let end = AttemptEnd::ServerError;
            let outcome = Outcome::Answered;
            let mut failed = FailedAttempt::new(end, outcome);
            failed.error_response = Some(dispatched);
            return Attempt::Failed(failed);
        }
        let status = status.as_u16();
        self.log_event(Event::Answered { instance, status });
        Attempt::Answered(dispatched)
    }

    /// Ends an attempt at the request's deadline. The server is blamed only when the attempt lasted
    /// longer than a stall does.
    fn fail_at_deadline(&self, slot: Slot) {
        let stalled_us = stall_timeout_us(&self.route.admission.response_time(self.context.class));
        if slot.age_us() > stalled_us {
            slot.fail(AttemptResult::Broken);
        }
    }

    /// Returns the failure of a request whose last attempt failed.
    fn failure(&self, outcome: Outcome) -> RequestFailure {
        if !matches!(outcome, Outcome::NotRun(_)) {
            return outcome.into();
        }
        let wait_us = self
            .route
            .admission
            .expected_wait_us(&self.context.admission_request());
        let retry_after_us = wait_us.max(self.route.time_until_open_us());
        self.with_earlier_attempts(
            RequestFailure::new(outcome).retry_after_ms(retry_after_us.div_ceil(1_000)),
        )
    }

    fn log_event(&self, event: Event) {
        let id = Some(&self.context.request_id);
        self.shared.request_log().record(id, event);
    }
}

/// Result of waiting for the head of a response.
enum HeadResult {
    Received(Response<Incoming>),
    NotSent,
    ConnectionLost,
    Stalled { pause_us: u64 },
    DeadlinePassed,
}

/// Ends an attempt of which no byte was sent.
fn fail_unreachable(slot: Slot) -> Attempt {
    slot.fail(AttemptResult::Unreachable);
    let outcome = Outcome::NotRun(NotRunReason::NoInstance);
    Attempt::Failed(FailedAttempt::new(AttemptEnd::ConnectFailed, outcome))
}

/// Ends an attempt that may have run.
fn fail_broken(slot: Slot, end: AttemptEnd, reason: UnknownReason) -> Attempt {
    slot.fail(AttemptResult::Broken);
    Attempt::Failed(FailedAttempt::new(end, Outcome::Unknown(reason)))
}

/// Returns the failure of a request that wasn't admitted.
fn refusal_failure(refusal: Refusal) -> RequestFailure {
    RequestFailure::from(refusal.reason).retry_after_ms(refusal.retry_after_us.div_ceil(1_000))
}

/// Returns the result of an attempt that the backend server refused.
fn refusal_result(response: &Response<Incoming>) -> Option<AttemptResult> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let refused = response.headers().get(headers::REFUSED)?;
    if refused.as_bytes() == REFUSED_LEAVING.as_bytes() {
        Some(AttemptResult::Leaving)
    } else {
        Some(AttemptResult::Refused)
    }
}

/// Returns whether a status reports a failure of the backend server.
pub(crate) fn is_server_error(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}
