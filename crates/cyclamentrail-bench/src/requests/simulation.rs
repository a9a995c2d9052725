//! Discrete-event simulation of entries and servers in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cyclamentrail_core::{
    HomeRing, Incarnation, NotRunReason, QueueTicket, Refusal, RequestClass, RetryState,
    stall_timeout_us,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::entry::Entry;
use super::policy::{Policy, Sharing};
use super::report::RunReport;
use super::scenario::{SLOTS, Scenario};
use super::server::Server;
use super::trace::{Arrival, trace};

mod attempts;

/// Timeout of each attempt at a quick request under the baseline, in microseconds.
const BASELINE_TIMEOUT_US: u64 = 250_000;
/// Retries of one request under the baseline.
const BASELINE_RETRIES: u32 = 3;
/// Interval in microseconds at which late requests are removed and entries exchange free slots.
const TICK_US: u64 = 10_000;
/// One-way network delay between two entries in microseconds.
const ENTRY_DELAY_US: u64 = 500;
/// Multiple of the mean response time after which hedging sends a second attempt.
const HEDGE_RATIO: u64 = 3;
/// Servers that the contract promises; ejection leaves at least this many.
const PROMISED_SERVERS: u32 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The request at an index of the trace arrives at the load balancer.
    Arrive(usize),
    /// A forwarded request reaches another entry.
    Forward { request: usize, to: usize },
    /// An attempt reaches its server.
    ReachServer(usize),
    /// A server has finished the work of an attempt.
    ServerDone(usize),
    /// The reply to an attempt reaches its entry.
    Reply { attempt: usize, result: Reply },
    /// The timeout of an attempt is over.
    TimeOut(usize),
    /// The delay before hedging an attempt is over.
    Hedge(usize),
    /// The pause before the next attempt at a request is over.
    Retry(usize),
    /// Removes late requests and exchanges the numbers of free slots.
    Tick,
    /// Entry 0 leaves or joins again.
    MembersChange { leaves: bool },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Served,
    Refused,
    Error,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    entry: usize,
    server: usize,
    started_us: u64,
    /// Whether neither a reply nor a timeout has ended the attempt.
    open: bool,
}

#[derive(Debug)]
struct RequestState {
    entry: usize,
    retry_state: RetryState,
    baseline_retries: u32,
    /// Rack of the last failed attempt, which routing avoids.
    avoided_rack: Option<u32>,
    ended: bool,
    hedged: bool,
    ticket: Option<QueueTicket>,
}

struct Simulation {
    policy: Policy,
    scenario: Scenario,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    arrivals: Vec<Arrival>,
    states: Vec<RequestState>,
    attempts: Vec<Attempt>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    report: RunReport,
    random: ChaCha8Rng,
    useful_us: u64,
}

/// Simulates a scenario under a policy and returns the counted results.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy) -> RunReport {
    let mut simulation = Simulation::new(scenario, policy);
    simulation.run();
    simulation.report
}

impl Simulation {
    fn new(scenario: &Scenario, policy: Policy) -> Self {
        let arrivals = trace(scenario);
        let state = |arrival: &Arrival| RequestState {
            entry: 0,
            retry_state: RetryState::new(arrival.idempotent, arrival.deadline_us),
            baseline_retries: 0,
            avoided_rack: None,
            ended: false,
            hedged: false,
            ticket: None,
        };
        let mut simulation = Self {
            policy,
            scenario: *scenario,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            states: arrivals.iter().map(state).collect(),
            attempts: Vec::new(),
            servers: (0..scenario.servers)
                .map(|index| Server::new(index, scenario))
                .collect(),
            entries: (0..scenario.entries)
                .map(|index| Entry::new(index, scenario))
                .collect(),
            report: RunReport::default(),
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            arrivals,
            useful_us: 0,
        };
        for index in 0..simulation.arrivals.len() {
            simulation.schedule(simulation.arrivals[index].at_us, Event::Arrive(index));
        }
        if scenario.churn {
            simulation.schedule(
                scenario.end_us() / 10,
                Event::MembersChange { leaves: true },
            );
            simulation.schedule(
                scenario.end_us() / 7,
                Event::MembersChange { leaves: false },
            );
        }
        simulation.schedule(TICK_US, Event::Tick);
        simulation.refresh_members();
        simulation
    }

    /// Schedules an event; events of the same time keep the order in which they were scheduled.
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.handle(event);
        }
        let busy_us: u64 = self.servers.iter().map(|server| server.busy_us).sum();
        let slots = self.scenario.servers as u64 * u64::from(SLOTS);
        self.report.utilisation = busy_us as f64 / (slots * self.scenario.end_us()) as f64;
        self.report.useful = self.useful_us as f64 / (slots * self.scenario.end_us()) as f64;
        self.report.server_refusals = self.servers.iter().map(|server| server.refused).sum();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Forward { request, to } => self.start(request, to, false),
            Event::ReachServer(attempt) => self.start_at_server(attempt),
            Event::ServerDone(attempt) => self.finish_at_server(attempt),
            Event::Reply { attempt, result } => self.reply(attempt, result),
            Event::TimeOut(attempt) => self.time_out(attempt),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::Retry(request) => self.start(request, self.states[request].entry, true),
            Event::Tick => self.tick(),
            Event::MembersChange { leaves } => {
                self.entries[0].alive = !leaves;
                self.refresh_members();
            }
        }
    }

    fn refresh_members(&mut self) {
        let alive: Vec<usize> = (0..self.entries.len())
            .filter(|&index| self.entries[index].alive)
            .collect();
        let members: Vec<Incarnation> = alive.iter().map(|&index| incarnation(index)).collect();
        let ring = HomeRing::new(self.scenario.servers, &members);
        let Policy::Core { sharing, .. } = self.policy else {
            return;
        };
        for (position, &index) in alive.iter().enumerate() {
            let is_home = |server| sharing != Sharing::Home || ring.home(server) == Some(position);
            self.entries[index].set_members(incarnation(index), &members, sharing, is_home);
        }
    }

    fn arrive(&mut self, request: usize) {
        let alive: Vec<usize> = (0..self.entries.len())
            .filter(|&index| self.entries[index].alive)
            .collect();
        let arrival = &self.arrivals[request];
        let chosen = if self.scenario.skewed && arrival.balancer_value.is_multiple_of(2) {
            alive.len() - 1
        } else {
            (arrival.balancer_value / 2 % alive.len() as u64) as usize
        };
        let entry = alive[chosen];
        self.report.requests += 1;
        match arrival.class {
            RequestClass::Quick => {
                self.report.offered += 1;
                self.report.team_offered[arrival.team] += 1;
            }
            RequestClass::Long => self.report.long_offered += 1,
        }
        self.entries[entry].budget.deposit();
        self.start(request, entry, true);
    }

    /// Sends a request to a server, forwards it or queues it at the entry.
    fn start(&mut self, request: usize, entry: usize, may_forward: bool) {
        self.states[request].entry = entry;
        if self.policy == Policy::Baseline {
            let server = self.entries[entry].next_round_robin % self.scenario.servers;
            self.entries[entry].next_round_robin += 1;
            self.send(request, entry, server);
            return;
        }
        let arrival = &self.arrivals[request];
        let (class, idempotent) = (arrival.class, arrival.idempotent);
        let avoided_rack = self.states[request].avoided_rack;
        if self.entries[entry].admission.waiting(class) == 0 {
            let picked = self.entries[entry].pick(
                class,
                idempotent,
                avoided_rack,
                self.now_us,
                &mut self.random,
            );
            if let Some(server) = picked {
                self.send(request, entry, server);
                return;
            }
        }
        if may_forward && self.forward(request, entry) {
            return;
        }
        self.enqueue_request(request, entry);
    }

    /// Forwards a request to the entry that last reported the most free slots, in
    /// [`Sharing::Home`].
    ///
    /// Returns `false` when no other entry is known to have a free slot.
    fn forward(&mut self, request: usize, entry: usize) -> bool {
        let is_home = matches!(
            self.policy,
            Policy::Core {
                sharing: Sharing::Home,
                ..
            }
        );
        let known_free_slots = &mut self.entries[entry].known_free_slots;
        let most_free = (0..known_free_slots.len()).max_by_key(|&other| known_free_slots[other]);
        let Some(to) = most_free.filter(|&other| is_home && known_free_slots[other] > 0) else {
            return false;
        };
        known_free_slots[to] -= 1;
        self.report.forwarded += 1;
        self.schedule(self.now_us + ENTRY_DELAY_US, Event::Forward { request, to });
        true
    }

    /// Queues a request at an entry, or counts it as refused if the admission refuses it.
    fn enqueue_request(&mut self, request: usize, entry: usize) {
        let arrival = &self.arrivals[request];
        let admission_request = cyclamentrail_core::AdmissionRequest {
            class: arrival.class,
            team: arrival.team_name.clone(),
            deadline_us: arrival.deadline_us,
        };
        match self.entries[entry]
            .admission
            .enqueue(&admission_request, self.now_us, request)
        {
            Ok(queued) => {
                self.states[request].ticket = Some(queued.ticket);
                if let Some((evicted, refusal)) = queued.evicted {
                    self.refuse(evicted, refusal);
                }
            }
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    fn refuse(&mut self, request: usize, refusal: Refusal) {
        debug_assert_ne!(refusal.reason, NotRunReason::NoSuchService);
        if std::mem::replace(&mut self.states[request].ended, true) {
            return;
        }
        if self.arrivals[request].class == RequestClass::Quick {
            self.report.refused += 1;
            let took_us = self.now_us - self.arrivals[request].at_us;
            self.report.refusal_us.saturating_record(took_us);
        }
    }

    fn send(&mut self, request: usize, entry: usize, server: usize) {
        self.report.attempts += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            entry,
            server,
            started_us: self.now_us,
            open: true,
        });
        let delay_us = self.entries[entry].delay_us(server);
        self.schedule(self.now_us + delay_us, Event::ReachServer(attempt));
        let arrival = &self.arrivals[request];
        let response_time = self.entries[entry].admission.response_time(arrival.class);
        match self.policy {
            Policy::Baseline if arrival.class == RequestClass::Quick => {
                self.schedule(self.now_us + BASELINE_TIMEOUT_US, Event::TimeOut(attempt));
            }
            Policy::Core { hedge, .. }
                if arrival.idempotent && arrival.class == RequestClass::Quick =>
            {
                let stall_timeout_us = stall_timeout_us(response_time);
                let hedge_us = response_time.mean_us() * HEDGE_RATIO;
                self.schedule(self.now_us + stall_timeout_us, Event::TimeOut(attempt));
                if hedge && hedge_us > 0 {
                    self.schedule(self.now_us + hedge_us, Event::Hedge(attempt));
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        let now_us = self.now_us;
        let known_free_slots: Vec<u32> = self
            .entries
            .iter()
            .map(|entry| entry.free_slots(now_us))
            .collect();
        for index in 0..self.entries.len() {
            self.entries[index]
                .known_free_slots
                .clone_from(&known_free_slots);
            self.entries[index].known_free_slots[index] = 0;
            for (late, refusal) in self.entries[index].admission.remove_late(now_us) {
                self.refuse(late, refusal);
            }
            self.start_waiting(index);
        }
        let waiting = self.entries.iter().any(|entry| {
            entry.admission.waiting(RequestClass::Quick)
                + entry.admission.waiting(RequestClass::Long)
                > 0
        });
        if now_us < self.scenario.end_us() || waiting {
            self.schedule(now_us + TICK_US, Event::Tick);
        }
    }

    /// Starts waiting requests on free slots that no ended request handed over.
    fn start_waiting(&mut self, entry: usize) {
        for class in [RequestClass::Quick, RequestClass::Long] {
            while self.entries[entry].admission.waiting(class) > 0 {
                let picked =
                    self.entries[entry].pick(class, false, None, self.now_us, &mut self.random);
                let Some(server) = picked else { break };
                let dequeued = self.entries[entry].admission.dequeue(class, self.now_us);
                for (late, refusal) in dequeued.late {
                    self.refuse(late, refusal);
                }
                match dequeued.request {
                    Some(request) => self.send(request, entry, server),
                    None => self.entries[entry].links[server].release(class),
                }
            }
        }
    }
}

fn incarnation(index: usize) -> Incarnation {
    Incarnation::new(index as u64 + 1)
}
