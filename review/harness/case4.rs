//! An engine that leaves before its first check-in has come.
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
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use standin::{Engine, late_path};
use support::{Folder, Machine, Ports, Record, Site, ask, free_port, order};

/// `drain-ms` of the sheet.
const DRAIN: Duration = Duration::from_millis(3000);
/// How late the check-in comes: "A check-in may arrive seconds late."
const LATE: Duration = Duration::from_millis(2400);
/// When the engine is told to leave, after its start.
const TOLD: Duration = Duration::from_millis(800);
/// How long it goes on serving after it has left: `drain-ms` "and a little longer (at times many
/// seconds)".
const SERVES_ON: Duration = Duration::from_secs(9);

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"jobs.example\",\"path-prefix\":\"/jobs/\",\
     \"type\":\"unsafe\",\"timeout-ms\":2500,\"target-latency-ms\":300,\"priority\":2,\
     \"service\":\"job-svc\",\"max-attempts\":1,\"sticky\":false,\"resumable\":false,\"gap-aim-ms\":0,\
     \"allowed-regions\":[]}],\"services\":[{\"name\":\"job-svc\",\"health-path\":\"/health\",\
     \"max-connections\":110,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}],\
     \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
     \"idle-timeout-ms\":15000}}"
        .to_owned()
}

fn main() {
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record_file = env::args().nth(1).map(PathBuf::from).expect("the record's path");
    let program = env::args().nth(2).map(PathBuf::from).expect("the program's path");
    let record = Record::create(&record_file);
    let folder = Folder::create("4");
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
    let first = Engine::start(record, "i-first", ip(21), engine_port, "job-svc", "jkt-a");
    let is_over = Arc::new(AtomicBool::new(false));
    let beats = {
        let (engine, nodes, is_over) = (Arc::clone(&first), nodes.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let _ = engine.tell(nodes[2], "ready");
                sleep(Duration::from_millis(1200));
            }
        })
    };
    let served = |edge: &Machine, id: &str| {
        let headers = [("Host", "jobs.example"), ("Attempt-Id", id), ("Request-Timeout-Ms", "5000")];
        ask(edge.front(), "POST", "/jobs/book", &headers, b"book", Duration::from_secs(5))
    };
    let start = Instant::now();
    for edge in &edges {
        while served(edge, "warm").is_ok_and(|answer| answer.status != 200) || served(edge, "warm").is_err() {
            if start.elapsed() > Duration::from_secs(15) {
                record.line("the machines do not serve");
                return 2;
            }
            sleep(Duration::from_millis(100));
        }
    }
    // More than the stable window without any disruption.
    sleep(Duration::from_secs(6));

    // Clients: 40 requests a second over both machines.
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (front, is_over, record) = (edges[client % 2].front(), Arc::clone(&is_over), record.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    let headers =
                        [("Host", "jobs.example"), ("Attempt-Id", id.as_str()), ("Request-Timeout-Ms", "5000")];
                    let answer =
                        ask(front, "POST", "/jobs/book", &headers, b"book", Duration::from_secs(5));
                    match answer {
                        Ok(answer) if answer.status == 200 => {}
                        Ok(answer) => record.line(&format!("{id} gets {}", answer.status)),
                        Err(cause) => record.line(&format!("{id} gets no answer: {cause}")),
                    }
                    sleep(Duration::from_millis(80));
                }
            })
        })
        .collect();

    // The engine that leaves early. Its first check-in takes a late path, in the case with trouble.
    let second = Engine::start(record, "i-second", ip(22), engine_port, "job-svc", "jkt-a");
    let path = SocketAddr::from((ip(31), free_port()));
    late_path(path, cores[0].control(), LATE);
    let started = Instant::now();
    let first_node = if trouble { path } else { cores[0].control() };
    let check_in = {
        let second = Arc::clone(&second);
        thread::spawn(move || second.tell(first_node, "ready"))
    };
    sleep(TOLD.saturating_sub(started.elapsed()));
    // It never says `draining`: it takes itself off the list, serves on and exits.
    if !second.withdraw(nodes[3]) {
        record.line("the withdrawal was not confirmed");
        return 2;
    }
    let confirmed = Instant::now();
    let _ = check_in.join();
    sleep(SERVES_ON.saturating_sub(confirmed.elapsed()));
    second.exit();
    sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let _ = beats.join();
    first.exit();

    let late: Vec<f64> = second
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|(_, at)| at.saturating_duration_since(confirmed))
        .filter(|after| *after > DRAIN)
        .map(|after| after.as_secs_f64())
        .collect();
    let all = second.runs.lock().unwrap().len();
    record.line(&format!(
        "i-second got {all} requests; {} of them later than drain-ms after it was confirmed gone{}",
        late.len(),
        late.last().map_or(String::new(), |last| format!(", the last after {last:.1} s"))
    ));
    for core in &cores {
        for line in core.log(&site).lines().filter(|line| line.contains("i-second")) {
            record.line(&format!("log of {}: {line}", core.name));
        }
    }
    if late.is_empty() { 0 } else { 1 }
}
