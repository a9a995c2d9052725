//! The platform's store, as the pages describe it: a log with compacted topics and groups.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Answer, Request};

const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const PARTS: u32 = 24;
/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    is_down: AtomicBool,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: Option<u64>,
    recent: VecDeque<(u64, u64, u64)>,
}

fn keyed(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(length))
}

fn answer(status: u16, body: Value) -> Answer {
    Some((status, body.to_string().into_bytes()))
}

impl Store {
    pub fn handle(self: &Arc<Self>, request: Request) -> Answer {
        if self.is_down.load(Ordering::Relaxed) {
            return answer(503, json!({}));
        }
        std::thread::sleep(ANSWER);
        match request.path.as_str() {
            "/log-append" => self.append(&request),
            "/log-read" => Some((200, self.read(&request))),
            "/log-newest" => self.newest_page(&request),
            "/log-join" | "/log-leave" => self.join_or_leave(&request),
            "/log-owners" => self.owners(&request),
            _ => answer(404, json!({})),
        }
    }

    /// Makes the store answer each call of the system with 503, which means that nothing was done.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Writes a keyed record as an operator or a worker does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.as_bytes());
        record.extend(value);
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.records.push(record);
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        let partition = state.partitions.get(&(topic.to_owned(), 0))?;
        let mut records = partition
            .records
            .iter()
            .rev()
            .filter_map(|record| keyed(record));
        let (_, value) = records.find(|(other, _)| *other == key.as_bytes())?;
        Some(value.to_vec())
    }

    fn place(request: &Request) -> (String, u32) {
        let topic = request.query.get("Topic").cloned().unwrap_or_default();
        let part = request.query.get("part").and_then(|part| part.parse().ok());
        (topic, part.unwrap_or(0))
    }

    fn append(&self, request: &Request) -> Answer {
        let place = Self::place(request);
        if place.0 == "keyed.op" || place.0 == "keyed.servers" {
            return answer(403, json!({}));
        }
        let mut records = Vec::new();
        let mut body = request.body.as_slice();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let Some((record, rest)) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)
            else {
                return answer(400, json!({}));
            };
            records.push(record.to_vec());
            body = rest;
        }
        let mut state = self.state.lock().unwrap();
        let longest = records.iter().map(Vec::len).max().unwrap_or(0);
        if longest > RECORD_BYTES || request.body.len() > CALL_BYTES + 4 * records.len() {
            return answer(413, json!({}));
        }
        let partition = state.partitions.entry(place).or_default();
        let end = partition.records.len() as u64;
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        if number("At").is_some_and(|at| at != end) {
            return answer(412, json!({"End": end}));
        }
        if let (Some(name), Some(epoch)) = (request.query.get("Producer"), number("epoch")) {
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return answer(409, json!({"Reason": "fenced"}));
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if !records.is_empty() {
                let sequence = number("Seq").unwrap_or(0);
                if let Some(&(_, offset, end)) =
                    producer.recent.iter().find(|recent| recent.0 == sequence)
                {
                    return answer(200, json!({"Offset": offset, "End": end}));
                }
                let expected = producer.sequence.map_or(sequence, |last| last + 1);
                if sequence != expected {
                    return answer(409, json!({"Reason": "seq", "Seq": expected}));
                }
                producer.sequence = Some(sequence);
                producer
                    .recent
                    .push_back((sequence, end, end + records.len() as u64));
                if producer.recent.len() > 5 {
                    producer.recent.pop_front();
                }
            }
        }
        let count = records.len() as u64;
        partition.records.extend(records);
        answer(200, json!({"Offset": end, "End": end + count}))
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let place = Self::place(request);
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = usize::try_from(number("From").unwrap_or(0)).unwrap_or(usize::MAX);
        let deadline = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let limit = number("MaxKb").unwrap_or(1_024) as usize * 1_024;
        loop {
            {
                let state = self.state.lock().unwrap();
                let records = state
                    .partitions
                    .get(&place)
                    .map_or(&[][..], |part| &part.records);
                if records.len() > from || Instant::now() >= deadline {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend(0_u64.to_be_bytes());
                    for record in records.get(from..).unwrap_or(&[]) {
                        if body.len() > 16 && body.len() + record.len() > limit {
                            break;
                        }
                        body.extend(u32::try_from(record.len()).unwrap_or(0).to_be_bytes());
                        body.extend(record);
                    }
                    return body;
                }
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    }

    fn newest_page(&self, request: &Request) -> Answer {
        let place = Self::place(request);
        let after = request.query.get("After").cloned().unwrap_or_default();
        let state = self.state.lock().unwrap();
        let records = state
            .partitions
            .get(&place)
            .map_or(&[][..], |part| &part.records);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            if let Some((key, value)) = keyed(record) {
                newest.insert(key, (offset, value));
            }
        }
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in newest {
            if key <= after.as_bytes() || value.is_empty() {
                continue;
            }
            if items.len() == PAGE_ITEMS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            let key = String::from_utf8_lossy(key);
            items.push(json!({"Key": key, "Value": base64(value), "Offset": offset}));
        }
        answer(
            200,
            json!({"items": items, "More": more, "End": records.len()}),
        )
    }

    fn join_or_leave(&self, request: &Request) -> Answer {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let text = |name: &str| body[name].as_str().unwrap_or("").to_owned();
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(text("group")).or_default();
        if request.path == "/log-leave" {
            group.members.remove(&text("Member"));
            group.review(true);
            return answer(200, json!({}));
        }
        let topic = body["Topics"][0].as_str().unwrap_or("").to_owned();
        group.topic = topic.clone();
        let ttl = Duration::from_millis(body["TtlMs"].as_u64().unwrap_or(3_000).max(1_000));
        let is_new = group
            .members
            .insert(text("Member"), Instant::now() + ttl)
            .is_none();
        group.review(is_new);
        let generation = body["Generation"].as_u64().unwrap_or(0);
        let parts: Vec<Value> = group
            .join(&text("Member"), generation)
            .into_iter()
            .map(|part| json!([topic, part, 0]))
            .collect();
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(0);
        answer(
            200,
            json!({"Generation": group.generation, "TtlMs": ttl_ms, "parts": parts}),
        )
    }

    fn owners(&self, request: &Request) -> Answer {
        let mut state = self.state.lock().unwrap();
        let name = request.query.get("group").cloned().unwrap_or_default();
        let group = state.groups.entry(name).or_default();
        group.review(false);
        let topic = group.topic.clone();
        let rows: Vec<Value> = group
            .holders
            .iter()
            .map(|(part, member)| json!([topic, part, member, 0]))
            .collect();
        answer(200, json!({"parts": rows}))
    }
}

/// A consumer group: partitions are spread evenly, and handed over when their holder has joined again.
#[derive(Default)]
struct Group {
    topic: String,
    members: BTreeMap<String, Instant>,
    holders: BTreeMap<u32, String>,
    targets: BTreeMap<u32, String>,
    generation: u64,
}

impl Group {
    /// Drops members that are silent for too long, and spreads the partitions again after a change.
    fn review(&mut self, mut has_changed: bool) {
        let count = self.members.len();
        self.members.retain(|_, until| Instant::now() < *until);
        has_changed |= self.members.len() < count;
        if !has_changed {
            return;
        }
        self.generation += 1;
        self.holders
            .retain(|_, member| self.members.contains_key(member));
        self.targets
            .retain(|_, member| self.members.contains_key(member));
        if self.members.is_empty() {
            return;
        }
        let share = (PARTS as usize).div_ceil(self.members.len());
        let mut counts: BTreeMap<String, usize> = self
            .members
            .keys()
            .map(|member| (member.clone(), 0))
            .collect();
        let mut free = Vec::new();
        for part in 0..PARTS {
            match self.targets.get(&part) {
                Some(member) if counts[member] < share => *counts.get_mut(member).unwrap() += 1,
                _ => free.push(part),
            }
        }
        for part in free {
            let (member, count) = counts.iter_mut().min_by_key(|(_, count)| **count).unwrap();
            *count += 1;
            self.targets.insert(part, member.clone());
        }
        for (part, target) in &self.targets {
            self.holders.entry(*part).or_insert_with(|| target.clone());
        }
    }

    fn join(&mut self, member: &str, generation: u64) -> Vec<u32> {
        if generation >= self.generation {
            for (part, target) in &self.targets {
                if self
                    .holders
                    .get(part)
                    .is_some_and(|holder| holder == member)
                {
                    self.holders.insert(*part, target.clone());
                }
            }
        }
        let mine = self.holders.iter().filter(|(part, holder)| {
            *holder == member
                && self
                    .targets
                    .get(part)
                    .is_some_and(|target| target == member)
        });
        mine.map(|(part, _)| *part).collect()
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let symbol = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(symbol)
            } else {
                '='
            });
        }
    }
    text
}
