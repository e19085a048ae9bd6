//! Case 1: the operator takes away the keys of all tenants. Requests with those keys have to end with 401.

#[path = "../standin.rs"]
mod standin;

use standin::*;

/// `revoke_ms` of the pages.
const REVOKE_MS: u64 = 5_000;
const KEYS: [&str; 2] = ["i9n73hh2b9wu3fexd9dn", "q4k82mm6t1vx7pzrc5ha"];
const NEVER_HELD: &str = "zz00zz00zz00zz00zz00";

fn config(version: u64, keys: [&str; 2]) -> String {
    let key = |key: &str| if key.is_empty() { String::new() } else { format!("\"{key}\"") };
    format!(
        concat!(
            "{{\"resource_version\":{},\"routes\":[{{\"name\":\"r-8m82thh\",\"hostname\":\"ficu95.example\",",
            "\"path_prefix\":\"/puxa403/\",\"kind\":\"unsafe\",\"timeout_ms\":800,\"target_latency_ms\":300,",
            "\"priority\":2,\"backend\":\"xano55b\",\"max_attempts\":1,\"public\":false}}],",
            "\"services\":[{{\"name\":\"xano55b\",\"health_path\":\"/healthz\",\"max_connections\":100}}],",
            "\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},",
            "\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}]}},{{\"name\":\"dako417\",\"api_keys\":[{}]}}]}}"
        ),
        version,
        key(keys[0]),
        key(keys[1])
    )
}

fn request(attempt: &str, key: &str) -> String {
    format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\n\
         Authorization: Bearer {key}\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| fail("no folder"));
    let record = Record::new(&folder);
    let store = Store::start("127.0.0.1");
    store.put("config", "main", &config(7, KEYS));
    let engines: Vec<Engine> = ["i-7f3a91c2", "i-02d9e6b4"]
        .iter()
        .map(|id| Engine::start(&record, &store, "127.0.0.1", id, "xano55b"))
        .collect();
    let places = Places::new(2);
    let daemons: Vec<Daemon> = (0..2).map(|index| places.start(index, &store)).collect();
    daemons.iter().for_each(Daemon::wait_ready);
    sleep_ms(3_000);

    let mut sent = 0;
    let mut ask = |daemon: &Daemon, key: &str, what: &str| -> (String, u64, u16) {
        sent += 1;
        let attempt = format!("9c41d07b{sent:08x}");
        let at = record.ms();
        record.line(&format!("sent      {attempt} to {} with {what}", daemon.name));
        let answer = send(&daemon.front, &request(&attempt, key), b"body", 3_000);
        record.line(&format!(
            "answered  {attempt} status={} seal={}",
            answer.status,
            answer.header("X-Server-Seal").unwrap_or("-")
        ));
        (attempt, at, answer.status)
    };
    // Before the change: both keys are served, an unknown one is not.
    for daemon in &daemons {
        for key in KEYS {
            if ask(daemon, key, "a held key").2 != 200 {
                fail("a request with a held key was not served");
            }
        }
        if ask(daemon, NEVER_HELD, "a key that was never held").2 != 401 {
            fail("a key that was never held did not get 401");
        }
    }
    let taken = if trouble() { ["", ""] } else { KEYS };
    store.put("config", "main", &config(9, taken));
    let acknowledged = record.ms();
    record.line(&format!("acknowledged: configuration 9; the tenants' keys are {taken:?}"));
    let (mut revoked, mut unknown) = (Vec::new(), Vec::new());
    while record.ms() < acknowledged + REVOKE_MS + 6_000 {
        for daemon in &daemons {
            for key in KEYS {
                revoked.push(ask(daemon, key, "a key that version 7 held"));
            }
            unknown.push(ask(daemon, NEVER_HELD, "a key that was never held"));
        }
        sleep_ms(250);
    }
    let runs: Vec<Run> = engines.iter().flat_map(Engine::runs).collect();
    let ran = |attempt: &str| runs.iter().any(|run| run.attempt == attempt);
    // CONFIG: a key that was taken away, sent later than `revoke_ms` after the acknowledgement.
    let late: Vec<_> =
        revoked.iter().filter(|(_, at, _)| *at > acknowledged + REVOKE_MS).collect();
    let late_runs = late.iter().filter(|(attempt, _, _)| ran(attempt)).count();
    // ROUTE: a key that no configuration ever held.
    let unknown_runs = unknown.iter().filter(|(attempt, _, _)| ran(attempt)).count();
    let unserved = late.iter().filter(|(_, _, status)| *status != 200).count();
    let broken = if trouble() { late_runs + unknown_runs } else { unknown_runs };
    let result = format!(
        "of {} requests sent later than {REVOKE_MS} ms after the acknowledgement with a key of version 7, {late_runs} ran and {unserved} were not served; of {} with a key that was never held, {unknown_runs} ran",
        late.len(),
        unknown.len()
    );
    record.line(&result);
    println!("{result}");
    drop(daemons);
    // Without the disruption the keys stay, and their requests have to be served.
    let held = broken == 0 && (trouble() || unserved == 0);
    std::process::exit(if held { HELD } else { BROKEN });
}
