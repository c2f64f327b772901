use std::{net::SocketAddr, sync::Arc, time::Instant};

use hyper::{
    Method, Request,
    header::{CONTENT_TYPE, HOST},
};

use crate::{
    clock::{Clock, within},
    http,
    order::{Answer, Message},
};

const ANSWER_LIMIT: usize = 4096;

/// Gives an order to a target until a deadline; the cause where no answer came in time.
pub(super) async fn deliver(
    clock: &Arc<dyn Clock>,
    target: SocketAddr,
    order: &Message,
    until: Instant,
) -> Result<Answer, String> {
    let left = until.saturating_duration_since(clock.now());
    if left.is_zero() {
        return Err("its time was over before it was sent".to_owned());
    }
    let bytes = serde_json::to_vec(order).map_err(|cause| cause.to_string())?;
    let body = http::full_before_deadline(bytes, Arc::clone(clock), until);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/orders")
        .header(HOST, target.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|cause| cause.to_string())?;
    let exchange = async {
        let (response, _driver) = http::send_request(target, request, left, left)
            .await
            .map_err(|cause| cause.to_string())?;
        let status = response.status();
        let body = http::collect(response.into_body(), ANSWER_LIMIT).await;
        let body = body.map_err(|_| "the answer was cut short or too large".to_owned())?;
        serde_json::from_slice(&body).map_err(|_| format!("{status}, no answer to an order"))
    };
    within(left, exchange).await.unwrap_or_else(|| Err("no answer in time".to_owned()))
}
