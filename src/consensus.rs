//! Agreement between replicas: a state machine without I/O.
