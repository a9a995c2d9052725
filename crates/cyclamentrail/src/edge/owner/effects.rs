//! Carries out what a shard wants done.

use cyclamentrail_jobs::{
    AdviceOutcome, AdviceQuestion, Answer, CallerTicket, Effect, Look, LookOutcome, OrderOutcome,
    PaceOrder, StopOrder, WorkerKey,
};

use super::{Owner, OwnerMessage};
use crate::edge::boot_clock::now;
use crate::edge::messages::Reply;

impl Owner {
    pub(super) fn carry_out_ready(&mut self) {
        let effects = self.shard.take_ready();
        self.carry_out(effects);
    }

    pub(super) fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut touched = Vec::new();
        for effect in effects {
            match effect {
                Effect::Answer(caller, answer) => self.answer(caller, answer),
                Effect::Start(task) => {
                    if let Some(worker) = self.shard.worker_of(task) {
                        self.lanes.push(worker, task);
                        touched.push(worker);
                    }
                }
                Effect::Stop(order) => self.send_stop(order),
                Effect::Look(look) => self.send_look(look),
                Effect::Pace(order) => self.send_pace(order),
                Effect::Advise(question) => self.send_question(question),
                Effect::Note(note) => self.journal.note(note),
            }
        }
        touched.sort_unstable();
        touched.dedup();
        for worker in touched {
            self.send_starts(worker);
        }
    }

    fn send_stop(&self, order: StopOrder) {
        let (sender, calls) = (self.sender.clone(), self.calls.clone());
        let confirmation = self.confirmation.clone();
        tokio::spawn(async move {
            let outcome = if confirmation.is_valid() {
                calls.stop(&order).await
            } else {
                OrderOutcome::NotSent
            };
            drop(sender.send(OwnerMessage::Stopped(order.task, order.run, outcome)));
        });
    }

    fn send_pace(&self, order: PaceOrder) {
        let (sender, calls) = (self.sender.clone(), self.calls.clone());
        let confirmation = self.confirmation.clone();
        tokio::spawn(async move {
            let is_done = confirmation.is_valid() && calls.pace(&order).await;
            drop(sender.send(OwnerMessage::Paced(order.task, order.run, is_done)));
        });
    }

    fn send_question(&self, question: AdviceQuestion) {
        let (sender, advisor) = (self.sender.clone(), self.advisor.clone());
        tokio::spawn(async move {
            let outcome = match advisor {
                Some(advisor) => advisor.ask(&question).await,
                None => AdviceOutcome::NoAnswer,
            };
            drop(sender.send(OwnerMessage::Advised(Box::new(question), outcome)));
        });
    }

    fn send_look(&self, look: Look) {
        let (sender, calls) = (self.sender.clone(), self.calls.clone());
        let confirmation = self.confirmation.clone();
        tokio::spawn(async move {
            let outcome = if confirmation.is_valid() {
                calls.look(&look).await
            } else {
                LookOutcome::NotSent
            };
            let looked = OwnerMessage::Looked(look.target.key, look.seen, outcome);
            drop(sender.send(looked));
        });
    }

    /// Sends the next starts of a worker.
    pub(super) fn send_starts(&mut self, worker: WorkerKey) {
        while let Some(task) = self.lanes.pop(worker) {
            if !self.confirmation.is_valid() {
                self.lanes.finish(worker);
                self.lanes.push(worker, task);
                return;
            }
            let Some(order) = self.shard.start_order(now(), task) else {
                self.lanes.finish(worker);
                continue;
            };
            let (sender, calls) = (self.sender.clone(), self.calls.clone());
            tokio::spawn(async move {
                let outcome = calls.start(&order).await;
                let message = OwnerMessage::Started(worker, order.task, order.run, outcome);
                drop(sender.send(message));
            });
        }
    }

    pub(super) fn answer(&mut self, caller: CallerTicket, answer: Answer) {
        if let Some(reply) = self.callers.remove(&caller) {
            drop(reply.send(Reply::from(answer)));
        }
    }
}
