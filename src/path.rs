//! The request path: authenticate, resolve, check, admit, place, dispatch, relay.
