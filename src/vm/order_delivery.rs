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

const MAX_ANSWER_BYTES: usize = 4096;

/// Sends an order to a target and returns its answer, or why none came before `deadline`.
pub(super) async fn send_order(
    clock: &Arc<dyn Clock>,
    target: SocketAddr,
    order: &Message,
    deadline: Instant,
) -> Result<Answer, String> {
    let time_left = deadline.saturating_duration_since(clock.now());
    if time_left.is_zero() {
        return Err("its time was over before it was sent".to_owned());
    }
    let bytes = serde_json::to_vec(order).map_err(|cause| cause.to_string())?;
    let body = http::full_before_deadline(bytes, Arc::clone(clock), deadline);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/orders")
        .header(HOST, target.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|cause| cause.to_string())?;
    let exchange = async {
        let (response, _driver) = http::send_request(target, request, time_left, time_left)
            .await
            .map_err(|cause| cause.to_string())?;
        let status = response.status();
        let body = http::collect(&mut response.into_body(), MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_| "the answer was cut short or too large".to_owned())?;
        serde_json::from_slice(&body).map_err(|_| format!("{status}, no answer to an order"))
    };
    within(time_left, exchange).await.unwrap_or_else(|| Err("no answer in time".to_owned()))
}
