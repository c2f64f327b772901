//! What control costs each VM, at rest and under changes, in bounded runs of VMs in one process.
//!
//! Usage: `control [VMS REGIONS TARGETS [CHANGES MILLISECONDS]]`, targets for each region and time
//! between two changes; without, a series of sizes.
//! Processor time and memory are those of the whole process divided by its VMs, the stand-ins that
//! announce targets included, so they are upper bounds.
#![expect(clippy::print_stdout, reason = "the figures go to the terminal")]

use std::{
    error::Error,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use pomelogate::{
    clock, id,
    list_state::ChangeAnswer,
    standin::{Reporter, deployment, with_disks},
    stop::Scope,
    target::{Announcement, Load, Offer},
    vm::{ChangeOutcome, RunningVm, Vm},
    wire::Topic,
};
use smol::Timer;

const SIZES: [Size; 5] =
    [size(4, 2, 10), size(8, 2, 10), size(8, 4, 10), size(16, 4, 10), size(16, 4, 50)];
const SETTLE: Duration = Duration::from_secs(5);
const REST: Duration = Duration::from_secs(6);
const CHANGES: usize = 20;
const PACE: Duration = Duration::from_millis(500);
/// How long a change may take to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(19);
const RENEWAL: Duration = Duration::from_secs(1);
const LIMIT: usize = 48;
const LONGEST: Duration = Duration::from_secs(30);
const KIB: f64 = 1024.0;

/// A deployment to measure.
#[derive(Clone, Copy)]
struct Size {
    vms: usize,
    regions: usize,
    targets: usize,
    changes: usize,
    pace: Duration,
}

/// What the process had used at a moment.
struct Mark {
    at: Instant,
    processor: Duration,
    bytes: Vec<[u64; 5]>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let given: Vec<usize> =
        std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    println!(
        "VMs regions targets phase    members targets lists+agreement replies heartbeats   sum  max VM  CPU %/VM  MiB/VM"
    );
    match given[..] {
        [] => SIZES.into_iter().try_for_each(|size| smol::block_on(bench(size))),
        [vms, regions, targets] => smol::block_on(bench(size(vms, regions, targets))),
        [vms, regions, targets, changes, pace] => {
            let pace = Duration::from_millis(u64::try_from(pace)?);
            smol::block_on(bench(Size { changes, pace, ..size(vms, regions, targets) }))
        }
        _ => Err("usage: control [VMS REGIONS TARGETS [CHANGES MILLISECONDS]]".into()),
    }
}

const fn size(vms: usize, regions: usize, targets: usize) -> Size {
    Size { vms, regions, targets, changes: CHANGES, pace: PACE }
}

async fn bench(size: Size) -> Result<(), Box<dyn Error>> {
    let time = size.pace * u32::try_from(size.changes)?;
    if size.regions == 0 || size.vms < size.regions || size.vms > LIMIT || time > LONGEST {
        return Err(format!(
            "give from REGIONS to {LIMIT} VMs, and changes for {LONGEST:?} at most"
        )
        .into());
    }
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples/kapsul-bersih");
    let names: Vec<String> = (0..size.regions).map(region).collect();
    let regions: Vec<(&str, usize)> =
        names.iter().map(|name| (name.as_str(), size.vms / size.regions)).collect();
    let folder = std::env::temp_dir().join(format!("pomelogate-control-{}", std::process::id()));
    let mut settings = with_disks(deployment(&samples, &regions), &folder);
    for settings in &mut settings {
        settings.replicas.truncate(3);
        if !settings.replicas.contains(&settings.vm) {
            settings.data = None;
        }
    }
    let before = resident()?;
    let starts = settings.iter().map(|settings| {
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        Vm::start(settings.clone(), Arc::new(clock::System), logger)
    });
    let vms: Vec<RunningVm> = join_all(starts).await.into_iter().collect::<Result<_, _>>()?;
    let reporters: Vec<Reporter> = regions
        .iter()
        .flat_map(|(region, _)| (0..size.targets).map(move |number| (*region, number)))
        .map(|(region, number)| {
            let near: Vec<SocketAddr> = settings
                .iter()
                .filter(|settings| settings.region.as_str() == region)
                .map(|settings| settings.callers)
                .collect();
            let vm = near[number % near.len()];
            {
                let region = id::Region::from(region);
                Reporter::start(vec![vm], RENEWAL, move || announcement(region.clone(), number))
            }
        })
        .collect();
    Timer::after(SETTLE).await;
    let rest = mark(&vms)?;
    Timer::after(REST).await;
    show(size, "rest", &rest, &mark(&vms)?, resident()? - before);
    let changing = mark(&vms)?;
    let times = change(&vms, size).await;
    show(size, "changes", &changing, &mark(&vms)?, resident()? - before);
    summarise(times);
    drop(reporters);
    for vm in vms {
        vm.stop().await;
    }
    let _ = std::fs::remove_dir_all(folder);
    Ok(())
}

/// Announces stops of targets that nobody has; gives how long each took until it was
/// in force on every VM, and whether it was before the limit.
async fn change(vms: &[RunningVm], size: Size) -> Vec<(Duration, bool)> {
    let changes = (0..size.changes).map(async |number| {
        Timer::after(size.pace * u32::try_from(number).unwrap_or_default()).await;
        let start = Instant::now();
        let scope = Scope::Target(id::Target::from(format!("nobody-{number}")));
        let vm = vms[number % vms.len()].vm();
        let operation = format!("control-{number}");
        let changed = vm.change_planned_stop(&scope, true, &operation, IN_FORCE).await;
        let in_force = matches!(changed, ChangeOutcome::Decided(ChangeAnswer::Accepted { .. }));
        if !in_force {
            println!("    change {number}: {changed:?}");
        }
        (start.elapsed(), in_force)
    });
    join_all(changes).await
}

fn summarise(mut times: Vec<(Duration, bool)>) {
    times.sort();
    let Some(last) = times.last().map(|(time, _)| *time) else { return };
    let in_force = times.iter().filter(|(_, in_force)| *in_force).count();
    let middle = times[times.len() / 2].0;
    println!(
        "    {in_force} of {} changes in force on every VM, after {middle:.2?} in the middle, {last:.2?} at most",
        times.len()
    );
}

fn show(size: Size, phase: &str, before: &Mark, after: &Mark, resident: f64) {
    let seconds = (after.at - before.at).as_secs_f64();
    let rates: Vec<[f64; 5]> = after
        .bytes
        .iter()
        .zip(&before.bytes)
        .map(|(after, before)| std::array::from_fn(|at| (after[at] - before[at]) as f64 / seconds))
        .collect();
    let count = rates.len() as f64;
    let mean: [f64; 5] =
        std::array::from_fn(|at| rates.iter().map(|rate| rate[at]).sum::<f64>() / count);
    let most = rates.iter().map(|rate| rate.iter().sum::<f64>()).fold(0.0, f64::max);
    let processor = (after.processor - before.processor).as_secs_f64() / seconds / count * 100.0;
    let Size { vms, regions, targets, .. } = size;
    let [members, views, lists, replies, heartbeats] = mean;
    let sum: f64 = mean.iter().sum();
    let memory = resident / KIB / count;
    println!(
        "{vms:>3} {regions:>7} {targets:>7} {phase:<8} {members:>7.0} {views:>7.0} {lists:>15.0} {replies:>7.0} {heartbeats:>10.0} {sum:>5.0} {most:>7.0} {processor:>9.2} {memory:>7.1}"
    );
}

fn mark(vms: &[RunningVm]) -> Result<Mark, Box<dyn Error>> {
    let bytes = vms
        .iter()
        .map(|vm| {
            let traffic = vm.vm().traffic();
            let topic = |topic| traffic.topic(topic).bytes();
            let lists =
                [Topic::Lists, Topic::Consensus, Topic::Proposals, Topic::Claims, Topic::Crashes];
            [
                topic(Topic::Membership),
                topic(Topic::Targets),
                lists.into_iter().map(topic).sum(),
                traffic.replies().bytes(),
                traffic.heartbeats().bytes(),
            ]
        })
        .collect();
    Ok(Mark { at: Instant::now(), processor: processor()?, bytes })
}

/// The processor time of this process, from the kernel's count of hundredths of a second.
fn processor() -> Result<Duration, Box<dyn Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().ok_or("no fields")?;
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<u64>);
    Ok(Duration::from_millis(ticks.sum::<Result<u64, _>>()? * 10))
}

/// The resident memory of this process, in KiB.
fn resident() -> Result<f64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS")).ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no size")?.parse()?)
}

fn region(number: usize) -> String {
    ["jakarta", "surabaya", "bandung"]
        .get(number)
        .map_or_else(|| format!("region-{number}"), ToString::to_string)
}

fn announcement(region: id::Region, number: usize) -> Announcement {
    let offer = Offer::Model {
        model: id::Model::from(format!("model-{:02}", number % 15)),
        version: "1".into(),
        adapters: vec![],
    };
    Announcement {
        target: id::Target::from(format!("{region}-engine-{number:03}")),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: id::Zone::from(format!("{region}-a")),
        region,
        offers: vec![offer],
        load: Load { running: 40, waiting: 12, slots: 256, waiting_tokens: 20_000 },
        ..Announcement::default()
    }
}
