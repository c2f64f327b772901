//! The shell of one VM: sockets and tasks around the decisions.
