//! Fleets whose VMs give orders, and engines that take them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pomelogate::{
    id, list,
    settings::{Orders, Settings, Stock},
    standin::{Engine, Loader, Manner, Pace, Reporter, Store, deployment, with_disks},
    target::Announcement,
};
use tempfile::TempDir;

use super::{
    fleet::{Fleet, samples},
    targets::{RENEWAL, announcement, model},
};

/// The key of the operator.
pub const OPERATOR: &str = "orders-test-operator";

/// An engine that takes orders, and its announcements.
pub struct Ordered {
    pub loader: Arc<Loader>,
    pub engine: Engine,
    _reporter: Reporter,
}

impl Ordered {
    /// How many models it serves.
    pub fn held(&self) -> usize {
        self.loader.offers().len()
    }
}

/// Starts VMs that give `orders`; the folder holds their data.
pub async fn fleet(regions: &[(&str, usize)], orders: &Orders) -> (Fleet, TempDir) {
    let folder = tempfile::tempdir().expect("a folder for data");
    let settings = with_disks(deployment(&samples(), regions), folder.path());
    let settings = settings.into_iter().map(|settings| with_orders(settings, orders)).collect();
    (Fleet::with(settings).await, folder)
}

fn with_orders(settings: Settings, orders: &Orders) -> Settings {
    let operators = vec![list::hash_key(OPERATOR)];
    Settings { orders: orders.clone(), operators, ..settings }
}

/// Orders that keep the planner on `minimum` targets of each region, at a fast rate.
pub fn planner(minimum: usize) -> Orders {
    let stock = Stock { model: "planner".into(), version: "2026-06".into(), minimum };
    Orders {
        weights: vec![stock],
        loads: 1000,
        window_ms: 1000,
        refusal_pause_ms: 1000,
        ..Orders::default()
    }
}

/// A weight store without a limit of its own, whose loads take `time`.
pub fn store(time: Duration) -> Arc<Store> {
    Arc::new(Store::new(usize::MAX, Duration::from_secs(1), time))
}

/// Starts an engine with room for one model that takes orders in `manner`.
pub async fn engine(
    name: &str,
    region: &str,
    manner: Manner,
    store: &Arc<Store>,
    vms: &[SocketAddr],
) -> Ordered {
    let loader = Loader::new(manner, 1, Arc::clone(store));
    let target = id::Target::from(name);
    let engine = Engine::ordered(target, Pace::default(), Arc::clone(&loader))
        .await
        .expect("the engine starts");
    let said = announcement(name, region, engine.address(), model("none"));
    let (load, serves) = (engine.load(), Arc::clone(&loader));
    let announce = move || Announcement {
        offers: serves.offers(),
        fenced: serves.is_fenced(),
        models: serves.models(),
        load: load(),
        ..said.clone()
    };
    let reporter = Reporter::start(vms.to_vec(), RENEWAL, announce);
    Ordered { loader, engine, _reporter: reporter }
}

/// Where the VMs at `places` take announcements.
pub fn callers(fleet: &Fleet, places: &[usize]) -> Vec<SocketAddr> {
    places.iter().map(|place| fleet.callers(*place)).collect()
}
