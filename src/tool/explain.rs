use std::{net::SocketAddr, time::Duration};

use hyper::{Request, StatusCode};

use super::{Error, Options};
use crate::{
    explain::{Explanation, Query},
    http::{self, RequestError},
    node::EXPLAIN_PATH,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Asks a VM what it would do with a request, the next VM if one cannot be reached. The page needs no
/// key, like the metrics beside it.
pub(super) fn explain(query: &Query, options: &Options) -> Result<Explanation, Error> {
    if options.vms.is_empty() {
        let remedy = "name a VM with `--vm <IP number>:<figures_port>`";
        return Err(Error::Usage(remedy.to_owned()));
    }
    let mut causes = Vec::new();
    for vm in &options.vms {
        match smol::block_on(fetch(*vm, query)) {
            Ok((status, body)) => return read(status, &body),
            Err(cause) => causes.push(format!("{vm}: {cause}")),
        }
    }
    let causes = causes.join("\n  ");
    let remedy = "check that the VM runs, or name another one with `--vm`";
    Err(Error::Unreachable(format!("no VM can be reached; {remedy}\n  {causes}")))
}

async fn fetch(vm: SocketAddr, query: &Query) -> Result<(StatusCode, Vec<u8>), RequestError> {
    let request = Request::get(format!("{EXPLAIN_PATH}?{}", query.encode()))
        .header("host", vm.to_string())
        .body(http::empty())
        .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
    let (response, _driver) =
        http::send_request(vm, request, CONNECT_TIMEOUT, RESPONSE_TIMEOUT).await?;
    let status = response.status();
    let body = http::collect(&mut response.into_body(), MAX_RESPONSE_BYTES).await;
    let body =
        body.map_err(|_| RequestError::OutcomeUnknown("the explanation was cut short".to_owned()))?;
    Ok((status, body.to_vec()))
}

fn read(status: StatusCode, body: &[u8]) -> Result<Explanation, Error> {
    match status {
        StatusCode::OK => serde_json::from_slice(body)
            .map_err(|cause| Error::Refused(format!("no explanation as expected: {cause}"))),
        StatusCode::BAD_REQUEST => Err(Error::Refused(String::from_utf8_lossy(body).into_owned())),
        status => Err(Error::Refused(format!(
            "{status}: there is no explanation; name the `figures_port` of a VM that accepts callers"
        ))),
    }
}
