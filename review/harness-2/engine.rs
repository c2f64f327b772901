//! A stand-in of an engine: checks in with the core, answers requests, and crashes when told to.

use std::{
    io::{BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, atomic::{AtomicBool, AtomicU64, Ordering}},
    time::{Duration, Instant},
};

use crate::{net, note, sleep_ms, unix_ms};

/// How a request of the crashing kind ends its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// The engine answers it like any other.
    Never,
    /// The process ends: its channels close, and its port refuses.
    Ends,
    /// The engine falls silent: no answer, no check-in, nothing closes until it starts anew.
    Silent,
}

/// A request that an engine began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
}

pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    service: &'static str,
    controls: Vec<SocketAddr>,
    crash: Crash,
    /// Counts the lifetimes; a connection of an earlier one does nothing more.
    life: AtomicU64,
    is_up: AtomicBool,
    is_silent: AtomicBool,
    born: AtomicU64,
    sequence: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// Requests for this path crash the engine that runs them, if the case wants that.
pub const POISON: &str = "/book/poison";
/// The same where `Tenant` names this caller; those of other callers are sound.
pub const POISON_OF_CALLER: (&str, &str) = ("/status/poison", "north");

impl Engine {
    pub fn start(
        name: &str,
        ip: Ipv4Addr,
        zone: &'static str,
        service: &'static str,
        controls: Vec<SocketAddr>,
        crash: Crash,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            name: name.to_owned(),
            address: (ip, crate::fleet::ENGINE).into(),
            zone,
            service,
            controls,
            crash,
            life: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            is_silent: AtomicBool::new(false),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            open: Mutex::default(),
            runs: Arc::clone(runs),
        });
        let accepting = Arc::clone(&engine);
        std::thread::spawn(move || accepting.accept());
        let speaking = Arc::clone(&engine);
        std::thread::spawn(move || speaking.check_in());
        engine
    }

    /// The identifier of the present lifetime.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.life.load(Ordering::SeqCst))
    }

    fn accept(self: Arc<Self>) {
        let mut listener: Option<TcpListener> = None;
        loop {
            if !self.is_up.load(Ordering::SeqCst) {
                listener = None;
                sleep_ms(2);
                continue;
            }
            if self.is_silent.load(Ordering::SeqCst) {
                sleep_ms(2);
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
                sleep_ms(2);
                continue;
            };
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.open.lock().unwrap().push(copy);
                    }
                    let engine = Arc::clone(&self);
                    let life = self.life.load(Ordering::SeqCst);
                    std::thread::spawn(move || engine.serve(stream, life));
                }
                Err(_) => sleep_ms(2),
            }
        }
    }

    fn is_over(&self, life: u64) -> bool {
        self.life.load(Ordering::SeqCst) != life
    }

    fn serve(self: Arc<Self>, stream: TcpStream, life: u64) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let until = Instant::now() + Duration::from_secs(60);
            let Ok(line) = net::read_line(&mut reader, until) else { return };
            let mut words = line.split(' ');
            let (method, path) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
            let mut headers: Vec<(String, String)> = Vec::new();
            loop {
                let Ok(line) = net::read_line(&mut reader, until) else { return };
                if line.is_empty() {
                    break;
                }
                if let Some((name, value)) = line.split_once(':') {
                    headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
            let find = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.clone());
            let length = find("content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() || self.is_over(life) {
                return;
            }
            while self.is_silent.load(Ordering::SeqCst) {
                sleep_ms(5);
                if self.is_over(life) {
                    return;
                }
            }
            let attempt = find("attempt-id").unwrap_or_default();
            let id = self.id();
            let mut reply = |status: &str, extra: &str, text: &str| {
                let head = format!(
                    "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{extra}Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                );
                writer.write_all(head.as_bytes()).is_ok()
            };
            if find("expect-instance").is_some_and(|expected| expected != id) {
                if !reply("421 Misdirected Request", "Not-Executed: 1\r\n", "") {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run { attempt: attempt.clone() });
            let caller = find("tenant").map_or(String::new(), |name| format!(", Tenant {name}"));
            note(&format!("{id} runs {attempt} ({method} {path}{caller})"));
            let of_caller = path == POISON_OF_CALLER.0 && find("tenant").as_deref() == Some(POISON_OF_CALLER.1);
            if (path == POISON || of_caller) && self.crash != Crash::Never {
                match self.crash {
                    Crash::Ends => {
                        sleep_ms(15);
                        self.end();
                        self.begin_after(2000);
                    }
                    _ => {
                        self.is_silent.store(true, Ordering::SeqCst);
                        note(&format!("{id} falls silent"));
                        sleep_ms(4000);
                        self.end();
                        self.begin_after(100);
                    }
                }
                return;
            }
            if let Some(events) = path.strip_prefix("/chat/").and_then(|events| events.parse::<u64>().ok()) {
                let first = find("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0u64) + 1;
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {id}.{attempt}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                let mut is_open = writer.write_all(head.as_bytes()).is_ok();
                for number in first..=events {
                    let event = format!("id: {number}\ndata: piece {number}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    is_open = is_open && !self.is_over(life) && writer.write_all(chunk.as_bytes()).is_ok();
                    if !is_open {
                        note(&format!("{id}: the channel of {attempt} was closed before event {number} of {events}"));
                        return;
                    }
                    sleep_ms(100);
                }
                if writer.write_all(b"0\r\n\r\n").is_err() {
                    return;
                }
                note(&format!("{id} has ended the run of {attempt}"));
                continue;
            }
            sleep_ms(15);
            if !reply("200 OK", &format!("Response-Signature: {id}.{attempt}\r\nInstance-Load: 1,0,6\r\n"), "done") {
                return;
            }
        }
    }

    /// The process ends.
    fn end(&self) {
        note(&format!("{} ends", self.id()));
        self.is_up.store(false, Ordering::SeqCst);
        sleep_ms(5);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The engine is back after some time, as a new lifetime with a new identifier.
    fn begin_after(&self, millis: u64) {
        sleep_ms(millis);
        self.life.fetch_add(1, Ordering::SeqCst);
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_silent.store(false, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        note(&format!("{} begins", self.id()));
    }

    fn check_in(self: Arc<Self>) {
        let mut turn = self.address.ip().to_string().len();
        loop {
            if self.is_up.load(Ordering::SeqCst) && !self.is_silent.load(Ordering::SeqCst) {
                let (id, sequence) = (self.id(), self.sequence.fetch_add(1, Ordering::SeqCst) + 1);
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{}}}",
                    self.service, self.address, self.zone, self.born.load(Ordering::SeqCst)
                );
                for _ in 0..self.controls.len() {
                    let to = self.controls[turn % self.controls.len()];
                    let path = format!("/-/instances/{id}");
                    let answer = net::call(to, "PUT", &path, &[("Content-Type", "application/json")], body.as_bytes(), Duration::from_secs(1));
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        break;
                    }
                    turn += 1;
                }
            }
            // A new lifetime checks in at once.
            let life = self.life.load(Ordering::SeqCst);
            for _ in 0..120 {
                sleep_ms(10);
                if self.is_over(life) {
                    break;
                }
            }
        }
    }
}
