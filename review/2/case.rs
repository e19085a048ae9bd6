//! Case 2: a configuration moves a route to another service and adds a route with priority 16.

#[path = "../standin.rs"]
mod standin;

use standin::*;

/// `config_apply_ms` of the pages.
const APPLY_MS: u64 = 2_000;
/// How long the requests go on after the acknowledgement.
const WATCH_MS: u64 = 20_000;
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// A configuration whose first route leads to `backend`; with a priority, it has one route more.
fn config(version: u64, backend: &str, added_priority: Option<u32>) -> String {
    let route = |name: &str, path: &str, backend: &str, priority: u32| {
        format!(
            concat!(
                "{{\"name\":\"{}\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"{}\",\"kind\":\"unsafe\",",
                "\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":{},\"backend\":\"{}\",",
                "\"max_attempts\":1,\"public\":false}}"
            ),
            name, path, priority, backend
        )
    };
    let mut routes = vec![route("r-8m82thh", "/puxa403/", backend, 2)];
    routes.extend(added_priority.map(|priority| route("r-4nd1wq7", "/zemo551/", "huvo11a", priority)));
    format!(
        concat!(
            "{{\"resource_version\":{},\"routes\":[{}],",
            "\"services\":[{{\"name\":\"xano55b\",\"health_path\":\"/healthz\",\"max_connections\":100}},",
            "{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_connections\":100}}],",
            "\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},",
            "\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{}\"]}}]}}"
        ),
        version,
        routes.join(","),
        KEY
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| fail("no folder"));
    let record = Record::new(&folder);
    let store = Store::start("127.0.0.1");
    store.put("config", "main", &config(7, "xano55b", None));
    let old = Engine::start(&record, &store, "127.0.0.1", "i-7f3a91c2", "xano55b");
    let new = Engine::start(&record, &store, "127.0.0.1", "i-02d9e6b4", "huvo11a");
    let places = Places::new(2);
    let daemons: Vec<Daemon> = (0..2).map(|index| places.start(index, &store)).collect();
    daemons.iter().for_each(Daemon::wait_ready);
    sleep_ms(3_000);

    let mut sent = 0;
    let mut ask = |daemon: &Daemon| -> (String, u64, u16) {
        sent += 1;
        let attempt = format!("9c41d07b{sent:08x}");
        let head = format!(
            "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
        );
        let at = record.ms();
        record.line(&format!("sent      {attempt} to {}", daemon.name));
        let answer = send(&daemon.front, &head, b"body", 3_000);
        record.line(&format!("answered  {attempt} status={}", answer.status));
        (attempt, at, answer.status)
    };
    if daemons.iter().any(|daemon| ask(daemon).2 != 200) {
        fail("a request was not served under the first configuration");
    }
    // With TROUBLE=0 the same change comes without the priority above 15.
    let priority = if trouble() { 16 } else { 3 };
    store.put("config", "main", &config(9, "huvo11a", Some(priority)));
    let acknowledged = record.ms();
    record.line(&format!(
        "acknowledged: configuration 9; r-8m82thh leads to huvo11a, r-4nd1wq7 has priority {priority}"
    ));
    let mut asked = Vec::new();
    while record.ms() < acknowledged + WATCH_MS {
        asked.extend(daemons.iter().map(&mut ask));
        sleep_ms(100);
    }
    let (old_runs, new_runs) = (old.runs(), new.runs());
    let ran = |runs: &[Run], attempt: &str| runs.iter().any(|run| run.attempt == attempt);
    let late: Vec<_> = asked.iter().filter(|(_, at, _)| *at > acknowledged + APPLY_MS).collect();
    let broken = late.iter().filter(|(attempt, _, _)| ran(&old_runs, attempt)).count();
    let served = late.iter().filter(|(attempt, _, _)| ran(&new_runs, attempt)).count();
    let refused = late.iter().filter(|(_, _, status)| *status == 503).count();
    let result = format!(
        "of {} requests sent later than {APPLY_MS} ms after the acknowledgement, {broken} were run by the old service, {served} by the new one, {refused} got 503",
        late.len()
    );
    record.line(&result);
    println!("{result}");
    drop(daemons);
    std::process::exit(if broken > 0 { BROKEN } else { HELD });
}
