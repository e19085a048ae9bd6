//! Case 3: the quiet connections to the store go silent for good, and later an engine says that it leaves.

#[path = "../standin.rs"]
mod standin;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use standin::*;

/// `contact_ms` and `drain_ms` of the pages.
const CONTACT_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
/// How long the leaving engine serves on after `drain_ms`: "a little longer (at times many seconds)".
const LINGER_MS: u64 = 4_000;
/// A connection that has carried nothing for this long goes silent, as at a middlebox that forgets idle flows.
const QUIET_MS: u64 = 2_000;
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// One connection between a daemon and the store.
struct Link {
    number: usize,
    last_bytes: AtomicU64,
    silent: AtomicBool,
}

/// A proxy before the store, which can let open connections go silent.
#[derive(Clone)]
struct Proxy {
    record: Record,
    address: String,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

impl Proxy {
    fn start(record: &Record, store: &str) -> Proxy {
        let (listener, address) = listen("127.0.0.1");
        let proxy = Proxy { record: record.clone(), address, links: Arc::default() };
        let (accepting, store) = (proxy.clone(), store.to_string());
        std::thread::spawn(move || accepting.accept(&listener, &store));
        proxy
    }

    fn accept(&self, listener: &TcpListener, store: &str) {
        for daemon in listener.incoming().flatten() {
            let Ok(upstream) = TcpStream::connect(store) else { continue };
            let (_, _) = (daemon.set_nodelay(true), upstream.set_nodelay(true));
            let mut links = self.links.lock().unwrap();
            let link = Arc::new(Link {
                number: links.len() + 1,
                last_bytes: AtomicU64::new(self.record.ms()),
                silent: AtomicBool::new(false),
            });
            links.push(Arc::clone(&link));
            let pairs = [
                (daemon.try_clone().unwrap(), upstream.try_clone().unwrap()),
                (upstream, daemon),
            ];
            for (from, to) in pairs {
                let (link, record) = (Arc::clone(&link), self.record.clone());
                std::thread::spawn(move || carry(&record, &link, from, to));
            }
        }
    }

    /// Lets the connections that are quiet go silent for good; new ones work.
    fn silence_quiet_links(&self) -> usize {
        let now = self.record.ms();
        let links = self.links.lock().unwrap();
        let quiet = |link: &&Arc<Link>| now >= link.last_bytes.load(Ordering::SeqCst) + QUIET_MS;
        let quiet: Vec<_> = links.iter().filter(quiet).collect();
        for link in &quiet {
            link.silent.store(true, Ordering::SeqCst);
            self.record.line(&format!("silent    connection {} to the store", link.number));
        }
        quiet.len()
    }
}

/// Carries bytes one way. A silent link swallows everything, also the end of a connection.
fn carry(record: &Record, link: &Link, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        if link.silent.load(Ordering::SeqCst) {
            if length == 0 {
                return;
            }
            continue;
        }
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            // A closed connection is no longer one that can go silent.
            link.last_bytes.store(u64::MAX - QUIET_MS, Ordering::SeqCst);
            return;
        }
        link.last_bytes.store(record.ms(), Ordering::SeqCst);
    }
}

fn config() -> String {
    format!(
        concat!(
            "{{\"resource_version\":7,\"routes\":[{{\"name\":\"r-8m82thh\",\"hostname\":\"ficu95.example\",",
            "\"path_prefix\":\"/puxa403/\",\"kind\":\"unsafe\",\"timeout_ms\":800,\"target_latency_ms\":300,",
            "\"priority\":2,\"backend\":\"xano55b\",\"max_attempts\":1,\"public\":false}}],",
            "\"services\":[{{\"name\":\"xano55b\",\"health_path\":\"/healthz\",\"max_connections\":100}}],",
            "\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},",
            "\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{}\"]}}]}}"
        ),
        KEY
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| fail("no folder"));
    let record = Record::new(&folder);
    let mut store = Store::start("127.0.0.1");
    store.put("config", "main", &config());
    let engines: Vec<Engine> = ["i-7f3a91c2", "i-02d9e6b4", "i-55c01d7e"]
        .iter()
        .map(|id| Engine::start(&record, &store, "127.0.0.1", id, "xano55b"))
        .collect();
    let proxy = Proxy::start(&record, &store.address);
    let direct = std::mem::replace(&mut store.address, proxy.address.clone());
    record.line(&format!("the daemons reach the store at {direct} through {}", proxy.address));
    let places = Places::new(3);
    let daemons: Vec<Daemon> = (0..3).map(|index| places.start(index, &store)).collect();
    daemons.iter().for_each(Daemon::wait_ready);

    let mut sent = 0;
    let mut ask_all = |answered: &mut usize| {
        for daemon in &daemons {
            sent += 1;
            let attempt = format!("9c41d07b{sent:08x}");
            let head = format!(
                "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\n\
                 Authorization: Bearer {KEY}\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
            );
            record.line(&format!("sent      {attempt} to {}", daemon.name));
            let answer = send(&daemon.front, &head, b"body", 3_000);
            record.line(&format!("answered  {attempt} status={}", answer.status));
            *answered += usize::from(answer.status == 200);
        }
        sleep_ms(20);
    };
    let run_until = |until: u64, ask: &mut dyn FnMut(&mut usize)| {
        let mut answered = 0;
        while record.ms() < until {
            ask(&mut answered);
        }
        answered
    };
    if run_until(record.ms() + 6_000, &mut ask_all) == 0 {
        fail("nothing was served");
    }
    if trouble() {
        let silent = proxy.silence_quiet_links();
        if silent == 0 {
            fail("no connection to the store was quiet");
        }
    }
    // The machines are in touch again before the engine leaves.
    run_until(record.ms() + CONTACT_MS + 1_000, &mut ask_all);
    engines[0].announce(&store, "draining");
    let acknowledged = record.ms();
    record.line(&format!("acknowledged: {} is draining", engines[0].id));
    run_until(acknowledged + DRAIN_MS + LINGER_MS, &mut ask_all);
    let late: Vec<Run> = engines[0]
        .runs()
        .into_iter()
        .filter(|run| run.at_ms > acknowledged + DRAIN_MS)
        .collect();
    let last = late.last().map_or(0, |run| run.at_ms - acknowledged);
    let result = format!(
        "{} requests reached {} later than {DRAIN_MS} ms after it was acknowledged that it leaves, the last one {last} ms after it",
        late.len(),
        engines[0].id
    );
    record.line(&result);
    println!("{result}");
    drop(daemons);
    std::process::exit(if late.is_empty() { HELD } else { BROKEN });
}
