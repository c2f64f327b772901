//! The administration API's messages.
