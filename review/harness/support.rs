//! Shared by the review's scripts: the project's own processes, an HTTP client, and the record.
//!
//! It uses the standard library alone. Each case is one program that includes this file.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{ErrorKind, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The processes that run now, by id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case with 2 after `longest`, and by their ids all processes that it started.
pub fn end_in_time(record: &Record, folder: &Path, longest: Duration) {
    let (record, folder) = (record.clone(), folder.to_owned());
    std::thread::spawn(move || {
        std::thread::sleep(longest);
        let running = RUNNING.lock().unwrap();
        for id in running.iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        record.line("the case took too long and was ended; exit 2");
        let _ = fs::remove_dir_all(&folder);
        std::process::exit(2);
    });
}

/// The case's record: one line for each thing that was sent, answered, run or done.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Arc::new(Mutex::new(fs::File::create(path).expect("the record")));
        Self { file, start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
        let _ = file.flush();
    }

    pub fn secs(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A port number that is free on loopback now; it is used on all addresses of the case.
pub fn free_port() -> u16 {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap().port()
}

/// An address of this run's own loopback network, so that runs side by side don't meet.
pub fn address(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    let octet = |number: u32| u8::try_from(number).unwrap();
    Ipv4Addr::new(127, octet(64 + id / 250 % 180), octet(1 + id % 250), last)
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The ports of a deployment; the same on all of its machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub links: u16,
    pub control: u16,
    pub directory: u16,
    pub front: u16,
    pub ready: u16,
    pub figures: u16,
}

impl Ports {
    pub fn free() -> Self {
        let mut seen = Vec::new();
        let mut next = || loop {
            let port = free_port();
            if !seen.contains(&port) {
                seen.push(port);
                return port;
            }
        };
        Self {
            links: next(),
            control: next(),
            directory: next(),
            front: next(),
            ready: next(),
            figures: next(),
        }
    }
}

/// What all machines of a deployment have in common.
pub struct Site {
    pub folder: PathBuf,
    pub ports: Ports,
    /// Zone and region of each zone.
    pub zones: Vec<(&'static str, &'static str)>,
    pub seeds: Vec<Ipv4Addr>,
    pub program: PathBuf,
    pub record: Record,
}

/// One machine: one process of the project's program, with the settings of `deploy/settings.json`.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub core: bool,
    pub zone: &'static str,
    pub child: Option<Child>,
    pub ports: Ports,
    starts: u32,
}

impl Machine {
    pub fn new(site: &Site, name: &str, ip: Ipv4Addr, core: bool, zone: &'static str) -> Self {
        Self { name: name.to_owned(), ip, core, zone, child: None, ports: site.ports, starts: 0 }
    }

    pub fn data(&self, site: &Site) -> PathBuf {
        site.folder.join(format!("data-{}", self.name))
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, self.ports.control).into()
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, self.ports.front).into()
    }

    /// Starts the process; `first` is the platform's `bootstrap`.
    pub fn start(&mut self, site: &Site, first: bool) {
        let ip = self.ip;
        let region = site.zones.iter().find(|(zone, _)| *zone == self.zone).unwrap().1;
        let zones: Vec<String> =
            site.zones.iter().map(|(zone, region)| format!("\"{zone}\": \"{region}\"")).collect();
        let seeds: Vec<String> =
            site.seeds.iter().map(|seed| format!("\"{seed}:{}\"", site.ports.control)).collect();
        let ports = site.ports;
        let role = if self.core {
            let data = self.data(site);
            fs::create_dir_all(&data).expect("a data folder");
            format!(
                "\"control\": \"{ip}:{}\", \"directory\": \"{ip}:{}\", \"data\": \"{}\",",
                ports.control,
                ports.directory,
                data.display()
            )
        } else {
            format!("\"callers\": \"{ip}:{}\", \"health\": \"{ip}:{}\",", ports.front, ports.ready)
        };
        let text = format!(
            "{{ \"name\": \"{}\", \"address\": \"{ip}\", \"region\": \"{region}\", \"zone\": \"{}\",\n\
             \"regions\": {{ {} }}, \"links_port\": {}, {role}\n\
             \"seeds\": [{}], \"first_start\": {first}, \"figures_port\": {}, \"announce_ms\": 1200,\n\
             \"bounds\": {{ \"grace_s\": 8, \"retry_ratio\": 0.2, \"retry_slack\": 56,\n\
             \"retry_window_s\": 10, \"directory_ms\": 2000 }} }}\n",
            self.name,
            self.zone,
            zones.join(", "),
            ports.links,
            seeds.join(", "),
            ports.figures,
        );
        self.starts += 1;
        let file = site.folder.join(format!("{}.json", self.name));
        fs::write(&file, text).expect("settings");
        let log = site.folder.join(format!("{}-{}.log", self.name, self.starts));
        let log = fs::File::create(log).expect("a log");
        let child = Command::new(&site.program)
            .env("POMELOGATE_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        site.record.line(&format!("start {} at {ip}, bootstrap {first}", self.name));
    }

    pub fn signal(&self, site: &Site, signal: &str) {
        let Some(child) = &self.child else { return };
        let pid = child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        site.record.line(&format!("SIG{signal} to {}", self.name));
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self, site: &Site, longest: Duration) -> bool {
        let end = Instant::now() + longest;
        while Instant::now() < end {
            if self.has_ended() {
                site.record.line(&format!("{} has ended", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    fn has_ended(&mut self) -> bool {
        let mut running = RUNNING.lock().unwrap();
        let Some(child) = &mut self.child else { return true };
        let ended = !matches!(child.try_wait(), Ok(None));
        if ended {
            running.retain(|id| *id != child.id());
            self.child = None;
        }
        ended
    }

    fn end(&mut self) -> bool {
        let mut running = RUNNING.lock().unwrap();
        let Some(mut child) = self.child.take() else { return false };
        let _ = child.kill();
        let _ = child.wait();
        running.retain(|id| *id != child.id());
        true
    }

    pub fn kill(&mut self, site: &Site) {
        if self.end() {
            site.record.line(&format!("SIGKILL to {}", self.name));
        }
    }

    pub fn wipe(&self, site: &Site) {
        let _ = fs::remove_dir_all(self.data(site));
        site.record.line(&format!("{} loses its disk", self.name));
    }

    /// The whole log of the machine's processes.
    pub fn log(&self, site: &Site) -> String {
        let mut text = String::new();
        for start in 1..=self.starts {
            let path = site.folder.join(format!("{}-{start}.log", self.name));
            text += &fs::read_to_string(path).unwrap_or_default();
        }
        text
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.end();
    }
}

/// An answer of HTTP.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new channel and reads the whole answer.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Result<Answer, String> {
    let mut stream =
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(|cause| cause.to_string())?;
    stream.set_nodelay(true).ok();
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let end = Instant::now() + patience;
    stream.write_all(head.as_bytes()).map_err(|cause| cause.to_string())?;
    stream.write_all(body).map_err(|cause| cause.to_string())?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 64 * 1024];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no whole answer in time".to_owned());
        }
        stream.set_read_timeout(Some(left)).ok();
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(length) => bytes.extend_from_slice(&chunk[..length]),
            Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err("no whole answer in time".to_owned());
            }
            Err(cause) => return Err(cause.to_string()),
        }
    }
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Result<Answer, String> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").ok_or("no head")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let status = status.ok_or("no status")?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut body = bytes[end + 4..].to_vec();
    if let Some(length) = headers.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
        if body.len() < length {
            return Err("the answer ends early".to_owned());
        }
        body.truncate(length);
    }
    Ok(Answer { status, headers, body })
}

/// The operator's order: sent again to the next machine after a failure, a 5xx or a second without
/// an answer, as PROTOCOL.md says. Returns whether it was confirmed in time.
pub fn order(
    record: &Record,
    nodes: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    longest: Duration,
) -> Option<(SocketAddr, Answer)> {
    let end = Instant::now() + longest;
    let mut turn = 0;
    while Instant::now() < end {
        let node = nodes[turn % nodes.len()];
        let answer = ask(node, method, path, &[], body.as_bytes(), Duration::from_secs(1));
        match answer {
            Ok(answer) if answer.status == 200 => {
                record.line(&format!("{method} {path} at {node}: 200"));
                return Some((node, answer));
            }
            Ok(answer) => record.line(&format!("{method} {path} at {node}: {} {}", answer.status, answer.text())),
            Err(cause) => record.line(&format!("{method} {path} at {node}: {cause}")),
        }
        turn += 1;
        std::thread::sleep(Duration::from_millis(200 + 50 * turn.min(16) as u64));
    }
    None
}

pub fn is_loopback(ip: Ipv4Addr) -> bool {
    IpAddr::V4(ip).is_loopback()
}
