//! VMs in several regions, whose links between regions go through proxies, and their operators.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use pomelogate::{
    admin::{Applied, Replicas, Status},
    id, list,
    settings::Settings,
    standin::{Caller, Reply, deployment, with_disks},
};
use serde_json::{Value, json};
use smol::{Timer, future};
use tempfile::TempDir;

use super::{
    fleet::{Fleet, eventually, samples},
    proxy::{Fault, Faults, Proxy},
};

/// The operators' key.
pub const OPERATOR: &str = "sample-key-operator";
/// How long an operator waits before the reply counts as lost.
const LOST: Duration = Duration::from_secs(3);
const CUT: Fault = Fault { cut: true, delay: Duration::ZERO, truncate: None };

/// The VMs, and the proxies between their regions.
pub struct Grid {
    pub fleet: Fleet,
    pub operators: Operators,
    pub links: Vec<Link>,
    pub data: TempDir,
}

/// The links that one VM opens to another.
pub struct Link {
    pub from: id::Region,
    pub to: id::Region,
    pub proxy: Proxy,
}

/// Operators, who may use any VM.
#[derive(Clone)]
pub struct Operators {
    pub vms: Vec<SocketAddr>,
}

impl Grid {
    /// Starts VMs with replicas on the first of each region; the lists are in force on all.
    pub async fn start(regions: &[(&str, usize)]) -> Self {
        let data = tempfile::tempdir().expect("a folder for data");
        let mut settings = with_disks(deployment(&samples(), regions), data.path());
        for settings in &mut settings {
            settings.operators = vec![list::hash_key(OPERATOR)];
        }
        let links = proxies(&mut settings).await;
        let operators = Operators { vms: settings.iter().map(|vm| vm.callers).collect() };
        let fleet = Fleet::with(settings).await;
        let grid = Self { fleet, operators, links, data };
        for place in 0..grid.operators.vms.len() {
            eventually("the lists are in force", async || {
                grid.operators.served(place).await == Some((1, 1))
            })
            .await;
        }
        grid
    }

    /// Cuts a region off from the others, both ways.
    pub fn cut(&self, region: &str) {
        self.each(region, |link| link.proxy.cut());
    }

    /// Loses what VMs of other regions send to `region`, or else what `region` sends to them.
    pub fn cut_one_way(&self, region: &str, inward: bool) {
        self.each(region, |link| {
            let forth = (link.to.as_str() == region) == inward;
            let faults = Faults::default();
            link.proxy.set(match forth {
                true => Faults { forth: CUT, ..faults },
                false => Faults { back: CUT, ..faults },
            });
        });
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.links.iter().for_each(|link| link.proxy.heal());
    }

    fn each(&self, region: &str, act: impl Fn(&Link)) {
        let touches = |link: &&Link| link.from.as_str() == region || link.to.as_str() == region;
        self.links.iter().filter(touches).for_each(act);
    }
}

/// Puts a proxy on each link between regions.
async fn proxies(settings: &mut [Settings]) -> Vec<Link> {
    let mut links = Vec::new();
    for settings in settings {
        let from = settings.region.clone();
        for peer in settings.peers.iter_mut().filter(|peer| peer.region != from) {
            let proxy = Proxy::start(peer.links).await;
            peer.links = proxy.address();
            links.push(Link { from: from.clone(), to: peer.region.clone(), proxy });
        }
    }
    links
}

impl Operators {
    /// Sends a request to the administration API; nothing where no reply came in time.
    pub async fn send(
        &self,
        place: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<Reply> {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let path = format!("/admin/v1/{path}");
        let caller = Caller::new(OPERATOR);
        let reply = async { caller.send(self.vms[place], method, &path, body).await.ok() };
        future::or(reply, async {
            Timer::after(LOST).await;
            None
        })
        .await
    }

    /// Sends a change of a list.
    pub async fn change(&self, place: usize, path: &str, list: &Value) -> Option<Reply> {
        self.send(place, Method::PUT, path, &json!({ "list": list })).await
    }

    /// Sends a change until it is committed, through any VM of `places`.
    pub async fn commit(&self, places: &[usize], path: &str, list: &Value) -> Applied {
        let mut applied = None;
        let mut turns = places.iter().cycle();
        eventually("the change is committed", async || {
            let place = *turns.next().expect("a place");
            let reply = self.change(place, path, list).await;
            applied = reply.and_then(|reply| serde_json::from_slice(&reply.body).ok());
            applied.is_some()
        })
        .await;
        applied.expect("just seen")
    }

    /// The versions of plans and allowances that a VM serves.
    pub async fn served(&self, place: usize) -> Option<(u64, u64)> {
        let status: Status = self.get(place, "status").await?;
        Some((status.versions.plans, status.versions.allowances))
    }

    /// The replicas, as a VM knows them.
    pub async fn replicas(&self, place: usize) -> Option<Replicas> {
        self.get(place, "replicas").await
    }

    /// A list, as a VM serves it.
    pub async fn get<T: serde::de::DeserializeOwned>(&self, place: usize, path: &str) -> Option<T> {
        let reply = self.send(place, Method::GET, path, &Value::Null).await?;
        serde_json::from_slice(&reply.body).ok()
    }
}

/// The sample plans at `version`, and a customer named `marker`.
pub fn plans(version: u64, marker: &str) -> Value {
    let mut list = sample("plans.json", version);
    let plan = json!({
        "customer": marker, "plan": "crew", "home": "jakarta", "keys": [list::hash_key(marker)],
    });
    list["entries"].as_array_mut().expect("entries").push(plan);
    list
}

/// The sample allowances at `version`, with the plan of the crew leads narrowed to `regions`.
pub fn narrowed(version: u64, regions: &[&str]) -> Value {
    let mut list = sample("allowances.json", version);
    list["entries"][0]["regions"] = json!(regions);
    list
}

fn sample(name: &str, version: u64) -> Value {
    let text = std::fs::read_to_string(samples().join(name)).expect("a sample");
    let mut list: Value = serde_json::from_str(&text).expect("JSON");
    list["version"] = json!(version);
    list
}
