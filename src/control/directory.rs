use std::{net::SocketAddr, sync::Arc, time::Duration};

use prost::bytes::Bytes;

use super::{Control, shell::lock};
use crate::{id, registry::Entry, route::Table};

/// The most VMs that one answer names.
const MOST: usize = 64;
/// After its start a replica first hears which VMs there are: each asks a replica once a second.
const SETTLE: Duration = Duration::from_millis(1500);

/// A caller that asks which VMs to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asker {
    /// The host that it wants to call.
    pub host: String,
    /// Its region.
    pub region: id::Region,
}

/// The VMs that a caller is to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Where they take callers.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer holds.
    pub lasts: Duration,
}

impl Control {
    /// The VMs that a caller is to use; nothing while this VM does not know enough.
    ///
    /// The VMs of the caller's own region go first; where none is ready, those of the regions that
    /// may see the requests of every route of the host.
    pub fn directory(&self, asker: &Asker) -> Option<Directory> {
        let now = self.clock.now();
        if now.saturating_duration_since(self.started) < SETTLE {
            return None;
        }
        let table = self.table();
        let roster = self.roster();
        let ready = |wanted: &dyn Fn(&Entry) -> bool| -> Vec<SocketAddr> {
            let live = roster.live(now).map(|(entry, _)| entry);
            let found = live.filter(|entry| entry.ready && wanted(entry));
            found.filter_map(Entry::callers).take(MOST).collect()
        };
        let mut addresses = ready(&|entry| entry.region == asker.region.as_str());
        if addresses.is_empty() {
            let homes = |entry: &Entry| {
                let region = id::Region::from(entry.region.as_str());
                table.as_ref().is_none_or(|table| {
                    table.routes_for_host(&asker.host).all(|rule| rule.allows(&region))
                })
            };
            addresses = ready(&homes);
        }
        if addresses.is_empty() {
            addresses = ready(&|_| true);
        }
        (!addresses.is_empty())
            .then_some(Directory { addresses, lasts: self.settings.bounds.directory })
    }

    /// The routes as this VM knows them, which may be a little behind.
    fn table(&self) -> Option<Arc<Table>> {
        let group = self.group()?;
        let mut known = lock(&self.tables);
        let version = group.read(|machine| machine.version());
        if known.as_ref().is_none_or(|table| table.version != version) {
            let text: Bytes = group.read(|machine| machine.routes().clone());
            *known = (self.read_routes)(&text).ok().map(Arc::new);
        }
        known.clone()
    }
}
