use std::{
    fmt, io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
};

use cadence::{Counted, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};

use super::{Outcome, Sample};
use crate::settings::Figures;

const QUEUE_LENGTH: usize = 4_096;

/// Sends figures to a statsd server over UDP, from a bounded queue; what finds the queue full is
/// dropped.
pub struct Statsd(StatsdClient);

impl Statsd {
    /// Opens the socket that `settings` ask for; nothing where they name no server.
    ///
    /// # Errors
    ///
    /// Where the operating system gives no socket.
    pub fn open(settings: &Figures) -> io::Result<Option<Self>> {
        let Some(server) = settings.statsd else { return Ok(None) };
        let any: SocketAddr = match server {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH);
        Ok(Some(Self(StatsdClient::from_sink(&settings.prefix, sink))))
    }

    pub(super) fn send(&self, sample: &Sample<'_>) {
        let customer = sample.customer.map_or("none", |customer| customer.as_str());
        let class = sample.class.as_str();
        let outcome = match sample.outcome {
            Outcome::Answered => "requests.answered",
            Outcome::Refused => "requests.refused",
            Outcome::Unknown => "requests.unknown",
        };
        let count = |name, number: u64| {
            self.0
                .count_with_tags(name, number)
                .with_tag("customer", customer)
                .with_tag("class", class)
                .send();
        };
        let time = |name, time| {
            self.0
                .time_with_tags(name, time)
                .with_tag("customer", customer)
                .with_tag("class", class)
                .send();
        };
        count(outcome, 1);
        if sample.elsewhere {
            count("requests.elsewhere", 1);
        }
        if !sample.engine.is_zero() {
            count("engine_ms", u64::try_from(sample.engine.as_millis()).unwrap_or(u64::MAX));
        }
        time("total", sample.total);
        sample.first_byte.into_iter().for_each(|value| time("first_byte", value));
        sample.queue.into_iter().for_each(|value| time("queue", value));
    }
}

impl fmt::Debug for Statsd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Statsd").finish_non_exhaustive()
    }
}
