//! Stand-in of the platform's store: keyed topics, appends under epochs and sequence numbers, and
//! consumer groups.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{serve, Request, Response};
use crate::json::{object, Json};

const PARTITIONS: u32 = 24;
const KEPT_RESPONSES: usize = 5;
const MAX_ITEMS: usize = 500;
/// Topic of the workers' registrations.
const REGISTRY: &str = "keyed.servers";
/// Silence after which a registration is removed: three heartbeat intervals.
const REGISTRATION_KEPT: Duration = Duration::from_millis(4_500);

#[derive(Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
struct Writer {
    epoch: u64,
    last_sequence: Option<u64>,
    responses: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Record>,
    writers: HashMap<String, Writer>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    topic: String,
    /// Time of the last join, and the time to live.
    members: BTreeMap<String, (Instant, Duration)>,
    target: BTreeMap<u32, String>,
    held: BTreeMap<u32, String>,
}

impl Group {
    /// Spreads the partitions evenly and moves as few of them as possible.
    fn rebalance(&mut self) {
        self.generation += 1;
        let share = (PARTITIONS as usize).div_ceil(self.members.len().max(1));
        let mut counts: BTreeMap<&String, usize> =
            self.members.keys().map(|name| (name, 0)).collect();
        let mut target = BTreeMap::new();
        for (part, member) in &self.target {
            if let Some(count) = counts.get_mut(member).filter(|count| **count < share) {
                *count += 1;
                target.insert(*part, member.clone());
            }
        }
        for part in 0..PARTITIONS {
            if target.contains_key(&part) {
                continue;
            }
            let least = counts.iter_mut().min_by_key(|(_, count)| **count);
            if let Some((member, count)) = least {
                *count += 1;
                target.insert(part, (*member).clone());
            }
        }
        self.target = target;
        let members: BTreeSet<&String> = self.members.keys().collect();
        self.held.retain(|_, member| members.contains(member));
    }

    fn expire(&mut self) {
        let count = self.members.len();
        self.members
            .retain(|_, (joined, ttl)| joined.elapsed() < *ttl);
        if self.members.len() < count {
            self.rebalance();
        }
    }

    fn join(&mut self, member: &str, ttl: Duration, generation: u64) -> Vec<u32> {
        let is_new = !self.members.contains_key(member);
        self.members
            .insert(member.to_owned(), (Instant::now(), ttl));
        if is_new {
            self.rebalance();
        }
        if generation >= self.generation {
            let target = &self.target;
            self.held
                .retain(|part, holder| holder != member || target.get(part) == Some(holder));
        }
        for (part, target) in &self.target {
            if target == member && !self.held.contains_key(part) {
                self.held.insert(*part, target.clone());
            }
        }
        let own = self.held.iter().filter(|(_, holder)| *holder == member);
        own.map(|(part, _)| *part).collect()
    }
}

/// An outage: calls that concern a topic whose name begins so are refused until then.
struct Outage {
    prefix: String,
    until: Instant,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
    outages: Vec<Outage>,
    /// Time of the last write of each registration.
    registered: HashMap<String, Instant>,
}

struct Store {
    state: Mutex<State>,
    appended: Condvar,
}

/// Runs the store until the process ends.
pub fn run(listener: TcpListener) {
    let store = Arc::new(Store {
        state: Mutex::default(),
        appended: Condvar::new(),
    });
    let expiring = Arc::clone(&store);
    std::thread::spawn(move || expiring.expire_registrations());
    serve(listener, move |request| Some(store.handle(request)));
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn handle(&self, request: &Request) -> Response {
        match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            "/log-join" => self.join(request),
            "/log-leave" => self.leave(request),
            "/log-owners" => self.owners(request),
            // Not part of the platform: the case tells the stand-in what to refuse.
            "/outage" => self.begin_outage(request),
            _ => Response::new(404, ""),
        }
    }

    /// Removes the registrations of workers that are silent; the time of an outage doesn't count.
    fn expire_registrations(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(100));
            let mut state = self.lock();
            let now = Instant::now();
            if state.is_down(REGISTRY) {
                for written in state.registered.values_mut() {
                    *written = now;
                }
                continue;
            }
            let silent = |written: &Instant| now.duration_since(*written) > REGISTRATION_KEPT;
            let ids = state
                .registered
                .iter()
                .filter(|(_, written)| silent(written));
            let ids: Vec<String> = ids.map(|(id, _)| id.clone()).collect();
            for id in ids {
                state.registered.remove(&id);
                let deletion = Record {
                    key: id,
                    value: Vec::new(),
                };
                let topic = state.topics.entry(String::from(REGISTRY)).or_default();
                topic.records.push(deletion);
                self.appended.notify_all();
            }
        }
    }

    fn begin_outage(&self, request: &Request) -> Response {
        let length = Duration::from_millis(request.number("ms").unwrap_or(0));
        self.lock().outages.push(Outage {
            prefix: request.parameter("prefix").to_owned(),
            until: Instant::now() + length,
        });
        self.appended.notify_all();
        Response::new(200, "{}")
    }

    fn append(&self, request: &Request) -> Response {
        let mut state = self.lock();
        let name = request.parameter("Topic").to_owned();
        if state.is_down(&name) {
            return Response::new(503, "");
        }
        let Some(records) = decode_records(&request.body) else {
            return Response::new(400, "");
        };
        if name == REGISTRY {
            let written = records
                .iter()
                .map(|record| (record.key.clone(), Instant::now()));
            state.registered.extend(written);
        }
        let topic = state.topics.entry(name).or_default();
        if let Some(epoch) = request.number("epoch") {
            let writer = topic
                .writers
                .entry(request.parameter("Producer").to_owned())
                .or_default();
            if epoch < writer.epoch {
                return Response::new(409, r#"{"Reason":"fenced"}"#);
            }
            if epoch > writer.epoch {
                *writer = Writer {
                    epoch,
                    ..Writer::default()
                };
            }
            if records.is_empty() {
                let end = topic.records.len();
                return Response::new(200, format!(r#"{{"Offset":{end},"End":{end}}}"#));
            }
            let sequence = request.number("Seq").unwrap_or(0);
            if let Some((_, body)) = writer
                .responses
                .iter()
                .find(|(known, _)| *known == sequence)
            {
                return Response::new(200, body.clone());
            }
            if let Some(last) = writer.last_sequence.filter(|last| sequence != last + 1) {
                let body = format!(r#"{{"Reason":"seq","Seq":{}}}"#, last + 1);
                return Response::new(409, body);
            }
            let offset = topic.records.len();
            let body = format!(r#"{{"Offset":{offset},"End":{}}}"#, offset + records.len());
            writer.last_sequence = Some(sequence);
            writer.responses.push_back((sequence, body.clone()));
            if writer.responses.len() > KEPT_RESPONSES {
                writer.responses.pop_front();
            }
            topic.records.extend(records);
            self.appended.notify_all();
            return Response::new(200, body);
        }
        let offset = topic.records.len();
        topic.records.extend(records);
        let end = topic.records.len();
        self.appended.notify_all();
        Response::new(200, format!(r#"{{"Offset":{offset},"End":{end}}}"#))
    }

    fn read(&self, request: &Request) -> Response {
        let name = request.parameter("Topic").to_owned();
        let from = request.number("From").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("WaitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.is_down(&name) {
                return Response::new(503, "");
            }
            let end = state
                .topics
                .get(&name)
                .map_or(0, |topic| topic.records.len());
            let now = Instant::now();
            if from < end || now >= until {
                break;
            }
            let waited = self.appended.wait_timeout(state, until - now);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let empty = Vec::new();
        let records = state
            .topics
            .get(&name)
            .map_or(&empty, |topic| &topic.records);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            body.extend_from_slice(&encode_record(record));
        }
        Response::new(200, body)
    }

    fn newest(&self, request: &Request) -> Response {
        let state = self.lock();
        let name = request.parameter("Topic");
        if state.is_down(name) {
            return Response::new(503, "");
        }
        let empty = Vec::new();
        let records = state
            .topics
            .get(name)
            .map_or(&empty, |topic| &topic.records);
        let mut newest: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset, record));
        }
        let after = request.parameter("After");
        let mut items: Vec<Json> = newest
            .iter()
            .filter(|(key, (_, record))| **key > after && !record.value.is_empty())
            .map(|(key, (offset, record))| {
                object([
                    ("Key", Json::from(*key)),
                    ("Value", Json::from(base64(&record.value).as_str())),
                    ("Offset", Json::from(*offset as u64)),
                ])
            })
            .collect();
        let has_more = items.len() > MAX_ITEMS;
        items.truncate(MAX_ITEMS);
        let body = object([
            ("items", Json::List(items)),
            ("More", Json::from(has_more)),
            ("End", Json::from(records.len() as u64)),
        ]);
        Response::new(200, body.encode())
    }

    fn join(&self, request: &Request) -> Response {
        let mut state = self.lock();
        if state.is_down("groups") {
            return Response::new(503, "");
        }
        let Some(body) = Json::parse(&request.body_text()) else {
            return Response::new(400, "");
        };
        let group = state
            .groups
            .entry(body.get("group").text().to_owned())
            .or_default();
        group.topic = body
            .get("Topics")
            .list()
            .first()
            .map_or("", Json::text)
            .to_owned();
        group.expire();
        let ttl = Duration::from_millis(body.get("TtlMs").number().unwrap_or(1_000));
        let generation = body.get("Generation").number().unwrap_or(0);
        let own = group.join(body.get("Member").text(), ttl, generation);
        let topic = group.topic.clone();
        let parts = own.into_iter().map(|part| {
            Json::List(vec![
                Json::from(topic.as_str()),
                Json::from(u64::from(part)),
                Json::from(0),
            ])
        });
        let response = object([
            ("Generation", Json::from(group.generation)),
            ("parts", Json::List(parts.collect())),
        ]);
        Response::new(200, response.encode())
    }

    fn leave(&self, request: &Request) -> Response {
        let mut state = self.lock();
        if state.is_down("groups") {
            return Response::new(503, "");
        }
        let Some(body) = Json::parse(&request.body_text()) else {
            return Response::new(400, "");
        };
        if let Some(group) = state.groups.get_mut(body.get("group").text()) {
            if group.members.remove(body.get("Member").text()).is_some() {
                group.rebalance();
            }
        }
        Response::new(200, "{}")
    }

    fn owners(&self, request: &Request) -> Response {
        let mut state = self.lock();
        if state.is_down("groups") {
            return Response::new(503, "");
        }
        let mut rows = Vec::new();
        if let Some(group) = state.groups.get_mut(request.parameter("group")) {
            group.expire();
            for (part, member) in &group.held {
                rows.push(Json::List(vec![
                    Json::from(group.topic.as_str()),
                    Json::from(u64::from(*part)),
                    Json::from(member.as_str()),
                    Json::from(0),
                ]));
            }
        }
        Response::new(200, object([("parts", Json::List(rows))]).encode())
    }
}

impl State {
    fn is_down(&self, topic: &str) -> bool {
        let now = Instant::now();
        self.outages
            .iter()
            .any(|outage| topic.starts_with(&outage.prefix) && now < outage.until)
    }
}

fn encode_record(record: &Record) -> Vec<u8> {
    let length = 1 + record.key.len() + record.value.len();
    let mut bytes = (length as u32).to_be_bytes().to_vec();
    bytes.push(record.key.len() as u8);
    bytes.extend_from_slice(record.key.as_bytes());
    bytes.extend_from_slice(&record.value);
    bytes
}

fn decode_records(mut bytes: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let record = bytes.get(4..4 + length)?;
        let key_length = usize::from(*record.first()?);
        records.push(Record {
            key: String::from_utf8(record.get(1..1 + key_length)?.to_vec()).ok()?,
            value: record[1 + key_length..].to_vec(),
        });
        bytes = &bytes[4 + length..];
    }
    Some(records)
}

/// Encodes one record for an append by an operator or a worker.
pub fn append_body(key: &str, value: &str) -> Vec<u8> {
    encode_record(&Record {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
    })
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0_u32, |word, (index, byte)| {
            word | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * index)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
