//! A stand-in of a model engine or of a plain service, for operators' pages and newcomers.
//!
//! Announces itself to the first VM that takes it, renews that, and leaves on SIGTERM or SIGINT.
#![expect(clippy::print_stdout, reason = "the stand-in speaks to the terminal")]

use std::{error::Error, net::SocketAddr, time::Duration};

use futures_util::StreamExt;
use lexopt::{Arg, Parser, ValueExt};
use pomelogate::{
    id,
    standin::{Engine, Pace, Reporter, Service},
    target::{Announcement, Load, Offer},
};

const HELP: &str = "\
Run a stand-in of a target on loopback until SIGTERM or SIGINT.

Usage: standin engine <name> --region <region> --model <model> --version <version> --vm <address>
       standin service <name> --region <region> --service <service> --vm <address>

Options:
  --zone <zone>        its availability zone; the region's name and `-a` where left out
  --vm <address>       a VM to announce it to; repeat it to name VMs to try next
  --between-ms <ms>    the time between two tokens of an engine, or of a service's call
  --help               print this help
";
const RENEWAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Options {
    kind: String,
    name: String,
    region: String,
    zone: Option<String>,
    serves: String,
    version: String,
    vms: Vec<SocketAddr>,
    between: Option<Duration>,
}

fn main() -> Result<(), Box<dyn Error>> {
    match options()? {
        Some(options) => smol::block_on(run(options)),
        None => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn options() -> Result<Option<Options>, Box<dyn Error>> {
    let mut options = Options::default();
    let mut words = Vec::new();
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("region") => options.region = parser.value()?.string()?,
            Arg::Long("zone") => options.zone = Some(parser.value()?.string()?),
            Arg::Long("model" | "service") => options.serves = parser.value()?.string()?,
            Arg::Long("version") => options.version = parser.value()?.string()?,
            Arg::Long("vm") => options.vms.push(parser.value()?.parse()?),
            Arg::Long("between-ms") => {
                options.between = Some(Duration::from_millis(parser.value()?.parse()?));
            }
            Arg::Long("help") => return Ok(None),
            Arg::Value(word) => words.push(word.string()?),
            argument => return Err(argument.unexpected().into()),
        }
    }
    let [kind, name] = words.try_into().map_err(|_| "give a kind and a name; see `--help`")?;
    if options.region.is_empty() || options.serves.is_empty() || options.vms.is_empty() {
        return Err("give a region, what it serves and a VM; see `--help`".into());
    }
    Ok(Some(Options { kind, name, ..options }))
}

async fn run(options: Options) -> Result<(), Box<dyn Error>> {
    let signals = [async_signal::Signal::Term, async_signal::Signal::Int];
    let mut signals = async_signal::Signals::new(signals)?;
    match options.kind.as_str() {
        "engine" => {
            let pace = Pace::default();
            let between = options.between.unwrap_or(pace.between);
            let name = options.name.as_str().into();
            let engine = Engine::start(name, Pace { between, ..pace }).await?;
            let offer = Offer::Model {
                model: options.serves.as_str().into(),
                version: options.version.as_str().into(),
                adapters: Vec::new(),
            };
            let reporter = announce(&options, engine.address(), offer, engine.load());
            signals.next().await;
            reporter.leave().await?;
        }
        "service" => {
            let service = Service::start(options.between.unwrap_or_default()).await?;
            let offer = Offer::Service { service: options.serves.as_str().into() };
            let reporter = announce(&options, service.address(), offer, Load::default);
            signals.next().await;
            reporter.leave().await?;
        }
        other => return Err(format!("`{other}` is neither engine nor service").into()),
    }
    println!("{} has left", options.name);
    Ok(())
}

/// Grows from one start of the stand-in to the next.
fn started() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn announce(
    options: &Options,
    address: SocketAddr,
    offer: Offer,
    load: impl Fn() -> Load + Send + 'static,
) -> Reporter {
    println!("{} serves {} at {address}", options.name, options.serves);
    let announcement = Announcement {
        target: id::Target::from(options.name.as_str()),
        incarnation: started(),
        address,
        region: id::Region::from(options.region.as_str()),
        zone: options.zone.clone().unwrap_or_else(|| format!("{}-a", options.region)).into(),
        offers: vec![offer],
        ..Announcement::default()
    };
    Reporter::start(options.vms.clone(), RENEWAL, move || Announcement {
        load: load(),
        ..announcement.clone()
    })
}
