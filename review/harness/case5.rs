//! Check-ins of another writer, which name the addresses of live engines.
#[path = "standin.rs"]
mod standin;
#[path = "support.rs"]
mod support;

use std::{
    env,
    net::SocketAddr,
    path::PathBuf,
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use standin::Engine;
use support::{Folder, Machine, Ports, Record, Site, ask, free_port, order};

/// How long clients are served before the check-ins of the other writer.
const CALM: Duration = Duration::from_secs(5);
/// How long it is watched what is served then.
const WATCHED: Duration = Duration::from_secs(70);

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"jobs.example\",\"path-prefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeout-ms\":2500,\"target-latency-ms\":300,\"priority\":2,\
             \"service\":\"{service}\",\"max-attempts\":{attempts},\"sticky\":false,\"resumable\":false,\
             \"gap-aim-ms\":0,\"allowed-regions\":[]}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":110,\
             \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        route("book", "unsafe", 1, "job-svc"),
        route("status", "safe", 2, "status-svc"),
        service("job-svc"),
        service("status-svc"),
    )
}

fn main() {
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record_file = env::args().nth(1).map(PathBuf::from).expect("the record's path");
    let program = env::args().nth(2).map(PathBuf::from).expect("the program's path");
    let record = Record::create(&record_file);
    let folder = Folder::create("5");
    support::end_in_time(&record, &folder.0, Duration::from_secs(110));
    let code = run(&record, &folder, program, trouble);
    drop(folder);
    record.line(&format!("exit {code}"));
    exit(code);
}

fn run(record: &Record, folder: &Folder, program: PathBuf, trouble: bool) -> i32 {
    let ip = |last| support::address(last);
    let site = Site {
        folder: folder.0.clone(),
        ports: Ports::free(),
        zones: vec![("jkt-a", "jkt"), ("sby-a", "sby"), ("bdg-a", "bdg")],
        seeds: vec![ip(1), ip(3), ip(5)],
        program,
        record: record.clone(),
    };
    let plan = [("jkt-a", 1), ("jkt-a", 2), ("sby-a", 3), ("sby-a", 4), ("bdg-a", 5)];
    let mut cores: Vec<Machine> = plan
        .iter()
        .map(|(zone, last)| Machine::new(&site, &format!("core-{last}"), ip(*last), true, zone))
        .collect();
    cores.iter_mut().for_each(|core| core.start(&site, true));
    let mut edges: Vec<Machine> = [11, 12]
        .iter()
        .map(|last| Machine::new(&site, &format!("edge-{last}"), ip(*last), false, "jkt-a"))
        .collect();
    edges.iter_mut().for_each(|edge| edge.start(&site, true));
    let nodes: Vec<SocketAddr> = cores.iter().map(Machine::control).collect();
    if order(record, &nodes, "PUT", "/-/config", &config(), Duration::from_secs(20)).is_none() {
        return 2;
    }
    let engine_port = free_port();
    let engines: Vec<Arc<Engine>> = [("i-book-1", 21, "job-svc"), ("i-book-2", 22, "job-svc"), ("i-book-3", 23, "job-svc"),
        ("i-status-1", 24, "status-svc"), ("i-status-2", 25, "status-svc")]
    .iter()
    .map(|(id, last, service)| Engine::start(record, id, ip(*last), engine_port, service, "jkt-a"))
    .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    for (place, engine) in engines.iter().enumerate() {
        let (engine, node, is_over) = (Arc::clone(engine), nodes[place % nodes.len()], Arc::clone(&is_over));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let _ = engine.tell(node, "ready");
                sleep(Duration::from_millis(1200));
            }
        });
    }
    let served = |front: SocketAddr, path: &str, id: &str| {
        let headers = [("Host", "jobs.example"), ("Attempt-Id", id), ("Request-Timeout-Ms", "5000")];
        ask(front, "POST", path, &headers, b"work", Duration::from_secs(5)).map(|answer| answer.status)
    };
    let start = Instant::now();
    for edge in &edges {
        for path in ["/book/warm", "/status/warm"] {
            while served(edge.front(), path, "warm") != Ok(200) {
                if start.elapsed() > Duration::from_secs(15) {
                    record.line("the machines do not serve");
                    return 2;
                }
                sleep(Duration::from_millis(100));
            }
        }
    }

    // Clients: each kind of request about ten times a second at each machine.
    let kinds = ["/book/", "/status/"];
    let counts: Vec<Arc<(AtomicU64, AtomicU64)>> = kinds.iter().map(|_| Arc::default()).collect();
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (front, kind) = (edges[client % 2].front(), client / 2);
            let (is_over, record, counts) = (Arc::clone(&is_over), record.clone(), Arc::clone(&counts[kind]));
            let served = served;
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    let got = served(front, &format!("{}{number}", kinds[kind]), &id);
                    counts.0.fetch_add(1, Ordering::Relaxed);
                    if got == Ok(200) {
                        counts.1.fetch_add(1, Ordering::Relaxed);
                    } else {
                        record.line(&format!("{id} {} gets {got:?}", kinds[kind]));
                    }
                    sleep(Duration::from_millis(80));
                }
            })
        })
        .collect();
    sleep(CALM);

    if trouble {
        // Another writer: a service that is named nowhere, at the addresses of three engines. Once each.
        for engine in &engines[..3] {
            let body = format!(
                "{{\"service\":\"other-svc\",\"address\":\"{}\",\"zone\":\"jkt-a\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
                engine.address,
                support::unix_ms()
            );
            let path = format!("/-/instances/x-{}", engine.id);
            let headers = [("Content-Type", "application/json")];
            let answer = ask(nodes[1], "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
            let text = answer.map(|answer| format!("{} {}", answer.status, answer.text()));
            record.line(&format!("another writer checks in as x-{} for `other-svc` at {}: {text:?}", engine.id, engine.address));
        }
    }
    sleep(WATCHED);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));

    let share = |asked: u64, served: u64| served as f64 / asked.max(1) as f64;
    let numbers: Vec<(u64, u64)> = counts
        .iter()
        .map(|counts| (counts.0.load(Ordering::Relaxed), counts.1.load(Ordering::Relaxed)))
        .collect();
    let all = numbers.iter().fold((0, 0), |all, kind| (all.0 + kind.0, all.1 + kind.1));
    let mut broken = false;
    for (kind, (asked, done)) in kinds.iter().zip(&numbers) {
        let starved = share(*asked, *done) < share(all.0, all.1) / 4.0;
        broken |= starved;
        record.line(&format!(
            "{kind} asked {asked}, served {done} ({:.3}); all requests {:.3}{}",
            share(*asked, *done),
            share(all.0, all.1),
            if starved { ": less than a quarter as often" } else { "" }
        ));
    }
    for core in &cores {
        for line in core.log(&site).lines().filter(|line| line.contains("i-book") || line.contains("x-i-")) {
            record.line(&format!("log of {}: {line}", core.name));
        }
    }
    engines.iter().for_each(|engine| engine.exit());
    if broken { 1 } else { 0 }
}
