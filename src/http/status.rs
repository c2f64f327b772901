use hyper::StatusCode;

/// Whether HTTP defines `number` as the status of a response that ends an exchange. A response with
/// another status does not tell whether the request ran. No request asks to change the protocol, so 101
/// is none of them.
///
/// ```
/// use pomelogate::http;
///
/// assert!(http::is_final_status(200) && http::is_final_status(599));
/// assert!(!http::is_final_status(99) && !http::is_final_status(101));
/// assert!(!http::is_final_status(600) && !http::is_final_status(1000));
/// ```
pub fn is_final_status(number: u32) -> bool {
    (200..600).contains(&number)
}

/// The [`StatusCode`] of `number`, if it [is final](is_final_status).
pub(crate) fn final_status(number: u32) -> Option<StatusCode> {
    let number = u16::try_from(number).ok().filter(|it| is_final_status((*it).into()))?;
    StatusCode::from_u16(number).ok()
}

/// Says why a response with a status that is not final is a failure.
pub(crate) fn undefined_status(number: u32) -> String {
    format!("it answered with status {number:03}, which ends no exchange in HTTP")
}
