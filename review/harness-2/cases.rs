//! The cases.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    at,
    engine::{Crash, Engine, POISON, POISON_OF_CALLER, Run},
    fleet::{Fleet, Machine, SPARE},
    has_trouble, net, note, sleep_ms,
};

const HOST: &str = "kbn.example";
/// The route of bookings, as on the small site: unsafe, at most 2.5 s, at one engine.
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-book","host":"kbn.example","path-prefix":"/book/","type":"unsafe","timeout-ms":2500,"target-latency-ms":300,"priority":2,"service":"job-svc","max-attempts":1,"sticky":false,"resumable":false,"gap-aim-ms":0,"allowed-regions":[]}],
 "services":[{"name":"job-svc","health-path":"/health","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// The same with two callers, each with a key, and a route of reads that any number of engines may run.
const CONFIG_WITH_CALLERS: &str = r#"{"version":7,"routes":[
 {"name":"r-book","host":"kbn.example","path-prefix":"/book/","type":"unsafe","timeout-ms":2500,"target-latency-ms":300,"priority":2,"service":"job-svc","max-attempts":1,"sticky":false,"resumable":false,"gap-aim-ms":0,"allowed-regions":[],"public":true},
 {"name":"r-status","host":"kbn.example","path-prefix":"/status/","type":"safe","timeout-ms":2500,"target-latency-ms":300,"priority":2,"service":"job-svc","max-attempts":1,"sticky":false,"resumable":false,"gap-aim-ms":0,"allowed-regions":[]}],
 "services":[{"name":"job-svc","health-path":"/health","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
 "tenants":[{"name":"north","api-keys":["key-of-north"]},{"name":"south","api-keys":["key-of-south"]}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// `stable-window-ms`, and a little more.
const STABLE_MS: u64 = 5_600;

/// Runs a case; `Ok(true)` where its rule held.
pub fn run(case: &str) -> Result<bool, String> {
    match case {
        "silent-crash" => silent_crash(),
        "forgotten-block" => forgotten_block(),
        "other-caller" => other_caller(),
        // The machine is a seed. It is the first to start, and is lost before the others start.
        "lost-seed" => first_start("core-bdg-a-1", &[("core-bdg-a-1", 0)], 250, 200),
        "cut-streams" => cut_streams(),
        "lost-learner" => lost_learner(),
        _ => Err(format!("no such case: {case}")),
    }
}

struct Scene {
    fleet: Fleet,
    engines: Vec<Arc<Engine>>,
    runs: Arc<Mutex<Vec<Run>>>,
    fronts: Vec<(String, SocketAddr)>,
}

impl Scene {
    /// The machines, two engines in each region, and a config; returns once every machine serves.
    fn open(crash: Crash) -> Result<Self, String> {
        Self::open_with(crash, CONFIG)
    }

    fn open_with(crash: Crash, config: &str) -> Result<Self, String> {
        Self::open_on(Fleet::start()?, crash, config)
    }

    fn open_on(fleet: Fleet, crash: Crash, config: &str) -> Result<Self, String> {
        fleet.order("PUT", "/-/config", config)?;
        let runs = Arc::new(Mutex::new(Vec::new()));
        let zones = ["jkt-a", "jkt-a", "sby-a", "sby-a", "bdg-a", "bdg-a"];
        let engine = |(number, zone): (usize, &&'static str)| {
            let ip = Ipv4Addr::new(127, fleet.net[0], fleet.net[1], 41 + number as u8);
            Engine::start(&format!("i-{number}"), ip, zone, "job-svc", fleet.controls(), crash, &runs)
        };
        let engines = zones.iter().enumerate().map(engine).collect();
        let fronts = fleet.edges().iter().map(|edge| (edge.name.clone(), edge.front())).collect();
        let scene = Self { fleet, engines, runs, fronts };
        for (name, front) in scene.fronts.clone() {
            let mut is_served = false;
            for turn in 0..80 {
                let answer = scene.book(front, "/book/sound", &format!("first-{name}-{turn}"), b"crew 7");
                if answer.is_ok_and(|answer| answer.status == 200) {
                    is_served = true;
                    break;
                }
                sleep_ms(250);
            }
            if !is_served {
                return Err(format!("{name} never served"));
            }
        }
        note("every machine serves");
        Ok(scene)
    }

    fn book(&self, front: SocketAddr, path: &str, attempt: &str, body: &[u8]) -> Result<net::Answer, String> {
        let headers = [("Host", HOST), ("Attempt-Id", attempt), ("Request-Timeout-Ms", "5000")];
        let answer = net::call(front, "POST", path, &headers, body, Duration::from_millis(5200));
        match &answer {
            Ok(answer) => note(&format!("{attempt} to {front}: {} {}", answer.status, if answer.status == 200 { String::new() } else { answer.text() })),
            Err(cause) => note(&format!("{attempt} to {front}: no answer: {cause}")),
        }
        answer
    }

    /// Sends the crashing request once more, through one machine; whether an engine ran it.
    fn try_poison(&self, front: usize, attempt: &str) -> bool {
        let (name, address) = &self.fronts[front % self.fronts.len()];
        note(&format!("the client sends {attempt} (POST {POISON}) to {name}"));
        let _ = self.book(*address, POISON, attempt, b"crew 13");
        self.runs.lock().unwrap().iter().any(|run| run.attempt == attempt)
    }

    /// Sound requests are served by every machine.
    fn serves(&self, round: usize) -> Result<(), String> {
        for (name, front) in &self.fronts {
            let mut is_served = false;
            for turn in 0..20 {
                if self.book(*front, "/book/sound", &format!("sound-{round}-{name}-{turn}"), b"crew 7").is_ok_and(|answer| answer.status == 200) {
                    is_served = true;
                    break;
                }
                sleep_ms(200);
            }
            if !is_served {
                return Err(format!("{name} serves no sound request"));
            }
        }
        Ok(())
    }
}

/// A request at which engines fall silent goes on to reach engines.
fn silent_crash() -> Result<bool, String> {
    let crash = match std::env::var("CRASH").as_deref() {
        _ if !has_trouble() => Crash::Never,
        Ok("ends") => Crash::Ends,
        _ => Crash::Silent,
    };
    let scene = Scene::open(crash)?;
    let mut crashed = 0;
    for turn in 0..6 {
        if crashed == 3 {
            break;
        }
        crashed += usize::from(scene.try_poison(turn, &format!("poison-{turn}")));
        sleep_ms(2500);
    }
    note(&format!("{crashed} engines have run the request so far"));
    // All engines are back, and the machines have been left alone for the stable window.
    sleep_ms(STABLE_MS);
    scene.serves(1)?;
    let counted_from = at();
    let mut reached = 0;
    for turn in 0..6 {
        reached += usize::from(scene.try_poison(turn, &format!("again-{turn}")));
        sleep_ms(2500);
    }
    note(&format!("since {counted_from:.3}, over 5 s after the third crash: 6 retries, {reached} reached an engine; the rule allows 3"));
    judge(crash, crashed, reached, &scene)
}

/// A request that crashes engines reaches them again once the machines of the core were restarted in turn.
fn forgotten_block() -> Result<bool, String> {
    let scene = Scene::open(Crash::Ends)?;
    let mut crashed = 0;
    for turn in 0..8 {
        if crashed == 3 {
            break;
        }
        // Through the machine of one region after the other.
        crashed += usize::from(scene.try_poison([0, 2, 3][turn % 3], &format!("poison-{turn}")));
        sleep_ms(3000);
    }
    note(&format!("{crashed} engines have run the request so far"));
    sleep_ms(STABLE_MS);
    scene.serves(0)?;
    let mut reached = 0;
    for (index, core) in scene.fleet.cores().iter().enumerate() {
        if has_trouble() {
            core.restart()?;
        }
        // The core has been left alone for the stable window.
        sleep_ms(STABLE_MS + 400);
        // Through each machine twice.
        for turn in 0..2 * scene.fronts.len() {
            let has_reached = scene.try_poison(turn, &format!("again-{index}-{turn}"));
            reached += usize::from(has_reached);
            if has_reached {
                sleep_ms(1200);
            }
        }
        note(&format!("{reached} retries have reached an engine; the rule allows 3"));
        if reached > 3 {
            break;
        }
    }
    scene.serves(9)?;
    judge(Crash::Ends, crashed, reached, &scene)
}

/// What one caller's request crashes is forgotten as another caller's request for the same path is served.
fn other_caller() -> Result<bool, String> {
    let crash = if has_trouble() { Crash::Ends } else { Crash::Never };
    let has_other = std::env::var("OTHER").map_or(true, |value| value != "0");
    let scene = Scene::open_with(crash, CONFIG_WITH_CALLERS)?;
    let read = |turn: usize, attempt: &str, caller: &str| -> bool {
        let (name, front) = &scene.fronts[turn % scene.fronts.len()];
        let key = format!("Bearer key-of-{caller}");
        let headers = [("Host", HOST), ("Attempt-Id", attempt), ("Authorization", &key), ("Request-Timeout-Ms", "5000")];
        note(&format!("{caller} sends {attempt} (GET {}) to {name}", POISON_OF_CALLER.0));
        match net::call(*front, "GET", POISON_OF_CALLER.0, &headers, b"", Duration::from_millis(5200)) {
            Ok(answer) => note(&format!("{attempt}: {} {}", answer.status, answer.text())),
            Err(cause) => note(&format!("{attempt}: no answer: {cause}")),
        }
        scene.runs.lock().unwrap().iter().any(|run| run.attempt == attempt)
    };
    // The other caller reads through every machine between two requests of the first one.
    let others = |round: usize| {
        for turn in 0..scene.fronts.len() {
            if has_other {
                read(turn, &format!("south-{round}-{turn}"), "south");
            }
            sleep_ms(200);
        }
    };
    let mut crashed = 0;
    for turn in 0..8 {
        if crashed == 3 {
            break;
        }
        crashed += usize::from(read(turn, &format!("north-{turn}"), "north"));
        sleep_ms(2600);
        others(turn);
    }
    note(&format!("{crashed} engines have run the request so far"));
    sleep_ms(STABLE_MS);
    let counted_from = at();
    let mut reached = 0;
    for turn in 0..8 {
        reached += usize::from(read(turn, &format!("north-again-{turn}"), "north"));
        sleep_ms(2600);
        others(100 + turn);
    }
    note(&format!("since {counted_from:.3}, over 5 s after the third crash: 8 retries, {reached} reached an engine; the rule allows 3"));
    judge(crash, crashed, reached, &scene)
}

/// The machine is no seed. It is the last to start, and is lost some tenths of a second later: after it has announced
/// itself, before it has the group's log. Which moment that is depends on the machine that the case runs on, so that
/// the system is installed anew with another moment where it came up.
fn lost_learner() -> Result<bool, String> {
    for lost_at_ms in [400, 360, 440, 330, 480] {
        note(&format!("a first start; the machine is lost {} ms after its own start", lost_at_ms - 280));
        let holds = first_start("core-jkt-a-2", &[("core-jkt-a-1", 200), ("core-jkt-a-2", 280)], 0, lost_at_ms)?;
        if !holds || !has_trouble() || at() > 45.0 {
            return Ok(holds);
        }
        crate::fleet::end_all();
    }
    Ok(true)
}

/// A machine of the core is lost for good as the system starts for the first time, and replaced by an empty one at
/// another address. All machines start within 0.3 s of each other, in an order that the case gives; those that it
/// does not name start at `rest_ms`.
fn first_start(lost: &str, order: &[(&str, u64)], rest_ms: u64, lost_at_ms: u64) -> Result<bool, String> {
    let fleet = Fleet::prepare()?;
    let mut plan: Vec<(u64, Arc<Machine>)> = Vec::new();
    for machine in fleet.machines.iter().filter(|machine| !machine.is_spare) {
        let at = order.iter().find(|(name, _)| *name == machine.name).map_or(rest_ms, |(_, at)| *at);
        plan.push((at, Arc::clone(machine)));
    }
    plan.sort_by_key(|(at, _)| *at);
    let find = |name: &str| fleet.machines.iter().find(|machine| machine.name == name).cloned().ok_or("no such machine");
    let (lost, spare) = (find(lost)?, find(SPARE)?);
    let began = Instant::now();
    let wait_until = |millis: u64| std::thread::sleep(Duration::from_millis(millis).saturating_sub(began.elapsed()));
    let mut is_lost = false;
    for (at, machine) in plan {
        if has_trouble() && !is_lost && lost_at_ms < at {
            wait_until(lost_at_ms);
            lost.kill();
            is_lost = true;
        }
        wait_until(at);
        machine.start(true)?;
    }
    if has_trouble() && !is_lost {
        wait_until(lost_at_ms);
        lost.kill();
    }
    if has_trouble() {
        // An empty machine takes its place 2 s later at another address, and all settings name living seeds.
        wait_until(lost_at_ms + 2000);
        let seeds: Vec<SocketAddr> = fleet.controls().into_iter().take(3).collect();
        note(&format!("the seeds are {seeds:?} from now on"));
        for machine in fleet.machines.iter().filter(|machine| machine.runs()) {
            machine.write_settings(&seeds, false)?;
            machine.signal("HUP");
        }
        spare.write_settings(&seeds, false)?;
        spare.start(false)?;
    }
    // `catch-up-s` 4 and `recover-s` 12 are over after 16 s; the operator goes on for over a minute.
    let config = fleet.order("PUT", "/-/config", CONFIG);
    note(&format!("the config: {config:?}"));
    if let Err(cause) = config {
        for core in fleet.cores() {
            let read = net::call(core.control(), "GET", "/-/config", &[], b"", Duration::from_secs(2));
            note(&format!("{} answers a read with {:?}", core.name, read.map(|answer| (answer.status, answer.text()))));
        }
        for edge in fleet.edges() {
            let headers = [("Host", HOST), ("Attempt-Id", "last"), ("Request-Timeout-Ms", "5000")];
            let answer = net::call(edge.front(), "POST", "/book/sound", &headers, b"crew 7", Duration::from_secs(5));
            note(&format!("{} answers a client with {:?}", edge.name, answer.map(|answer| (answer.status, answer.text()))));
        }
        note(&format!("{cause}: nothing can be served"));
        return Ok(false);
    }
    let scene = Scene::open_on(fleet, Crash::Never, CONFIG)?;
    scene.serves(1)?;
    Ok(true)
}

/// A route of streams that may be resumed, bound to one home region.
const CONFIG_OF_STREAMS: &str = r#"{"version":7,"routes":[
 {"name":"r-chat","host":"kbn.example","path-prefix":"/chat/","type":"streaming","timeout-ms":10000,"target-latency-ms":600,"priority":0,"service":"pomelo-llm","max-attempts":2,"sticky":true,"resumable":true,"gap-aim-ms":600,"allowed-regions":["bdg"]}],
 "services":[{"name":"pomelo-llm","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":2.9,"engine":{"slots":64,"kv-capacity-tokens":238853,"token-kv-bytes":163840,"models":[{"name":"m"}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// `grace-s`, in seconds.
const GRACE: f64 = 8.0;

/// What became of one stream.
struct Stream {
    attempt: String,
    sent: f64,
    ended: f64,
    is_whole: bool,
}

/// Streams that are handed over to their home region are cut as the machines are stopped in turn.
fn cut_streams() -> Result<bool, String> {
    let fleet = Fleet::start()?;
    fleet.order("PUT", "/-/config", CONFIG_OF_STREAMS)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let engines: Vec<_> = (0..2u8)
        .map(|number| {
            let ip = Ipv4Addr::new(127, fleet.net[0], fleet.net[1], 41 + number);
            Engine::start(&format!("i-{number}"), ip, "bdg-a", "pomelo-llm", fleet.controls(), Crash::Never, &runs)
        })
        .collect();
    let find = |name: &str| fleet.machines.iter().find(|machine| machine.name == name).cloned().ok_or("no such machine");
    let (first, second, asked) = (find("edge-bdg-a-1")?, find("edge-bdg-a-2")?, find("edge-jkt-a-1")?);
    let ask = |front: SocketAddr, path: &str, attempt: &str| {
        let headers = [
            ("Host", HOST),
            ("Attempt-Id", attempt),
            ("Model", "m"),
            ("Token-Usage", "826,700"),
            ("Prompt-Prefix", "5c1e07a2:119,91bd3f06:79,e4402b7d:628"),
            ("Request-Timeout-Ms", "10000"),
        ];
        net::call(front, "POST", path, &headers, b"crew 7 asks", Duration::from_secs(12))
    };
    // All machines that take part serve.
    for machine in [&first, &second, &asked] {
        let mut is_served = false;
        for turn in 0..60 {
            let answer = ask(machine.front(), "/chat/2", &format!("first-{}-{turn}", machine.name));
            if answer.is_ok_and(|answer| answer.status == 200 && answer.whole) {
                is_served = true;
                break;
            }
            sleep_ms(250);
        }
        if !is_served {
            return Err(format!("{} never served", machine.name));
        }
    }
    // No disruption for `stable-window-ms` before.
    sleep_ms(STABLE_MS);
    let mut clients = Vec::new();
    for number in 0..8 {
        let front = asked.front();
        clients.push(std::thread::spawn(move || {
            let attempt = format!("stream-{number}");
            let headers = [
                ("Host", HOST),
                ("Attempt-Id", attempt.as_str()),
                ("Model", "m"),
                ("Token-Usage", "826,700"),
                ("Prompt-Prefix", "5c1e07a2:119,91bd3f06:79,e4402b7d:628"),
                ("Request-Timeout-Ms", "10000"),
            ];
            let sent = at();
            note(&format!("the client sends {attempt}"));
            // 86 events, one each 0.1 s.
            let answer = net::call(front, "POST", "/chat/86", &headers, b"crew 7 asks", Duration::from_secs(12));
            let (is_whole, what) = match &answer {
                Ok(answer) => {
                    let events = answer.text().matches("data: ").count();
                    let is_whole = answer.status == 200 && answer.whole && events == 86;
                    (is_whole, format!("{}, {events} events, whole: {}", answer.status, answer.whole))
                }
                Err(cause) => (false, cause.clone()),
            };
            let ended = at();
            note(&format!("{attempt} ends after {:.3} s: {what}", ended - sent));
            Stream { attempt, sent, ended, is_whole }
        }));
    }
    sleep_ms(300);
    let mut told = f64::INFINITY;
    if has_trouble() {
        // One at a time, each 1.0 s.
        first.signal("TERM");
        sleep_ms(1000);
        second.signal("TERM");
        sleep_ms(1000);
        told = at();
        asked.signal("TERM");
    }
    let streams: Vec<Stream> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let lost = streams.iter().filter(|stream| {
        let was_due = stream.ended < stream.sent + 10.0;
        // An engine that is still at work in the last sixth of the grace excuses the cut.
        let is_excused = stream.ended >= told + GRACE * 5.0 / 6.0;
        !stream.is_whole && was_due && !is_excused && stream.sent < told + 3.0
    });
    let lost: Vec<&str> = lost.map(|stream| stream.attempt.as_str()).collect();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    note(&format!("{} streams, {whole} whole, {} lost {lost:?}; {} engines", streams.len(), lost.len(), engines.len()));
    if streams.len() != 8 {
        return Err("not all clients came back".to_owned());
    }
    Ok(lost.is_empty())
}

fn judge(crash: Crash, crashed: usize, reached: usize, scene: &Scene) -> Result<bool, String> {
    note(&format!("{} engines took part", scene.engines.len()));
    if crash == Crash::Never {
        // The request crashes nothing, so that the rule does not bind it.
        return Ok(true);
    }
    if crashed < 3 {
        return Err("the request did not crash three engines".to_owned());
    }
    Ok(reached <= 3)
}
