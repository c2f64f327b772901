//! A tour: two regions with two VMs each, an engine and a service, in one process on loopback.
//!
//! Shows an answer from the caller's own region, one that another region gives, one streamed, and
//! a refusal, each with the way it took. Ends by itself.
#![expect(clippy::print_stdout, reason = "the tour speaks to the terminal")]

use std::{error::Error, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use hyper::Method;
use pomelogate::{
    clock, id,
    standin::{Caller, Engine, Pace, Reply, Reporter, Service, deployment},
    target::{Announcement, Load, Offer},
    vm::{Running, Vm},
};
use smol::Timer;

const RENEWAL: Duration = Duration::from_millis(500);
const SETTLE: Duration = Duration::from_millis(300);

fn main() -> Result<(), Box<dyn Error>> {
    smol::block_on(tour())
}

async fn tour() -> Result<(), Box<dyn Error>> {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples/kapsul-bersih");
    let settings = deployment(&samples, &[("jakarta", 2), ("surabaya", 2)]);
    let mut vms: Vec<Running> = Vec::new();
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
    Timer::after(SETTLE).await;

    let leads = Caller::new("sample-key-crew-leads");
    let directory = leads.send(jakarta, Method::GET, "/v1/directory", String::new()).await?;
    println!("the VMs to use: {}\n", directory.body_text());
    let plain = leads.chat(jakarta, "assistant", "Which pods are free?", false).await?;
    show("a model of the caller's region", &plain);
    let far = leads.chat(jakarta, "planner", "Plan the night shift.", false).await?;
    show("a model that only the other region serves", &far);
    let stream = leads.chat(jakarta, "planner", "Plan it again, in pieces.", true).await?;
    show("the same, streamed", &stream);
    let path = "/v1/services/jobs/pods/7";
    let status = leads.send(jakarta, Method::GET, path, String::new()).await?;
    show("a plain service", &status);
    let stranger = Caller::new("guess").chat(jakarta, "assistant", "Hello?", false).await?;
    show("an unknown key", &stranger);

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

fn show(what: &str, reply: &Reply) {
    println!("{what}: {} {}", reply.status, reply.outcome());
    println!("  way: {}", reply.way());
    println!("  {}\n", reply.body_text().trim_end().replace('\n', "\n  "));
}
