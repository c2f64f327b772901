//! A tour: two regions with two VMs each, an engine and a service, in one process on loopback.
//!
//! Shows an answer from the caller's own region, one that another region gives, one streamed, and
//! a refusal, each with the way it took. Ends by itself.
#![expect(clippy::print_stdout, clippy::print_stderr, reason = "the tour speaks to the terminal")]

use std::{
    error::Error,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use pomelogate::{
    clock, id,
    standin::{Caller, Engine, Pace, Reply, Reporter, Service, deployment},
    target::{Announcement, Load, Offer},
    vm::{RunningVm, Vm},
};
use smol::Timer;

const RENEWAL: Duration = Duration::from_millis(500);
/// How long news of a region's targets may take to the other one, and how often that is tried.
const PATIENCE: Duration = Duration::from_secs(10);
const TRY: Duration = Duration::from_millis(20);

fn main() -> Result<(), Box<dyn Error>> {
    smol::block_on(tour())
}

async fn tour() -> Result<(), Box<dyn Error>> {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples/kapsul-bersih");
    let settings = deployment(&samples, &[("jakarta", 2), ("surabaya", 2)]);
    let mut vms: Vec<RunningVm> = Vec::new();
    for settings in &settings {
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        vms.push(Vm::start(settings.clone(), Arc::new(clock::System), logger).await?);
    }
    let jakarta = settings[0].callers;
    let surabaya = settings[2].callers;

    let assistant = Engine::start("engine-jakarta-1".into(), Pace::default()).await?;
    let planner = Engine::start("engine-surabaya-1".into(), Pace::default()).await?;
    let jobs = Service::start(Duration::from_millis(1)).await?;
    let (address, load) = (assistant.address(), assistant.load());
    let _one = announce(jakarta, "engine-jakarta-1", "jakarta", address, model("assistant"), load);
    let (address, load) = (planner.address(), planner.load());
    let _two = announce(surabaya, "engine-surabaya-1", "surabaya", address, model("planner"), load);
    let service = Offer::Service { service: id::Service::from("jobs") };
    let _three =
        announce(jakarta, "jobs-jakarta-1", "jakarta", jobs.address(), service, Load::default);

    let leads = Caller::new("sample-key-crew-leads");
    let waited = wait_for_news(&leads, jakarta).await?;
    eprintln!("(the other region's targets were known after {} ms)", waited.as_millis());
    let directory = leads.send(jakarta, Method::GET, "/v1/directory", String::new()).await?;
    println!("the VMs to use: {}\n", directory.body_text());
    let plain = leads.chat(jakarta, "assistant", "Which pods are free?", false).await?;
    show("a model of the caller's region", &plain, 200, "jakarta-1 > engine-jakarta-1")?;
    let far = leads.chat(jakarta, "planner", "Plan the night shift.", false).await?;
    let there = "jakarta-1 > surabaya-1 > engine-surabaya-1";
    show("a model that only the other region serves", &far, 200, there)?;
    let stream = leads.chat(jakarta, "planner", "Plan it again, in pieces.", true).await?;
    show("the same, streamed", &stream, 200, there)?;
    let path = "/v1/services/jobs/pods/7";
    let status = leads.send(jakarta, Method::GET, path, String::new()).await?;
    show("a plain service", &status, 200, "jakarta-1 > jobs-jakarta-1")?;
    let stranger = Caller::new("guess").chat(jakarta, "assistant", "Hello?", false).await?;
    show("an unknown key", &stranger, 401, "")?;

    for vm in vms {
        vm.stop().await;
    }
    Ok(())
}

fn model(name: &str) -> Offer {
    Offer::Model { model: id::Model::from(name), version: "1".into(), adapters: Vec::new() }
}

fn announce(
    vm: SocketAddr,
    target: &str,
    region: &str,
    address: SocketAddr,
    offer: Offer,
    load: impl Fn() -> Load + Send + 'static,
) -> Reporter {
    let announcement = Announcement {
        target: id::Target::from(target),
        address,
        region: id::Region::from(region),
        zone: id::Zone::from(format!("{region}-a")),
        offers: vec![offer],
        ..Announcement::default()
    };
    Reporter::start(vec![vm], RENEWAL, move || Announcement {
        load: load(),
        ..announcement.clone()
    })
}

/// Waits until both regions know of each other's targets; says how long that took.
async fn wait_for_news(leads: &Caller, vm: SocketAddr) -> Result<Duration, Box<dyn Error>> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let near = leads.chat(vm, "assistant", "Are you there?", false).await?;
        let far = leads.chat(vm, "planner", "Are you there?", false).await?;
        let path = "/v1/services/jobs/pods/1";
        let service = leads.send(vm, Method::GET, path, String::new()).await?;
        if [near.status, far.status, service.status] == [200; 3] {
            return Ok(start.elapsed());
        }
        Timer::after(TRY).await;
    }
    Err("the regions did not learn of each other's targets".into())
}

/// Prints an answer; fails where it is not the one that the tour tells of.
fn show(what: &str, reply: &Reply, status: u16, way: &str) -> Result<(), Box<dyn Error>> {
    println!("{what}: {} {}", reply.status, reply.outcome());
    println!("  way: {}", reply.way());
    println!("  {}\n", reply.body_text().trim_end().replace('\n', "\n  "));
    // Any VM of the other region may take the request.
    let ends = |way: &str| {
        let vms: Vec<String> = way.split(" > ").map(ToOwned::to_owned).collect();
        (vms.len(), vms.first().cloned(), vms.last().cloned())
    };
    if reply.status != status || ends(reply.way()) != ends(way) {
        return Err(format!("{what}: {status} by way of `{way}` was due").into());
    }
    Ok(())
}
