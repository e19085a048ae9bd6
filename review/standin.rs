//! Stand-ins for the review's scripts: the platform's store, engines and clients, and the start of daemons.
//!
//! They follow PROTOCOL.md and DEPLOY.md and use the standard library alone. Each case includes this file as a module.
//! All addresses are loopback addresses. Everything that a case starts ends with it.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Result of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a case: what was sent, answered and run, with milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(folder: &str) -> Record {
        let path = PathBuf::from(folder).join("record.txt");
        let file = File::create(&path).unwrap_or_else(|error| fail(&format!("{path:?}: {error}")));
        Record { begun: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>6} ms  {text}", self.ms());
    }
}

/// Ends a case that cannot run. `run.sh` ends the processes that are left.
pub fn fail(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

/// Writes down a process that was started, so that `run.sh` can end it whatever happens here.
fn note_process(id: u32) {
    let Ok(path) = std::env::var("REVIEW_PIDS") else { return };
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(line.trim_end().to_string()),
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_string(), value.trim().to_string()));
    }
}

fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk).ok()?;
        body.extend(chunk);
        read_line(reader)?;
        if size == 0 {
            return Some(body);
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let headers = read_headers(reader)?;
    let body = if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader)?
    } else {
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        body
    };
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_string(), value.to_string())).collect();
    Some(Request { method, path: path.to_string(), query, headers, body })
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves an address, one thread a connection, until the process ends. The handler returns whether the connection stays.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handler(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

pub fn listen(ip: &str) -> (TcpListener, String) {
    let listener =
        TcpListener::bind((ip, 0)).unwrap_or_else(|error| fail(&format!("bind {ip}: {error}")));
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// A client's answer; status 0 where there was none.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as its head stated.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let mut answer = Answer::default();
    let Some(line) = read_line(reader) else { return answer };
    answer.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let Some(headers) = read_headers(reader) else { return Answer::default() };
    answer.headers = headers;
    if answer.header("transfer-encoding").is_some() {
        if let Some(body) = read_chunks(reader) {
            answer.body = body;
            answer.complete = true;
        }
    } else if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok()) {
        let mut body: Vec<u8> = vec![0; length];
        answer.complete = reader.read_exact(&mut body).is_ok();
        answer.body = body;
    } else {
        answer.complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    answer
}

/// Sends one request on a connection of its own.
pub fn send(address: &str, head: &str, body: &[u8], limit_ms: u64) -> Answer {
    let address: SocketAddr = address.parse().unwrap();
    let limit = Duration::from_millis(limit_ms);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream))
}

// ---- JSON, as far as the store needs it ----

/// Returns the end of the value that begins at `at`.
fn value_end(text: &[u8], at: usize) -> usize {
    let (mut depth, mut i, mut quoted) = (0usize, at, false);
    while i < text.len() {
        match text[i] {
            b'\\' if quoted => i += 1,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return i + 1;
                }
            }
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return i,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return i + 1;
                }
            }
            b',' if depth == 0 => return i,
            _ => {}
        }
        i += 1;
    }
    i
}

/// Returns the text of a member of an object.
pub fn member<'t>(object: &'t str, name: &str) -> Option<&'t str> {
    let text = object.as_bytes();
    let mut i = object.find('{')? + 1;
    loop {
        while i < text.len() && (text[i].is_ascii_whitespace() || text[i] == b',') {
            i += 1;
        }
        if i >= text.len() || text[i] != b'"' {
            return None;
        }
        let key_end = value_end(text, i);
        let key = &object[i + 1..key_end - 1];
        i = key_end;
        while text[i].is_ascii_whitespace() || text[i] == b':' {
            i += 1;
        }
        let end = value_end(text, i);
        if key == name {
            return Some(object[i..end].trim());
        }
        i = end;
    }
}

pub fn text_member(object: &str, name: &str) -> Option<String> {
    member(object, name).map(|text| text.trim_matches('"').to_string())
}

// ---- The platform's store ----

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    made: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"made\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.made, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(u64, String, Object, bool)>,
    revision: u64,
}

/// The platform's store, by PROTOCOL.md: objects by kind and name, lists, watches, conditions.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub down: Arc<AtomicBool>,
    pub address: String,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let (listener, address) = listen(ip);
        let store = Store { address, ..Store::default() };
        let serving = store.clone();
        serve(listener, move |request, stream| serving.handle(&request, stream));
        store
    }

    /// Writes an object; returns its revision. A write that changes nothing raises none.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if let Some(known) = state.objects.get(&key) {
            if known.spec == spec {
                return known.revision;
            }
        }
        state.revision += 1;
        let revision = state.revision;
        let known = state.objects.get(&key);
        let made = known.map_or(revision, |known| known.made);
        let status = known.map_or("null".to_string(), |known| known.status.clone());
        let name = name.to_string();
        let object = Object { name, revision, made, spec: spec.to_string(), status };
        state.objects.insert(key, object.clone());
        state.events.push((revision, kind.to_string(), object, false));
        changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if let Some(object) = state.objects.remove(&(kind.to_string(), name.to_string())) {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, kind.to_string(), object, true));
            changed.notify_all();
        }
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_string(), name.to_string())).map(Object::json)
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        if self.down.load(Ordering::SeqCst) {
            return write_answer(stream, 503, &[], b"").is_ok();
        }
        sleep_ms(4);
        let (status, body) = self.answer(request);
        write_answer(stream, status, &[("Content-Type", "application/json")], body.as_bytes()).is_ok()
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let Some(rest) = request.path.strip_prefix("/curlewcleat/objects/") else {
            return (404, "{}".to_string());
        };
        let parts: Vec<&str> = rest.split('/').collect();
        let body = String::from_utf8_lossy(&request.body).to_string();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) if request.query.contains_key("watch") => self.watch(kind, request),
            ("GET", [kind]) => {
                let state = self.state.0.lock().unwrap();
                let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
                let after = request.query.get("since_revision").cloned().unwrap_or_default();
                let items: Vec<String> = of_kind
                    .filter(|((_, name), _)| *name > after)
                    .map(|(_, object)| object.json())
                    .collect();
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"more\":false,\"at\":{}}}", state.revision))
            }
            ("GET", [kind, name]) => match self.get(kind, name) {
                Some(object) => (200, object),
                None => (404, "{}".to_string()),
            },
            ("POST", [kind]) => {
                let metadata = member(&body, "metadata").unwrap_or("{}");
                let name = text_member(metadata, "name").unwrap_or_default();
                if let Some(object) = self.get(kind, &name) {
                    return (409, object);
                }
                self.put(kind, &name, member(&body, "spec").unwrap_or("null"));
                (201, self.get(kind, &name).unwrap_or_default())
            }
            ("PUT", [kind, name]) | ("PUT", [kind, name, "status"]) => {
                let Some(object) = self.get(kind, name) else { return (404, "{}".to_string()) };
                let metadata = member(&body, "metadata").unwrap_or("{}");
                let condition = member(metadata, "revision").map(str::to_string);
                let condition = condition.or(request.query.get("revision").cloned());
                let current = member(member(&object, "metadata").unwrap(), "revision");
                if condition.is_some_and(|condition| Some(condition.as_str()) != current) {
                    return (409, object);
                }
                if parts.len() == 3 {
                    self.put_status(kind, name, member(&body, "status").unwrap_or("null"));
                } else {
                    self.put(kind, name, member(&body, "spec").unwrap_or("null"));
                }
                (200, self.get(kind, name).unwrap_or_default())
            }
            ("DELETE", [kind, name]) => {
                self.delete(kind, name);
                (200, "{}".to_string())
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn put_status(&self, kind: &str, name: &str, status: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        let Some(mut object) = state.objects.get(&key).cloned() else { return };
        if object.status == status {
            return;
        }
        state.revision += 1;
        object.revision = state.revision;
        object.status = status.to_string();
        state.objects.insert(key, object.clone());
        let revision = state.revision;
        state.events.push((revision, kind.to_string(), object, false));
        changed.notify_all();
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let since = number("watch").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let news = state.events.iter().filter(|(at, of, _, _)| *at > since && of == kind);
            let events: Vec<String> = news
                .map(|(_, _, object, gone)| format!("{{\"gone\":{gone},\"object\":{}}}", object.json()))
                .collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
            }
            state = changed.wait_timeout(state, remaining).unwrap().0;
        }
    }
}

// ---- Engines ----

/// A run that an engine began.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub engine: String,
    pub attempt: String,
    pub tenant: Option<String>,
    pub path: String,
}

/// An engine of a plain service: it answers each request with a small signed record.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub backend: String,
    pub address: String,
    runs: Arc<Mutex<Vec<Run>>>,
    served: Arc<AtomicU64>,
}

impl Engine {
    /// Starts an engine and writes its list entry.
    pub fn start(record: &Record, store: &Store, ip: &str, id: &str, backend: &str) -> Engine {
        let (listener, address) = listen(ip);
        let engine = Engine {
            id: id.to_string(),
            backend: backend.to_string(),
            address,
            runs: Arc::default(),
            served: Arc::default(),
        };
        let (serving, record) = (engine.clone(), record.clone());
        serve(listener, move |request, stream| serving.handle(&record, &request, stream));
        engine.announce(store, "ready");
        engine
    }

    pub fn announce(&self, store: &Store, state: &str) {
        let spec = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"resource_version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            self.backend, self.address
        );
        store.put("servers", &self.id, &spec);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn handle(&self, record: &Record, request: &Request, stream: &mut TcpStream) -> bool {
        if request.path == "/healthz" {
            return write_answer(stream, 200, &[("X-Instance-Id", &self.id)], b"").is_ok();
        }
        if request.header("X-Expect-Instance").is_some_and(|expected| expected != self.id) {
            return write_answer(stream, 421, &[("X-Instance-Id", &self.id)], b"").is_ok();
        }
        let Some(attempt) = request.header("X-Attempt-Id") else {
            return write_answer(stream, 400, &[("X-Not-Executed", "1")], b"").is_ok();
        };
        let run = Run {
            at_ms: record.ms(),
            engine: self.id.clone(),
            attempt: attempt.to_string(),
            tenant: request.header("X-Tenant").map(str::to_string),
            path: request.path.clone(),
        };
        record.line(&format!(
            "run       {attempt} at {} tenant={} path={}",
            self.id,
            run.tenant.as_deref().unwrap_or("-"),
            run.path
        ));
        self.runs.lock().unwrap().push(run);
        sleep_ms(15);
        let number = self.served.fetch_add(1, Ordering::SeqCst);
        let seal = format!("{}.{number}", self.id);
        let headers = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Seal", seal.as_str()),
            ("X-Engine-Load", "1,0,6"),
            ("Content-Type", "text/plain"),
        ];
        write_answer(stream, 200, &headers, format!("record of {attempt}").as_bytes()).is_ok()
    }
}

// ---- Daemons ----

/// A daemon that was started with the command of the deploy file; it is killed when this value is dropped.
pub struct Daemon {
    pub name: String,
    pub front: String,
    pub ready: String,
    folder: PathBuf,
    child: Child,
}

/// Settings of a small deployment, as DEPLOY.md gives them; the bounds are those of the site files.
fn platform_fields(name: &str, ip: &str, ports: &[u16; 4], seeds: &str, store: &str) -> Vec<(String, String)> {
    let field = |name: &str, value: String| (name.to_string(), value);
    vec![
        field("node_name", name.to_string()),
        field("zone", "zone-a".to_string()),
        field("limits.cores", "1".to_string()),
        field("limits.cpu_share", "0.25".to_string()),
        field("limits.memory_mb", "110".to_string()),
        field("limits.link_mbps", "1000.0".to_string()),
        field("listen.front", format!("{ip}:{}", ports[0])),
        field("listen.ready", format!("{ip}:{}", ports[1])),
        field("listen.control", format!("{ip}:{}", ports[2])),
        field("seeds", seeds.to_string()),
        field("internal_port_range.0", ports[3].to_string()),
        field("provider.address", store.to_string()),
        field("bounds.fail_closed", "true".to_string()),
        field("bounds.revoke_ms", "5000".to_string()),
        field("bounds.config_apply_ms", "2000".to_string()),
        field("bounds.drain_ms", "2000".to_string()),
        field("bounds.grace_s", "8".to_string()),
        field("bounds.retry_budget_ratio", "0.2".to_string()),
        field("bounds.budget_slack", "52".to_string()),
        field("bounds.budget_window_s", "10".to_string()),
        field("bounds.quota_overshoot", "0.1".to_string()),
        field("bounds.quota_slack", "140000".to_string()),
        field("bounds.quota_window_s", "8".to_string()),
    ]
}

/// Fills the project's template as the platform does.
fn fill(template: &str, fields: &[(String, String)]) -> String {
    let value = |name: &str| fields.iter().find(|(known, _)| known == name).map(|(_, v)| v.as_str());
    let mut text = template.to_string();
    while let Some(begin) = text.find("{{#") {
        let name_end = begin + text[begin..].find("}}").unwrap();
        let name = text[begin + 3..name_end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let end = name_end + text[name_end..].find(&close).unwrap();
        let inner = text[name_end + 2..end].to_string();
        let replaced = if value(&name).is_some() { inner } else { String::new() };
        text.replace_range(begin..end + close.len(), &replaced);
    }
    while let Some(begin) = text.find("{{") {
        let end = begin + text[begin..].find("}}").unwrap();
        let replaced = value(&text[begin + 2..end]).unwrap_or("").to_string();
        text.replace_range(begin..end + 2, &replaced);
    }
    text
}

fn free_port(ip: &str) -> u16 {
    listen(ip).0.local_addr().unwrap().port()
}

/// Addresses of the daemons of a deployment, chosen before the first one starts.
pub struct Places {
    places: Vec<(String, [u16; 4])>,
}

impl Places {
    /// One loopback address for each daemon; the ports are alike on all.
    pub fn new(daemons: usize) -> Places {
        let ips: Vec<String> = (0..daemons).map(|index| format!("127.0.0.{}", index + 11)).collect();
        for _ in 0..50 {
            let ports = [0; 4].map(|_| free_port(&ips[0]));
            let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
            if ports.iter().all(|port| is_free(*port)) {
                return Places { places: ips.into_iter().map(|ip| (ip, ports)).collect() };
            }
        }
        fail("no free ports")
    }

    /// Starts a daemon with the command of the deploy file.
    pub fn start(&self, index: usize, store: &Store) -> Daemon {
        let (ip, ports) = &self.places[index];
        let seeds: Vec<String> =
            self.places.iter().take(3).map(|(ip, ports)| format!("{ip}:{}", ports[2])).collect();
        let name = format!("front-{}", index + 1);
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        let _ = std::fs::create_dir_all(&folder);
        let template = std::fs::read_to_string("deploy/daemon.ini")
            .unwrap_or_else(|error| fail(&format!("deploy/daemon.ini: {error}")));
        let fields = platform_fields(&name, ip, ports, &seeds.join(","), &store.address);
        let settings = folder.join("node.yaml");
        std::fs::write(&settings, fill(&template, &fields)).unwrap();
        let log = File::options().create(true).append(true).open(folder.join("daemon.log")).unwrap();
        let child = Command::new("target/release/curlewcleatd")
            .arg("--settings")
            .arg(&settings)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("CURLEWCLEAT_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| fail(&format!("target/release/curlewcleatd: {error}")));
        note_process(child.id());
        let (front, ready) = (format!("{ip}:{}", ports[0]), format!("{ip}:{}", ports[1]));
        Daemon { name, front, ready, folder, child }
    }
}

impl Daemon {
    /// Waits until the readiness check answers 200.
    pub fn wait_ready(&self) {
        let head = format!("GET /readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        let deadline = Instant::now() + Duration::from_secs(15);
        while send(&self.ready, &head, b"", 1_000).status != 200 {
            if Instant::now() > deadline {
                fail(&format!("{} is not ready", self.name));
            }
            sleep_ms(50);
        }
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("daemon.log")).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
