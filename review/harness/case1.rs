//! Replicas are replaced one after the other, each after its successor has caught up.
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
const BEYOND: Duration = Duration::from_secs(20);
/// The time that is added between two replacements with `TROUBLE=slow`.
const CALM: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Trouble,
    Slow,
    Nothing,
}

const REPLACEMENTS: usize = 5;

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
    // `TROUBLE=0` replaces nothing; `TROUBLE=slow` replaces as ever, with `CALM` more in between.
    let mode = env::var("TROUBLE").unwrap_or_default();
    let mode = match mode.as_str() {
        "0" => Mode::Nothing,
        "slow" => Mode::Slow,
        _ => Mode::Trouble,
    };
    let record_file = env::args().nth(1).map(PathBuf::from).expect("the record's path");
    let program = env::args().nth(2).map(PathBuf::from).expect("the program's path");
    let record = Record::create(&record_file);
    let folder = Folder::create("1");
    support::end_in_time(&record, &folder.0, Duration::from_secs(110));
    let code = run(&record, &folder, program, mode);
    drop(folder);
    record.line(&format!("exit {code}"));
    exit(code);
}

/// The place of the running machine that leads, as the newest line of the logs says.
fn leader(site: &Site, cores: &[Machine]) -> Option<usize> {
    let led = |core: &Machine| {
        let log = core.log(site);
        let line = log.lines().rev().find(|line| line.contains("\"msg\":\"replica changed its part\""))?;
        let term = line.split("\"term\":\"").nth(1)?.split('"').next()?.parse::<u64>().ok()?;
        line.contains("\"role\":\"Leader\"").then_some(term)
    };
    (0..cores.len())
        .filter(|place| cores[*place].child.is_some())
        .filter_map(|place| Some((led(&cores[place])?, place)))
        .max()
        .map(|(_, place)| place)
}

fn run(record: &Record, folder: &Folder, program: PathBuf, mode: Mode) -> i32 {
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
    let mut version = 7;
    if order(record, &nodes(&cores), "PUT", "/-/config", &config(version), Duration::from_secs(20)).is_none() {
        return 2;
    }

    // Planned work: each successor comes first, has its time to catch up and answers; then an old
    // machine gets SIGTERM and never comes back. No machine counts as lost at any time.
    let mut site = site;
    for turn in 0..REPLACEMENTS {
        let lead = |cores: &[Machine]| {
            let end = Instant::now() + Duration::from_secs(5);
            loop {
                match leader(&site, cores) {
                    Some(place) => return Some(place),
                    None if Instant::now() > end => return None,
                    None => sleep(Duration::from_millis(50)),
                }
            }
        };
        let Some(old) = lead(&cores) else {
            record.line("no machine leads");
            return 2;
        };
        let last = 6 + u8::try_from(turn).unwrap();
        let mut successor =
            Machine::new(&site, &format!("core-{last}"), ip(last), true, cores[old].zone);
        // The platform names machines that run as seeds.
        site.seeds = cores
            .iter()
            .enumerate()
            .filter(|(place, core)| *place != old && core.child.is_some())
            .map(|(_, core)| core.ip)
            .take(3)
            .collect();
        let started = Instant::now();
        if mode == Mode::Nothing {
            sleep(CATCH_UP);
            successor.ip = cores[old].ip;
        } else {
            successor.start(&site, false);
        }
        let newest = successor.control();
        let newest_name =
            if mode == Mode::Nothing { cores[old].name.clone() } else { successor.name.clone() };
        if mode != Mode::Nothing {
            cores.push(successor);
        }
        sleep(CATCH_UP.saturating_sub(started.elapsed()) + Duration::from_millis(100));
        match ask(newest, "GET", "/-/config", &[], &[], Duration::from_secs(2)) {
            Ok(answer) if answer.status == 200 && answer.text().contains(&format!("\"version\":{version},")) => {
                record.line(&format!("{} answers a read with version {version}: it has caught up", newest_name));
            }
            other => {
                record.line(&format!("{} has not caught up: {other:?}", newest_name));
                return 2;
            }
        }
        version += 2;
        if order(record, &nodes(&cores), "PUT", "/-/config", &config(version), Duration::from_secs(6)).is_none() {
            return 2;
        }
        if mode == Mode::Nothing {
            record.line("no machine is removed");
            sleep(Duration::from_secs(1));
            continue;
        }
        let name = cores[old].name.clone();
        cores[old].signal(&site, "TERM");
        if !cores[old].wait(&site, Duration::from_secs(8)) {
            return 2;
        }
        record.line(&format!("{name} is removed for good, its successor in place"));
        if mode == Mode::Slow {
            sleep(CALM);
        } else if turn + 1 < REPLACEMENTS {
            sleep(Duration::from_millis(500));
        }
    }

    let since = Instant::now();
    let read = order(record, &nodes(&cores), "GET", "/-/config", "", RECOVER + BEYOND);
    let took = since.elapsed().as_secs_f64();
    let newest = format!("\"version\":{version},");
    let held = read.as_ref().is_some_and(|(_, answer)| answer.text().contains(&newest));
    match &read {
        Some(_) if held => record.line(&format!("version {version} is read back after {took:.1} s")),
        Some((_, answer)) => record.line(&format!("another configuration is read back: {}", answer.text())),
        None => record.line(&format!(
            "no machine has answered a read of the configuration for {took:.1} s; version {version} was confirmed"
        )),
    }
    let changed =
        order(record, &nodes(&cores), "PUT", "/-/config", &config(version + 2), Duration::from_secs(10));
    record.line(&format!("a further change is confirmed: {}", changed.is_some()));
    for core in &cores {
        for line in core.log(&site).lines() {
            if line.contains("members of the group changed") || line.contains("\"role\":\"Leader\"") {
                record.line(&format!("log of {}: {line}", core.name));
            }
        }
    }
    if held { 0 } else { 1 }
}
