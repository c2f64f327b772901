//! The overhead of one VM against a direct call to a stand-in engine, in one bounded run.
//!
//! Everything runs on one thread of one process, so the processor time of a request through the VM
//! less that of a direct one is what the VM spends.
#![expect(clippy::print_stdout, reason = "the figures go to the terminal")]

use std::{
    error::Error,
    fs,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use pomelogate::{
    clock, id,
    settings::Settings,
    standin::{Caller, Engine, Pace, Reporter, deployment},
    target::{Announcement, Offer},
    vm::Vm,
};
use smol::Timer;

const REQUESTS: usize = 2_000;
const CALLERS: [usize; 2] = [1, 16];
const RENEWAL: Duration = Duration::from_millis(500);
const SETTLE: Duration = Duration::from_millis(300);
const TEXT: &str = "Which pods are free on the fourth floor tonight?";

/// What one run of requests took.
struct Run {
    latency: Histogram<u64>,
    wall: Duration,
    processor: Duration,
}

fn main() -> Result<(), Box<dyn Error>> {
    smol::block_on(bench())
}

async fn bench() -> Result<(), Box<dyn Error>> {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples/kapsul-bersih");
    let folder = tempfile::tempdir()?;
    let allowances = folder.path().join("allowances.json");
    fs::write(&allowances, unlimited(&samples)?)?;
    let settings = deployment(&samples, &[("jakarta", 1)]).remove(0);
    let settings = Settings { allowances: Some(allowances), ..settings };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let vm = Vm::start(settings.clone(), Arc::new(clock::System), logger).await?;
    let pace = Pace { first: Duration::ZERO, between: Duration::ZERO, tokens: 0 };
    let engine = Engine::start("engine".into(), pace).await?;
    let _reporter = announce(settings.callers, engine.address());
    Timer::after(SETTLE).await;

    println!("callers  path    p50 µs  p99 µs  requests/s  processor µs a request");
    for callers in CALLERS {
        let direct = run(engine.address(), callers).await?;
        let through = run(settings.callers, callers).await?;
        show(callers, "direct", &direct);
        show(callers, "VM", &through);
        println!(
            "{callers:>7}  ratio   {:>6.2}  {:>6.2}  {:>10.2}  {:>22.2}",
            ratio(through.latency.value_at_quantile(0.5), direct.latency.value_at_quantile(0.5)),
            ratio(through.latency.value_at_quantile(0.99), direct.latency.value_at_quantile(0.99)),
            direct.wall.as_secs_f64() / through.wall.as_secs_f64(),
            through.processor.as_secs_f64() / direct.processor.as_secs_f64(),
        );
    }
    vm.stop().await;
    Ok(())
}

async fn run(address: SocketAddr, callers: usize) -> Result<Run, Box<dyn Error>> {
    let start = Instant::now();
    let before = processor()?;
    let each = (0..callers).map(|_| requests(address, REQUESTS / callers));
    let mut latency = Histogram::new(3)?;
    for result in join_all(each).await {
        latency.add(result?)?;
    }
    Ok(Run { latency, wall: start.elapsed(), processor: processor()?.saturating_sub(before) })
}

async fn requests(address: SocketAddr, count: usize) -> Result<Histogram<u64>, Box<dyn Error>> {
    let caller = Caller::new("sample-key-crew-leads");
    let mut latency = Histogram::new(3)?;
    for _ in 0..count {
        let start = Instant::now();
        let reply = caller.chat(address, "assistant", TEXT, false).await?;
        if reply.status != 200 {
            return Err(reply.body_text().into());
        }
        latency.record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    Ok(latency)
}

/// The processor time of this process, from the kernel's count of hundredths of a second.
fn processor() -> Result<Duration, Box<dyn Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().ok_or("no fields")?;
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<u64>);
    Ok(Duration::from_millis(ticks.sum::<Result<u64, _>>()? * 10))
}

fn show(callers: usize, path: &str, run: &Run) {
    let rate = REQUESTS as f64 / run.wall.as_secs_f64();
    let each = run.processor.as_micros() as f64 / REQUESTS as f64;
    println!(
        "{callers:>7}  {path:<6}  {:>6}  {:>6}  {rate:>10.0}  {each:>22.0}",
        run.latency.value_at_quantile(0.5),
        run.latency.value_at_quantile(0.99),
    );
}

fn ratio(one: u64, other: u64) -> f64 {
    one as f64 / other as f64
}

/// The sample allowances with so many tokens that the limit of tokens is not what is measured.
fn unlimited(samples: &Path) -> Result<String, Box<dyn Error>> {
    let text = fs::read_to_string(samples.join("allowances.json"))?;
    let mut list: serde_json::Value = serde_json::from_str(&text)?;
    list["entries"][0]["limits"] = serde_json::json!({
        "concurrency": 64, "queue": 256, "tokens_per_minute": 1_000_000_000,
    });
    Ok(list.to_string())
}

fn announce(vm: SocketAddr, address: SocketAddr) -> Reporter {
    let offer = Offer::Model { model: "assistant".into(), version: "1".into(), adapters: vec![] };
    let announcement = Announcement {
        target: id::Target::from("engine"),
        address,
        region: id::Region::from("jakarta"),
        zone: id::Zone::from("jakarta-a"),
        offers: vec![offer],
        ..Announcement::default()
    };
    Reporter::start(vec![vm], RENEWAL, move || announcement.clone())
}
