use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hyper::HeaderMap;
use prost::{Message, bytes::Bytes};
use smol::Timer;

use super::{
    VersionBinding,
    outcome::{Reason, Refusal},
    routed_request::RoutedRequest,
    server::Gateway,
};
use crate::{
    clock::within,
    continuation::{Cause, Finding, Key, Lookup, Query, Reply, Resolution},
    event, id,
    registry::VmInfo,
    wire::Topic,
};

/// The delay before records are sent again to a replica that was not reached.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// How long the replicas may take to tell at which software version a stream began.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long other replicas may take to contradict a record: a round trip between regions.
const CONFLICT_TIMEOUT: Duration = Duration::from_millis(200);
/// A caller is assumed to take a stream up within this many times the longer of its route's timeout
/// and the time that it has left.
const CALLER_TIMEOUTS: u32 = 2;
/// How long a stream may still begin at a target that was withdrawn: the target serves for a while,
/// and VMs with an old view go on sending to it.
const HORIZON_MARGIN: Duration = Duration::from_secs(10);
/// A longer name of a stream is cut off in the log.
const MAX_NAME_CHARS: usize = 64;
/// The `Retry-After` of a request whose stream is unknown. A record may still be on its way.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(400);

impl Gateway {
    /// The key of the stream that a request begins or takes up.
    pub(super) fn stream_key(&self, host: &str, path: &str, headers: &HeaderMap) -> Key {
        let names = &self.header_names;
        let first_request =
            headers.get(&names.resumed_request).or_else(|| headers.get(&names.request_id));
        Key::of(host, path, first_request.map_or(b"", |id| id.as_bytes()))
    }

    /// The request ID under which a stream began, for the log, in at most `MAX_NAME_CHARS`.
    fn stream_name(&self, headers: &HeaderMap) -> String {
        let name = headers.get(&self.header_names.resumed_request);
        let text = name.map(|name| String::from_utf8_lossy(name.as_bytes()).into_owned());
        text.unwrap_or_default().chars().take(MAX_NAME_CHARS).collect()
    }

    /// Whether a request takes up a stream of which its caller has events.
    pub(super) fn continues_stream(&self, headers: &HeaderMap) -> bool {
        let names = &self.header_names;
        headers.contains_key(&names.resumed_request) || headers.contains_key(&names.last_event_id)
    }

    /// Binds a request that takes up a stream to the software version that began it, or refuses it
    /// if no record and no registry tells that version.
    pub(super) async fn bind_to_stream(
        &self,
        request: RoutedRequest,
    ) -> Result<RoutedRequest, Refusal> {
        if !request.route.delivery_mode.is_stream() || !self.continues_stream(&request.headers) {
            return Ok(request);
        }
        let finding =
            request.stream_key.and_then(|key| self.stream_ledger().find(key, self.clock.now()));
        let resolution = match finding {
            Some(Finding::Version(version)) => Resolution::Version(version),
            Some(Finding::Conflicting) => Resolution::Unknown(Cause::Conflicting),
            None => self.look_up_stream(&request).await,
        };
        match resolution {
            Resolution::Version(version) => {
                if self.sampler().passes(self.clock.now()) {
                    let fields: [event::Field<'_>; 2] =
                        [("request", &request.id), ("software", &version)];
                    event::path::TAKEN_UP.emit(&self.logger, &fields);
                }
                Ok(RoutedRequest { version_binding: VersionBinding::Only(version), ..request })
            }
            Resolution::Unknown(cause) => {
                let name = self.stream_name(&request.headers);
                let detail =
                    format!("the software version that began the stream `{name}`: {cause}");
                Err(Refusal::new(Reason::StreamUnknown, detail, UNKNOWN_RETRY_AFTER))
            }
        }
    }

    /// Asks all replicas at which software version a stream began.
    async fn look_up_stream(&self, request: &RoutedRequest) -> Resolution {
        let now = self.clock.now();
        let time_left = request.stream_deadline.saturating_duration_since(now);
        let horizon = CALLER_TIMEOUTS * time_left.max(request.route.timeout) + HORIZON_MARGIN;
        let query = Query {
            key: request.stream_key.map_or(0, Key::get),
            service: request.service.to_string(),
            horizon_ms: u64::try_from(horizon.as_millis()).unwrap_or(u64::MAX),
        };
        let payload = Bytes::from(query.encode_to_vec());
        let addresses: Vec<_> = {
            let mirror = self.mirror();
            let replicas = mirror.vms().iter().filter(|vm| vm.records_streams);
            replicas.filter_map(VmInfo::links_address).collect()
        };
        let mut lookup = Lookup::new(addresses.len());
        let timeout = LOOKUP_TIMEOUT.min(request.time_left(self.clock.now()));
        let mut replies: FuturesUnordered<_> = addresses
            .into_iter()
            .map(|address| self.hub.call(address, Topic::Streams, payload.clone(), timeout))
            .collect();
        let mut deadline = self.clock.now() + timeout;
        loop {
            let time_left = deadline.saturating_duration_since(self.clock.now());
            let Some(Some(reply)) = within(time_left, replies.next()).await else {
                return lookup.finish();
            };
            let reply = reply.ok().and_then(|payload| Reply::decode(payload).ok());
            if let Some(resolution) = lookup.record_reply(reply.as_ref()) {
                return resolution;
            }
            if reply.is_some_and(|reply| !reply.versions.is_empty()) {
                deadline = deadline.min(self.clock.now() + CONFLICT_TIMEOUT);
            }
        }
    }

    /// Records the software version of the target whose events the caller gets first.
    pub(super) fn record_stream_start(
        &self,
        request: &RoutedRequest,
        version: Option<&id::SoftwareVersion>,
    ) {
        let (Some(key), Some(version)) = (request.stream_key, version) else { return };
        let now = self.clock.now();
        let time_left = request.stream_deadline.saturating_duration_since(now);
        self.stream_ledger().record(key, version, time_left, now);
        self.stream_records_changed.notify();
    }

    /// Sends new records to the replica that this VM follows, for as long as the process runs. They
    /// go at once, since those that wait are lost when the process is killed.
    pub(super) async fn send_stream_records(self: Arc<Self>) {
        loop {
            let records_change = self.stream_records_changed.listen();
            if !self.send_unsent_records().await {
                Timer::after(RESEND_DELAY).await;
                continue;
            }
            records_change.await;
        }
    }

    /// Returns false if records remain unsent.
    async fn send_unsent_records(&self) -> bool {
        loop {
            let batch = self.stream_ledger().take_unsent(self.clock.now());
            let Some(batch) = batch else { return true };
            let keeper = self.record_keeper().as_ref().and_then(|keeper| keeper.links_address);
            let sent = match keeper {
                Some(address) => {
                    let payload = Bytes::from(batch.encode_to_vec());
                    self.hub.notify(address, Topic::Streams, payload).await.is_ok()
                }
                None => false,
            };
            if !sent {
                self.stream_ledger().mark_unsent(batch, self.clock.now());
                return false;
            }
        }
    }

    /// Follows a replica, and sends it all records if it has none of them: another replica, or
    /// another process of the same one.
    pub(super) fn follow_replica(&self, vm: &id::Vm) {
        let keeper = {
            let mirror = self.mirror();
            let info = mirror.vms().iter().find(|info| info.vm == vm.as_str());
            info.filter(|info| info.records_streams).cloned()
        };
        let Some(keeper) = keeper else { return };
        let keeper = RecordKeeper::from(&keeper);
        let previous = self.record_keeper().replace(keeper.clone());
        if previous.as_ref() != Some(&keeper) {
            self.stream_ledger().mark_all_unsent();
            self.stream_records_changed.notify();
        }
    }
}

/// The process of a replica that keeps this VM's records of streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecordKeeper {
    vm: String,
    incarnation: u64,
    links_address: Option<SocketAddr>,
}

impl From<&VmInfo> for RecordKeeper {
    fn from(info: &VmInfo) -> Self {
        Self {
            vm: info.vm.clone(),
            incarnation: info.incarnation,
            links_address: info.links_address(),
        }
    }
}
