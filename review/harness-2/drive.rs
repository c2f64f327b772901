//! Drives the cases of this review: starts `pomelogate-node` as the deploy file does, on loopback
//! addresses, with small stand-ins of engines, clients and the operator. Needs the standard library only.
//!
//! `drive CASE RECORD` exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#[path = "cases.rs"]
mod cases;
#[path = "engine.rs"]
mod engine;
#[path = "fleet.rs"]
mod fleet;
#[path = "net.rs"]
mod net;

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Seconds since the start of the case.
pub fn at() -> f64 {
    STARTED.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line to the record.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:8.3} {text}", at());
    }
}

/// Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Whether the case has its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 3 {
        eprintln!("usage: drive CASE RECORD");
        std::process::exit(2);
    }
    at();
    match File::create(&arguments[2]) {
        Ok(file) => drop(RECORD.set(Mutex::new(file))),
        Err(cause) => {
            eprintln!("record: {cause}");
            std::process::exit(2);
        }
    }
    // Whatever happens, the processes end before the time of a case is over.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(114));
        note("the time of the case is over");
        fleet::end_all();
        std::process::exit(2);
    });
    let verdict = std::panic::catch_unwind(|| cases::run(&arguments[1])).unwrap_or(Err("the driver panicked".to_owned()));
    fleet::end_all();
    let code = match verdict {
        Ok(true) => {
            note("verdict: the rule held");
            0
        }
        Ok(false) => {
            note("verdict: the rule was broken");
            1
        }
        Err(cause) => {
            note(&format!("verdict: the case could not run: {cause}"));
            2
        }
    };
    std::process::exit(code);
}
