//! Sends one request to a backend server, within its deadline and the retry budget.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_core::{
    Ending, NotRunReason, Outcome, Refusal, RequestClass, Tries, TryEnd, TryResult, UnknownReason,
    stall_us,
};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::call::Call;
use super::journal::Event;
use super::link::Link;
use super::request::{Outgoing, RequestBody};
use super::slot::Slot;
use super::wait::take_slot;
use crate::view::{ServiceRoute, SharedView};
use crate::{clock, headers};

/// Value of the refusal's header by which a backend server says that it leaves.
const LEAVING: &str = "leaving";

/// The head of an answer, with the slot that must be held until its body has passed.
#[derive(Debug)]
pub(crate) struct Dispatched {
    pub(crate) response: Response<Incoming>,
    pub(crate) slot: Slot,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// Returns the outcome when there is no answer to pass on.
pub(crate) async fn dispatch(
    shared: &Arc<SharedView>,
    route: &Arc<ServiceRoute>,
    call: &Call,
    request: &mut Outgoing,
) -> Result<Dispatched, Ending> {
    route.gate.earn();
    let mut dispatch = Dispatch {
        shared,
        route,
        call,
        tries: Tries::new(call.idempotent, call.ask().deadline_us),
        avoid: None,
        may_have_run: None,
    };
    let result = dispatch.run(request).await;
    if let Err(ending) = &result {
        let outcome = ending.outcome;
        dispatch.note(Event::GivenUp { outcome });
    }
    result
}

/// How a try went.
enum Try {
    Answered(Dispatched),
    Ended(Ended),
}

/// A try that gave no answer to pass on, unless there is no further one.
struct Ended {
    end: TryEnd,
    outcome: Outcome,
    /// An answer that says that the server failed.
    answer: Option<Dispatched>,
    /// Pause in microseconds before a further try that is paid already.
    paid_pause_us: Option<u64>,
}

impl Ended {
    const fn new(end: TryEnd, outcome: Outcome) -> Self {
        Self {
            end,
            outcome,
            answer: None,
            paid_pause_us: None,
        }
    }
}

struct Dispatch<'a> {
    shared: &'a Arc<SharedView>,
    route: &'a Arc<ServiceRoute>,
    call: &'a Call,
    tries: Tries,
    avoid: Option<u32>,
    /// Set once a try may have run, after which the request can't be called not run.
    may_have_run: Option<UnknownReason>,
}

impl Dispatch<'_> {
    async fn run(&mut self, request: &mut Outgoing) -> Result<Dispatched, Ending> {
        let Some(mut attempt) = request.attempt() else {
            return Err(NotRunReason::BadRequest.into());
        };
        loop {
            let taken = take_slot(self.shared, self.route, self.call, self.avoid).await;
            let slot = taken.map_err(|refusal| self.truthful(ending_of(refusal)))?;
            let link = Arc::clone(slot.link());
            let ended = match self.try_once(slot, attempt).await? {
                Try::Answered(dispatched) => return Ok(dispatched),
                Try::Ended(ended) => ended,
            };
            let paused = self.pause_after(&ended, &link, request.is_repeatable());
            let again = paused.and_then(|pause_us| Some((pause_us, request.attempt()?)));
            let Some((pause_us, again)) = again else {
                return ended.answer.ok_or_else(|| self.ending(ended.outcome));
            };
            self.forget(ended);
            attempt = again;
            tokio::time::sleep(Duration::from_micros(pause_us)).await;
        }
    }

    /// Returns the pause before a further try, or `None` when there is none.
    fn pause_after(&mut self, ended: &Ended, link: &Link, repeatable: bool) -> Option<u64> {
        self.avoid = Some(link.target().rack);
        let next = || self.route.gate.next_try(&mut self.tries, ended.end);
        let pause_us = ended
            .paid_pause_us
            .or_else(|| repeatable.then(next).flatten());
        self.note(Event::TryEnded {
            instance: link.instance().clone(),
            end: ended.end,
            pause_us,
        });
        pause_us
    }

    /// Leaves a try behind for a further one.
    fn forget(&mut self, ended: Ended) {
        if !ended.end.is_not_run() {
            self.may_have_run = Some(match ended.outcome {
                Outcome::Unknown(reason) => reason,
                Outcome::Answered | Outcome::NotRun(_) => UnknownReason::ConnectionLost,
            });
        }
        if let Some(answer) = ended.answer {
            drop(answer.response);
            answer.slot.fail(TryResult::ServerError);
        }
    }

    /// Returns the ending, as unknown when an earlier try may have run.
    fn truthful(&self, ending: Ending) -> Ending {
        self.may_have_run.map_or(ending, Ending::from)
    }

    async fn try_once(
        &mut self,
        mut slot: Slot,
        request: Request<RequestBody>,
    ) -> Result<Try, Ending> {
        let link = Arc::clone(slot.link());
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        let timeout = self.route.connect_timeout.min(left);
        let mut sender = match link.connect(timeout).await {
            Ok(sender) => sender,
            Err(error) => {
                log::info!(instance:% = link.instance(), error:% = error; "connect_failed");
                return Ok(unreachable(slot));
            }
        };
        if !self.shared.may_dispatch() {
            return Err(self.truthful(NotRunReason::NoPermission.into()));
        }
        let instance = link.instance().clone();
        self.note(Event::Sent { instance });
        let sent = self.answer_head(&link, &mut sender, request).await;
        slot.hold(sender);
        Ok(match sent {
            Head::Came(response) => self.judge(slot, response),
            Head::NotSent => unreachable(slot),
            Head::Lost => broken(slot, TryEnd::Lost, UnknownReason::ConnectionLost),
            Head::Stalled { pause_us } => {
                slot.fail(TryResult::Broken);
                let outcome = Outcome::Unknown(UnknownReason::TimedOut);
                let mut ended = Ended::new(TryEnd::Stalled, outcome);
                ended.paid_pause_us = Some(pause_us);
                Try::Ended(ended)
            }
            Head::Late => {
                self.late(slot);
                return Err(UnknownReason::TimedOut.into());
            }
        })
    }

    /// Waits for the head of the answer; an idempotent quick request isn't left with a server
    /// that answers nobody when another try can be paid.
    async fn answer_head(
        &mut self,
        link: &Link,
        sender: &mut SendRequest<RequestBody>,
        request: Request<RequestBody>,
    ) -> Head {
        let deadline = self.call.deadline;
        let mut sent = pin!(sender.send_request(request));
        let came = loop {
            let until = self.try_until();
            let came = tokio::time::timeout_at(until, &mut sent).await;
            if came.is_ok() || until >= deadline {
                break came;
            }
            let stalled = link.state().is_stalled(clock::now_us());
            let next = || self.route.gate.next_try(&mut self.tries, TryEnd::Stalled);
            if let Some(pause_us) = stalled.then(next).flatten() {
                return Head::Stalled { pause_us };
            }
        };
        match came {
            Ok(Ok(response)) => Head::Came(response),
            Ok(Err(error)) if error.is_canceled() => Head::NotSent,
            Ok(Err(_)) => Head::Lost,
            Err(_) => Head::Late,
        }
    }

    /// Returns when the try is given up: an idempotent quick one early, so that another can be
    /// made in time.
    fn try_until(&self) -> Instant {
        let deadline = self.call.deadline;
        if !self.call.idempotent || self.call.class == RequestClass::Long {
            return deadline;
        }
        let pace = self.route.gate.pace(self.call.class);
        let stalled = Instant::now() + Duration::from_micros(stall_us(&pace));
        stalled.min(deadline)
    }

    fn judge(&self, slot: Slot, response: Response<Incoming>) -> Try {
        let instance = slot.link().instance().clone();
        let status = response.status();
        if let Some(result) = refusal_of(&response) {
            slot.fail(result);
            let outcome = Outcome::NotRun(NotRunReason::Refused);
            let end = TryEnd::Refused;
            return Try::Ended(Ended::new(end, outcome));
        }
        let dispatched = Dispatched { response, slot };
        if is_server_error(status) && self.call.idempotent {
            let end = TryEnd::ServerError;
            let outcome = Outcome::Answered;
            let mut ended = Ended::new(end, outcome);
            ended.answer = Some(dispatched);
            return Try::Ended(ended);
        }
        let status = status.as_u16();
        self.note(Event::Answered { instance, status });
        Try::Answered(dispatched)
    }

    /// Ends a try at the caller's deadline, which is the server's fault when it took long.
    fn late(&self, slot: Slot) {
        let stalled_us = stall_us(&self.route.gate.pace(self.call.class));
        if slot.age_us() > stalled_us {
            slot.fail(TryResult::Broken);
        }
    }

    fn ending(&self, outcome: Outcome) -> Ending {
        if !matches!(outcome, Outcome::NotRun(_)) {
            return outcome.into();
        }
        let wait_us = self.route.gate.expected_wait_us(&self.call.ask());
        let retry_after_us = wait_us.max(self.route.closed_us());
        self.truthful(Ending::new(outcome).retry_after_ms(retry_after_us.div_ceil(1_000)))
    }

    fn note(&self, event: Event) {
        let id = Some(&self.call.request_id);
        self.shared.journal().note(id, event);
    }
}

enum Head {
    Came(Response<Incoming>),
    NotSent,
    Lost,
    Stalled { pause_us: u64 },
    Late,
}

/// Ends a try of which nothing was sent.
fn unreachable(slot: Slot) -> Try {
    slot.fail(TryResult::Unreachable);
    let outcome = Outcome::NotRun(NotRunReason::NoInstance);
    Try::Ended(Ended::new(TryEnd::ConnectFailed, outcome))
}

/// Ends a try that may have run.
fn broken(slot: Slot, end: TryEnd, reason: UnknownReason) -> Try {
    slot.fail(TryResult::Broken);
    Try::Ended(Ended::new(end, Outcome::Unknown(reason)))
}

/// Returns the ending of a request that wasn't admitted.
fn ending_of(refusal: Refusal) -> Ending {
    Ending::from(refusal.reason).retry_after_ms(refusal.retry_after_us.div_ceil(1_000))
}

fn refusal_of(response: &Response<Incoming>) -> Option<TryResult> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let refused = response.headers().get(headers::REFUSED)?;
    if refused.as_bytes() == LEAVING.as_bytes() {
        Some(TryResult::Leaving)
    } else {
        Some(TryResult::Refused)
    }
}

/// Returns whether the answer says that the backend server failed.
pub(crate) fn is_server_error(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}
