use std::{sync::Arc, time::Duration};

use prost::{Message, bytes::Bytes};
use smol::channel::Sender;

use super::{Control, server::lock};
use crate::{
    continuation::{Batch, Key, Query, Reply},
    event, id,
};

/// Timeout of the quorum's confirmation; a VM gives up a little later.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

impl Control {
    /// Keeps what a VM tells of streams that began there.
    pub(super) fn merge_stream_records(&self, payload: &Bytes) {
        match Batch::decode(payload.clone()) {
            Ok(batch) => lock(&self.streams).merge(&batch, self.clock.now()),
            Err(cause) => event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]),
        }
    }

    /// Answers a VM that asks at which software version a stream began.
    pub(super) async fn serve_stream_query(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let query = match Query::decode(payload) {
            Ok(query) => query,
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
                return;
            }
        };
        let answer = self.stream_reply(&query).await;
        let _ = reply.send(Bytes::from(answer.encode_to_vec())).await;
    }

    async fn stream_reply(&self, query: &Query) -> Reply {
        let finding = lock(&self.streams).find(Key::from(query.key), self.clock.now());
        let sole_version = match finding {
            Some(_) => None,
            None => self.confirmed_sole_version(query).await,
        };
        Reply::new(finding.as_ref(), sole_version.as_ref())
    }

    /// The only software version that targets of the service had during the horizon of the query,
    /// if a quorum confirms that this replica has the newest registry. A stream begins at a version
    /// only after the registry holds a target of it, so that no stream of another version can have
    /// begun before the query arrived.
    async fn confirmed_sole_version(&self, query: &Query) -> Option<id::SoftwareVersion> {
        let group = self.group()?;
        group.read_barrier(CONFIRM_TIMEOUT).await.ok()?;
        let horizon = Duration::from_millis(query.horizon_ms);
        let ended_by = self.clock.now().checked_sub(horizon)?;
        let index = lock(&self.progress).index_at_or_before(ended_by)?;
        group.read(|registry| registry.sole_version(&query.service, index))
    }
}
