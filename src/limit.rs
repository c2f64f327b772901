//! Limits and queues of customers and classes.
