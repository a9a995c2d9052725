//! Workers, a store and callers in virtual time, around the process's own scheduler.
//!
//! Each start that a worker carries out is checked against the promises: no task runs twice at
//! once or after it was done, nothing exceeds a worker's capacity, no step overtakes another.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use cyclamentrail_core::{JobId, LabelName, RouteName, ServiceName, WorkerId, ZoneName};
use cyclamentrail_jobs::{
    AdviceQuestion, Answer, CallerTicket, Commit, Effect, JobSpec, JobState, KeyedRecord, Look,
    LookOutcome, Note, Now, OrderOutcome, PaceOrder, Registration, Resources, RunName, Shard,
    ShardTiming, StartOrder, StopOrder, TaskKey, WorkerKey,
};

#[path = "world/calls.rs"]
mod calls;

use crate::policy::Policy;
pub use crate::specs::{ROUTE, job, step, terms};
use crate::worker::FakeWorker;

/// Time of a call and its answer, each, in milliseconds.
const HOP_MS: u64 = 2;
/// Time of an append in milliseconds.
const APPEND_MS: u64 = 6;
/// Time that a stop takes in milliseconds.
const STOP_MS: u64 = 100;
/// Time between two rounds of the owner in milliseconds.
const TICK_MS: u64 = 20;
/// Unix time of the start in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;
/// Longest lease that a worker accepts in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

#[derive(Debug, Clone)]
enum Event {
    Start(StartOrder, u64, bool),
    Stop(StopOrder, u64),
    Look(Look, u64),
    Started(WorkerKey, TaskKey, u32, OrderOutcome, u64),
    Stopped(TaskKey, u32, OrderOutcome, u64),
    Looked(WorkerKey, u64, LookOutcome, u64),
    Paced(PaceOrder),
    Advise(AdviceQuestion),
    Committed(u64),
}

/// The whole of a test.
#[derive(Debug)]
pub struct World {
    /// The owner's scheduler.
    pub shard: Shard,
    /// The workers by id.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Answers by caller.
    pub answers: HashMap<u64, Answer>,
    /// What was noted.
    pub notes: Vec<Note>,
    /// Starts that were carried out, by job.
    pub starts: HashMap<JobId, u32>,
    /// Whether appends are answered.
    pub store_answers: bool,
    /// Whether the owner does anything.
    pub is_owned: bool,
    /// Which workers may run anything, if a policy decides it.
    pub policy: Option<Policy>,
    now_ms: u64,
    token: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    committing: Option<Commit>,
    records: BTreeMap<String, Vec<u8>>,
    /// Tasks that must not run again.
    done: BTreeSet<(JobId, u32, u32, u32)>,
    /// Tasks of which a run has ended well, whether anybody took note of it or not.
    ever_done: BTreeSet<(JobId, u32, u32, u32)>,
    next_caller: u64,
    specs: HashMap<JobId, Arc<JobSpec>>,
    fails: BTreeSet<JobId>,
}

impl World {
    /// Creates a world with workers of a capacity, four to a rack.
    pub fn new(count: u64, capacity: Resources) -> Self {
        let mut world = Self {
            shard: Shard::new(ShardTiming::default()),
            workers: BTreeMap::new(),
            answers: HashMap::new(),
            notes: Vec::new(),
            starts: HashMap::new(),
            store_answers: true,
            is_owned: true,
            policy: None,
            now_ms: 1_000,
            token: 1,
            events: BTreeMap::new(),
            sequence: 0,
            committing: None,
            records: BTreeMap::new(),
            done: BTreeSet::new(),
            ever_done: BTreeSet::new(),
            next_caller: 0,
            specs: HashMap::new(),
            fails: BTreeSet::new(),
        };
        world.shard.set_terms([terms()]);
        for index in 0..count {
            world.add_worker(&format!("w{index}"), capacity, &format!("r{}", index / 4));
        }
        world
    }

    /// Asks how many jobs haven't begun; returns the caller's number.
    pub fn ask_pending(&mut self) -> u64 {
        let caller = self.caller();
        self.shard
            .tell_pending(CallerTicket(caller), &RouteName::from(ROUTE));
        caller
    }

    /// Returns the present moment.
    pub const fn now(&self) -> Now {
        Now {
            boot_ms: self.now_ms,
            unix_ms: UNIX_MS + self.now_ms,
        }
    }

    /// Adds a worker, or begins another life of one.
    pub fn add_worker(&mut self, id: &str, capacity: Resources, rack: &str) {
        let registration = Registration {
            id: WorkerId::from(id),
            born_ms: UNIX_MS + self.now_ms,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            zone: ZoneName::from("z"),
            service: ServiceName::from("service"),
            capacity,
            labels: vec![LabelName::from("a"), LabelName::from(rack)],
            is_draining: false,
            cold_ms: 0,
            clock_ms: self.now_ms,
        };
        let worker = FakeWorker {
            registration: registration.clone(),
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_token: 0,
            highest_run: HashMap::new(),
            until_ms: 0,
            is_alive: true,
            is_reachable: true,
            refuses: false,
            answers: true,
            late_ms: None,
            fails_all: false,
            hangs: false,
            harm_ms: 0,
        };
        self.workers.insert(registration.id.clone(), worker);
        self.shard.register(self.now(), registration);
    }

    /// Returns a worker.
    pub fn worker(&mut self, id: &str) -> &mut FakeWorker {
        self.workers
            .get_mut(&WorkerId::from(id))
            .expect("the worker is part of the test")
    }

    /// Hands in a job; returns the caller's number.
    pub fn submit(&mut self, id: &str, spec: JobSpec) -> u64 {
        let spec = Arc::new(spec);
        let id = JobId::from(id);
        self.specs.insert(id.clone(), Arc::clone(&spec));
        let caller = self.caller();
        let submission = cyclamentrail_jobs::Submission {
            caller: CallerTicket(caller),
            id,
            route: RouteName::from(ROUTE),
            spec,
        };
        self.shard.submit(self.now(), submission);
        caller
    }

    /// Hands in a job all of whose tasks fail.
    pub fn submit_hopeless(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.fails.insert(JobId::from(id));
        self.submit(id, spec)
    }

    /// Cancels a job; returns the caller's number.
    pub fn cancel(&mut self, id: &str) -> u64 {
        let caller = self.caller();
        self.shard.cancel(CallerTicket(caller), &JobId::from(id));
        caller
    }

    /// Returns what callers are told of a job.
    pub fn state(&self, id: &str) -> Option<JobState> {
        self.shard.job(&JobId::from(id)).map(|job| job.shown)
    }

    /// Returns how many runs are on a worker.
    pub fn running_on(&self, id: &str) -> usize {
        self.workers[&WorkerId::from(id)].running.len()
    }

    /// Returns how many runs are on all workers.
    pub fn running(&self) -> usize {
        self.workers
            .values()
            .map(|worker| worker.running.len())
            .sum()
    }

    /// Lets time pass.
    pub fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            let next_ms = (self.now_ms + TICK_MS).min(end_ms);
            while let Some((&key, _)) = self.events.first_key_value()
                && key.0 <= next_ms
            {
                self.now_ms = self.now_ms.max(key.0);
                if let Some(event) = self.events.remove(&key) {
                    self.end_runs();
                    self.carry_out(event);
                    self.drive();
                }
            }
            self.now_ms = next_ms;
            self.end_runs();
            self.drive();
        }
    }

    /// Lets another process take over, which knows only the records.
    pub fn take_over(&mut self, earlier_acts_ms: u64) {
        self.token += 1;
        self.committing = None;
        self.is_owned = true;
        self.shard = Shard::new(ShardTiming::default());
        self.shard.set_terms([terms()]);
        let now = self.now();
        for worker in self.workers.values().filter(|worker| worker.is_alive) {
            let mut registration = worker.registration.clone();
            registration.clock_ms = self.now_ms;
            self.shard.register(now, registration);
        }
        let records: Vec<KeyedRecord> = self
            .records
            .iter()
            .map(|(key, value)| KeyedRecord {
                key: key.clone(),
                value: value.clone(),
            })
            .collect();
        assert_eq!(self.shard.restore(now, records, earlier_acts_ms), 0);
    }

    /// Lets a worker's process end; its registration is removed.
    pub fn lose(&mut self, id: &str) {
        let worker = self.worker(id);
        worker.is_alive = false;
        worker.is_reachable = false;
        worker.running.clear();
        // What it did and nobody took note of has to be done again.
        let unseen = std::mem::take(&mut worker.ended);
        for name in unseen.into_iter().map(|row| row.name) {
            self.done
                .remove(&(name.job, name.occurrence, name.step, name.index));
        }
        self.shard.unregister(&WorkerId::from(id));
    }

    fn caller(&mut self) -> u64 {
        self.next_caller += 1;
        self.next_caller
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now_ms + after_ms, self.sequence), event);
    }

    /// Does what the owner's loop does.
    fn drive(&mut self) {
        if !self.is_owned {
            return;
        }
        let now = self.now();
        self.shard.advance(now);
        let ready = self.shard.take_ready();
        self.effects(ready);
        if self.committing.is_some() || !self.store_answers {
            return;
        }
        if let Some(commit) = self.shard.take_commit(now) {
            let token = self.token;
            self.committing = Some(commit);
            self.schedule(APPEND_MS, Event::Committed(token));
        }
    }

    fn effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer(caller, answer) => {
                    self.answers.insert(caller.0, answer);
                }
                Effect::Start(task) => {
                    let now = self.now();
                    if let Some(order) = self.shard.start_order(now, task) {
                        self.schedule(HOP_MS, Event::Start(order, self.token, true));
                    }
                }
                Effect::Stop(order) => self.schedule(HOP_MS, Event::Stop(order, self.token)),
                Effect::Look(look) => self.schedule(HOP_MS, Event::Look(look, self.token)),
                Effect::Pace(order) => self.schedule(HOP_MS, Event::Paced(order)),
                Effect::Advise(question) => self.schedule(40, Event::Advise(question)),
                Effect::Note(note) => self.notes.push(note),
            }
        }
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Committed(token) => self.committed(token),
            Event::Start(order, token, may_be_late) => self.start(order, token, may_be_late),
            Event::Stop(order, token) => self.stop(&order, token),
            Event::Look(look, token) => self.look(&look, token),
            Event::Paced(order) => self.pace(&order),
            Event::Advise(question) => self.advise(&question),
            Event::Started(worker, task, run, outcome, token) if token == self.token => {
                let now = self.now();
                let _ = worker;
                assert!(!self.shard.start_done(now, task, run, &outcome));
            }
            Event::Stopped(task, run, outcome, token) if token == self.token => {
                let now = self.now();
                assert!(!self.shard.stop_done(now, task, run, &outcome));
            }
            Event::Looked(worker, seen, outcome, token) if token == self.token => {
                let now = self.now();
                assert!(!self.shard.look_done(now, worker, seen, outcome));
            }
            _ => {}
        }
    }

    fn pace(&mut self, order: &PaceOrder) {
        let runs = self
            .workers
            .get_mut(&order.target.id)
            .map(|worker| &mut worker.running);
        for run in runs.into_iter().flatten() {
            let name = &run.name;
            if (&name.job, name.step, name.index) == (&order.job, order.task.step, order.task.index)
            {
                run.paced_percent = u64::from(order.percent);
            }
        }
    }

    fn advise(&mut self, question: &AdviceQuestion) {
        let now = self.now();
        if let Some(policy) = &mut self.policy {
            let outcome = policy.answer(question, now.boot_ms);
            self.shard.advice_done(now, question, outcome);
        }
    }

    fn committed(&mut self, token: u64) {
        if token != self.token {
            return;
        }
        let Some(commit) = self.committing.take() else {
            return;
        };
        for record in &commit.records {
            if record.value.is_empty() {
                self.records.remove(&record.key);
            } else {
                self.records
                    .insert(record.key.clone(), record.value.clone());
            }
        }
        let effects = self.shard.finish_commit(commit);
        self.effects(effects);
    }
}

fn same_task(name: &RunName, task: &(JobId, u32, u32, u32)) -> bool {
    (&name.job, name.occurrence, name.step, name.index) == (&task.0, task.1, task.2, task.3)
}
