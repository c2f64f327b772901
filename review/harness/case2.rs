//! A replaced replica, then the loss of two disks.
#[path = "support.rs"]
mod support;

use std::{
    env,
    net::SocketAddr,
    path::PathBuf,
    process::exit,
    thread::sleep,
    time::{Duration, Instant},
};

use support::{Folder, Machine, Ports, Record, Site, ask, order};

/// `catch-up-s` of the sheet.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `recover-s` of the sheet.
const RECOVER: Duration = Duration::from_secs(12);
/// How long the operator goes on asking beyond that.
const BEYOND: Duration = Duration::from_secs(30);

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"jobs.example\",\
         \"path-prefix\":\"/jobs/\",\"type\":\"unsafe\",\"timeout-ms\":2500,\"target-latency-ms\":300,\
         \"priority\":2,\"service\":\"job-svc\",\"max-attempts\":1,\"sticky\":false,\"resumable\":false,\
         \"gap-aim-ms\":0,\"allowed-regions\":[]}}],\"services\":[{{\"name\":\"job-svc\",\
         \"health-path\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold-start-s\":0.0,\"cold-per-s\":0.0}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

fn main() {
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record_file = env::args().nth(1).map(PathBuf::from).expect("the record's path");
    let program = env::args().nth(2).map(PathBuf::from).expect("the program's path");
    let record = Record::create(&record_file);
    let folder = Folder::create("2");
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
    let nodes = |cores: &[Machine]| -> Vec<SocketAddr> {
        cores.iter().filter(|core| core.child.is_some()).map(Machine::control).collect()
    };
    if order(record, &nodes(&cores), "PUT", "/-/config", &config(7), Duration::from_secs(20)).is_none() {
        record.line("the first configuration was never confirmed");
        return 2;
    }

    // Planned work: a machine of the core is replaced by another one at a new address. The new one
    // comes first and has its time to catch up.
    let mut successor = Machine::new(&site, "core-6", ip(6), true, "jkt-a");
    successor.start(&site, false);
    cores.push(successor);
    sleep(CATCH_UP + Duration::from_secs(2));
    match ask(cores[5].control(), "GET", "/-/config", &[], &[], Duration::from_secs(2)) {
        Ok(answer) if answer.status == 200 => record.line("core-6 answers a read: it has caught up"),
        other => {
            record.line(&format!("core-6 has not caught up: {other:?}"));
            return 2;
        }
    }
    if order(record, &nodes(&cores), "PUT", "/-/config", &config(9), Duration::from_secs(10)).is_none() {
        return 2;
    }
    cores[1].signal(&site, "TERM");
    if !cores[1].wait(&site, Duration::from_secs(8)) {
        record.line("core-2 did not end within grace-s");
        return 2;
    }
    record.line("core-2 is removed for good; its successor core-6 has had catch-up-s");

    if trouble {
        // Two machines lose their disks at once, which `fault-tolerance` allows. Even if the removed
        // machine counted as lost until catch-up-s after its end, it counts no more.
        sleep(CATCH_UP + Duration::from_millis(100));
        for lost in [2, 4] {
            cores[lost].kill(&site);
            cores[lost].wipe(&site);
        }
        sleep(Duration::from_secs(1));
        for lost in [2, 4] {
            cores[lost].start(&site, false);
        }
        record.line("all machines are back; two of them with empty disks");
    } else {
        sleep(CATCH_UP + Duration::from_millis(1100));
    }

    // The operator reads back what was acknowledged, and sends a change.
    let since = Instant::now();
    let read = order(record, &nodes(&cores), "GET", "/-/config", "", RECOVER + BEYOND);
    let took = since.elapsed().as_secs_f64();
    let held = read.as_ref().is_some_and(|(_, answer)| answer.text().contains("\"version\":9,"));
    match &read {
        Some(_) if held => record.line(&format!("version 9 is read back after {took:.1} s")),
        Some((_, answer)) => record.line(&format!("another configuration is read back: {}", answer.text())),
        None => record.line(&format!(
            "no machine has answered a read of the configuration for {took:.1} s after all were back"
        )),
    }
    let changed = order(record, &nodes(&cores), "PUT", "/-/config", &config(11), Duration::from_secs(10));
    record.line(&format!("a further change is confirmed: {}", changed.is_some()));
    for core in &cores {
        for line in core.log(&site).lines().filter(|line| line.contains("members of the group changed")) {
            record.line(&format!("log of {}: {line}", core.name));
        }
    }
    if held { 0 } else { 1 }
}
