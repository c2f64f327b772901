//! A stand-in of an engine, and a path that is late by a fixed time.
#![allow(dead_code)]

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::support::{Record, ask, unix_ms};

/// One engine of PROTOCOL.md: it answers with the request's id and a proof, and runs nothing that is
/// meant for another engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub service: &'static str,
    pub zone: &'static str,
    pub born: u128,
    sequence: AtomicU64,
    /// The ids of the requests that it ran, and when they came.
    pub runs: Mutex<Vec<(String, Instant)>>,
    stopped: AtomicBool,
    record: Record,
}

impl Engine {
    pub fn start(
        record: &Record,
        id: &str,
        ip: Ipv4Addr,
        port: u16,
        service: &'static str,
        zone: &'static str,
    ) -> Arc<Self> {
        let address = SocketAddr::from((ip, port));
        let listener = TcpListener::bind(address).expect("an engine's address");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            service,
            zone,
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            stopped: AtomicBool::new(false),
            record: record.clone(),
        });
        record.line(&format!("engine {id} starts at {address}, born {}", engine.born));
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if serving.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (engine, Ok(stream)) = (Arc::clone(&serving), stream) else { continue };
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// The engine exits: its listener and channels close.
    pub fn exit(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        self.record.line(&format!("engine {} exits", self.id));
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_millis(100))).ok();
        let mut bytes: Vec<u8> = Vec::new();
        let mut chunk = [0; 16 * 1024];
        while !self.stopped.load(Ordering::Relaxed) {
            if let Some((head, length)) = request(&bytes) {
                bytes.drain(..length);
                let answer = self.answer(&head);
                if self.stopped.load(Ordering::Relaxed) || stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            match stream.read(&mut chunk) {
                Ok(0) => return,
                Ok(length) => bytes.extend_from_slice(&chunk[..length]),
                Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    fn answer(&self, head: &str) -> String {
        let value = |name: &str| {
            head.lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(key, _)| key.eq_ignore_ascii_case(name))
                .map(|(_, value)| value.trim().to_owned())
        };
        let attempt = value("attempt-id").unwrap_or_default();
        if value("expect-instance").is_some_and(|id| id != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
        }
        self.runs.lock().unwrap().push((attempt.clone(), Instant::now()));
        self.record.line(&format!("engine {} runs {attempt}", self.id));
        thread::sleep(Duration::from_millis(15));
        let body = format!("done by {}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: 3e1b.07.{attempt}\r\n\
             Instance-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// The next check-in.
    pub fn check_in(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    /// Checks in at a node as the page says: a second for the answer.
    pub fn tell(&self, node: SocketAddr, state: &str) -> bool {
        let body = self.check_in(state);
        let path = format!("/-/instances/{}", self.id);
        let headers = [("Content-Type", "application/json")];
        let answer = ask(node, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
        let text = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(cause) => cause.clone(),
        };
        self.record.line(&format!("engine {} checks in at {node}, {state}: {text}", self.id));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Takes itself off the list.
    pub fn withdraw(&self, node: SocketAddr) -> bool {
        let path = format!("/-/instances/{}", self.id);
        let answer = ask(node, "DELETE", &path, &[], &[], Duration::from_secs(1));
        let text = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(cause) => cause.clone(),
        };
        self.record.line(&format!("engine {} takes itself off at {node}: {text}", self.id));
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

/// The head of a whole request at the start of `bytes`, and the request's length.
fn request(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    (bytes.len() >= end + length).then_some((head, end + length))
}

/// A path to `to` that brings each byte, and the end of each channel, late by `delay`.
pub fn late_path(listen: SocketAddr, to: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(listen).expect("the path's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(there) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
                let (Ok(from), Ok(back)) = (stream.try_clone(), there.try_clone()) else { return };
                let forth = thread::spawn(move || carry(from, there, delay));
                carry(back, stream, delay);
                let _ = forth.join();
            });
        }
    });
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, queue) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut chunk = [0; 16 * 1024];
        loop {
            let length = from.read(&mut chunk).unwrap_or(0);
            if sender.send((Instant::now() + delay, chunk[..length].to_vec())).is_err() || length == 0 {
                return;
            }
        }
    });
    for (due, bytes) in queue {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if bytes.is_empty() || to.write_all(&bytes).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
