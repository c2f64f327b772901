use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use smol::net::TcpListener;
use socket2::{Domain, Socket, Type};

/// The connections that wait to be accepted. Those of a hundred VMs may come at once; one that
/// finds no place is lost, and is tried again only after a second.
const BACKLOG: i32 = 1024;

/// Listens on a free port of this machine.
pub(super) fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}
