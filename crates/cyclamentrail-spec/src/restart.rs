//! Model of one task whose worker may restart under its id, so that calls that were meant for the
//! earlier incarnation reach the new one.
//!
//! A start command in flight may be carried out by the incarnation that it was sent to or by the next
//! one; its response doesn't tell which. Reports and registrations name the incarnation. Calls carry a
//! fencing token for the incarnation that the owner knew; one that has seen a higher token rejects them.

use std::collections::BTreeSet;
use std::fmt;

use crate::explore::{Model, Violation};

/// Largest number of runs of the task.
const MAX_RUNS: u8 = 2;
/// Largest number of restarts of the first worker; the second doesn't restart.
const MAX_RESTARTS: u8 = 2;
/// Largest number of start commands in flight.
const MAX_STARTS: usize = 2;
/// Number of restarts that a command in flight may outlast: calls have a time limit.
const MAX_CROSSED: u8 = 1;

/// Rule that the model omits; the check has to find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartFault {
    /// All runs of a restarted worker count as ended.
    RestartEndsRuns,
    /// All calls carry the same token, so that a new incarnation never rejects those to an earlier one.
    SameToken,
    /// A run that the earlier incarnation listed counts as ended although its start was sent twice.
    LateStartIgnored,
    /// A stopped run is freed although a start command for it is under way, which the next incarnation
    /// may get.
    FreedUnderWay,
}

/// Model of a task's runs on two workers.
#[derive(Debug, Default)]
pub struct RestartModel {
    fault: Option<RestartFault>,
}

/// What the owner knows of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    /// A start command was sent.
    Sent,
    /// The present incarnation has listed the run.
    Listed,
    /// A stop command was sent.
    Stopping,
    /// The present incarnation has confirmed the stop.
    Stopped,
}

/// Assignment of the task's run to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Assignment {
    worker: u8,
    run: u8,
    phase: Phase,
    /// Whether several start commands were sent, so that one may take effect late.
    may_start_late: bool,
    /// Whether the worker has restarted since the start was sent.
    is_in_doubt: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Worker {
    incarnation: u8,
    /// Highest token that this incarnation has seen.
    highest_token: u8,
    /// Highest run that this incarnation has started or stopped.
    highest_run: u8,
    running: BTreeSet<u8>,
}

/// Command in flight to start or stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunCommand {
    worker: u8,
    run: u8,
    /// Incarnation of the worker at the time of sending.
    sent_to: u8,
    /// Token of the incarnation that the owner knew at that time.
    token: u8,
}

/// Response of a worker to a poll, in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PollReport {
    worker: u8,
    /// Incarnation that the owner knew when it sent the poll.
    known: u8,
    /// The owner's assignment when it sent the poll.
    assignment: Option<Assignment>,
    /// Whether a start command for the assigned run that was sent to the incarnation which responded was
    /// under way then. For how long one to an earlier incarnation is, the owner doesn't know.
    is_start_under_way: bool,
    /// Incarnation that responded.
    incarnation: u8,
    running: BTreeSet<u8>,
}

/// State of the owner, the workers and the calls in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct RestartState {
    workers: [Worker; 2],
    /// Incarnation of each worker that the owner knows.
    known: [u8; 2],
    /// Number of the latest run.
    run: u8,
    assignment: Option<Assignment>,
    starts: BTreeSet<RunCommand>,
    stops: BTreeSet<RunCommand>,
    report: Option<PollReport>,
}

/// A step of one party of the model.
#[derive(Debug, Clone, Copy)]
pub enum RestartAction {
    /// The owner places the task on a worker and sends a start command.
    PlaceTask(u8),
    /// The owner sends the start command again.
    RepeatStart,
    /// A worker gets a start command.
    ExecuteStart(RunCommand),
    /// A worker gets a stop command.
    ExecuteStop(RunCommand),
    /// The first worker ends and starts again under its id.
    Restart,
    /// The owner reads the registration of a worker.
    ReadRegistration(u8),
    /// A worker responds to a poll.
    Poll(u8),
    /// The owner gets the response.
    ReceiveReport,
}

impl fmt::Display for RestartAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PlaceTask(worker) => write!(f, "the owner places the task on worker {worker}"),
            Self::RepeatStart => write!(f, "the owner sends the start again"),
            Self::ExecuteStart(command) => {
                write!(f, "worker {} gets start {}", command.worker, command.run)
            }
            Self::ExecuteStop(command) => {
                write!(f, "worker {} gets stop {}", command.worker, command.run)
            }
            Self::Restart => write!(f, "worker 0 restarts"),
            Self::ReadRegistration(worker) => {
                write!(f, "the owner reads the registration of worker {worker}")
            }
            Self::Poll(worker) => write!(f, "worker {worker} responds to a poll"),
            Self::ReceiveReport => write!(f, "the owner gets the response"),
        }
    }
}

impl RestartModel {
    /// Creates the model.
    #[must_use]
    pub const fn new() -> Self {
        Self { fault: None }
    }

    /// Omits one rule.
    #[must_use]
    pub const fn with_fault(mut self, fault: RestartFault) -> Self {
        self.fault = Some(fault);
        self
    }

    fn has_fault(&self, fault: RestartFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns the token of the calls to the incarnation of a worker that the owner knows.
    fn token(&self, state: &RestartState, worker: u8) -> u8 {
        if self.has_fault(RestartFault::SameToken) {
            return 0;
        }
        state.known[usize::from(worker)]
    }

    /// Lets the owner learn that a worker has restarted.
    fn learn_restart(&self, state: &mut RestartState, worker: u8, incarnation: u8) {
        state.known[usize::from(worker)] = incarnation;
        let Some(assignment) = state.assignment.as_mut().filter(|it| it.worker == worker) else {
            return;
        };
        let may_start_late =
            assignment.may_start_late && !self.has_fault(RestartFault::LateStartIgnored);
        let has_surely_ended = assignment.phase == Phase::Listed && !may_start_late;
        if has_surely_ended || self.has_fault(RestartFault::RestartEndsRuns) {
            state.assignment = None;
            return;
        }
        assignment.is_in_doubt = true;
        assignment.phase = match assignment.phase {
            Phase::Stopping | Phase::Stopped => Phase::Stopping,
            Phase::Sent | Phase::Listed => Phase::Sent,
        };
    }

    /// Lets the owner handle a report of the incarnation that it knows.
    fn apply_report(&self, state: &mut RestartState, report: &PollReport) {
        let Some(assignment) = state.assignment.as_mut() else {
            return;
        };
        if assignment.worker != report.worker {
            return;
        }
        let is_listed = report.running.contains(&assignment.run);
        let answers_own_poll = report.known == report.incarnation;
        if is_listed {
            assignment.is_in_doubt = false;
            if assignment.phase == Phase::Sent {
                assignment.phase = Phase::Listed;
            }
        } else if assignment.is_in_doubt {
            if !answers_own_poll {
                return;
            }
            let may_begin =
                report.is_start_under_way && !self.has_fault(RestartFault::FreedUnderWay);
            if !may_begin {
                state.assignment = None;
                return;
            }
        } else if answers_own_poll && report.assignment == Some(*assignment) {
            let may_begin =
                report.is_start_under_way && !self.has_fault(RestartFault::FreedUnderWay);
            let has_ended = match assignment.phase {
                Phase::Listed => true,
                Phase::Stopped => !may_begin,
                Phase::Sent | Phase::Stopping => false,
            };
            if has_ended {
                state.assignment = None;
                return;
            }
        }
        let needs_stop = state
            .assignment
            .filter(|assignment| assignment.phase == Phase::Stopping);
        if let Some(assignment) = needs_stop {
            state.stops.insert(RunCommand {
                worker: assignment.worker,
                run: assignment.run,
                sent_to: state.known[usize::from(assignment.worker)],
                token: self.token(state, assignment.worker),
            });
        }
    }
}

impl Worker {
    /// Takes the token of a call; returns whether the call is carried out.
    fn accepts(&mut self, token: u8) -> bool {
        let is_accepted = token >= self.highest_token;
        self.highest_token = self.highest_token.max(token);
        is_accepted
    }
}

impl RestartState {
    fn send_start(&mut self, worker: u8, run: u8, token: u8) {
        self.starts.insert(RunCommand {
            worker,
            run,
            sent_to: self.workers[usize::from(worker)].incarnation,
            token,
        });
    }

    fn execute_start(&mut self, command: RunCommand) {
        self.starts.remove(&command);
        let worker = &mut self.workers[usize::from(command.worker)];
        if !worker.accepts(command.token) {
            return;
        }
        if command.run > worker.highest_run {
            worker.highest_run = command.run;
            worker.running.insert(command.run);
        }
    }

    /// Stops a run on its worker; the owner counts the confirmation of the incarnation that it knows.
    fn execute_stop(&mut self, command: RunCommand) {
        self.stops.remove(&command);
        let known = self.known[usize::from(command.worker)];
        let worker = &mut self.workers[usize::from(command.worker)];
        if !worker.accepts(command.token) {
            return;
        }
        worker.highest_run = worker.highest_run.max(command.run);
        worker.running.remove(&command.run);
        let counts = command.sent_to == known && known == worker.incarnation;
        if let Some(assignment) = self.assignment.as_mut()
            && (assignment.worker, assignment.run) == (command.worker, command.run)
            && assignment.phase == Phase::Stopping
            && counts
        {
            assignment.phase = Phase::Stopped;
        }
    }

    /// Restarts the first worker, which then knows nothing; calls that outlast their limit are lost.
    fn restart(&mut self) {
        let incarnation = self.workers[0].incarnation + 1;
        self.workers[0] = Worker {
            incarnation,
            ..Worker::default()
        };
        let is_under_way = |command: &RunCommand| {
            command.worker != 0 || incarnation - command.sent_to <= MAX_CROSSED
        };
        self.starts.retain(is_under_way);
        self.stops.retain(is_under_way);
    }
}

impl Model for RestartModel {
    type State = RestartState;
    type Action = RestartAction;

    fn initial_state(&self) -> RestartState {
        RestartState::default()
    }

    fn actions(&self, state: &RestartState) -> Vec<RestartAction> {
        let mut actions = Vec::new();
        match state.assignment {
            None if state.run < MAX_RUNS => {
                actions.extend([0, 1].map(RestartAction::PlaceTask));
            }
            Some(assignment)
                if assignment.phase == Phase::Sent
                    && !assignment.is_in_doubt
                    && state.starts.len() < MAX_STARTS =>
            {
                actions.push(RestartAction::RepeatStart);
            }
            _ => {}
        }
        let starts = state.starts.iter().copied();
        actions.extend(starts.map(RestartAction::ExecuteStart));
        let stops = state.stops.iter().copied();
        actions.extend(stops.map(RestartAction::ExecuteStop));
        if state.workers[0].incarnation < MAX_RESTARTS {
            actions.push(RestartAction::Restart);
        }
        if state.known[0] < state.workers[0].incarnation {
            actions.push(RestartAction::ReadRegistration(0));
        }
        match state.report {
            Some(_) => actions.push(RestartAction::ReceiveReport),
            None => actions.extend([0, 1].map(RestartAction::Poll)),
        }
        actions
    }

    fn next_state(&self, state: &RestartState, action: &RestartAction) -> RestartState {
        let mut state = state.clone();
        match *action {
            RestartAction::PlaceTask(worker) => {
                state.run += 1;
                state.assignment = Some(Assignment {
                    worker,
                    run: state.run,
                    phase: Phase::Sent,
                    may_start_late: false,
                    is_in_doubt: false,
                });
                let token = self.token(&state, worker);
                state.send_start(worker, state.run, token);
            }
            RestartAction::RepeatStart => {
                if let Some(assignment) = &mut state.assignment {
                    assignment.may_start_late = true;
                    let (worker, run) = (assignment.worker, assignment.run);
                    let token = self.token(&state, worker);
                    state.send_start(worker, run, token);
                }
            }
            RestartAction::ExecuteStart(command) => state.execute_start(command),
            RestartAction::ExecuteStop(command) => state.execute_stop(command),
            RestartAction::Restart => state.restart(),
            RestartAction::ReadRegistration(worker) => {
                let incarnation = state.workers[usize::from(worker)].incarnation;
                self.learn_restart(&mut state, worker, incarnation);
            }
            RestartAction::Poll(worker) => {
                let token = self.token(&state, worker);
                if !state.workers[usize::from(worker)].accepts(token) {
                    return state;
                }
                let polled = &state.workers[usize::from(worker)];
                let run = state.assignment.map(|assignment| assignment.run);
                let is_recent = |start: &RunCommand| {
                    Some(start.run) == run && start.sent_to == polled.incarnation
                };
                let is_start_under_way = state.starts.iter().any(is_recent);
                state.report = Some(PollReport {
                    worker,
                    known: state.known[usize::from(worker)],
                    assignment: state.assignment,
                    is_start_under_way,
                    incarnation: polled.incarnation,
                    running: polled.running.clone(),
                });
            }
            RestartAction::ReceiveReport => {
                if let Some(report) = state.report.take() {
                    let known = state.known[usize::from(report.worker)];
                    if report.incarnation > known {
                        self.learn_restart(&mut state, report.worker, report.incarnation);
                        self.apply_report(&mut state, &report);
                    } else if report.incarnation == known && report.known == known {
                        self.apply_report(&mut state, &report);
                    }
                }
            }
        }
        state
    }

    fn check_invariants(&self, state: &RestartState) -> Result<(), Violation> {
        let runs: usize = state
            .workers
            .iter()
            .map(|worker| worker.running.len())
            .sum();
        if runs > 1 {
            return Err(Violation {
                invariant: "a task has one run at a time",
                observed: format!("{runs} runs"),
            });
        }
        Ok(())
    }
}
