use std::{net::SocketAddr, time::Duration};

use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use smol::{Task, Timer};

use crate::{
    http::{self, RequestError},
    id,
    target::Announcement,
};

const CONNECT: Duration = Duration::from_millis(500);
const ANSWER: Duration = Duration::from_secs(2);

/// Announces a target to VMs and renews the announcement until dropped.
#[derive(Debug)]
pub struct Reporter {
    target: id::Target,
    vms: Vec<SocketAddr>,
    _task: Task<()>,
}

impl Reporter {
    /// Announces what `announcement` gives, at once and then every `interval`, to the first of
    /// `vms` that takes it.
    pub fn start(
        vms: Vec<SocketAddr>,
        interval: Duration,
        announcement: impl Fn() -> Announcement + Send + 'static,
    ) -> Self {
        let target = announcement().target;
        let receivers = vms.clone();
        let task = smol::spawn(async move {
            loop {
                let body = serde_json::to_vec(&announcement()).unwrap_or_default();
                for vm in &receivers {
                    if send(*vm, Method::POST, "/v1/targets", body.clone()).await.is_ok() {
                        break;
                    }
                }
                Timer::after(interval).await;
            }
        });
        Self { target, vms, _task: task }
    }

    /// Announces to one VM that the target leaves.
    ///
    /// # Errors
    ///
    /// Where no VM took the announcement.
    pub async fn leave(self) -> Result<(), RequestError> {
        let path = format!("/v1/targets/{}", self.target);
        let mut result = Err(RequestError::NotSent("no VM is known".to_owned()));
        for vm in &self.vms {
            result = send(*vm, Method::DELETE, &path, Vec::new()).await;
            if result.is_ok() {
                break;
            }
        }
        result
    }
}

async fn send(
    vm: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(), RequestError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", vm.to_string())
        .body(http::full(body))
        .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
    let (response, _driver) = http::send_request(vm, request, CONNECT, ANSWER).await?;
    let status = response.status();
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    if status == StatusCode::NO_CONTENT {
        return Ok(());
    }
    let text = body.map(|body| String::from_utf8_lossy(&body).into_owned()).unwrap_or_default();
    Err(RequestError::OutcomeUnknown(format!("{status}: {text}")))
}
