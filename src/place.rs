//! Placement: which target, or which other region, takes a request.
